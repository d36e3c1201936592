"""Clocks of the process, in milliseconds."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Read the monotonic clock, which never jumps."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Read the wall clock, which other processes share within seconds."""
    return time.time_ns() // 1_000_000
