"""Exchange of load notices between gateways, as UDP datagrams.

A load notice holds the sender's entire load on the engines, not a difference,
so the next notice makes up for a lost one. Notices are hints: each engine
admits requests to its memory itself.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.notices import (
    NoticeInvalid,
    decode_notice,
    encode_accounts,
    encode_conviction,
    encode_crash,
    encode_limit,
    encode_server_loads,
    encode_stream,
    encode_versions,
)
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.identity import new_incarnation
from gooseberrypost.policy.noticepace import NoticePace
from gooseberrypost.wire.codec import (
    MAX_CORRELATION,
    Frame,
    encode,
    peek_correlation,
)
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext

NOTICE_INTERVAL_S: Final = 0.3
"""Interval of notices while the load does not change.

A gateway's load is dropped when no notice arrives from it for 1 s.
"""
COALESCE_S: Final = 0.001
"""Load changes within this time share one notice."""
PACE_INTERVAL_S: Final = 1.0
"""Shortest interval of notices that report the paces of servers.

Decoding 20 of them takes three times as long as the rest of a notice.
"""
ACCOUNTS_INTERVAL_S: Final = 0.1
"""Shortest interval of notices that report the use of accounts, unless one is
near its limit."""
RENEWALS_PER_LEASE: Final = 3
"""Renewal attempts per lease duration; two may be lost."""
REGISTRATION_RETRY_S: Final = 0.5
UNREGISTERED_PEER_S: Final = 10.0
"""Time for which notices go to an unregistered gateway after its last notice,
as registrations lapse while the store is unavailable."""
MAX_NOTICE_BYTES: Final = 60_000
"""Largest datagram that is kept until it is decoded.

UDP carries at most 65,507 bytes.
"""
MAX_PENDING_BYTES: Final = 2 * 1024 * 1024
"""Bytes received beyond which the undecoded notices are decoded.

Any sender may have one, and senders can be invented.
"""
INVALID_LOG_INTERVAL_S: Final = 1.0
"""Interval of log lines on invalid notices."""


class RegistrationFailed(Failure):
    """The store did not answer, or did not write the registration."""

    code = "registration_failed"


class RegistrationLapsed(RegistrationFailed):
    """The lease has expired, which removed the registration."""

    code = "registration_lapsed"


class Registry(ABC):
    """Registrations by which gateways discover each other."""

    @abstractmethod
    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address under a new lease and return it.

        Raises ``RegistrationFailed``.
        """

    @abstractmethod
    async def renew(self, lease: int) -> None:
        """Renew a lease; ``RegistrationLapsed`` if it has expired."""

    @abstractmethod
    async def unregister(self, lease: int) -> None:
        """Revoke the lease, which removes the registration."""


