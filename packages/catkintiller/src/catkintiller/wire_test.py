"""The codec accepts complete, authenticated messages and rejects all others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from . import data, errors, wire

CODEC = wire.Codec(b"k" * 32)
MESSAGE = data.CallCancel("call", "target")


class TestCodec:
    """Encoding and decoding with a key."""

    @given(st.binary(max_size=600))
    def test_round_trip(self, body: bytes) -> None:
        assert CODEC.decode(CODEC.encode(MESSAGE, body)) == (MESSAGE, body)

    @given(st.lists(st.binary(max_size=64), max_size=4))
    def test_random_frames_are_rejected(self, frames: list[bytes]) -> None:
        with pytest.raises(errors.MessageRejected):
            CODEC.decode(frames)

    @given(st.integers(0, 200), st.integers(1, 255))
    def test_any_changed_byte_is_rejected(self, position: int, xor_mask: int) -> None:
        head, body = CODEC.encode(MESSAGE, b"some body")
        message_bytes = bytearray(head + body)
        message_bytes[position % len(message_bytes)] ^= xor_mask
        corrupted = [
            bytes(message_bytes[: len(head)]),
            bytes(message_bytes[len(head) :]),
        ]
        with pytest.raises(errors.MessageRejected):
            CODEC.decode(corrupted)

    @given(st.sampled_from(sorted(wire._TYPES_BY_TAG)), st.binary(max_size=200))
    def test_authenticated_random_payload_is_rejected_or_decoded(
        self, tag, payload
    ) -> None:
        mac = CODEC._compute_mac(tag, payload, b"")
        try:
            CODEC.decode([tag + mac + payload, b""])
        except errors.MessageRejected:
            pass

    def test_other_key_and_exchanged_body_are_rejected(self) -> None:
        other_key_frames = wire.Codec(b"x" * 32).encode(MESSAGE, b"body")
        exchanged_frames = [CODEC.encode(MESSAGE, b"one")[0], b"two"]
        for frames in (other_key_frames, exchanged_frames):
            with pytest.raises(errors.MessageRejected):
                CODEC.decode(frames)
