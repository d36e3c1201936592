"""CPU time and memory of a process, from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final, NamedTuple, Self

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
UTIME_FIELD: Final = 11
"""Position of the user time after the command name in ``stat``."""


class Usage(NamedTuple):
    """CPU seconds used so far and memory held now."""

    cpu_s: float
    private_kb: int
    """Anonymous resident memory; file mappings are shared by processes."""

    @classmethod
    def of(cls, pid: int) -> Self:
        """Read the counters of a running process."""
        stat = Path(f"/proc/{pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
        status = Path(f"/proc/{pid}/status").read_text()
        lines = dict(
            line.split(":", 1) for line in status.splitlines() if ":" in line
        )
        return cls(ticks / TICKS_PER_S, int(lines["RssAnon"].split()[0]))
