"""Frames of a control link.

Each side first sends a random nonce. Every later frame consists of key
id, sequence, message and a keyed tag over the receiver's nonce and the
other three parts, so that a frame is valid only once and on one link.
"""

import struct

import msgspec
from result import Err, Result

from ..protocol.codec import decode_link_message, encode_link_message
from ..protocol.tags import TAG_BYTES, KeyRing

NONCE_BYTES = 16
_PREFIX = struct.Struct('!BQ')


class FrameSealer:
    """Signs and encodes the messages of one direction of a link."""

    def __init__(self, keys: KeyRing, receiver_nonce: bytes) -> None:
        self._keys = keys
        self._receiver_nonce = receiver_nonce
        self._sequence = 0

    def seal(self, message: msgspec.Struct) -> bytes:
        """Return the next frame, which carries the message."""
        prefix = _PREFIX.pack(self._keys.signing_key_id, self._sequence)
        self._sequence += 1
        encoded = encode_link_message(message)
        tag = self._keys.sign(self._receiver_nonce, prefix, encoded)
        return prefix + encoded + tag


class FrameOpener:
    """Verifies and decodes the frames of one direction of a link."""

    def __init__(self, keys: KeyRing, own_nonce: bytes) -> None:
        self._keys = keys
        self._own_nonce = own_nonce
        self._sequence = 0

    def open(self, frame: bytes) -> Result[msgspec.Struct, str]:
        """Return the message, or why the link must be closed."""
        if len(frame) < _PREFIX.size + TAG_BYTES:
            return Err('truncated frame')
        key_id, sequence = _PREFIX.unpack_from(frame)
        prefix = frame[: _PREFIX.size]
        encoded = frame[_PREFIX.size : -TAG_BYTES]
        tag = frame[-TAG_BYTES:]
        if self._keys.is_expired(key_id):
            return Err(f'key {key_id} has expired')
        if not self._keys.verify(key_id, tag, self._own_nonce, prefix, encoded):
            return Err(f'wrong tag or unknown key {key_id}')
        if sequence != self._sequence:
            return Err(f'sequence {sequence}, expected {self._sequence}')
        self._sequence += 1
        return decode_link_message(encoded)
