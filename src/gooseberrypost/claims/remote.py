"""Claim client that locates the owner of a key and calls it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.claims._handlers import dispatch_message
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
from gooseberrypost.wire.channel import failure_from_refusal
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.claims.owner import ClaimOwnerController
    from gooseberrypost.settings.entry import EntrySettings
    from gooseberrypost.stores.keyvalue import KeyValueStore
    from gooseberrypost.wire.channel import ChannelPool

REPLY_TIMEOUT_MS: Final = 3_000
"""Longer than an owner waits for a record to be logged."""
MAX_LOG_WAIT_MS: Final = 15_000
"""How long an owner may keep a claim in memory until it is logged.

This happens in an outage of the key-value service.
"""
TAKEOVER_TIMEOUT_MS: Final = 20_000
"""Covers the lapse of a lost owner's lease and the takeover of its shard."""
OUTAGE_TAKEOVER_TIMEOUT_MS: Final = 2_000
"""Time limit to find an owner in an outage of the key-value service.

No other entry can take over a shard meanwhile.
"""
COMPLETE_TIMEOUT_MS: Final = 20_000
ABANDON_TIMEOUT_MS: Final = 3_000
OWNER_CHECK_INTERVAL_S: Final = 1.0
RETRY_MIN_MS: Final = 50
RETRY_MAX_MS: Final = 500
RETRY_AFTER_MS: Final = 2_000


class QuarantinedAfterRun(Quarantined):
    """The content was convicted after the request was granted.

    The request may have run.
    """

    code = "quarantined_after_run"
    outcome = Outcome.FAILED


