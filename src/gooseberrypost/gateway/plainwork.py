"""Expected work of one plain request, in the log, the metrics and notices."""

from __future__ import annotations

from contextlib import contextmanager
from functools import cached_property
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.transport import AnswerLost, ServerRefused

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from gooseberrypost.gateway.exchange import Exchange
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.policy.serverwork import SentRequest
    from gooseberrypost.policy.workrouting import ExpectedCost

PERCENT: Final = 100
MAX_WORK_SERVERS: Final = 64
"""Servers that the gauge of work left names; the rest are not shown."""


class PlainWork:
    """Reports the work of a request; does nothing if that is switched off."""

    __slots__ = ("__dict__", "_exchange")

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    @cached_property
    def _expected(self) -> ExpectedCost | None:
        """Expected work as it was at the first choice."""
        exchange = self._exchange
        work, req, route = exchange.ctx.work, exchange.req, exchange.route
        if work is None:
            return None
        path = req.path.removeprefix(route.prefix)
        return work.expect(
            exchange.service, route.name, req.method, path, len(req.body)
        )

    def expect(self, servers: Sequence[Server]) -> ExpectedCost | None:
        """Return the expected work, None if it does not decide."""
        work, expected = self._exchange.ctx.work, self._expected
        if work is None or expected is None:
            return None
        return work.expect_reported(expected, servers)

    @contextmanager
    def counted(self, server: Server) -> Iterator[SentRequest | None]:
        """Count the request at a server, and a refusal or a lost answer."""
        exchange = self._exchange
        ctx, expected = exchange.ctx, self._expected
        if ctx.work is None or expected is None:
            yield None
            return
        if server.zone != ctx.settings.zone:
            ctx.metrics.count("out_of_zone_total", service=exchange.service)
        sent = ctx.work.start(server, expected, ctx.now_s())
        try:
            yield sent
        except (ServerRefused, AnswerLost):
            self.record_error(server)
            raise
        finally:
            ctx.work.work.end(sent)
            self._show_work(server)

    def record_answer(self, sent: SentRequest | None, took_ms: float) -> None:
        """Record the time of an answer, and how well it was expected."""
        ctx = self._exchange.ctx
        if ctx.work is None or sent is None:
            return
        service = self._exchange.service
        ratio = ctx.work.record_answer(service, sent, took_ms, ctx.now_s())
        if ratio is not None:
            ctx.metrics.observe(
                "cost_error_ratio_percent", PERCENT * ratio, service=service
            )

    def record_error(self, server: Server) -> None:
        """Record that a server refused the request or answered an error."""
        ctx = self._exchange.ctx
        if ctx.work is not None:
            ctx.work.failures.record(
                server.identity, has_failed=True, now_s=ctx.now_s()
            )

    def log_fields(
        self, server: Server, next_best: Server | None
    ) -> dict[str, object]:
        """Return the fields of the log line that explain a choice."""
        expected = self._expected
        if expected is None:
            return {}
        fields: dict[str, object] = {"work_ms": round(expected.ms)}
        fields |= self._server_fields("", server)
        if next_best is not None:
            fields["next_best"] = next_best.instance
            fields |= self._server_fields("next_", next_best)
        return fields

    def _server_fields(self, prefix: str, server: Server) -> dict[str, object]:
        pace, left_ms = self._pace_and_work(server)
        return {
            f"{prefix}pace": round(pace, 2),
            f"{prefix}server_work_ms": round(left_ms),
        }

    def _pace_and_work(self, server: Server) -> tuple[float, float]:
        ctx, expected = self._exchange.ctx, self._expected
        assert ctx.work is not None
        assert expected is not None
        now_s = ctx.now_s()
        pace = ctx.work.paces.of(server.identity, now_s)
        return pace, ctx.work.work.left_ms(
            server, expected.usual_ms, pace, now_s
        )

    def _show_work(self, server: Server) -> None:
        """Set the gauge of a server's work left."""
        ctx = self._exchange.ctx
        assert ctx.work is not None
        shown = ctx.work.shown
        if server.instance not in shown:
            if len(shown) >= MAX_WORK_SERVERS:
                return
            shown.add(server.instance)
        _, left_ms = self._pace_and_work(server)
        ctx.metrics.gauge(
            "server_work_ms", round(left_ms), server=server.instance
        )
