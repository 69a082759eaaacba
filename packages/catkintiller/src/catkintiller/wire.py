"""Codec of the messages between nodes.

A message consists of two frames: a head (type tag, message authentication code,
payload in MessagePack format) and a body of raw bytes. The authentication code is a
keyed hash of tag, payload and body, so messages of another deployment, corrupted
messages and those with an exchanged body are rejected. Messages are not encrypted.
They can be replayed, which call IDs and incarnations make harmless.
"""

import hashlib
import hmac
from typing import NamedTuple

import msgspec

from . import data, errors

MAC_BYTES = 16
MAX_HEAD_BYTES = 4 * 1024 * 1024
MAX_MESSAGE_BODY_BYTES = 16 * 1024 * 1024

_TYPES_BY_TAG: dict[bytes, type] = {
    b"c": data.CallRequest,
    b"a": data.CallResponse,
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
    b"Q": data.TicketResponse,
}
_TAGS_BY_TYPE = {message_type: tag for tag, message_type in _TYPES_BY_TAG.items()}
_DECODERS_BY_TAG = {
    tag: msgspec.msgpack.Decoder(message_type)
    for tag, message_type in _TYPES_BY_TAG.items()
}
_encoder = msgspec.msgpack.Encoder()


class Envelope(NamedTuple):
    """A decoded message and its raw body."""

    message: NamedTuple
    body: bytes


class Codec:
    """Encodes and decodes messages, authenticated with the key of the deployment.

    :param key: shared key of the deployment, at most 64 bytes.
    """

    def __init__(self, key: bytes) -> None:
        self._keyed_hash = hashlib.blake2b(digest_size=MAC_BYTES, key=key)

    def encode(self, message: NamedTuple, body: bytes = b"") -> list[bytes]:
        """Encodes a message into its two frames."""
        tag = _TAGS_BY_TYPE[type(message)]
        payload = _encoder.encode(message)
        return [tag + self._compute_mac(tag, payload, body) + payload, body]

    def decode(self, frames: list[bytes]) -> Envelope:
        """Decodes the two frames of a message.

        :raises errors.MessageRejected: unless the frames are a complete, correctly
            authenticated message of a known type.
        """
        if len(frames) != 2:
            raise errors.MessageRejected("message does not have two frames")
        head, body = frames
        if len(head) > MAX_HEAD_BYTES or len(body) > MAX_MESSAGE_BODY_BYTES:
            raise errors.MessageRejected("head or body is too large")
        tag, mac, payload = head[:1], head[1 : 1 + MAC_BYTES], head[1 + MAC_BYTES :]
        decoder = _DECODERS_BY_TAG.get(tag)
        if decoder is None:
            raise errors.MessageRejected("unknown message type")
        if not hmac.compare_digest(mac, self._compute_mac(tag, payload, body)):
            raise errors.MessageRejected("message authentication failed")
        try:
            return Envelope(decoder.decode(payload), body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.MessageRejected("malformed payload") from error

    def _compute_mac(self, tag: bytes, payload: bytes, body: bytes) -> bytes:
        mac = self._keyed_hash.copy()
        mac.update(tag + len(payload).to_bytes(4, "big"))
        mac.update(payload)
        mac.update(body)
        return mac.digest()
