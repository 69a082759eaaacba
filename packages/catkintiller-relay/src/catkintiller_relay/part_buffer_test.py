"""Tests of bytes that arrive in parts."""

from hypothesis import given
from hypothesis import strategies as st

from . import part_buffer


class TestPartBuffer:
    """The content is that of all parts, and the parts do not change."""

    @given(st.lists(st.binary(max_size=20)))
    def test_content(self, parts: list[bytes]) -> None:
        buffer = part_buffer.PartBuffer()
        copies = [bytes(bytearray(part)) for part in parts]
        for part in parts:
            buffer.append(part)
        assert len(buffer) == sum(map(len, parts))
        assert buffer.take() == b"".join(parts)
        assert parts == copies
        assert len(buffer) == 0

    def test_cleared_buffer_is_empty(self) -> None:
        buffer = part_buffer.PartBuffer()
        buffer.append(b"abc")
        buffer.clear()
        assert buffer.take() == b""
