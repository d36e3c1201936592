"""Gateways tell each other their load on the engines, by datagrams.

A notice holds the whole load of its sender, so that a lost one is made up for
by the next. Notices are hints: engines decide about their memory themselves.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err

from gooseberrypost.errors import Failure
from gooseberrypost.identity import new_incarnation
from gooseberrypost.policy.enginememory import RunSize
from gooseberrypost.policy.serverload import PeerLoad
from gooseberrypost.wire.codec import (
    LENGTH_BYTES,
    MAX_CORRELATION,
    Frame,
    correlation,
    decode,
    encode,
)
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.policy.serverload import ServerLoad

QUIET_INTERVAL_S: Final = 0.3
"""Interval of notices without a change; silence of 1 s drops the load."""
COALESCE_S: Final = 0.001
"""Changes within this time share a notice."""
RENEWALS: Final = 3
"""Renewals within the time of a lease; two may be lost."""
RETRY_S: Final = 0.5
HEARD_S: Final = 10.0
"""Time for which a gateway that was heard of gets notices without being
registered, as registrations lapse while the store is away."""


class RegistrationFailed(Failure):
    """The store did not answer, or wrote nothing."""

    code = "registration_failed"


class RegistrationLapsed(RegistrationFailed):
    """The lease has ended, and the registration is gone."""

    code = "registration_lapsed"


class Registry(ABC):
    """Where gateways find each other."""

    @abstractmethod
    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address and return the lease."""

    @abstractmethod
    async def renew(self, lease: int) -> None:
        """Renew a lease; ``RegistrationLapsed`` where it has ended."""

    @abstractmethod
    async def end(self, lease: int) -> None:
        """Remove the registration."""


