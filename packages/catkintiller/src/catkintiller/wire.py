"""Codec of the messages between nodes.

A message is two frames: a head (type byte, keyed hash, msgpack payload) and a
body of raw bytes. The keyed hash covers type, payload and body, so a message of
another deployment, a damaged one and one with a swapped body are all rejected.
Contents are not encrypted, and a recorded message could be sent again; call
identities and incarnations make such a replay harmless.
"""

import hashlib
import hmac
from typing import NamedTuple

import msgspec

from . import data, errors

MAC_BYTES = 16
MAX_HEAD_BYTES = 4 * 1024 * 1024
MAX_MESSAGE_BODY_BYTES = 16 * 1024 * 1024

_TYPES: dict[bytes, type] = {
    b"c": data.CallRequest,
    b"a": data.CallAnswer,
    b"x": data.CallCancel,
    b"p": data.Ping,
    b"r": data.PingRequest,
    b"k": data.Ack,
    b"m": data.MembersRequest,
    b"M": data.MembersPage,
    b"d": data.MembersDigest,
    b"s": data.SettingsRequest,
    b"t": data.SettingsTail,
    b"S": data.SettingsSnapshot,
    b"q": data.TicketRequest,
    b"Q": data.TicketAnswer,
}
_TAGS = {record: tag for tag, record in _TYPES.items()}
_DECODERS = {tag: msgspec.msgpack.Decoder(record) for tag, record in _TYPES.items()}
_encoder = msgspec.msgpack.Encoder()


class Envelope(NamedTuple):
    """A decoded message and its raw body."""

    message: NamedTuple
    body: bytes


class Codec:
    """Encodes and decodes messages under one deployment key.

    :param key: the shared key of the deployment, at most 64 bytes.
    """

    def __init__(self, key: bytes) -> None:
        self._keyed = hashlib.blake2b(digest_size=MAC_BYTES, key=key)

    def encode(self, message: NamedTuple, body: bytes = b"") -> list[bytes]:
        """Encodes a message into its two frames."""
        tag = _TAGS[type(message)]
        payload = _encoder.encode(message)
        return [tag + self._compute_mac(tag, payload, body) + payload, body]

    def decode(self, frames: list[bytes]) -> Envelope:
        """Decodes two frames.

        :raises errors.MessageRejected: for anything that is not a whole, rightly
            signed message of a known type.
        """
        if len(frames) != 2:
            raise errors.MessageRejected("wrong number of frames")
        head, body = frames
        if len(head) > MAX_HEAD_BYTES or len(body) > MAX_MESSAGE_BODY_BYTES:
            raise errors.MessageRejected("too large")
        tag, mac, payload = head[:1], head[1 : 1 + MAC_BYTES], head[1 + MAC_BYTES :]
        decoder = _DECODERS.get(tag)
        if decoder is None:
            raise errors.MessageRejected("unknown type")
        if not hmac.compare_digest(mac, self._compute_mac(tag, payload, body)):
            raise errors.MessageRejected("wrong signature")
        try:
            return Envelope(decoder.decode(payload), body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.MessageRejected("malformed payload") from error

    def _compute_mac(self, tag: bytes, payload: bytes, body: bytes) -> bytes:
        mac = self._keyed.copy()
        mac.update(tag + len(payload).to_bytes(4, "big"))
        mac.update(payload)
        mac.update(body)
        return mac.digest()
