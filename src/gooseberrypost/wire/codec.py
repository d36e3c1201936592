"""Frame codec: length, version, type, correlation id, then a thrift struct.

>>> from gooseberrypost.wire.messages import idl
>>> data = encode(Frame(7, idl.Heartbeat(incarnation=5)))
>>> decode(data[LENGTH_BYTES:]).unwrap().message.incarnation
5
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok, Result
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TCyMemoryBuffer

from gooseberrypost.errors import ProtocolFailure
from gooseberrypost.wire.messages import TYPE_NUMBERS, TYPES_BY_NUMBER
from gooseberrypost.wire.validation import validate_struct

if TYPE_CHECKING:
    import asyncio

VERSION: Final = 1
LENGTH_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_CORRELATION: Final = 2**32 - 1

_HEADER: Final = struct.Struct("!BBI")
_LENGTH: Final = struct.Struct("!I")


class Frame(NamedTuple):
    """A message and its correlation id, which assigns replies to a request.

    The id is 0 in a message that expects no reply; in a load notice between
    gateways it is the sequence number.
    """

    correlation: int
    message: Any


def encode(frame: Frame) -> bytes:
    """Serialise a frame, including its length prefix.

    Raises ``ProtocolFailure`` if the frame exceeds ``MAX_FRAME_BYTES``.
    """
    buffer = TCyMemoryBuffer()
    TCyBinaryProtocol(buffer).write_struct(frame.message)
    body = buffer.getvalue()
    length = _HEADER.size + len(body)
    if length > MAX_FRAME_BYTES:
        raise ProtocolFailure(
            f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}"
        )
    number = TYPE_NUMBERS[type(frame.message)]
    header = _HEADER.pack(VERSION, number, frame.correlation)
    return _LENGTH.pack(length) + header + body


def peek_correlation(data: bytes) -> int:
    """Return the correlation id of an encoded frame without decoding it.

    Returns 0 if the frame is too short; ``decode`` reports the error.
    """
    if len(data) < LENGTH_BYTES + _HEADER.size:
        return 0
    _, _, number = _HEADER.unpack_from(data, LENGTH_BYTES)
    return int(number)


def decode(data: bytes) -> Result[Frame, ProtocolFailure]:
    """Parse a frame without its length prefix."""
    if len(data) < _HEADER.size:
        return Err(ProtocolFailure(f"frame of {len(data)} bytes is too short"))
    version, number, correlation = _HEADER.unpack_from(data)
    if version != VERSION:
        return Err(
            ProtocolFailure(f"protocol version {version} is not {VERSION}")
        )
    message_type = TYPES_BY_NUMBER.get(number)
    if message_type is None:
        return Err(ProtocolFailure(f"message type {number} is unknown"))
    checked = validate_struct(data, _HEADER.size)
    if isinstance(checked, Err):
        return checked
    if checked.ok_value != len(data):
        return Err(ProtocolFailure("trailing bytes after the struct"))
    message = message_type()
    # The lengths are valid, but if a field has a different type than declared,
    # thriftpy2 raises exceptions of various types.
    try:
        buffer = TCyMemoryBuffer(data[_HEADER.size :])
        TCyBinaryProtocol(buffer).read_struct(message)
    except Exception as exc:
        return Err(
            ProtocolFailure(f"invalid {message_type.__name__}: {exc!r}")
        )
    name = _find_undecoded_text(message)
    if name:
        return Err(
            ProtocolFailure(f"{message_type.__name__}.{name} is not UTF-8")
        )
    return Ok(Frame(correlation, message))


def _find_undecoded_text(message: Any) -> str:
    """Return the name of a text field that is not valid UTF-8; empty if none.

    thriftpy2 leaves such a field as bytes.
    """
    for kind, name, *rest in message.thrift_spec.values():
        value = getattr(message, name)
        if kind == TType.LIST and value:
            element = rest[0][0] if isinstance(rest[0], tuple) else rest[0]
            if element == TType.STRUCT:
                if any(_find_undecoded_text(item) for item in value):
                    return name
            elif element == TType.STRING and any(
                isinstance(item, bytes) for item in value
            ):
                return name
        elif kind == TType.STRUCT and value is not None:
            if _find_undecoded_text(value):
                return name
        elif kind == TType.STRING and isinstance(value, bytes):
            return name
    return ""


async def read_frame(
    reader: asyncio.StreamReader,
) -> Result[Frame, ProtocolFailure]:
    """Read a frame.

    Raises ``asyncio.IncompleteReadError`` at the end of the stream.
    """
    match await read_length(reader):
        case Ok(length):
            return decode(await reader.readexactly(length))
        case Err() as failed:
            return failed


async def read_length(
    reader: asyncio.StreamReader,
) -> Result[int, ProtocolFailure]:
    """Read the length of a frame; its bytes follow."""
    (length,) = _LENGTH.unpack(await reader.readexactly(LENGTH_BYTES))
    if not _HEADER.size <= length <= MAX_FRAME_BYTES:
        return Err(ProtocolFailure(f"frame length {length} is out of range"))
    return Ok(length)
