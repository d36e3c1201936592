"""Log of a daemon: one key=value line per event on standard error.

The lines go through absl's handler with its prefix of level, time and
place. Libraries that describe their own work at info level are limited to
warnings, so that a daemon's log holds decisions and faults.
"""

from __future__ import annotations

import copy
import logging as standard_logging
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


class LineFormatter(logging.PythonFormatter):
    """Formatter of absl that makes one line of each record."""

    def format(self, record: standard_logging.LogRecord) -> str:
        r"""Format a record; a line break becomes ``\n``."""
        if record.name != logging.get_absl_logger().name:
            record = _as_event(record)
        return super().format(record).replace("\n", "\\n")


def set_up(level: str = DEFAULT_LEVEL) -> None:
    """Log to standard error from ``level``, a key of ``LEVELS``, on."""
    # Flags that were never parsed make absl print a warning; the daemons
    # take their options from click.
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.get_absl_handler().setFormatter(LineFormatter())
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
