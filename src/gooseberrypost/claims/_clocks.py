"""Monotonic and wall clocks in milliseconds."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Time of the monotonic clock, which never jumps."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Time of the wall clock; processes agree on it within seconds."""
    return time.time_ns() // 1_000_000
