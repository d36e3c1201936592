"""Checks a struct's lengths against the bytes at hand before it is decoded.

The decoder of the library trusts the lengths in its input: a string of 12
bytes that claims 100 MB is padded to that size, and one of 2 GB stops the
process for seconds.

>>> check_struct(bytes([11, 0, 1, 0, 0, 0, 2, 104, 105, 0]))
Ok(10)
>>> check_struct(bytes([11, 0, 1, 127, 0, 0, 0, 104, 105, 0])).is_err()
True
"""

from __future__ import annotations

import struct
from typing import Final

from result import Err, Ok, Result

from gooseberrypost.errors import ProtocolFailure

MAX_DEPTH: Final = 8
MAX_ELEMENTS: Final = 65_536
"""Elements of all containers of one frame together."""

STOP: Final = 0
STRING: Final = 11
STRUCT: Final = 12
MAP: Final = 13
SET: Final = 14
LIST: Final = 15
FIXED_BYTES: Final = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Sizes of bool, byte, double, i16, i32 and i64 by type number."""

_INT32: Final = struct.Struct("!i")
_LIST_HEADER: Final = struct.Struct("!bi")
_MAP_HEADER: Final = struct.Struct("!bbi")
_FIELD_HEADER_BYTES: Final = 3


class _Walk:
    """Position in the bytes of one struct."""

    __slots__ = ("data", "elements", "end", "position")

    def __init__(self, data: bytes, start: int) -> None:
        self.data = data
        self.position = start
        self.end = len(data)
        self.elements = 0

    def skip(self, size: int) -> int:
        """Step over ``size`` bytes and return where they start."""
        start = self.position
        if size < 0 or start + size > self.end:
            raise ProtocolFailure(f"{size} bytes at offset {start} exceed it")
        self.position = start + size
        return start

    def struct(self, depth: int) -> None:
        if depth > MAX_DEPTH:
            raise ProtocolFailure(f"nested deeper than {MAX_DEPTH}")
        data = self.data
        while True:
            kind = data[self.skip(1)]
            if kind == STOP:
                return
            self.skip(_FIELD_HEADER_BYTES - 1)
            self.value(kind, depth)

    def value(self, kind: int, depth: int) -> None:
        size = FIXED_BYTES.get(kind)
        if size is not None:
            self.skip(size)
        elif kind == STRING:
            (length,) = _INT32.unpack_from(self.data, self.skip(_INT32.size))
            self.skip(length)
        elif kind == STRUCT:
            self.struct(depth + 1)
        elif kind in (LIST, SET):
            header = self.skip(_LIST_HEADER.size)
            element, count = _LIST_HEADER.unpack_from(self.data, header)
            self.repeat((element,), count, depth)
        elif kind == MAP:
            header = self.skip(_MAP_HEADER.size)
            key, item, count = _MAP_HEADER.unpack_from(self.data, header)
            self.repeat((key, item), count, depth)
        else:
            raise ProtocolFailure(f"value type {kind} is unknown")

    def repeat(self, kinds: tuple[int, ...], count: int, depth: int) -> None:
        self.elements += count
        if count < 0 or self.elements > MAX_ELEMENTS:
            raise ProtocolFailure(f"a container of {count} elements")
        if depth >= MAX_DEPTH:
            raise ProtocolFailure(f"nested deeper than {MAX_DEPTH}")
        sizes = [FIXED_BYTES.get(kind) for kind in kinds]
        if None not in sizes:
            self.skip(count * sum(filter(None, sizes)))
            return
        for _ in range(count):
            for kind in kinds:
                self.value(kind, depth + 1)


def check_struct(data: bytes, start: int = 0) -> Result[int, ProtocolFailure]:
    """Return the offset of the struct's end, or what is wrong with it."""
    walk = _Walk(data, start)
    try:
        walk.struct(0)
    except ProtocolFailure as failure:
        return Err(failure)
    return Ok(walk.position)
