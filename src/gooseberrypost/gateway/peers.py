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
from gooseberrypost.policy.serverload import PeerLoad
from gooseberrypost.wire.codec import LENGTH_BYTES, Frame, decode, encode
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext

QUIET_INTERVAL_S: Final = 0.25
"""Interval of notices without a change; silence of 1 s drops the load."""
COALESCE_S: Final = 0.01
"""Changes within this time share a notice."""
REGISTRATION_TTL_MS: Final = 15_000
"""A gateway that ended is told of changes for this long, at most."""
RENEWAL_S: Final = 5.0
RETRY_S: Final = 1.0


class RegistrationFailed(Failure):
    """The registration was not written, or has lapsed."""

    code = "registration_failed"


class Registry(ABC):
    """Where gateways find each other."""

    @abstractmethod
    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address and return the lease."""

    @abstractmethod
    async def renew(self, lease: int) -> None:
        """Renew a lease; raises ``RegistrationFailed`` where it ended."""

    @abstractmethod
    async def end(self, lease: int) -> None:
        """Remove the registration."""


class Peers(Service, asyncio.DatagramProtocol):
    """Registers this gateway, and sends and receives notices."""

    def __init__(self, ctx: GatewayContext, registry: Registry) -> None:
        super().__init__()
        self._ctx = ctx
        self._registry = registry
        self._lease = 0
        self._incarnation = new_incarnation()
        self._sequence = 0
        self._latest: dict[str, tuple[int, int]] = {}
        """Incarnation and sequence of the last notice, by sender."""
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        ctx.loads_changed = self._changed.set

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
        if self._lease:
            try:
                await self._registry.end(self._lease)
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
        """Take a notice, unless a newer one of its sender came before."""
        decoded = decode(data[LENGTH_BYTES:])
        if isinstance(decoded, Err):
            self._ctx.metrics.count("notices_invalid_total")
            return
        notice = decoded.ok_value.message
        if not isinstance(notice, idl.LoadNotice):
            self._ctx.metrics.count("notices_invalid_total")
            return
        version = (notice.incarnation, notice.sequence)
        if self._latest.get(notice.name, (0, 0)) >= version:
            return
        self._latest[notice.name] = version
        loads = {
            one.identity: PeerLoad(
                one.outstanding,
                one.prefill_tokens,
                list(zip(one.run_remaining, one.run_tokens, strict=False)),
            )
            for one in notice.servers
        }
        self._ctx.loads.note_peer(notice.name, time.monotonic(), loads)
        self._ctx.room.note_freed()

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
            self._ctx.loads.forget_silent(time.monotonic())
            self._send_notice()

    def _send_notice(self) -> None:
        addresses = [
            address
            for name, address in self._ctx.directory.gateways.items()
            if name != self._ctx.settings.name
        ]
        if not addresses or self._transport is None:
            return
        self._sequence += 1
        data = encode(Frame(0, self._notice()))
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _notice(self) -> Any:
        return idl.LoadNotice(
            name=self._ctx.settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            servers=[
                idl.ServerLoadNotice(
                    identity=identity,
                    outstanding=load.outstanding,
                    prefill_tokens=load.prefill_tokens,
                    run_tokens=[run.tokens for run in load.runs],
                    run_remaining=[run.remaining for run in load.runs],
                )
                for identity, load in self._ctx.loads.items()
                if load.outstanding or load.runs
            ],
            configuration_version=self._ctx.directory.configuration.version,
        )

    async def _register(self) -> None:
        cfg = self._ctx.settings
        while not self.should_stop:
            try:
                if self._lease:
                    await self._registry.renew(self._lease)
                else:
                    self._lease = await self._registry.register(
                        cfg.name, cfg.internal_address, REGISTRATION_TTL_MS
                    )
                    logging.info(
                        "event=registered gateway=%s address=%s lease=%d",
                        cfg.name,
                        cfg.internal_address,
                        self._lease,
                    )
                await self.sleep(RENEWAL_S)
            except RegistrationFailed as failure:
                logging.warning(
                    "event=registration_failed lease=%d detail=%r",
                    self._lease,
                    failure.detail,
                )
                self._lease = 0
                await self.sleep(RETRY_S)
