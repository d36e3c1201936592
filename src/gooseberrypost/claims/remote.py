"""Claim client: finds the owner of a key and asks it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.claims._messages import answer as answer_locally
from gooseberrypost.claims.client import (
    AnsweredBefore,
    ClaimClient,
    ClaimRequest,
    Grant,
    StoredAnswer,
)
from gooseberrypost.claims.shard import CompletionUnconfirmed, NotOwner
from gooseberrypost.errors import (
    ClaimsUnavailable,
    ConnectionLost,
    Duplicate,
    Failure,
    KeyReused,
    Outcome,
    PeerUnreachable,
    Quarantined,
    TimedOut,
    UnknownOutcome,
)
from gooseberrypost.identity import shard_of
from gooseberrypost.state.claim import Verdict
from gooseberrypost.state.heads import ShardHead, head_key
from gooseberrypost.wire.channel import refusal_of
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.claims.owner import ClaimOwnerController
    from gooseberrypost.settings.entry import EntrySettings
    from gooseberrypost.stores.keyvalue import KeyValueStore
    from gooseberrypost.wire.channel import ChannelPool

REPLY_MS: Final = 3_000
"""Longer than an owner waits for its log."""
HOLD_MS: Final = 15_000
"""Time for which an owner keeps a claim until its log can be written."""
OWNER_WAIT_MS: Final = 20_000
"""Time for a lost owner's lease to lapse and its shard to be taken."""
OUTAGE_WAIT_MS: Final = 2_000
"""Wait for an owner while no other can take its shard."""
COMPLETE_WAIT_MS: Final = 20_000
ABANDON_WAIT_MS: Final = 3_000
OWNER_CHECK_S: Final = 1.0
RETRY_MIN_MS: Final = 50
RETRY_MAX_MS: Final = 500
RETRY_AFTER_MS: Final = 2_000


class QuarantinedAfterRun(Quarantined):
    """Content was convicted while this request ran, which it may have."""

    code = "quarantined_after_run"
    outcome = Outcome.FAILED


