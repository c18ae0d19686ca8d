"""CBOR encoding of the generated messages."""

from typing import TypeVar

import cbor2
import msgspec
from result import Err, Ok, Result

from ..generated import messages

Body = TypeVar('Body', bound=msgspec.Struct)

LINK_MESSAGES = (
    messages.Hello,
    messages.Records,
    messages.Versions,
    messages.Digest,
    messages.Pull,
    messages.Heartbeat,
    messages.ConfigurationOffer,
    messages.ConfigurationPull,
    messages.ConfigurationDelta,
    messages.StatusQuery,
    messages.StatusReply,
    messages.RouteQuery,
    messages.RouteReply,
    messages.LinkError,
)
_LINK_MESSAGES_BY_NAME = {kind.__name__: kind for kind in LINK_MESSAGES}
# Errors that cbor2 and msgspec raise on malformed input.
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    msgspec.ValidationError,
    LookupError,
    ValueError,
    TypeError,
    RecursionError,
)


def encode_body(message: msgspec.Struct) -> bytes:
    """Return the encoded fields; the receiver must know the type."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_body(encoded: bytes, kind: type[Body]) -> Result[Body, str]:
    """Return a message of the given type, or why it is malformed."""
    try:
        return Ok(msgspec.convert(cbor2.loads(encoded), kind))
    except _DECODE_ERRORS as error:
        return Err(f'malformed {kind.__name__}: {error}')


def encode_link_message(message: msgspec.Struct) -> bytes:
    """Return the encoded fields and type, for a control link."""
    return cbor2.dumps(
        {
            'type': type(message).__name__,
            'fields': msgspec.to_builtins(message, builtin_types=(bytes,)),
        }
    )


def decode_link_message(encoded: bytes) -> Result[msgspec.Struct, str]:
    """Return a message of a control link, or why it is malformed."""
    try:
        frame = cbor2.loads(encoded)
        kind = _LINK_MESSAGES_BY_NAME[frame['type']]
        return Ok(msgspec.convert(frame['fields'], kind))
    except _DECODE_ERRORS as error:
        return Err(f'malformed link message: {error}')
