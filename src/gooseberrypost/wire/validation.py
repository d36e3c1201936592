"""Validates the lengths in an encoded thrift struct before it is decoded.

The decoder of thriftpy2 trusts the lengths in its input: a 12-byte input with
a string length of 100 MB is padded to that size, and a length of 2 GB blocks
the process for seconds.

>>> validate_struct(bytes([11, 0, 1, 0, 0, 0, 2, 104, 105, 0]))
Ok(10)
>>> validate_struct(bytes([11, 0, 1, 127, 0, 0, 0, 104, 105, 0])).is_err()
True
"""

from __future__ import annotations

import struct
from typing import Final

from result import Err, Ok, Result

from gooseberrypost.errors import ProtocolFailure

MAX_DEPTH: Final = 8
MAX_ELEMENTS: Final = 65_536
"""Limit on the elements of all containers of one frame together."""

STOP: Final = 0
STRING: Final = 11
STRUCT: Final = 12
MAP: Final = 13
SET: Final = 14
LIST: Final = 15
FIXED_SIZES: Final = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Sizes in bytes of bool, byte, double, i16, i32 and i64, by type id."""

_INT32: Final = struct.Struct("!i")
_LIST_HEADER: Final = struct.Struct("!bi")
_MAP_HEADER: Final = struct.Struct("!bbi")
_FIELD_HEADER_BYTES: Final = 3


class _StructValidator:
    """Walks through one encoded struct and checks its lengths and nesting."""

    __slots__ = ("data", "elements", "end", "position")

    def __init__(self, data: bytes, start: int) -> None:
        self.data = data
        self.position = start
        self.end = len(data)
        self.elements = 0

    def skip(self, size: int) -> int:
        """Advance by ``size`` bytes and return the offset where they start."""
        start = self.position
        if size < 0 or start + size > self.end:
            raise ProtocolFailure(
                f"{size} bytes at offset {start} exceed the input"
            )
        self.position = start + size
        return start

    def check_struct(self, depth: int) -> None:
        if depth > MAX_DEPTH:
            raise ProtocolFailure(
                f"struct is nested deeper than {MAX_DEPTH} levels"
            )
        data = self.data
        while True:
            type_id = data[self.skip(1)]
            if type_id == STOP:
                return
            self.skip(_FIELD_HEADER_BYTES - 1)
            self.check_value(type_id, depth)

    def check_value(self, type_id: int, depth: int) -> None:
        size = FIXED_SIZES.get(type_id)
        if size is not None:
            self.skip(size)
        elif type_id == STRING:
            (length,) = _INT32.unpack_from(self.data, self.skip(_INT32.size))
            self.skip(length)
        elif type_id == STRUCT:
            self.check_struct(depth + 1)
        elif type_id in (LIST, SET):
            header = self.skip(_LIST_HEADER.size)
            element, count = _LIST_HEADER.unpack_from(self.data, header)
            self.check_elements((element,), count, depth)
        elif type_id == MAP:
            header = self.skip(_MAP_HEADER.size)
            key, item, count = _MAP_HEADER.unpack_from(self.data, header)
            self.check_elements((key, item), count, depth)
        else:
            raise ProtocolFailure(f"unknown thrift type id {type_id}")

    def check_elements(
        self, type_ids: tuple[int, ...], count: int, depth: int
    ) -> None:
        self.elements += count
        if count < 0 or self.elements > MAX_ELEMENTS:
            raise ProtocolFailure(
                f"container length {count} is negative or exceeds the limit"
            )
        if depth >= MAX_DEPTH:
            raise ProtocolFailure(
                f"struct is nested deeper than {MAX_DEPTH} levels"
            )
        sizes = [FIXED_SIZES.get(type_id) for type_id in type_ids]
        if None not in sizes:
            self.skip(count * sum(filter(None, sizes)))
            return
        for _ in range(count):
            for type_id in type_ids:
                self.check_value(type_id, depth + 1)


def validate_struct(
    data: bytes, start: int = 0
) -> Result[int, ProtocolFailure]:
    """Return the offset of the struct's end, or why the struct is invalid."""
    validator = _StructValidator(data, start)
    try:
        validator.check_struct(0)
    except ProtocolFailure as failure:
        return Err(failure)
    return Ok(validator.position)
