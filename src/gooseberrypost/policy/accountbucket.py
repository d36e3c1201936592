"""State of one account at one gateway: its bucket, counts and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.accountrefusals import (
    MAX_RETRY_AFTER_S,
    Refusals,
)
from gooseberrypost.policy.accountuse import RECENT_S, AccountUse, RecentSum
from gooseberrypost.policy.peercontact import CONTACT_S
from gooseberrypost.policy.quotabound import (
    QUOTA_WINDOW_S,
    bucket_burst,
    bucket_rate_per_s,
    permitted_oversize,
)
from gooseberrypost.policy.sharedlimit import PeerCounts, SharedBucket

if TYPE_CHECKING:
    import random

    from gooseberrypost.policy.accountuse import Refused
    from gooseberrypost.policy.peercontact import PeerContact
    from gooseberrypost.policy.sharedlimit import PeerReport
    from gooseberrypost.state.accounts import Quota

LISTED_PART: Final = 0.25
"""Part of the equal share of the rate from which use is listed."""
LISTED_KNOWN: Final = 0.5
"""Known use, as a part of the rate, from which it is listed."""
NOTIFY_KNOWN: Final = 0.9
"""Known use, as a part of the rate, from which others are told at once."""
LISTED_LEVEL: Final = 0.9
"""Part of the burst below which the level is listed.

A gateway that starts takes a bucket that nobody lists for full.
"""
APPROACH_PART: Final = 0.05
"""Part of the way to the mean level of the others taken in one interval.

With 0.25, gateways that admit at the same moment raise each other's level, and
four of them use 1.02 of a limit.
"""
NEAR_LEVEL: Final = 0.5
"""Part of the burst below which other gateways are notified at once."""
COUNT_GAP_S: Final = 4.0
"""Time without being listed after which a count begins again.

Longer than the recent sum and ``RESTART_MARGIN_S`` together, so that
receivers can tell the new count from the previous one.
"""
REPORT_S: Final = 1.2
"""Time for which a changed count is listed: four notices, of which three may
be lost."""
NEGLIGIBLE_PART: Final = 0.02
"""Part of the burst below which a cost is small.

It is not held back for urgent requests, and reported with the next notice.

