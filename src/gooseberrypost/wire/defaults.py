"""Values for fields that a message lacks."""

from __future__ import annotations

from typing import Any, Final

from thriftpy2.thrift import TType

ZERO_VALUES: Final[dict[int, Any]] = {
    TType.BOOL: False,
    TType.I32: 0,
    TType.I64: 0,
    TType.STRING: "",
    TType.BINARY: b"",
}
"""Values for absent fields, by thrift type."""


def fill_defaults(message: Any) -> None:
    """Set absent scalar fields to the zero value of their type.

    >>> from gooseberrypost.wire.messages import idl
    >>> message = idl.Cancel(key="k")
    >>> fill_defaults(message)
    >>> message.attempt
    0
    """
    for spec in message.thrift_spec.values():
        if getattr(message, spec[1]) is None and spec[0] in ZERO_VALUES:
            setattr(message, spec[1], ZERO_VALUES[spec[0]])
