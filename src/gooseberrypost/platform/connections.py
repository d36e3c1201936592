"""Connections to backend servers and to the store."""

from __future__ import annotations

import socket
from typing import Any, Final


def new_tcp_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a TCP socket that detects an unresponsive peer."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


KEEPALIVE_OPTIONS: Final = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)
"""Keepalive times in s, a probe count, and the user timeout in ms.

An unresponsive peer is detected within 3 s.
"""