class Peers(Service, asyncio.DatagramProtocol):
    """Registers this gateway, and sends and receives notices."""

    def __init__(self, ctx: GatewayContext, registry: Registry) -> None:
        super().__init__()
        self._ctx = ctx
        self._registry = registry
        self.lease = 0
        """Lease of the registration; 0: none at the moment."""
        self._incarnation = new_incarnation()
        self._sequence = 0
        self._latest: dict[str, tuple[int, int]] = {}
        """Incarnation and sequence of the last notice, by sender."""
        self._heard: dict[str, tuple[str, float]] = {}
        """Address of a sender and when it was heard of last."""
        self._unread: dict[str, tuple[bytes, float]] = {}
        """Latest notice of each address and when it came."""
        self._cleaned_s = float("-inf")
        """When gateways that fell silent were forgotten."""
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        ctx.notify_loads_changed = self._changed.set
        ctx.loads.refresh = self._read

    async def on_start(self) -> None:
        """Bind the datagram socket."""
        host, _, port = self._ctx.settings.internal_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    async def on_started(self) -> None:
        """Send notices and keep the registration until the service stops."""
        self.add_future(self._send())
        self.add_future(self._register())

    async def on_stop(self) -> None:
        """Remove the registration and close the socket."""
        if self.lease:
            try:
                await self._registry.end(self.lease)
            except RegistrationFailed as failure:
                logging.info(
                    "event=registration_left detail=%r", failure.detail
                )
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the socket for sending."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore the refusal of a datagram by a gateway that ended."""
        self._ctx.metrics.count("notices_refused_total")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Keep a notice until the loads are read; a newer one replaces it.

        Most notices are replaced before anybody reads them, and decoding is
        what makes them expensive.
        """
        sender = f"{addr[0]}:{addr[1]}"
        known = self._unread.get(sender)
        if known is not None and correlation(data) < correlation(known[0]):
            return
        self._unread[sender] = data, time.monotonic()
        if self._ctx.reservation_queue.has_waiting:
            self._ctx.reservation_queue.wake()

    def _read(self) -> None:
        """Take the notices that came since the last reading."""
        if self._unread:
            unread, self._unread = self._unread, {}
            for sender, (data, heard_s) in unread.items():
                self._take(sender, data, heard_s)

    def _take(self, sender: str, data: bytes, heard_s: float) -> None:
        """Take a notice, unless a newer one of its sender came before."""
        decoded = decode(data[LENGTH_BYTES:])
        if isinstance(decoded, Err):
            self._ctx.metrics.count("notices_invalid_total")
            return
        notice = decoded.ok_value.message
        if not isinstance(notice, idl.LoadNotice):
            self._ctx.metrics.count("notices_invalid_total")
            return
        incarnation, sequence = self._latest.get(notice.name, (0, 0))
        # Incarnations are random: another one is a restart, not an age.
        if notice.incarnation == incarnation and notice.sequence <= sequence:
            return
        self._latest[notice.name] = notice.incarnation, notice.sequence
        self._heard[notice.name] = sender, heard_s
        loads = {
            one.identity: PeerLoad(
                one.outstanding, one.prefill_tokens, _run_sizes(one)
            )
            for one in notice.servers
        }
        self._ctx.loads.update_peer(
            notice.name,
            heard_s,
            loads,
            notice.waiting or 0,
            {one.service_name: one.tokens for one in notice.outputs or ()},
            notice.turn_ms,
            notice.gone or (),
        )

    async def _send(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(QUIET_INTERVAL_S):
                    await self._changed.wait()
                await asyncio.sleep(COALESCE_S)
            except TimeoutError:
                # Without a change the notice is repeated all the same.
                pass
            self._changed.clear()
            self._forget_silent()
            self._send_notice()

    def _forget_silent(self) -> None:
        now_s = time.monotonic()
        if now_s - self._cleaned_s >= QUIET_INTERVAL_S:
            self._cleaned_s = now_s
            self._read()
            self._ctx.loads.drop_stale_peers(now_s)

    def _send_notice(self) -> None:
        addresses = self._addresses()
        if not addresses or self._transport is None:
            return
        self._sequence += 1
        data = encode(Frame(self._sequence & MAX_CORRELATION, self._notice()))
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _addresses(self) -> list[str]:
        now_s = time.monotonic()
        found = dict(self._ctx.directory.gateways)
        for name, (address, heard_s) in self._heard.items():
            if now_s - heard_s < HEARD_S:
                found.setdefault(name, address)
        found.pop(self._ctx.settings.name, None)
        return list(found.values())

    def _notice(self) -> Any:
        return idl.LoadNotice(
            name=self._ctx.settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            servers=[
                _server_notice(identity, load)
                for identity, load in self._ctx.loads.items()
                if load.outstanding or load.runs
            ],
            configuration_version=self._ctx.directory.configuration.version,
            waiting=self._ctx.reservation_queue.waiting_count,
            turn_ms=self._ctx.reservation_queue.turn_ms,
            gone=self._ctx.loads.unreachable(time.monotonic()),
            outputs=[
                idl.OutputNotice(service_name=service, tokens=tokens)
                for service, tokens in self._ctx.local_mean_outputs().items()
            ],
        )

    async def _register(self) -> None:
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
                await self.sleep(cfg.lease_ms / 1_000 / RENEWALS)
            except RegistrationFailed as failure:
                logging.warning(
                    "event=registration_failed lease=%d code=%s detail=%r",
                    self.lease,
                    failure.code,
                    failure.detail,
                )
                # One call that was not answered does not end a lease.
                age_s = time.monotonic() - renewed_s
                is_over = age_s > cfg.lease_ms / 1_000
                if is_over or isinstance(failure, RegistrationLapsed):
                    self.lease = 0
                await self.sleep(RETRY_S)


def _server_notice(identity: str, load: ServerLoad) -> Any:
    sizes = [run.size for run in load.runs]
    return idl.ServerLoadNotice(
        identity=identity,
        outstanding=load.outstanding,
        prefill_tokens=load.prefill_tokens,
        run_tokens=[size.tokens for size in sizes],
        run_produced=[size.produced for size in sizes],
        run_expected=[size.expected for size in sizes],
        run_limit=[size.max_output for size in sizes],
    )


def _run_sizes(notice: Any) -> list[RunSize]:
    return [
        RunSize(*one)
        for one in zip(
            notice.run_tokens,
            notice.run_produced,
            notice.run_expected,
            notice.run_limit,
            strict=False,
        )
    ]