class RemoteClaimClient(ClaimClient):
    """Calls the owner over the internal protocol, or directly if local.

    If no owner can be reached, a request whose key may have been sent before
    may have run. For such a key only an owner may report ``ClaimsUnavailable``
    (not run); this client reports ``UnknownOutcome``.
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
        self._known_owners: dict[int, str] = {}
        self._hinted_owners: dict[int, str] = {}
        self._store_unavailable = False

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
        """Build the client of an entry; ``local`` is its own claim owner."""
        return cls(
            cfg.claims.shards, store, pool, cfg.peers, rng, clock_ms, local
        )

    async def mint(self, service: str) -> Result[str, Failure]:
        """Get a new key from this entry or any reachable owner."""
        key = self._local.mint() if self._local is not None else None
        if key is not None:
            return Ok(key)
        shards = list(range(self._shards))
        self._rng.shuffle(shards)
        addresses = [await self._owner_address(shard) for shard in shards]
        for address in dict.fromkeys([*addresses, *self._peers]):
            if not address:
                continue
            message = idl.Mint(service_name=service)
            reply = await self._pool.request(
                address, message, REPLY_TIMEOUT_MS
            )
            if isinstance(reply.ok(), idl.Minted):
                return Ok(reply.ok_value.key)
        return Err(
            self._unavailable("no reachable claim owner can mint a key")
        )

    async def claim(self, req: ClaimRequest) -> Result[Grant, Failure]:
        """Request permission to run a request; see ``ClaimClient.claim``."""
        message = idl.Claim(
            key=req.key,
            digest=req.digest,
            service_name=req.service,
            idempotent=req.idempotent,
            deadline_ms=req.deadline_ms,
            wait_ms=req.wait_ms,
            fresh=req.fresh,
            parts=list(req.parts),
        )
        reply = await self._call_owner(
            message,
            REPLY_TIMEOUT_MS
            + max(req.wait_ms, min(req.deadline_ms, MAX_LOG_WAIT_MS)),
            min(req.deadline_ms, TAKEOVER_TIMEOUT_MS),
            resend=req.idempotent and not req.fresh,
        )
        if isinstance(reply, Ok):
            return self._parse_grant(req.key, reply.ok_value)
        if req.fresh and isinstance(reply.err_value, UnknownOutcome):
            # No other request has this key, and this call was not granted.
            return Err(self._unavailable(str(reply.err_value)))
        return reply

    async def renew(
        self, req: ClaimRequest, attempt: int
    ) -> Result[Grant, Failure]:
        """Supersede an attempt of a granted claim by its holder's next one."""
        message = idl.Renew(
            key=req.key,
            attempt=attempt,
            digest=req.digest,
            parts=list(req.parts),
        )
        reply = await self._call_owner(
            message, REPLY_TIMEOUT_MS, TAKEOVER_TIMEOUT_MS, resend=True
        )
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.verdict == Verdict.QUARANTINED:
            return Err(
                QuarantinedAfterRun("the content crashed two backend servers")
            )
        return self._parse_grant(req.key, reply.ok_value)

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record the complete answer; resent until an owner decides on it."""
        message = idl.Complete(
            key=key,
            attempt=attempt,
            status=answer.status,
            answer=answer.body,
            content_type=answer.content_type,
        )
        reply = await self._call_owner(
            message, REPLY_TIMEOUT_MS, COMPLETE_TIMEOUT_MS, resend=True
        )
        return reply.map(lambda done: None)

    async def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """End the claim without an answer.

        An owner that is not reached assumes that the request may have run.
        """
        message = idl.Abandon(key=key, attempt=attempt, not_run=not_run)
        await self._call_owner(
            message, REPLY_TIMEOUT_MS, ABANDON_TIMEOUT_MS, resend=True
        )

    async def _call_owner(
        self,
        message: Any,
        reply_timeout_ms: int,
        owner_timeout_ms: int,
        resend: bool = False,
    ) -> Result[Any, Failure]:
        """Call the owner until it replies or ``owner_timeout_ms`` have passed.

        With ``resend``, a message is also sent again when its outcome is
        unknown, as after a lost connection or a timeout.
        """
        start_ms = self._clock_ms()
        pause_ms = RETRY_MIN_MS
        while True:
            reply = await self._call_once(message, reply_timeout_ms)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if not self._may_retry(failure, resend):
                return reply
            limit_ms = owner_timeout_ms
            not_received = isinstance(failure, PeerUnreachable | NotOwner)
            if not_received and self._store_unavailable:
                limit_ms = min(owner_timeout_ms, OUTAGE_TAKEOVER_TIMEOUT_MS)
            if self._clock_ms() - start_ms + pause_ms >= limit_ms:
                return Err(self._no_owner_replied(failure))
            await asyncio.sleep(self._rng.uniform(0.5, 1) * pause_ms / 1_000)
            pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    def _may_retry(self, failure: Failure, resend: bool) -> bool:
        if isinstance(failure, PeerUnreachable | NotOwner):
            return True
        unsettled = (ConnectionLost, TimedOut, CompletionUnconfirmed)
        return resend and isinstance(failure, unsettled)

    async def _call_once(
        self, message: Any, reply_timeout_ms: int
    ) -> Result[Any, Failure]:
        shard = shard_of(message.key, self._shards)
        if self._local is not None and self._local.shard_for(message.key):
            reply = await dispatch_message(
                self._local, message, self._local.holder
            )
            return self._check_reply(shard, reply)
        address = await self._owner_address(shard)
        if not address:
            return Err(NotOwner(f"shard {shard} has no owner"))
        sent = await self._call_remote(
            shard, address, message, reply_timeout_ms
        )
        if isinstance(sent, Err):
            self._known_owners.pop(shard, None)
            return sent
        return self._check_reply(shard, sent.ok_value)

    async def _call_remote(
        self, shard: int, address: str, message: Any, reply_timeout_ms: int
    ) -> Result[Any, Failure]:
        """Call an owner until it replies or another owner has the shard.

        A paused owner keeps its connections open, so only the head written
        by its successor shows that it will not reply. It is safe to call the
        successor: a grant that the former owner made and did not deliver is
        either in the log or took no effect.
        """
        call = asyncio.create_task(
            self._pool.request(address, message, reply_timeout_ms)
        )
        try:
            while True:
                await asyncio.wait([call], timeout=OWNER_CHECK_INTERVAL_S)
                if call.done():
                    return call.result()
                if await self._has_new_owner(shard, address):
                    return Err(
                        NotOwner(
                            f"shard {shard} is no longer owned by {address}"
                        )
                    )
        finally:
            call.cancel()

    async def _has_new_owner(self, shard: int, address: str) -> bool:
        if self._local is not None and shard in self._local.section.shards:
            return True
        read = await self._store.get(head_key(shard))
        if isinstance(read, Err):
            return False
        head = ShardHead.parse(read.ok_value.value).unwrap_or(ShardHead())
        return bool(head.address) and head.address != address

    def _check_reply(self, shard: int, reply: Any) -> Result[Any, Failure]:
        """Turn a refusal into a failure; ``NOT_OWNER`` updates the cache."""
        failure = failure_from_refusal(reply)
        if (
            isinstance(reply, idl.ClaimReply)
            and reply.verdict == Verdict.NOT_OWNER
        ):
            failure = NotOwner(
                f"shard {shard} is not owned by the entry called"
            )
            self._hinted_owners[shard] = reply.owner_address
        if isinstance(failure, NotOwner):
            self._known_owners.pop(shard, None)
        return Ok(reply) if failure is None else Err(failure)

    async def _owner_address(self, shard: int) -> str:
        """Address to call for a shard; empty if there is none.

        That is the cached owner or the one named by the shard's head. If the
        head cannot be read, it is the owner that a peer named last, or any
        peer.
        """
        cached = self._known_owners.get(shard, "")
        if cached:
            return cached
        read = await self._store.get(head_key(shard))
        self._store_unavailable = isinstance(read, Err)
        if isinstance(read, Ok):
            head = ShardHead.parse(read.ok_value.value).unwrap_or(ShardHead())
            address = head.address
        else:
            address = self._hinted_owners.pop(shard, "") or self._any_peer()
        if self._local is not None and address == self._local.address:
            return ""
        if address:
            self._known_owners[shard] = address
        return address

    def _any_peer(self) -> str:
        return self._rng.choice(self._peers) if self._peers else ""

    def _parse_grant(self, key: str, reply: Any) -> Result[Grant, Failure]:
        match reply.verdict:
            case Verdict.GRANTED:
                # Owners of older releases omit the field; assume that it ran.
                ran_before = reply.ran_before is not False
                suspect = bool(reply.suspect)
                return Ok(Grant(key, reply.attempt, suspect, ran_before))
            case Verdict.RUNNING:
                return Err(
                    Duplicate("another attempt of the request is running")
                )
            case Verdict.COMPLETED if reply.answer is None:
                return Err(
                    Duplicate(
                        "the request was answered; the answer was evicted"
                    )
                )
            case Verdict.COMPLETED:
                stored = StoredAnswer(
                    reply.status, reply.answer, reply.content_type
                )
                return Err(AnsweredBefore(stored))
            case Verdict.KEY_REUSED:
                return Err(KeyReused("the key was used with a different body"))
            case Verdict.QUARANTINED:
                return Err(
                    Quarantined("the content crashed two backend servers")
                )
            case Verdict.UNAVAILABLE:
                return Err(self._unavailable("the claim cannot be recorded"))
        failure = UnknownOutcome("the request may have run before")
        failure.retry_after_ms = reply.retry_after_ms or None
        return Err(failure)

    def _unavailable(self, detail: str) -> ClaimsUnavailable:
        return ClaimsUnavailable(detail, retry_after_ms=RETRY_AFTER_MS)

    def _no_owner_replied(self, cause: Failure) -> UnknownOutcome:
        return UnknownOutcome(
            f"no claim owner replied: {cause}", retry_after_ms=RETRY_AFTER_MS
        )
