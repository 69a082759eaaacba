"""Bytes that arrive in parts and are held in one piece."""


class PartBuffer:
    """Joins the parts of a body as they arrive.

    Each object takes tens of bytes beside its content, so a list of small parts would
    take many times the memory that is counted for them.
    """

    __slots__ = ("_content",)

    def __init__(self) -> None:
        self._content: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self._content)

    def append(self, part: bytes) -> None:
        """Adds a part; a single one is kept as it is."""
        if not self._content:
            self._content = part
            return
        if type(self._content) is bytes:
            self._content = bytearray(self._content)
        self._content += part

    def take(self) -> bytes:
        """Returns the content and empties the buffer."""
        content, self._content = self._content, b""
        return bytes(content)

    def clear(self) -> None:
        """Drops the content."""
        self._content = b""