Otherwise a short call is refused for as long as its account has long
generations refused, whose wait it would hardly change.
"""
TOLERANCE: Final = 1e-6
"""Rounding error of a level, in tokens."""


class AccountBucket:
    """Bucket, counts and refusals of one account in use."""

    __slots__ = (
        "_began_s",
        "_bucket",
        "_changed_s",
        "_count",
        "_counted_since_s",
        "_listed_by_peer_s",
        "_listed_s",
        "_own",
        "_peers",
        "_quiet",
        "_refusals",
        "_restricted_s",
        "_share",
        "_unlisted",
        "_valid_since_s",
        "is_counting",
        "known",
        "level_s",
        "name",
        "quota",
        "used_s",
    )

    def __init__(self, name: str, quota: Quota | None, now_s: float) -> None:
        self.name = name
        self.quota = quota
        self.known = RecentSum()
        """Recent use over all gateways, as far as it is known."""
        self.used_s = now_s
        """Time of the last use at any gateway."""
        self.level_s = now_s
        """Time at which the level was established."""
        self.is_counting = False
        """Whether this gateway may have to list the account."""
        self._own = RecentSum()
        self._changed_s = float("-inf")
        """Time of the last charge, refund or refusal at this gateway."""
        self._count = 0.0
        """Cumulative cost as it is reported, since ``_counted_since_s``."""
        self._counted_since_s = now_s
        self._began_s = now_s
        """Time of the first charge that is not part of a count."""
        self._unlisted = 0.0
        """Cost admitted and not yet part of ``_count``."""
        self._listed_s = float("-inf")
        self._restricted_s = float("-inf")
        """``PeerContact.since_s`` for which the level was lowered."""
        self._listed_by_peer_s = float("-inf")
        """Time at which another gateway last listed the account."""
        self._refusals = Refusals()
        self._quiet = (0.0, 0.0)
        """Time of the last notice and cost admitted here since."""
        self._share = 1.0
        self._peers = PeerCounts()
        """Counts of other gateways while there is no limit."""
        self._bucket: SharedBucket | None = None
        self._valid_since_s = now_s
        """Time at which the bucket was created."""
        if quota is not None:
            self._bucket = self._new_bucket(quota, now_s)

    def set_quota(self, quota: Quota | None, now_s: float) -> None:
        """Apply a limit that was raised, lowered, added or removed."""
        before, self.quota = self.quota, quota
        self._refusals = Refusals()
        if quota is None:
            self._bucket = None
        elif (
            self._bucket is None
            or before is None
            or before.unit is not quota.unit
        ):
            self._bucket = self._new_bucket(quota, now_s)
            # Use before the limit is not saved up.
            used = self.known.total(now_s) if before is None else 0.0
            self._bucket.debit(min(used, self._bucket.burst), now_s)
            self._valid_since_s = now_s
            self._peers = PeerCounts()
        else:
            self._apply_share(now_s)

    def restrict(self, contact: PeerContact, now_s: float) -> None:
        """Lower the level to a share until another gateway tells of it."""
        self.level_s = float("-inf")
        self._restricted_s = contact.since_s
        if self._bucket is not None and self.quota is not None:
            burst = bucket_burst(self.quota, contact.single_share)
            level = min(self._bucket.level(now_s), burst)
            self._bucket.take_over(level, now_s)

    def follow(self, contact: PeerContact, now_s: float) -> None:
        """Adapt rate and level to the share of gateways in contact."""
        if self._bucket is None or self.quota is None:
            return
        share = contact.share(now_s)
        if share != self._share:
            level = self._level_at(share, contact, now_s)
            self._share = share
            self._apply_share(now_s)
            self._bucket.take_over(level, now_s)
        if self.level_s < contact.since_s != self._restricted_s:
            # The tokens of the time without contact may be used elsewhere.
            self.restrict(contact, now_s)
        is_settled = share >= 1 and now_s >= contact.since_s + CONTACT_S
        if is_settled and self.level_s < contact.since_s:
            level = self._bucket.level(now_s)
            if self._listed_by_peer_s < contact.since_s:
                # No gateway has listed the account, so the bucket is full
                # but for what this gateway took.
                full = self._bucket.burst - self._own.total(now_s)
                level = max(level, full)
            # Otherwise no gateway knows the level, and each keeps the share
            # that it had.
            self.take_over(level, now_s)

    def admit(
        self, cost: float, priority: int, contact: PeerContact, now_s: float
    ) -> float | None:
        """Charge a cost, or return the time after which it fits."""
        if self._bucket is not None:
            wait_s = self._wait_s(cost, priority, contact, now_s)
            if wait_s is not None:
                self._refusals.record(cost, priority, now_s)
                self._changed_s = now_s
                self.is_counting = True
                return wait_s
            self._bucket.debit(cost, now_s)
            self._quiet = contact.heard_s, self._quiet_cost(contact) + cost
        self._own.add(cost, now_s)
        self.known.add(cost, now_s)
        if not self._unlisted:
            self._began_s = now_s
        self._unlisted += cost
        self.used_s = self._changed_s = now_s
        self.is_counting = True
        return None

    def refund(self, cost: float, charged_s: float, now_s: float) -> None:
        """Return a cost, also in the count that others are told."""
        if self._bucket is not None and charged_s >= self._valid_since_s:
            self._bucket.refund(cost, now_s)
        listed = max(0.0, cost - self._unlisted)
        self._unlisted = max(0.0, self._unlisted - cost)
        if charged_s >= self._counted_since_s:
            self._count = max(0.0, self._count - listed)
            self._changed_s = now_s
            self.is_counting = True
        self._own.add(-cost, now_s)
        self.known.add(-cost, now_s)

    def record_peer(
        self,
        gateway: str,
        report: PeerReport,
        refused: Refused | None,
        received_s: float,
        counted_since_s: float,
    ) -> float:
        """Take what another gateway has admitted; returns how much."""
        self._refusals.record_peer(gateway, refused, received_s)
        self._listed_by_peer_s = received_s
        counter = self._bucket or self._peers
        new = counter.record_peer(gateway, report, received_s, counted_since_s)
        if new:
            self.known.add(new, received_s)
            self.used_s = received_s
        return new

    def take_over(self, level: float, now_s: float) -> None:
        """Adopt a level that another gateway reports."""
        self.level_s = now_s
        if self._bucket is not None:
            self._bucket.take_over(level, now_s)

    def record_level(
        self, level: float, contact: PeerContact, received_s: float
    ) -> None:
        """Take over a level, or approach it if this gateway knows its own.

        Levels drift apart where notices cross. A gateway with a lower one
        than all others would be refused its part for as long as the account
        is over its limit.
        """
        if self.level_s < contact.since_s:
            self.follow(contact, received_s)
            self.take_over(level, received_s)
        elif self._bucket is not None and self._share >= 1:
            own = self._bucket.level(received_s)
            part = APPROACH_PART / contact.gateways
            self._bucket.take_over(own + part * (level - own), received_s)

    def is_relevant(self, gateways: int, now_s: float) -> bool:
        """Whether the account is to be listed in a notice."""
        age_s = now_s - self._changed_s
        # Older use no longer counts in any window.
        self.is_counting = age_s < QUOTA_WINDOW_S
        is_low = self.fullness(now_s) < LISTED_LEVEL
        if age_s >= REPORT_S:
            # The count is known, but a gateway that starts needs the level.
            return is_low and now_s - self._listed_by_peer_s > CONTACT_S
        if self.quota is None or is_low:
            return True
        rate = self.quota.rate_per_s
        return (
            self._own.total(now_s) >= LISTED_PART * rate / gateways
            or self.known.total(now_s) >= LISTED_KNOWN * rate
        )

    def report(self, contact: PeerContact, now_s: float) -> AccountUse:
        """Return what this gateway tells the others."""
        recent = self._own.total(now_s)
        if now_s - self._listed_s > COUNT_GAP_S:
            self._count = 0.0
            self._counted_since_s = max(self._began_s, now_s - 2 * RECENT_S)
        # Of what was not listed, older use no longer shows in the level.
        self._count += min(self._unlisted, recent)
        self._unlisted = 0.0
        self._listed_s = now_s
        level = None
        if self._share >= 1 and self.level_s >= contact.since_s:
            level = self._bucket and self._bucket.level(now_s)
        counted_ms = round(1_000 * (now_s - self._counted_since_s))
        refused = self._refusals.most_urgent(now_s)
        return AccountUse(self.name, self._count, level, counted_ms, refused)

    def fullness(self, now_s: float) -> float:
        """Return the level relative to the burst; 1 without a limit."""
        if self._bucket is None:
            return 1.0
        burst = max(self._bucket.burst, TOLERANCE)
        level = self._bucket.level(now_s)
        return 1.0 if level >= self._bucket.burst else level / burst

    def is_full(self, now_s: float) -> bool:
        """Whether the bucket is full."""
        return self.fullness(now_s) >= 1

    def must_notify(self, cost: float, now_s: float) -> bool:
        """Whether other gateways are to hear of a charge at once.

        A notice for each request of an account in ordinary use, or for each
        short call, would cost more than the requests.
        """
        if self.quota is None or self._bucket is None:
            return False
        if cost < NEGLIGIBLE_PART * self.quota.burst:
            return False
        return (
            self.fullness(now_s) < NEAR_LEVEL
            or self.known.per_s(now_s) >= NOTIFY_KNOWN * self.quota.rate_per_s
        )

    def retry_after_s(
        self,
        cost: float,
        wait_s: float,
        gateways: int,
        rng: random.Random,
        now_s: float,
    ) -> float:
        """Return when a refused request fits after those refused before.

        The tokens that refused requests of this gateway get are estimated by
        the part of the account's use that was admitted here.
        """
        assert self.quota is not None
        known = self.known.total(now_s)
        part = self._own.total(now_s) / known if known else 0.0
        part = min(1.0, max(part, 1 / gateways))
        slot_s = cost / (self.quota.rate_per_s * self._share * part)
        return self._refusals.book(wait_s, slot_s, rng, now_s)

    def drop_peers_before(self, oldest_s: float) -> None:
        """Forget gateways without a report since a time."""
        (self._bucket or self._peers).drop_peers_before(oldest_s)

    def _new_bucket(self, quota: Quota, now_s: float) -> SharedBucket:
        self._share = 1.0
        rate_per_s, burst = bucket_rate_per_s(quota), bucket_burst(quota, 1.0)
        return SharedBucket(rate_per_s, burst, now_s, min_burst=0.0)

    def _apply_share(self, now_s: float) -> None:
        assert self.quota is not None
        assert self._bucket is not None
        rate_per_s = bucket_rate_per_s(self.quota) * self._share
        burst = bucket_burst(self.quota, self._share)
        self._bucket.set_rate(rate_per_s, burst, now_s)

    def _level_at(
        self, share: float, contact: PeerContact, now_s: float
    ) -> float:
        """Return the level for a new share of the limit.

        Below the share before, what was admitted here before the loss of
        contact showed is taken from this gateway's part.
        """
        assert self.quota is not None
        assert self._bucket is not None
        level = self._bucket.level(now_s)
        if share >= self._share:
            return level
        if now_s - contact.heard_s >= CONTACT_S:
            own = self._quiet_cost(contact)
            return share * (level + own) - own
        excess_per_s = self._own.per_s(now_s) - share * self.quota.rate_per_s
        return level - CONTACT_S * max(0.0, excess_per_s)

    def _wait_s(
        self, cost: float, priority: int, contact: PeerContact, now_s: float
    ) -> float | None:
        """Return the time after which a cost fits; None if it fits now."""
        assert self._bucket is not None
        assert self.quota is not None
        burst = self._bucket.burst
        oversize = permitted_oversize(self.quota) if self._share >= 1 else 0.0
        if cost > burst + oversize + TOLERANCE:
            return MAX_RETRY_AFTER_S
        # A share is in force once the loss of contact is certain.
        is_quiet = self._share >= 1 and contact.is_quiet(now_s)
        if is_quiet:
            quiet_cost = self._quiet_cost(contact)
            left = self._bucket.level(now_s) + quiet_cost
            if quiet_cost + cost > contact.single_share * left:
                return CONTACT_S
        # A less urgent request leaves the tokens that a more urgent one needs.
        held = self._refusals.held(priority, now_s)
        if cost < NEGLIGIBLE_PART * self.quota.burst:
            held = 0.0
        needed = min(cost, burst) + held - TOLERANCE
        if self._bucket.level(now_s) >= needed:
            return None
        return self._bucket.wait_s(needed, now_s)

    def _quiet_cost(self, contact: PeerContact) -> float:
        """Return what was admitted here since the last notice."""
        heard_s, cost = self._quiet
        return cost if heard_s == contact.heard_s else 0.0
