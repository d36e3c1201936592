"""Log of a daemon: one key=value line per event on standard error.

The lines go through absl's handler with its prefix of level, time and
place. Libraries that describe their own work at info level are limited to
warnings, so that a daemon's log holds decisions and faults.
"""

from __future__ import annotations

import copy
import logging as standard_logging
import os
import time
from typing import Final

from absl import flags, logging

from gooseberrypost.logs import format_fields

LEVELS: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
DEFAULT_LEVEL: Final = "info"
MAX_LINES_PER_S: Final = 2_000.0
"""Four lines for each of 500 requests a second."""


class LineFormatter(logging.PythonFormatter):
    """Formatter of absl that makes one line of each record."""

    def format(self, record: standard_logging.LogRecord) -> str:
        r"""Format a record; a line break becomes ``\n``."""
        if record.name != logging.get_absl_logger().name:
            record = _as_event(record)
        return super().format(record).replace("\n", "\\n")


class BoundedStream:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, and lines that the reader is too slow to take, are
    dropped and counted; the count is written with the next line.
    """

    __slots__ = ("_allowance", "_descriptor", "_dropped", "_filled_s", "_rate")

    def __init__(
        self, descriptor: int, lines_per_s: float = MAX_LINES_PER_S
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._allowance = lines_per_s
        self._filled_s = time.monotonic()
        self._dropped = 0

    def write(self, text: str) -> int:
        """Write a line or drop it."""
        now_s = time.monotonic()
        self._allowance = min(
            self._rate,
            self._allowance + (now_s - self._filled_s) * self._rate,
        )
        self._filled_s = now_s
        if self._allowance < 1:
            self._dropped += 1
            return len(text)
        self._allowance -= 1
        if self._dropped:
            text = f"event=log_dropped lines={self._dropped}\n{text}"
        try:
            os.write(self._descriptor, text.encode("utf-8", "replace"))
            self._dropped = 0
        except OSError:
            # A log that cannot be written has nowhere to say so but in the
            # count of the next line.
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""

    def close(self) -> None:
        """Leave the descriptor open, as it is the process's own."""


def set_up(level: str = DEFAULT_LEVEL, descriptor: int | None = None) -> None:
    """Log from ``level``, a key of ``LEVELS``, on.

    The lines go to standard error, or to a descriptor that is never waited
    for.
    """
    # Flags that were never parsed make absl print a warning; the daemons
    # take their options from click.
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.get_absl_handler().setFormatter(LineFormatter())
    if descriptor is not None:
        handler = logging.get_absl_handler().python_handler
        handler.stream = BoundedStream(descriptor)
    least = standard_logging.getLevelNamesMapping()[level.upper()]
    logging.get_absl_logger().setLevel(least)
    # Services of mode log under the names of this package's modules, so the
    # limit on libraries is that of the root logger.
    standard_logging.getLogger().setLevel(max(least, standard_logging.WARNING))


def _as_event(
    record: standard_logging.LogRecord,
) -> standard_logging.LogRecord:
    """Give a library's record the form of the daemon's own lines."""
    event = copy.copy(record)
    fields = [("logger", record.name), ("message", record.getMessage())]
    event.msg = format_fields([("event", "library"), *fields])
    event.args = ()
    return event
