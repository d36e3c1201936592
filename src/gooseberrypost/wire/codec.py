"""Frames: length, version, type and correlation number before a thrift struct.

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
from gooseberrypost.wire.bounds import check_struct
from gooseberrypost.wire.messages import TYPE_NUMBERS, TYPES_BY_NUMBER

if TYPE_CHECKING:
    import asyncio

VERSION: Final = 1
LENGTH_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_CORRELATION: Final = 2**32 - 1

_HEADER: Final = struct.Struct("!BBI")
_LENGTH: Final = struct.Struct("!I")


class Frame(NamedTuple):
    """A message and the number that ties replies to their request."""

    correlation: int
    message: Any


def encode(frame: Frame) -> bytes:
    """Serialise a frame, length included.

    Raises ``ProtocolFailure`` when the frame exceeds ``MAX_FRAME_BYTES``.
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


def correlation(data: bytes) -> int:
    """Return the correlation number of an encoded frame without decoding it.

    It is 0 where there is none; ``decode`` says what is wrong.
    """
    if len(data) < LENGTH_BYTES + _HEADER.size:
        return 0
    _, _, number = _HEADER.unpack_from(data, LENGTH_BYTES)
    return int(number)


def decode(data: bytes) -> Result[Frame, ProtocolFailure]:
    """Parse what follows the length; malformed: ``ProtocolFailure``."""
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
    checked = check_struct(data, _HEADER.size)
    if isinstance(checked, Err):
        return checked
    if checked.ok_value != len(data):
        return Err(ProtocolFailure("bytes follow the struct"))
    message = message_type()
    # Lengths are sound, but a field may have another type than declared, for
    # which the library raises various exceptions.
    try:
        buffer = TCyMemoryBuffer(data[_HEADER.size :])
        TCyBinaryProtocol(buffer).read_struct(message)
    except Exception as exc:
        return Err(
            ProtocolFailure(f"invalid {message_type.__name__}: {exc!r}")
        )
    name = _undecoded_text(message)
    if name:
        return Err(
            ProtocolFailure(f"{message_type.__name__}.{name} is not UTF-8")
        )
    return Ok(Frame(correlation, message))


def _undecoded_text(message: Any) -> str:
    """Name of a text field that the library left as bytes; empty if none."""
    for kind, name, *rest in message.thrift_spec.values():
        value = getattr(message, name)
        if kind == TType.LIST and value:
            element = rest[0][0] if isinstance(rest[0], tuple) else rest[0]
            if element == TType.STRUCT:
                if any(_undecoded_text(item) for item in value):
                    return name
            elif element == TType.STRING and any(
                isinstance(item, bytes) for item in value
            ):
                return name
        elif kind == TType.STRING and isinstance(value, bytes):
            return name
    return ""


async def read_frame(
    reader: asyncio.StreamReader,
) -> Result[Frame, ProtocolFailure]:
    """Read a frame; ``asyncio.IncompleteReadError`` at end of stream."""
    (length,) = _LENGTH.unpack(await reader.readexactly(LENGTH_BYTES))
    if not _HEADER.size <= length <= MAX_FRAME_BYTES:
        return Err(ProtocolFailure(f"frame length {length} is out of range"))
    return decode(await reader.readexactly(length))
