"""Decides to which client account a request belongs.

A key that is unknown here may be new. So it is refused for good only by a
gateway whose configuration is current, see ``FreshnessCheck``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NoReturn

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.logs import LineLimit, format_fields
from gooseberrypost.metrics import LabelNames

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.gateway.directory import Directory
    from gooseberrypost.gateway.freshness import FreshnessCheck
    from gooseberrypost.gateway.model import Route
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.metrics import Metrics

MAX_ACCOUNT_LABELS: Final = 64
"""Account names in metrics; the other accounts are counted together."""
REFUSAL_LOG_INTERVAL_S: Final = 1.0
"""Interval of log lines on refused keys, for each code."""


class KeyRefused(NotRun):
    """The request may not be served with its key."""

    code = "key_refused"
    http_status = 401


class KeyMissing(KeyRefused):
    """The request has no key, and its route requires one."""

    code = "key_missing"


class KeyUnknown(KeyRefused):
    """No account has the key, or no longer."""

    code = "key_unknown"


class KeyUnverified(NotRun):
    """The key is unknown to a gateway whose configuration may be outdated."""

    code = "key_unverified"


def failure_answer(failure: Failure) -> tuple[list[tuple[str, str]], bytes]:
    """Return headers and body of the answer that reports a failure.

    The body is one line on the key if that is the cause, otherwise empty.
    """
    headers = [("X-Failure", failure.code)]
    if not isinstance(failure, KeyRefused):
        return headers, b""
    headers.append(("Content-Type", "text/plain; charset=utf-8"))
    return headers, f"{failure.detail}\n".encode()


class Authenticator:
    """Assigns requests to accounts by their keys, and counts refusals."""

    __slots__ = (
        "_directory",
        "_freshness",
        "_line_limits",
        "_metrics",
        "_now_s",
        "account_names",
    )

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        freshness: FreshnessCheck,
        now_s: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._freshness = freshness
        self._now_s = now_s
        self._line_limits: dict[str, LineLimit] = {}
        """Limits of log lines by failure code."""
        self.account_names = LabelNames(MAX_ACCOUNT_LABELS)
        """Account names in metrics."""

    def authenticate(self, req: ClientRequest, route: Route) -> None:
        """Set the account of a request that has just arrived, and count it.

        Raises ``KeyMissing``, ``KeyUnknown`` or ``KeyUnverified``.
        """
        self.check(req, route)
        if req.account:
            label = self.account_names.label(req.account)
            self._metrics.count("account_requests_total", account=label)

    def check(self, req: ClientRequest, route: Route) -> None:
        """Set the account of a request that does not run yet.

        Raises as ``authenticate`` does, and ``KeyUnknown`` if the key has
        passed to another account since the last check: what the request has
        waited for was granted to the former one.
        """
        accounts = self._directory.accounts
        if accounts.is_empty:
            req.account = ""
            return
        account = accounts.find(req.key)
        if account is None:
            if not route.is_open:
                self._refuse(req, route, self._failure(req))
            req.account = ""
            return
        if req.account not in ("", account.name):
            moved = f"the key in {req.key_header} has another account now"
            self._refuse(req, route, KeyUnknown(moved))
        req.account = account.name

    def _failure(self, req: ClientRequest) -> KeyRefused | KeyUnverified:
        """Return why a request without a known key is refused."""
        if not req.key:
            return KeyMissing(f"header {req.key_header} is missing")
        # A key that was known before was removed by a newer version.
        if req.account or self._freshness.is_current():
            return KeyUnknown(f"the key in header {req.key_header} is unknown")
        return KeyUnverified(
            "the configuration may be outdated",
            retry_after_ms=self._freshness.retry_after_ms,
        )

    def _refuse(
        self, req: ClientRequest, route: Route, failure: NotRun
    ) -> NoReturn:
        """Count and raise a refusal; its log line never has the key."""
        self._metrics.count("key_refusals_total", code=failure.code)
        limit = self._line_limits.setdefault(
            failure.code, LineLimit(REFUSAL_LOG_INTERVAL_S, self._now_s)
        )
        if limit.admit():
            fields = [
                ("event", "key_refused"),
                ("request", req.id),
                ("code", failure.code),
                ("route", route.name),
                *([("account", req.account)] if req.account else []),
                ("configuration", self._directory.configuration.version),
                ("age_ms", self._directory.age_ms(self._now_s())),
                ("omitted", limit.omitted),
            ]
            logging.info("%s", format_fields(fields))
        raise failure


class RevocationWatch(Service):
    """Has waiting requests checked once the accounts have changed.

    Without it a request whose key was removed would be refused only when its
    wait ends, and keep its place in the queue until then.
    """

    def __init__(
        self,
        directory: Directory,
        refuse_revoked: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._directory = directory
        self._refuse_revoked = refuse_revoked
        self._metrics = metrics

    async def on_started(self) -> None:
        """Watch the accounts until the service stops."""
        self.add_future(keep_running(self, self._watch, self._metrics))

    async def _watch(self) -> None:
        version = self._directory.accounts.version
        while not self.should_stop:
            await self._directory.changed()
            if version != self._directory.accounts.version:
                version = self._directory.accounts.version
                self._refuse_revoked()
