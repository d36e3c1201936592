"""Charges requests to the quotas of client accounts, and refunds them.

A request is charged once, before its body is read and however many servers it
is sent to. It is refunded if no server can have run it.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err

from gooseberrypost.policy.accountquota import AccountQuotas
from gooseberrypost.policy.limits import TokenBucket
from gooseberrypost.policy.sharedlimit import to_ms

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from gooseberrypost.gateway.directory import Directory
    from gooseberrypost.gateway.exchange import Exchange
    from gooseberrypost.gateway.model import Configuration, Route
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.metrics import Metrics
    from gooseberrypost.policy.accountquota import QuotaExceeded
    from gooseberrypost.policy.accountuse import AccountsNotice, AccountUse

MAX_NAMED_ACCOUNTS: Final = 64
"""Accounts with a series of their own in metrics."""
OTHER_ACCOUNTS: Final = "other"
"""Label of all further accounts."""
LOG_INTERVAL_S: Final = 1.0
"""Shortest interval between two lines on refusals of one account."""
LOG_LINES_PER_S: Final = 5.0
"""Lines on refusals of all accounts; many may be over their limits at once."""
LOG_BURST: Final = 20.0


class Sends:
    """Tells whether a request may have been run by a server."""

    __slots__ = ("exchange",)

    def __init__(self) -> None:
        self.exchange: Exchange | None = None
        """None until the request has been read."""

    @property
    def may_have_run(self) -> bool:
        """Whether any send may have executed the request."""
        return self.exchange is not None and self.exchange.attempts > 0


class GatewayQuotas:
    """Quotas of the configuration that is in force at this gateway."""

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._now_s = now_s
        self._quotas = AccountQuotas(now_s(), rng)
        self._applied: Configuration | None = None
        """Configuration that the quotas come from."""
        self._named: set[str] = set()
        """Accounts with a series of their own."""
        self._logged_s: dict[str, float] = {}
        """Time of the last line on each account that was refused."""
        self._log_budget = TokenBucket(
            LOG_LINES_PER_S, LOG_BURST, to_ms(now_s())
        )
        self.refresh: Callable[[], None] = lambda: None
        """Processes the notices that have arrived."""
        self.notify: Callable[[], None] = lambda: None
        """Sends a notice to the other gateways at once."""

    @contextmanager
    def charged(self, req: ClientRequest, route: Route) -> Iterator[Sends]:
        """Charge a request, and refund it unless it may have been run.

        Raises ``QuotaExceeded``.
        """
        sends = Sends()
        if not req.account:
            yield sends
            return
        self.refresh()
        self._configure()
        quotas, now_s = self._quotas, self._now_s()
        prompt = req.prompt
        tokens = None if prompt is None else prompt.tokens + prompt.max_output
        cost = quotas.cost(req.account, tokens)
        charge = quotas.admit(req.account, cost, now_s, route.priority)
        if isinstance(charge, Err):
            self._record_refusal(charge.err_value, now_s)
            raise charge.err_value
        self._count("quota_admitted_total", req.account)
        if quotas.must_notify(charge.ok_value, now_s):
            self.notify()
        try:
            yield sends
        finally:
            if not sends.may_have_run:
                quotas.refund(charge.ok_value, self._now_s())
                self._count("quota_refunds_total", req.account)

    def set_share(self, share: float, gateways: int) -> None:
        """Set the number of gateways and the share that is in contact."""
        self._quotas.set_share(share, gateways)

    def record_peer(
        self, gateway: str, notice: AccountsNotice, received_s: float
    ) -> None:
        """Record what another gateway reports of the use of accounts."""
        self._configure()
        self._quotas.record_peer(gateway, notice, received_s)

    def notices(self) -> list[AccountUse]:
        """Return the use of accounts to report to the other gateways."""
        self._configure()
        return self._quotas.notices(self._now_s())

    def relative_use(self, account: str) -> float:
        """Return the recent use of an account; 1 is a fair share."""
        return self._quotas.relative_use(account, self._now_s())

    def _configure(self) -> None:
        """Apply the configuration in force if it is another one."""
        cfg = self._directory.configuration
        if cfg is self._applied:
            return
        if self._applied is None:
            # Registrations are known before the first notices arrive.
            self.set_share(1.0, len(self._directory.gateways))
        before = self._applied.accounts if self._applied else ()
        self._applied = cfg
        if cfg.accounts != before:
            self._quotas.configure(cfg.accounts, self._now_s())

    def _record_refusal(self, failure: QuotaExceeded, now_s: float) -> None:
        account = failure.account
        self._count("quota_refusals_total", account)
        logged_s = self._logged_s.get(account, float("-inf"))
        if now_s - logged_s < LOG_INTERVAL_S:
            return
        if not self._log_budget.take(to_ms(now_s)):
            return
        if len(self._logged_s) >= MAX_NAMED_ACCOUNTS:
            self._logged_s.clear()
        self._logged_s[account] = now_s
        logging.info(
            "event=quota_refused account=%r limit_per_s=%g known_per_s=%.1f "
            "gateways=%d retry_after_ms=%d",
            account,
            failure.limit_per_s,
            failure.known_per_s,
            failure.gateways,
            failure.retry_after_ms,
        )

    def _count(self, name: str, account: str) -> None:
        if len(self._named) < MAX_NAMED_ACCOUNTS:
            self._named.add(account)
        label = account if account in self._named else OTHER_ACCOUNTS
        self._metrics.count(name, account=label)