class Peers(Service, asyncio.DatagramProtocol):
    """Registers this gateway, and sends and receives load notices."""

    def __init__(self, ctx: GatewayContext, registry: Registry) -> None:
        super().__init__()
        self._ctx = ctx
        self._registry = registry
        self.lease = 0
        """Lease of the registration; 0 while not registered."""
        self._incarnation = new_incarnation()
        self._sequence = 0
        self._last_sequences: dict[str, tuple[int, int]] = {}
        """Incarnation and sequence of the last notice, by gateway name."""
        self._last_seen: dict[str, tuple[str, float]] = {}
        """Address and arrival time of the last notice, by gateway name."""
        self._pending: dict[str, tuple[bytes, float]] = {}
        """Newest undecoded notice and its arrival time, by address."""
        self._pending_bytes = 0
        """Bytes received since the notices were last decoded."""
        self._last_expiry_s = float("-inf")
        """Monotonic time at which stale peer loads were last dropped."""
        self._next_invalid_log_s = float("-inf")
        self._load_changed = asyncio.Event()
        self._pace = NoticePace(ctx.settings.link_bytes_per_s)
        self._paces_due_s = float("-inf")
        self._accounts_due_s = float("-inf")
        self._transport: asyncio.DatagramTransport | None = None
        ctx.notify_loads_changed = self._load_changed.set
        ctx.loads.refresh = ctx.quotas.refresh = self._process_pending
        ctx.quotas.notify = self._notify_accounts

    def _notify_accounts(self) -> None:
        """Report the use of accounts in the next notice, and send it."""
        self._accounts_due_s = float("-inf")
        self._load_changed.set()

    async def on_start(self) -> None:
        """Bind the datagram socket."""
        host, _, port = self._ctx.settings.internal_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    async def on_started(self) -> None:
        """Send notices and keep the registration until the service stops."""
        metrics = self._ctx.metrics
        self.add_future(keep_running(self, self._send_notices, metrics))
        self.add_future(keep_running(self, self._keep_registered, metrics))

    async def on_stop(self) -> None:
        """Remove the registration and close the socket."""
        if self.lease:
            try:
                await self._registry.unregister(self.lease)
            except RegistrationFailed as failure:
                logging.info(
                    "event=registration_left detail=%r", failure.detail
                )
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport for sending."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that was refused because the peer has stopped."""
        self._ctx.metrics.count("notices_refused_total")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Queue a notice, replacing an older one from the same address.

        Decoding is the expensive part, and most notices are replaced before
        the loads are read, so notices are decoded only then.
        """
        if len(data) > MAX_NOTICE_BYTES:
            self._ctx.metrics.count("notices_dropped_total", cause="size")
            return
        sender = f"{addr[0]}:{addr[1]}"
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            # Decoding gives room, and drops what is no notice.
            self._process_pending()
        self._pending_bytes += len(data)
        known = self._pending.get(sender)
        if known is not None and peek_correlation(data) < peek_correlation(
            known[0]
        ):
            return
        self._pending[sender] = data, time.monotonic()
        if self._ctx.reservation_queue.has_waiting:
            self._ctx.reservation_queue.wake()

    def _process_pending(self) -> None:
        """Decode and apply the notices received since the last call."""
        self._pending_bytes = 0
        if self._pending:
            pending, self._pending = self._pending, {}
            for sender, (data, received_s) in pending.items():
                try:
                    self._process_notice(sender, data, received_s)
                except NoticeInvalid as failure:
                    self._count_invalid(sender, failure)

    def _count_invalid(self, sender: str, failure: NoticeInvalid) -> None:
        """Count an invalid notice; one line is logged at each interval."""
        self._ctx.metrics.count("notices_invalid_total")
        now_s = time.monotonic()
        if now_s >= self._next_invalid_log_s:
            self._next_invalid_log_s = now_s + INVALID_LOG_INTERVAL_S
            logging.warning(
                "event=notice_invalid sender=%s detail=%r",
                sender,
                failure.detail,
            )

    def _process_notice(
        self, sender: str, data: bytes, received_s: float
    ) -> None:
        """Apply a notice unless a newer one from its sender was applied.

        Raises ``NoticeInvalid``.
        """
        notice = decode_notice(data)
        incarnation, sequence = self._last_sequences.get(notice.name, (0, 0))
        # Incarnations are random: a different one means that the sender
        # restarted, whichever number is higher.
        if notice.incarnation == incarnation and notice.sequence <= sequence:
            return
        self._last_sequences[notice.name] = notice.incarnation, notice.sequence
        self._last_seen[notice.name] = sender, received_s
        self._ctx.loads.update_peer(
            notice.name,
            received_s,
            notice.loads,
            notice.waiting,
            notice.outputs,
            notice.ranks_ms,
            notice.unreachable,
        )
        self._ctx.directory.freshness.record_peer(
            notice.configuration_version, received_s
        )
        if self._ctx.work is not None:
            self._ctx.work.update_peer(notice.name, received_s, notice.loads)
        quarantine = self._ctx.quarantine
        if notice.crashes:
            quarantine.apply_reports(notice.crashes)
        if notice.convictions:
            quarantine.apply_convictions(notice.convictions)
        if notice.streams:
            self._ctx.versions.apply_notice(notice.streams)
        if notice.versions:
            self._ctx.versions.apply_versions(notice.versions)
        for limit in notice.limits:
            self._ctx.loads.limits.record_peer(notice.name, limit, received_s)
        self._ctx.quotas.record_peer(notice.name, notice.accounts, received_s)

    async def _send_notices(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(NOTICE_INTERVAL_S):
                    await self._load_changed.wait()
                pace_s = self._pace.wait_s(time.monotonic())
                await asyncio.sleep(max(COALESCE_S, pace_s))
            except TimeoutError:
                # An unchanged load is sent again at each interval.
                pass
            self._load_changed.clear()
            self._expire_stale_peers()
            self._send_notice()

    def _expire_stale_peers(self) -> None:
        now_s = time.monotonic()
        if now_s - self._last_expiry_s >= NOTICE_INTERVAL_S:
            self._last_expiry_s = now_s
            self._process_pending()
            self._ctx.loads.drop_stale_peers(now_s)
            self._ctx.loads.observe_own_runs(now_s)
            heard = 1 + self._ctx.loads.peer_count(now_s)
            gateways = self._ctx.gateway_count()
            self._ctx.loads.limits.set_share(heard / gateways)
            self._ctx.quotas.set_share(heard / gateways, gateways)

    def _send_notice(self) -> None:
        addresses = self._peer_addresses()
        if not addresses or self._transport is None:
            return
        self._sequence += 1
        data = encode(
            Frame(self._sequence & MAX_CORRELATION, self._build_notice())
        )
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
        self._pace.record_sent(len(addresses), len(data), time.monotonic())
        metrics = self._ctx.metrics
        metrics.count("notices_sent_total", len(addresses))
        metrics.count("notices_sent_bytes_total", len(addresses) * len(data))

    def _peer_addresses(self) -> list[str]:
        now_s = time.monotonic()
        addresses = dict(self._ctx.directory.gateways)
        for name, (address, received_s) in self._last_seen.items():
            if now_s - received_s < UNREGISTERED_PEER_S:
                addresses.setdefault(name, address)
        addresses.pop(self._ctx.settings.name, None)
        return list(addresses.values())

    def _build_notice(self) -> Any:
        outputs = self._ctx.local_typical_outputs()
        quarantine = self._ctx.quarantine
        ranks_ms = self._ctx.reservation_queue.head_ranks_ms()
        plain_ranks_ms = self._ctx.plain_queues.head_ranks_ms()
        now_s = self._ctx.now_s()
        has_paces = now_s >= self._paces_due_s
        if has_paces:
            self._paces_due_s = now_s + PACE_INTERVAL_S
        has_accounts = now_s >= self._accounts_due_s
        if has_accounts:
            self._accounts_due_s = now_s + ACCOUNTS_INTERVAL_S
        return idl.LoadNotice(
            name=self._ctx.settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            servers=encode_server_loads(
                self._ctx.loads, self._ctx.work, now_s, has_paces=has_paces
            ),
            configuration_version=self._ctx.directory.configuration.version,
            waiting=self._ctx.reservation_queue.waiting_count,
            turn_ms=min(ranks_ms.values(), default=None),
            gone=self._ctx.loads.unreachable(time.monotonic()),
            outputs=[
                idl.OutputNotice(service_name=service, tokens=tokens)
                for service, tokens in outputs.items()
            ],
            crashes=[
                encode_crash(report) for report in quarantine.recent_reports()
            ],
            convictions=[
                encode_conviction(content, convicted_ms)
                for content, convicted_ms in quarantine.newest_convictions()
            ],
            limits=[
                encode_limit(notice)
                for notice in self._ctx.loads.limits.notices(time.monotonic())
            ],
            streams=[
                encode_stream(stream, version)
                for stream, version in (
                    self._ctx.versions.recent_streams().items()
                )
            ],
            versions=[
                encode_versions(service, versions)
                for service, versions in self._ctx.versions.mixed.items()
            ],
            turns=[
                idl.TurnNotice(service_name=service, rank_ms=rank_ms)
                for service, rank_ms in (ranks_ms | plain_ranks_ms).items()
            ],
            **encode_accounts(
                self._ctx.quotas.notices() if has_accounts else ()
            ),
        )

    async def _keep_registered(self) -> None:
        cfg = self._ctx.settings
        renewed_s = float("-inf")
        while not self.should_stop:
            try:
                if self.lease:
                    await self._registry.renew(self.lease)
                else:
                    self.lease = await self._registry.register(
                        cfg.name, cfg.internal_address, cfg.lease_ms
                    )
                    logging.info(
                        "event=registered gateway=%s address=%s lease=%d",
                        cfg.name,
                        cfg.internal_address,
                        self.lease,
                    )
                renewed_s = time.monotonic()
                await self.sleep(cfg.lease_ms / 1_000 / RENEWALS_PER_LEASE)
            except RegistrationFailed as failure:
                logging.warning(
                    "event=registration_failed lease=%d code=%s detail=%r",
                    self.lease,
                    failure.code,
                    failure.detail,
                )
                # A single failed renewal does not end the lease.
                age_s = time.monotonic() - renewed_s
                is_expired = age_s > cfg.lease_ms / 1_000
                if is_expired or isinstance(failure, RegistrationLapsed):
                    self.lease = 0
                await self.sleep(REGISTRATION_RETRY_S)
