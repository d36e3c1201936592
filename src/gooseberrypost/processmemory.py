"""Memory and descriptors of the own process."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import Final

STATM: Final = Path("/proc/self/statm")
BYTES_PER_MB: Final = 1_000_000
RESIDENT_FIELD: Final = 1
"""Index of the resident pages in ``statm``."""


def resident_bytes() -> int:
    """Return the resident memory; 0 where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


def descriptor_limit() -> int:
    """Return the number of descriptors that the process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
