"""Refusal of requests that the shutdown of this gateway could cut."""

from __future__ import annotations

from typing import Final

from gooseberrypost.errors import NotRun

SHUTDOWN_RETRY_AFTER_MS: Final = 50
"""``Retry-After`` for clients of a gateway that shuts down.

Another gateway can serve them at once.
"""


class ShuttingDown(NotRun):
    """This gateway may shut down before the request would end."""

    code = "shutting_down"

    def __init__(self, left_s: float) -> None:
        super().__init__(
            f"gateway shuts down in {left_s:.1f} s",
            retry_after_ms=SHUTDOWN_RETRY_AFTER_MS,
        )
