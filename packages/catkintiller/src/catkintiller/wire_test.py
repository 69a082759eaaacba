"""The codec takes whole, rightly signed messages and drops everything else."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from . import data, errors, wire

CODEC = wire.Codec(b"k" * 32)
MESSAGE = data.CallCancel("call", "target")


class TestCodec:
    """Encoding and decoding under a key."""

    @given(st.binary(max_size=600))
    def test_round_trip(self, body: bytes) -> None:
        assert CODEC.decode(CODEC.encode(MESSAGE, body)) == (MESSAGE, body)

    @given(st.lists(st.binary(max_size=64), max_size=4))
    def test_garbage_is_rejected(self, frames: list[bytes]) -> None:
        with pytest.raises(errors.MessageRejected):
            CODEC.decode(frames)

    @given(st.integers(0, 200), st.integers(1, 255))
    def test_any_changed_byte_is_rejected(self, position: int, change: int) -> None:
        head, body = CODEC.encode(MESSAGE, b"some body")
        joined = bytearray(head + body)
        joined[position % len(joined)] ^= change
        damaged = [bytes(joined[: len(head)]), bytes(joined[len(head) :])]
        with pytest.raises(errors.MessageRejected):
            CODEC.decode(damaged)

    @given(st.sampled_from(sorted(wire._TYPES_BY_TAG)), st.binary(max_size=200))
    def test_signed_garbage_is_rejected_or_decoded(self, tag, payload) -> None:
        mac = CODEC._compute_mac(tag, payload, b"")
        try:
            CODEC.decode([tag + mac + payload, b""])
        except errors.MessageRejected:
            pass

    def test_foreign_key_and_swapped_body_are_rejected(self) -> None:
        foreign = wire.Codec(b"x" * 32).encode(MESSAGE, b"body")
        swapped = [CODEC.encode(MESSAGE, b"one")[0], b"two"]
        for frames in (foreign, swapped):
            with pytest.raises(errors.MessageRejected):
                CODEC.decode(frames)
