"""Keeps the configuration of a process up to date."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err, Ok

from gooseberrypost.configsync.members import (
    PEER_SUBSET_SIZE,
    ZoneMembers,
    choose_peers,
    rendezvous_lowest,
)
from gooseberrypost.configsync.messages import (
    delta_message,
    parse_delta,
    pull,
)
from gooseberrypost.errors import NotRun
from gooseberrypost.state.configuration import HEAD_KEY, Configuration
from gooseberrypost.state.document import format_document, parse_head
from gooseberrypost.stores.keyvalue import Versioned
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.listener import refusal_message
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.state.configuration import Document
    from gooseberrypost.stores.keyvalue import KeyValueStore
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

SECTION_OWNER: Final = "ConfigurationController"
PULL_INTERVAL_MS: Final = 2_000
PULL_TIMEOUT_MS: Final = 1_000
START_CALL_TIMEOUT_MS: Final = 1_500
START_TIMEOUT_MS: Final = 5_000
"""After this time a process starts with the newest version it has found."""
START_SNAPSHOT_PEERS: Final = 2
"""Peers queried for a snapshot if the key-value service gave none."""
START_CONCURRENCY: Final = 64
WATCH_WAIT_MS: Final = 30_000
WATCH_RETRY_MS: Final = 1_000
MEMBER_TIMEOUT_PULLS: Final = 15
"""Time after which an unseen entry is considered dead, in pull intervals."""


class DeltaRefused(NotRun):
    """The delta starts at a later version than that of this process."""

    code = "delta_refused"
    http_status = 409


class ConfigurationController(Service):
    """Pulls the configuration from peers and accepts their pushes.

    A few entries of each availability zone also watch the key-value service.
    The controller adds the section ``Configuration`` to the blackboard and
    owns it. ``store`` is ``None`` in processes that never call the key-value
    service.
    """

    def __init__(
        self,
        board: Blackboard,
        pool: ChannelPool,
        peers: Sequence[str],
        store: KeyValueStore | None,
        *,
        rng: random.Random | None = None,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1_000_000,
        sleep: Callable[[float], Awaitable[None]] | None = None,
        pull_interval_ms: int = PULL_INTERVAL_MS,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        board.add(Configuration(), owner=SECTION_OWNER)
        self._section = board.write(Configuration, SECTION_OWNER)
        self._pool = pool
        self._peers = list(dict.fromkeys(peers))
        self._store = store
        self._rng = rng or random.Random()
        self._clock = clock
        self._pause = sleep or self.sleep
        self._pull_interval_ms = pull_interval_ms
        hello = pool.hello
        self._pull_peers = rendezvous_lowest(
            self._peers, hello.name, PEER_SUBSET_SIZE
        )
        self._zone_members = ZoneMembers(
            hello.name, hello.zone, MEMBER_TIMEOUT_PULLS * pull_interval_ms
        )
        self._head = Versioned("", 0)
        """Stored configuration as last read."""

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the handlers of pulls, pushes and new sessions."""
        dispatcher.register(idl.ConfigPull, self._handle_pull)
        dispatcher.register(idl.ConfigDelta, self._handle_push)
        dispatcher.on_connect(self._observe_session)

    async def on_start(self) -> None:
        """Get the newest version from the key-value service and all peers."""
        try:
            async with asyncio.timeout(START_TIMEOUT_MS / 1_000):
                await self._fetch_snapshot()
                limit = asyncio.Semaphore(START_CONCURRENCY)
                pulls = [self._pull_at_start(p, limit) for p in self._peers]
                await asyncio.gather(*pulls)
        except TimeoutError:
            logging.warning("event=configuration_start_incomplete")
        logging.info(
            "event=configuration_started version=%d", self._section.version
        )

    async def _fetch_snapshot(self) -> None:
        """Get one snapshot first, so that peers send only later changes.

        Without it, every peer would send a snapshot: 120 peers send 116 MB
        in all if the configuration has 9,600 records.
        """
        if self._store is not None:
            await self._read_head(self._store)
        if not self._section.version:
            sources = self._pull_peers[:START_SNAPSHOT_PEERS]
            pulls = [
                self._pull_from(p, START_CALL_TIMEOUT_MS) for p in sources
            ]
            await asyncio.gather(*pulls)

    @Service.task
    async def _pull_periodically(self) -> None:
        while not self.should_stop:
            # Jitter keeps processes from pulling at the same time.
            jitter = self._rng.uniform(0.9, 1.1)
            await self._pause(jitter * self._pull_interval_ms / 1_000)
            await self.pull_once()

    @Service.task
    async def _watch_if_elected(self) -> None:
        store = self._store
        if store is None or self._pool.hello.process_kind != "entry":
            return
        while not self.should_stop:
            if not self._zone_members.is_watcher(self._clock()):
                await self._pause(self._pull_interval_ms / 1_000)
            elif not await self._watch(store):
                delay_ms = self._rng.uniform(
                    WATCH_RETRY_MS / 2, WATCH_RETRY_MS
                )
                await self._pause(delay_ms / 1_000)
                # The service may have come back with a lower version, for
                # which a watch would wait.
                await self._read_head(store)

    async def pull_once(self) -> None:
        """Pull from two random peers, one a likely watcher if any is known.

        Peers that are not chosen as likely watchers belong to the subset. If
        no peer replies, two peers outside the subset are tried.
        """
        if not await self._pull_from_random(
            self._pull_peers, self._watcher_candidates()
        ):
            other_peers = [p for p in self._peers if p not in self._pull_peers]
            await self._pull_from_random(other_peers)

    def _watcher_candidates(self) -> list[str]:
        if self._pool.hello.process_kind != "entry":
            return []
        return self._zone_members.watcher_candidates(self._clock())

    async def _pull_from_random(
        self, peers: Sequence[str], preferred: Sequence[str] = ()
    ) -> bool:
        chosen = choose_peers(self._rng, peers, preferred)
        pulls = [self._pull_from(peer, PULL_TIMEOUT_MS) for peer in chosen]
        return any(await asyncio.gather(*pulls))

    async def _pull_from(
        self, peer: str, timeout_ms: float, pool: ChannelPool | None = None
    ) -> bool:
        since = self._section.version
        reply = await pull(pool or self._pool, peer, since, timeout_ms)
        match reply.and_then(parse_delta):
            case Ok(delta):
                self._observe_sender(reply.ok_value, peer)
                self._record_contact()
                if self._section.apply_delta(delta):
                    self._log_change(f"peer {peer}")
                return True
            case Err(failure):
                logging.debug("event=pull_failed peer=%s %s", peer, failure)
        return False

    async def _pull_at_start(
        self, peer: str, limit: asyncio.Semaphore
    ) -> bool:
        async with limit:
            if peer in self._pull_peers:
                return await self._pull_from(peer, START_CALL_TIMEOUT_MS)
            # In the largest deployment, connections to all peers would not
            # fit into the memory of a node, so those to peers outside the
            # subset are closed.
            pool = ChannelPool(self._pool.hello)
            try:
                return await self._pull_from(peer, START_CALL_TIMEOUT_MS, pool)
            finally:
                await pool.close()

    async def _read_head(self, store: KeyValueStore) -> bool:
        # Also covers a client that does not enforce its own timeout.
        try:
            async with asyncio.timeout(START_CALL_TIMEOUT_MS / 1_000):
                read = await store.get(HEAD_KEY)
        except TimeoutError:
            return False
        if isinstance(read, Ok):
            await self._apply_head(store, read.ok_value)
        return isinstance(read, Ok)

    async def _watch(self, store: KeyValueStore) -> bool:
        read = await store.watch(HEAD_KEY, self._head.version, WATCH_WAIT_MS)
        if isinstance(read, Ok):
            await self._apply_head(store, read.ok_value)
        return isinstance(read, Ok)

    async def _apply_head(self, store: KeyValueStore, head: Versioned) -> None:
        self._record_contact()
        if head == self._head:
            return
        self._head = head
        match parse_head(head.value):
            case Ok(document):
                if self._section.apply_document(document):
                    self._log_change("key-value service")
                elif document.has_lost_part_of(self._section.document):
                    await self._put_back(store, head, document)
            case Err(failure):
                logging.error("event=configuration_invalid %s", failure)

    async def _put_back(
        self, store: KeyValueStore, head: Versioned, stored: Document
    ) -> None:
        """Store again what a service restored from an older copy has lost.

        Of several entries one succeeds, as each expects the head it has read.
        The next watch delivers the result.
        """
        document = self._section.document.put_back_into(stored)
        formatted = format_document(document)
        if isinstance(formatted, Err):
            logging.error("event=configuration_lost %s", formatted.err_value)
            return
        written = await store.put(HEAD_KEY, formatted.ok_value, head.version)
        logging.warning(
            "event=configuration_put_back version=%d stored=%d outcome=%s",
            document.version,
            stored.version,
            "written" if isinstance(written, Ok) else written.err_value.code,
        )

    async def _handle_pull(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        self._observe_session(session)
        delta = self._section.delta_since(message.since_version or 0)
        await session.send(correlation, delta_message(delta, self._pool.hello))

    async def _handle_push(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        match parse_delta(message):
            case Ok(delta):
                if self._section.apply_delta(delta):
                    self._log_change("push")
                reply = idl.Ok()
                if self._section.version < delta.version:
                    reply = refusal_message(
                        DeltaRefused(f"starts at {delta.since}")
                    )
            case Err(failure):
                reply = refusal_message(failure)
        await session.send(correlation, reply)

    def _observe_session(self, session: Session) -> None:
        self._observe_sender(session.peer)

    def _observe_sender(self, peer: Any, address: str = "") -> None:
        now_ms = self._clock()
        self._zone_members.observe(
            peer.process_kind, peer.name, peer.zone, now_ms, address
        )

    def _record_contact(self) -> None:
        self._section.last_contact_ms = self._clock()

    def _log_change(self, source: str) -> None:
        logging.info(
            "event=configuration_changed version=%d source=%r",
            self._section.version,
            source,
        )