class RemoteClaimClient(ClaimClient):
    """Asks the owner over the internal protocol, or directly if local.

    An owner that cannot be reached proves nothing about a key that may have
    been sent before, so ``ClaimsUnavailable`` (not run) is said of such a key
    only by an owner; this client says ``UnknownOutcome``.
    """

    def __init__(
        self,
        shards: int,
        store: KeyValueStore,
        pool: ChannelPool,
        peers: list[str],
        rng: random.Random,
        clock_ms: Callable[[], int],
        local: ClaimOwnerController | None = None,
    ) -> None:
        self._shards = shards
        self._store = store
        self._pool = pool
        self._peers = peers
        self._rng = rng
        self._clock_ms = clock_ms
        self._local = local
        self._addresses: dict[int, str] = {}
        self._hints: dict[int, str] = {}
        self._store_fails = False

    @classmethod
    def from_config(
        cls,
        cfg: EntrySettings,
        store: KeyValueStore,
        pool: ChannelPool,
        rng: random.Random,
        clock_ms: Callable[[], int],
        local: ClaimOwnerController | None = None,
    ) -> RemoteClaimClient:
        """Build for an entry; ``local`` is its own claim owner."""
        return cls(
            cfg.claims.shards, store, pool, cfg.peers, rng, clock_ms, local
        )

    async def mint(self, service: str) -> Result[str, Failure]:
        """Get a new key from this entry or any owner that is reachable."""
        key = self._local.mint() if self._local is not None else None
        if key is not None:
            return Ok(key)
        shards = list(range(self._shards))
        self._rng.shuffle(shards)
        addresses = [await self._address(shard) for shard in shards]
        for address in dict.fromkeys([*addresses, *self._peers]):
            if not address:
                continue
            message = idl.Mint(service_name=service)
            reply = await self._pool.request(address, message, REPLY_MS)
            if isinstance(reply.ok(), idl.Minted):
                return Ok(reply.ok_value.key)
        return Err(self._unavailable("no owner can mint a key"))

    async def claim(self, req: ClaimRequest) -> Result[Grant, Failure]:
        """Ask for permission to run; see ``ClaimClient.claim``."""
        message = idl.Claim(
            key=req.key,
            digest=req.digest,
            service_name=req.service,
            idempotent=req.idempotent,
            deadline_ms=req.deadline_ms,
            wait_ms=req.wait_ms,
            fresh=req.fresh,
        )
        reply = await self._ask(
            message,
            REPLY_MS + max(req.wait_ms, min(req.deadline_ms, HOLD_MS)),
            min(req.deadline_ms, OWNER_WAIT_MS),
            repeat=req.idempotent and not req.fresh,
        )
        if isinstance(reply, Ok):
            return self._granted(req.key, reply.ok_value)
        if req.fresh and isinstance(reply.err_value, UnknownOutcome):
            # Nobody else knows the key, and this call was not granted.
            return Err(self._unavailable(str(reply.err_value)))
        return reply

    async def renew(self, key: str, attempt: int) -> Result[Grant, Failure]:
        """Replace an attempt by the next one."""
        message = idl.Renew(key=key, attempt=attempt)
        reply = await self._ask(message, REPLY_MS, REPLY_MS)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.verdict == Verdict.QUARANTINED:
            return Err(QuarantinedAfterRun("content crashed two servers"))
        return self._granted(key, reply.ok_value)

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record the whole answer; sent again until an owner decides."""
        message = idl.Complete(
            key=key,
            attempt=attempt,
            status=answer.status,
            answer=answer.body,
            content_type=answer.content_type,
        )
        reply = await self._ask(
            message, REPLY_MS, COMPLETE_WAIT_MS, repeat=True
        )
        return reply.map(lambda done: None)

    async def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """Give the claim up; an owner that does not hear it is cautious."""
        message = idl.Abandon(key=key, attempt=attempt, not_run=not_run)
        await self._ask(message, REPLY_MS, ABANDON_WAIT_MS, repeat=True)

    async def _ask(
        self,
        message: Any,
        reply_ms: int,
        owner_ms: int,
        repeat: bool = False,
    ) -> Result[Any, Failure]:
        """Send to the owner until one answers, for at most ``owner_ms``.

        ``repeat`` sends again after a connection was lost.
        """
        start_ms = self._clock_ms()
        pause_ms = RETRY_MIN_MS
        while True:
            reply = await self._ask_once(message, reply_ms)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if not self._may_retry(failure, repeat):
                return reply
            limit_ms = owner_ms
            lost = isinstance(failure, PeerUnreachable | NotOwner)
            if lost and self._store_fails:
                limit_ms = min(owner_ms, OUTAGE_WAIT_MS)
            if self._clock_ms() - start_ms + pause_ms >= limit_ms:
                return Err(self._no_owner(failure))
            await asyncio.sleep(self._rng.uniform(0.5, 1) * pause_ms / 1_000)
            pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    def _may_retry(self, failure: Failure, repeat: bool) -> bool:
        if isinstance(failure, PeerUnreachable | NotOwner):
            return True
        lost = (ConnectionLost, TimedOut, CompletionUnconfirmed)
        return repeat and isinstance(failure, lost)

    async def _ask_once(
        self, message: Any, reply_ms: int
    ) -> Result[Any, Failure]:
        shard = shard_of(message.key, self._shards)
        if self._local is not None and self._local.shard_for(message.key):
            reply = await answer_locally(
                self._local, message, self._local.holder
            )
            return self._checked(shard, reply)
        address = await self._address(shard)
        if not address:
            return Err(NotOwner(f"shard {shard} has no owner"))
        sent = await self._request(shard, address, message, reply_ms)
        if isinstance(sent, Err):
            self._addresses.pop(shard, None)
            return sent
        return self._checked(shard, sent.ok_value)

    async def _request(
        self, shard: int, address: str, message: Any, reply_ms: int
    ) -> Result[Any, Failure]:
        """Ask an owner until it answers or has lost the shard.

        A paused owner keeps its connections, so only its lapsed lease shows
        that it will not answer. Its successor may be asked: a grant that the
        former owner made without telling is in the log or was never made.
        """
        asked = asyncio.create_task(
            self._pool.request(address, message, reply_ms)
        )
        try:
            while True:
                await asyncio.wait([asked], timeout=OWNER_CHECK_S)
                if asked.done():
                    return asked.result()
                if await self._has_moved(shard, address):
                    return Err(NotOwner(f"shard {shard} left {address}"))
        finally:
            asked.cancel()

    async def _has_moved(self, shard: int, address: str) -> bool:
        if self._local is not None and shard in self._local.section.shards:
            return True
        read = await self._store.get(head_key(shard))
        if isinstance(read, Err):
            return False
        head = ShardHead.parse(read.ok_value.value).unwrap_or(ShardHead())
        return bool(head.address) and head.address != address

    def _checked(self, shard: int, reply: Any) -> Result[Any, Failure]:
        """Turn a refusal into a failure, and learn from ``NOT_OWNER``."""
        failure = refusal_of(reply)
        if (
            isinstance(reply, idl.ClaimReply)
            and reply.verdict == Verdict.NOT_OWNER
        ):
            failure = NotOwner(f"shard {shard}")
            self._hints[shard] = reply.owner_address
        if isinstance(failure, NotOwner):
            self._addresses.pop(shard, None)
        return Ok(reply) if failure is None else Err(failure)

    async def _address(self, shard: int) -> str:
        """Owner of a shard: cached, read, hinted at, or any peer to ask."""
        cached = self._addresses.get(shard, "")
        if cached:
            return cached
        read = await self._store.get(head_key(shard))
        self._store_fails = isinstance(read, Err)
        if isinstance(read, Ok):
            head = ShardHead.parse(read.ok_value.value).unwrap_or(ShardHead())
            address = head.address
        else:
            address = self._hints.pop(shard, "") or self._any_peer()
        if self._local is not None and address == self._local.address:
            return ""
        if address:
            self._addresses[shard] = address
        return address

    def _any_peer(self) -> str:
        return self._rng.choice(self._peers) if self._peers else ""

    def _granted(self, key: str, reply: Any) -> Result[Grant, Failure]:
        match reply.verdict:
            case Verdict.GRANTED:
                # An owner of an older release does not say whether it ran.
                ran_before = reply.ran_before is not False
                suspect = bool(reply.suspect)
                return Ok(Grant(key, reply.attempt, suspect, ran_before))
            case Verdict.RUNNING:
                return Err(Duplicate("the request is running"))
            case Verdict.COMPLETED if reply.answer is None:
                return Err(Duplicate("answered; the answer was evicted"))
            case Verdict.COMPLETED:
                stored = StoredAnswer(
                    reply.status, reply.answer, reply.content_type
                )
                return Err(AnsweredBefore(stored))
            case Verdict.KEY_REUSED:
                return Err(KeyReused("the key was used with another body"))
            case Verdict.QUARANTINED:
                return Err(Quarantined("content crashed two servers"))
            case Verdict.UNAVAILABLE:
                return Err(self._unavailable("the claim cannot be recorded"))
        failure = UnknownOutcome("the request may have run before")
        failure.retry_after_ms = reply.retry_after_ms or None
        return Err(failure)

    def _unavailable(self, detail: str) -> ClaimsUnavailable:
        return ClaimsUnavailable(detail, retry_after_ms=RETRY_AFTER_MS)

    def _no_owner(self, cause: Failure) -> UnknownOutcome:
        return UnknownOutcome(
            f"no claim owner answered: {cause}", retry_after_ms=RETRY_AFTER_MS
        )
