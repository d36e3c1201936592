"""CPU time and memory of a process, from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final, NamedTuple, Self

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
UTIME_INDEX: Final = 11
"""Index of the user time among the fields of ``stat`` after the command."""


class Usage(NamedTuple):
    """CPU time since the start of a process, and its current memory."""

    cpu_s: float
    private_kb: int
    """Anonymous resident set size in kB.

    File mappings are left out because processes share them.
    """

    @classmethod
    def of(cls, pid: int) -> Self:
        """Read the usage of a running process."""
        stat = Path(f"/proc/{pid}/stat").read_text()
        stat_fields = stat.rpartition(")")[2].split()
        ticks = int(stat_fields[UTIME_INDEX]) + int(
            stat_fields[UTIME_INDEX + 1]
        )
        status = Path(f"/proc/{pid}/status").read_text()
        status_fields = dict(
            line.split(":", 1) for line in status.splitlines() if ":" in line
        )
        return cls(
            ticks / TICKS_PER_S, int(status_fields["RssAnon"].split()[0])
        )
