"""What goes on for a client that has left before its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.errors import CallerGone

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.metrics import Metrics


class Departure:
    """Whether the client of one request has left, and what went on since.

    ``log`` writes an event of the request with its fields.
    """

    __slots__ = ("_left_s", "_log", "_metrics", "_now_s")

    def __init__(
        self,
        log: Callable[..., None],
        metrics: Metrics,
        now_s: Callable[[], float],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._now_s = now_s
        self._left_s: float | None = None
        """Monotonic time at which the client was seen to have left."""

    def record(
        self, *, attempts: int, is_stopped: bool, unread_s: float
    ) -> None:
        """Record that the client has left.

        ``unread_s`` is the time for which its connection was not read.
        """
        self._left_s = self._now_s()
        self._log(
            "client_left",
            attempts=attempts,
            action="stopped" if is_stopped else "finished",
            unread_ms=round(1_000 * unread_s),
        )
        self._metrics.count("clients_left_total")

    def check(self) -> None:
        """Raise ``CallerGone`` if nobody waits for another attempt."""
        if self._left_s is not None:
            raise CallerGone("the client left during an earlier attempt")

    def log_send(self, server: Server, call: str) -> None:
        """Log a call that begins after the client has left."""
        if self._left_s is None:
            return
        self._log(
            "sent_without_client",
            server=server.instance,
            call=call,
            since_left_ms=self._since_left_ms(self._left_s),
        )
        self._metrics.count("sends_without_client_total", call=call)

    def log_end(self) -> None:
        """Log that nothing is under way any more for a client that left."""
        if self._left_s is None:
            return
        since_left_ms = self._since_left_ms(self._left_s)
        self._log("ended_without_client", since_left_ms=since_left_ms)
        self._metrics.observe("client_left_work_ms", since_left_ms)

    def _since_left_ms(self, left_s: float) -> int:
        return round(1_000 * (self._now_s() - left_s))
