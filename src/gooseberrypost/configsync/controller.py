"""Keeps the configuration of a process at the newest version it can learn."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err, Ok

from gooseberrypost.configsync.members import (
    PEER_SUBSET,
    Members,
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
from gooseberrypost.state.document import parse_head
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.listener import refused
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.stores.keyvalue import KeyValueStore, Versioned
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

OWNER: Final = "ConfigurationController"
PULL_INTERVAL_MS: Final = 2_000
PULL_TIMEOUT_MS: Final = 1_000
START_TIMEOUT_MS: Final = 1_500
START_LIMIT_MS: Final = 5_000
"""A process starts with what it has learned until then."""
START_SOURCES: Final = 2
"""Peers asked for a whole configuration when the service does not answer."""
START_CONCURRENCY: Final = 64
WATCH_WAIT_MS: Final = 30_000
RETRY_MS: Final = 1_000
MEMBER_WINDOW_PULLS: Final = 15


class DeltaRefused(NotRun):
    """The delta starts after the version of this process."""

    code = "delta_refused"
    http_status = 409


class ConfigurationController(Service):
    """Pulls from peers, and watches the key-value service if chosen.

    The controller owns the section ``Configuration``, which it adds to the
    blackboard. ``store`` is ``None`` in processes that never ask the
    key-value service.
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
        board.add(Configuration(), owner=OWNER)
        self._section = board.write(Configuration, OWNER)
        self._pool = pool
        self._peers = list(dict.fromkeys(peers))
        self._store = store
        self._rng = rng or random.Random()
        self._clock = clock
        self._pause = sleep or self.sleep
        self._pull_interval_ms = pull_interval_ms
        hello = pool.hello
        self._near = rendezvous_lowest(self._peers, hello.name, PEER_SUBSET)
        self._members = Members(
            hello.name, hello.zone, MEMBER_WINDOW_PULLS * pull_interval_ms
        )
        self._head_version = 0

    def register(self, dispatcher: Dispatcher) -> None:
        """Answer the peers' pulls and take their pushes."""
        dispatcher.register(idl.ConfigPull, self._answer_pull)
        dispatcher.register(idl.ConfigDelta, self._take_push)
        dispatcher.on_connect(self._note_session)

    async def on_start(self) -> None:
        """Learn the highest version of the service and all peers."""
        try:
            async with asyncio.timeout(START_LIMIT_MS / 1_000):
                await self._learn_first()
                limit = asyncio.Semaphore(START_CONCURRENCY)
                asks = [self._ask_at_start(p, limit) for p in self._peers]
                await asyncio.gather(*asks)
        except TimeoutError:
            logging.warning("event=configuration_start_incomplete")
        logging.info(
            "event=configuration_started version=%d", self._section.version
        )

    async def _learn_first(self) -> None:
        """Take one whole configuration, so that peers send only changes.

        Asked all at once, every peer sent the whole configuration: 120 peers
        sent 9,600 records each, 116 MB in all.
        """
        if self._store is not None:
            await self._read_head(self._store)
        if not self._section.version:
            sources = self._near[:START_SOURCES]
            asks = [self._pull_from(p, START_TIMEOUT_MS) for p in sources]
            await asyncio.gather(*asks)

    @Service.task
    async def _pull_periodically(self) -> None:
        while not self.should_stop:
            # Jitter keeps the processes from pulling in step.
            jitter = self._rng.uniform(0.9, 1.1)
            await self._pause(jitter * self._pull_interval_ms / 1_000)
            await self.pull_once()

    @Service.task
    async def _watch_when_chosen(self) -> None:
        store = self._store
        if store is None or self._pool.hello.process_kind != "entry":
            return
        while not self.should_stop:
            if not self._members.watches(self._clock()):
                await self._pause(self._pull_interval_ms / 1_000)
            elif not await self._watch(store):
                delay_ms = self._rng.uniform(RETRY_MS / 2, RETRY_MS)
                await self._pause(delay_ms / 1_000)

    async def pull_once(self) -> None:
        """Pull from two random peers; from any peer when none answers.

        An entry takes one of them from the likely watchers of its zone.
        """
        if not await self._pull_from_some(self._near, self._candidates()):
            others = [p for p in self._peers if p not in self._near]
            await self._pull_from_some(others)

    def _candidates(self) -> list[str]:
        if self._pool.hello.process_kind != "entry":
            return []
        return self._members.candidates(self._clock())

    async def _pull_from_some(
        self, peers: Sequence[str], preferred: Sequence[str] = ()
    ) -> bool:
        chosen = choose_peers(self._rng, peers, preferred)
        pulls = [self._pull_from(peer, PULL_TIMEOUT_MS) for peer in chosen]
        return any(await asyncio.gather(*pulls))

    async def _pull_from(
        self, peer: str, timeout_ms: float, pool: ChannelPool | None = None
    ) -> bool:
        since = self._section.version
        answer = await pull(pool or self._pool, peer, since, timeout_ms)
        match answer.and_then(parse_delta):
            case Ok(delta):
                self._note_sender(answer.ok_value, peer)
                self._contacted()
                if self._section.apply_delta(delta):
                    self._log_change(f"peer {peer}")
                return True
            case Err(failure):
                logging.debug("event=pull_failed peer=%s %s", peer, failure)
        return False

    async def _ask_at_start(self, peer: str, limit: asyncio.Semaphore) -> bool:
        async with limit:
            if peer in self._near:
                return await self._pull_from(peer, START_TIMEOUT_MS)
            # Connections to all peers would not fit into the memory of a
            # node at full size, so those not used later are closed.
            pool = ChannelPool(self._pool.hello)
            try:
                return await self._pull_from(peer, START_TIMEOUT_MS, pool)
            finally:
                await pool.close()

    async def _read_head(self, store: KeyValueStore) -> bool:
        # The client bounds the call; this bounds a client that does not.
        try:
            async with asyncio.timeout(START_TIMEOUT_MS / 1_000):
                read = await store.get(HEAD_KEY)
        except TimeoutError:
            return False
        if isinstance(read, Ok):
            self._take_head(read.ok_value)
        return isinstance(read, Ok)

    async def _watch(self, store: KeyValueStore) -> bool:
        read = await store.watch(HEAD_KEY, self._head_version, WATCH_WAIT_MS)
        if isinstance(read, Ok):
            self._take_head(read.ok_value)
        return isinstance(read, Ok)

    def _take_head(self, head: Versioned) -> None:
        self._contacted()
        if head.version == self._head_version:
            return
        self._head_version = head.version
        match parse_head(head.value):
            case Ok(document):
                if self._section.apply_document(document):
                    self._log_change("key-value service")
            case Err(failure):
                logging.error("event=configuration_invalid %s", failure)

    async def _answer_pull(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        self._note_session(session)
        delta = self._section.delta_since(message.since_version or 0)
        await session.send(correlation, delta_message(delta, self._pool.hello))

    async def _take_push(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        match parse_delta(message):
            case Ok(delta):
                if self._section.apply_delta(delta):
                    self._log_change("push")
                reply = idl.Ok()
                if self._section.version < delta.version:
                    reply = refused(DeltaRefused(f"starts at {delta.since}"))
            case Err(failure):
                reply = refused(failure)
        await session.send(correlation, reply)

    def _note_session(self, session: Session) -> None:
        self._note_sender(session.peer)

    def _note_sender(self, peer: Any, address: str = "") -> None:
        now_ms = self._clock()
        self._members.heard(
            peer.process_kind, peer.name, peer.zone, now_ms, address
        )

    def _contacted(self) -> None:
        self._section.last_contact_ms = self._clock()

    def _log_change(self, source: str) -> None:
        logging.info(
            "event=configuration_changed version=%d source=%r",
            self._section.version,
            source,
        )
