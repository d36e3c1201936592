"""Samples of wire messages, and a reader that knows one version's fields.

The reader does not use the project's codec or IDL: it stands for a process
of the recorded version, which skips the fields that it does not know.
"""

from __future__ import annotations

import struct
from typing import Any
from zlib import crc32

from thriftpy2.thrift import TType

from gooseberrypost.wire import codec
from gooseberrypost.wire.messages import TYPE_NUMBERS, idl

NAMES = {
    TType.BOOL: "bool",
    TType.DOUBLE: "double",
    TType.I32: "i32",
    TType.I64: "i64",
    TType.STRING: "string",
    TType.BINARY: "binary",
}
WIRE_TYPES = {
    "bool": TType.BOOL,
    "double": TType.DOUBLE,
    "i32": TType.I32,
    "i64": TType.I64,
    "string": TType.STRING,
    "binary": TType.STRING,
    "list": TType.LIST,
}
FIXED = {
    TType.BOOL: struct.Struct("!?"),
    TType.BYTE: struct.Struct("!b"),
    TType.DOUBLE: struct.Struct("!d"),
    TType.I16: struct.Struct("!h"),
    TType.I32: struct.Struct("!i"),
    TType.I64: struct.Struct("!q"),
}
INT32 = FIXED[TType.I32]
HEADER_BYTES = 10
"""Bytes of length, version, message type and correlation id."""


def describe_type(kind: int, rest: Any) -> str:
    """Return a type as in the IDL; enums are i32."""
    if kind == TType.STRUCT:
        return rest.__name__
    if kind == TType.LIST:
        element, inner = rest if isinstance(rest, tuple) else (rest, None)
        return f"list<{describe_type(element, inner)}>"
    return NAMES[kind]


def field_specs(cls: type) -> dict[int, tuple[str, int, Any]]:
    """Return name, thrift type and inner type of each field by number."""
    return {
        number: (spec[1], spec[0], spec[2] if len(spec) > 3 else None)
        for number, spec in cls.thrift_spec.items()
    }


def current_schema() -> dict[str, Any]:
    """Return the fields of all structs, the enums and message numbers."""
    meta = idl.__thrift_meta__
    return {
        "version": codec.VERSION,
        "messages": {cls.__name__: n for cls, n in TYPE_NUMBERS.items()},
        "enums": {
            enum.__name__: dict(enum._NAMES_TO_VALUES)
            for enum in meta["enums"]
        },
        "structs": {
            cls.__name__: {
                str(number): [name, describe_type(kind, inner)]
                for number, (name, kind, inner) in field_specs(cls).items()
            }
            for cls in meta["structs"]
        },
    }


def filled(cls: type) -> Any:
    """Return a struct with a value of its own in each field.

    The values follow from the names, so that they are the same in each
    version.
    """
    message = cls()
    for name, kind, inner in field_specs(cls).values():
        value = _filled_value(f"{cls.__name__}.{name}", kind, inner)
        setattr(message, name, value)
    return message


def _filled_value(path: str, kind: int, inner: Any) -> Any:
    number = 1 + crc32(path.encode()) % 1_000_000
    if kind == TType.STRUCT:
        return filled(inner)
    if kind == TType.LIST:
        element, rest = inner if isinstance(inner, tuple) else (inner, None)
        return [
            _filled_value(f"{path}[{index}]", element, rest)
            for index in range(2)
        ]
    if inner is not None:
        return min(inner._VALUES_TO_NAMES)
    return {
        TType.BOOL: True,
        TType.DOUBLE: number + 0.25,
        TType.I32: number,
        TType.I64: number << 32,
        TType.STRING: f"{path} é",
        TType.BINARY: f"{path} ".encode() + b"\xff",
    }[kind]


def fields_of(message: Any) -> dict[str, Any]:
    """Return the fields of a struct in the form of a sample."""
    return {
        name: _plain(getattr(message, name))
        for name, _, _ in field_specs(type(message)).values()
    }


def _plain(value: Any) -> Any:
    if isinstance(value, list):
        return [_plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    return fields_of(value) if hasattr(value, "thrift_spec") else value


class OldReader:
    """Decodes frames by a recorded schema and skips all other fields."""

    def __init__(self, schema: dict[str, Any]) -> None:
        self._schema = schema
        self._names = {n: name for name, n in schema["messages"].items()}

    def read(self, frame: bytes) -> tuple[str, dict[str, Any]]:
        """Return the name of the message and its fields."""
        length, version, number, _ = struct.unpack_from("!IBBI", frame)
        assert length == len(frame) - codec.LENGTH_BYTES
        assert version == self._schema["version"]
        name = self._names[number]
        fields, end = self._struct(frame, HEADER_BYTES, name)
        assert end == len(frame)
        return name, fields

    def _struct(self, data: bytes, at: int, name: str) -> tuple[Any, int]:
        known = self._schema["structs"][name]
        found = {field: None for field, _ in known.values()}
        while data[at] != TType.STOP:
            kind, number = struct.unpack_from("!bh", data, at)
            at += 3
            field, declared = known.get(str(number), ("", ""))
            if field and self._wire_type(declared) == kind:
                found[field], at = self._value(data, at, declared)
            else:
                at = self._skip(data, at, kind)
        return found, at + 1

    def _wire_type(self, declared: str) -> int:
        return WIRE_TYPES.get(declared.partition("<")[0], TType.STRUCT)

    def _value(self, data: bytes, at: int, declared: str) -> tuple[Any, int]:
        kind = self._wire_type(declared)
        if kind == TType.STRUCT:
            return self._struct(data, at, declared)
        if kind == TType.LIST:
            return self._list(data, at, declared)
        if kind == TType.STRING:
            end = at + INT32.size + INT32.unpack_from(data, at)[0]
            raw = data[at + INT32.size : end]
            return (raw.hex() if declared == "binary" else raw.decode()), end
        return FIXED[kind].unpack_from(data, at)[0], at + FIXED[kind].size

    def _list(self, data: bytes, at: int, declared: str) -> tuple[Any, int]:
        element = declared.removeprefix("list<").removesuffix(">")
        kind, count = struct.unpack_from("!bi", data, at)
        assert kind == self._wire_type(element)
        at += 5
        items = []
        for _ in range(count):
            item, at = self._value(data, at, element)
            items.append(item)
        return items, at

    def _skip(self, data: bytes, at: int, kind: int) -> int:
        if kind in FIXED:
            return at + FIXED[kind].size
        if kind == TType.STRING:
            return at + INT32.size + INT32.unpack_from(data, at)[0]
        if kind == TType.STRUCT:
            while data[at] != TType.STOP:
                at = self._skip(data, at + 3, data[at])
            return at + 1
        assert kind == TType.LIST
        element, count = struct.unpack_from("!bi", data, at)
        at += 5
        for _ in range(count):
            at = self._skip(data, at, element)
        return at


def encode_filled(cls: type) -> bytes:
    """Return the frame of a filled message."""
    return codec.encode(codec.Frame(7, filled(cls)))


def record_messages() -> dict[str, Any]:
    """Return the frame and the fields of each message type."""
    return {
        cls.__name__: {
            "hex": encode_filled(cls).hex(),
            "fields": fields_of(filled(cls)),
        }
        for cls in TYPE_NUMBERS
    }
