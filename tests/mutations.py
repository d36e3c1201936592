"""Mutations of recorded samples: bytes, and values of JSON documents."""

from __future__ import annotations

import json
import math
import random
from typing import Any

from thriftpy2.thrift import TType

from tests.wire_samples import field_specs

ODD_BYTES = (b"\x00", b"\xff", b"\x7f\xff\xff\xff", b"\x80\x00\x00\x00")
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0.5,
    2**63,
    10**400,
    float("inf"),
    "",
    "\ud800",
    "a\r\nb",
    "x" * 5_000,
    [],
    {},
    [[]],
    [None],
    {"a": []},
)


def mutate_bytes(rng: random.Random, data: bytes) -> bytes:
    """Return bytes with one to three changes."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(changed) + 1)
        end = min(len(changed), at + rng.randint(1, 12))
        match rng.randrange(6):
            case 0:
                changed[at:end] = rng.randbytes(end - at)
            case 1:
                del changed[at:end]
            case 2:
                changed[at:at] = rng.randbytes(rng.randint(1, 12))
            case 3:
                changed[at:at] = changed[at:end]
            case 4:
                odd = rng.choice(ODD_BYTES)
                changed[at : at + len(odd)] = odd
            case 5 if rng.random() < 0.3:
                del changed[at:]
    return bytes(changed)


def mutate_json(rng: random.Random, document: Any) -> Any:
    """Return a document with one value replaced, removed or repeated."""
    if isinstance(document, dict) and document and rng.random() < 0.9:
        key = rng.choice(list(document))
        changed = dict(document)
        if rng.random() < 0.1:
            del changed[key]
        else:
            changed[key] = mutate_json(rng, document[key])
        return changed
    if isinstance(document, list) and document and rng.random() < 0.9:
        at = rng.randrange(len(document))
        changed = list(document)
        match rng.randrange(8):
            case 0:
                del changed[at]
            case 1:
                changed.append(document[at])
            case _:
                changed[at] = mutate_json(rng, document[at])
        return changed
    if isinstance(document, str) and document.startswith(("{", "[")):
        return mutate_text(rng, document)
    return rng.choice(ODD_VALUES)


def mutate_text(rng: random.Random, text: str) -> str:
    """Return a text, of JSON lines or of any other form, with changes."""
    if rng.random() < 0.4:
        changed = mutate_bytes(rng, text.encode("utf-8", "surrogatepass"))
        return changed.decode("utf-8", "replace")
    lines = text.split("\n")
    at = rng.randrange(len(lines))
    try:
        document = json.loads(lines[at])
    except ValueError:
        lines[at] = str(rng.choice(ODD_VALUES))
    else:
        lines[at] = json.dumps(mutate_json(rng, document))
    return "\n".join(lines)


ODD_FIELDS: dict[int, tuple[Any, ...]] = {
    TType.BOOL: (True, False),
    TType.I32: (0, 1, -1, 3, 2**31 - 1, -(2**31)),
    TType.I64: (0, 1, -1, 2**63 - 1, -(2**63)),
    TType.DOUBLE: (0.0, -1.0, 1e308, math.inf, math.nan),
    TType.STRING: ("", "k1", "llm", "m", "/", "\0", "a/b", "é" * 300),
    TType.BINARY: (b"", b"d", b"\xff" * 32),
}


def odd_message(rng: random.Random, cls: type, absent: float = 0.15) -> Any:
    """Return a message with absent and extreme values."""
    message = cls()
    for name, kind, inner in field_specs(cls).values():
        if rng.random() >= absent:
            setattr(message, name, _odd_value(rng, kind, inner, absent))
    return message


def _odd_value(
    rng: random.Random, kind: int, inner: Any, absent: float
) -> Any:
    if kind == TType.STRUCT:
        return odd_message(rng, inner, absent)
    if kind == TType.LIST:
        element, rest = inner if isinstance(inner, tuple) else (inner, None)
        return [
            _odd_value(rng, element, rest, absent)
            for _ in range(rng.randrange(4))
        ]
    return rng.choice(ODD_FIELDS[kind])
