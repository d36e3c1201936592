"""Counts and logs why clients were refused or closed."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.logs import LineLimit

if TYPE_CHECKING:
    from gooseberrypost.metrics import Metrics

LOG_INTERVAL_S: Final = 1.0
"""Interval of log lines of one cause; a crowd would fill the disk."""


class Cause(StrEnum):
    """Why a client was refused or its connection closed."""

    BODY_TOO_LARGE = "body_too_large"
    SLOW_BODY = "slow_body"
    MEMORY = "memory"
    """The memory budget is exhausted."""
    HEAD_TOO_LARGE = "head_too_large"
    SLOW_HEAD = "slow_head"
    CHUNK_OVERHEAD = "chunk_overhead"
    MALFORMED = "malformed"
    CONNECTIONS = "connections"
    """The process or the address has too many connections."""
    UNREAD = "unread"
    """The client did not read its answer in time."""
    DISCARD = "discard"
    """The rest of a refused body was not read to its end."""


class ClientRefusals:
    """Counts refusals by cause; logs one line of each cause at an interval."""

    __slots__ = ("_limits", "_metrics")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._limits = {cause: LineLimit(LOG_INTERVAL_S) for cause in Cause}

    def record(self, cause: Cause, client: str) -> None:
        """Record that a client at an address was refused."""
        self._metrics.count("client_refusals_total", cause=cause.value)
        limit = self._limits[cause]
        if limit.admit():
            logging.info(
                "event=client_refused cause=%s client=%s omitted=%d",
                cause.value,
                client,
                limit.omitted,
            )
