"""Structured logging of a daemon: one line of key=value pairs per event.

Lines go to standard error or another descriptor through absl's handler, which
prefixes level, time and source location. Libraries that report their own work
at info level are limited to warnings, so that the log holds only the daemon's
decisions and faults.
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
"""Four lines per request at 500 requests per second."""


class LineFormatter(logging.PythonFormatter):
    """Extends absl's formatter to write each record on a single line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        r"""Format a record; line breaks are escaped as ``\n``."""
        if record.name != logging.get_absl_logger().name:
            record = _to_library_event(record)
        return super().format(record).replace("\n", "\\n")


class NonBlockingStream:
    """Writes lines to a non-blocking descriptor under a rate limit.

    A token bucket that holds one second's worth of lines limits the rate.
    Lines that exceed it, or that the descriptor does not accept because its
    reader is slow, are dropped and counted; the count is written before the
    next line.
    """

    __slots__ = (
        "_descriptor",
        "_dropped",
        "_lines_per_s",
        "_refilled_s",
        "_tokens",
    )

    def __init__(
        self, descriptor: int, lines_per_s: float = MAX_LINES_PER_S
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._refilled_s = time.monotonic()
        self._dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or drop it and count the loss."""
        now_s = time.monotonic()
        self._tokens = min(
            self._lines_per_s,
            self._tokens + (now_s - self._refilled_s) * self._lines_per_s,
        )
        self._refilled_s = now_s
        if self._tokens < 1:
            self._dropped += 1
            return len(text)
        self._tokens -= 1
        if self._dropped:
            text = f"event=log_dropped lines={self._dropped}\n{text}"
        try:
            os.write(self._descriptor, text.encode("utf-8", "replace"))
            self._dropped = 0
        except OSError:
            # A failed log write cannot be logged, so the line only counts as
            # dropped.
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; writes are not buffered."""

    def close(self) -> None:
        """Leave the descriptor open; it belongs to the process."""


def set_up(level: str = DEFAULT_LEVEL, descriptor: int | None = None) -> None:
    """Configure logging with ``level``, a key of ``LEVELS``, as minimum.

    Lines go to ``descriptor``, which is switched to non-blocking mode, or to
    standard error if it is ``None``.
    """
    # absl prints a warning if its flags were never parsed, but the daemons
    # parse their options with click.
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.get_absl_handler().setFormatter(LineFormatter())
    if descriptor is not None:
        handler = logging.get_absl_handler().python_handler
        handler.stream = NonBlockingStream(descriptor)
    threshold = standard_logging.getLevelNamesMapping()[level.upper()]
    logging.get_absl_logger().setLevel(threshold)
    # Services of the mode library log under the names of this package's
    # modules, so the limit on libraries is set on the root logger instead of
    # by logger name.
    standard_logging.getLogger().setLevel(
        max(threshold, standard_logging.WARNING)
    )


def _to_library_event(
    record: standard_logging.LogRecord,
) -> standard_logging.LogRecord:
    """Rewrite a library's record as an ``event=library`` line."""
    event = copy.copy(record)
    fields = [("logger", record.name), ("message", record.getMessage())]
    event.msg = format_fields([("event", "library"), *fields])
    event.args = ()
    return event
