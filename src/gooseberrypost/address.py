"""Addresses of an IP host and a port: ``127.0.0.1:80`` or ``[::1]:80``.

>>> parse_address("[::1]:80").unwrap()
Address(host='::1', port=80)
>>> str(Address("::1", 80))
'[::1]:80'
"""

from __future__ import annotations

import ipaddress
import re
from typing import Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import Failure

MAX_PORT: Final = 65_535

_PATTERN: Final = re.compile(
    r"(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})"
)


class InvalidAddress(Failure):
    """The text is not an IP address followed by a port."""

    code = "invalid_address"
    http_status = 400


class Address(NamedTuple):
    """An IP address, stored without brackets, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Result[Address, InvalidAddress]:
    """Parse an IPv4 or bracketed IPv6 address with a port."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        return Err(InvalidAddress(f"{text!r} is not an IP:PORT address"))
    host = match[1] or match[2]
    try:
        number = ipaddress.ip_address(host)
    except ValueError as exc:
        return Err(InvalidAddress(str(exc)))
    if (number.version == 6) != (match[1] is not None):
        return Err(InvalidAddress(f"{text!r}: only IPv6 takes brackets"))
    if int(match[3]) > MAX_PORT:
        return Err(InvalidAddress(f"port {match[3]} exceeds {MAX_PORT}"))
    return Ok(Address(host, int(match[3])))


def is_usable(text: str) -> bool:
    """Whether the text is an address that a connection can be opened to.

    >>> is_usable("127.0.0.1:80"), is_usable("127.0.0.1:0")
    (True, False)
    """
    parsed = parse_address(text)
    return parsed.is_ok() and parsed.unwrap().port > 0


def split_address(text: str) -> tuple[str, int]:
    """Split an address into the host and port that a socket call takes.

    Brackets around the host are removed. Raises ``ValueError`` if the port
    is not a number.
    """
    host, _, port = text.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
