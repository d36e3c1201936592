"""Handlers of the claim messages of the internal protocol."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import zip_longest
from typing import TYPE_CHECKING, Any, Final

from result import Err

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.claims.holders import Holder
from gooseberrypost.claims.shard import ClaimResult, NotOwner
from gooseberrypost.errors import ClaimsUnavailable, Superseded
from gooseberrypost.identity import check_key
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.state.claim import GrantRequest, RenewedContent, Verdict
from gooseberrypost.wire.defaults import fill_defaults
from gooseberrypost.wire.listener import refusal_message
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.claims.owner import ClaimOwnerController
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

EVIDENCE_SYNC_TIMEOUT_MS: Final = 500
"""How long a crash report waits until its evidence is stored.

The agent that reported the crash waits for the reply.
"""


def holder_of(session: Session) -> str:
    """Holder of claims at the other end of a session, as text."""
    peer = session.peer
    return str(Holder(peer.name, peer.incarnation, peer.address or ""))


async def dispatch_message(
    owner: ClaimOwnerController, message: Any, holder: str
) -> Any:
    """Handle a claim message of another process or of this entry.

    Absent scalar fields count as zero.
    """
    fill_defaults(message)
    return await _HANDLERS[type(message)](owner, message, holder)


async def _mint(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    key = owner.mint()
    if key is None:
        return refusal_message(
            ClaimsUnavailable("this entry owns no shard to mint a key for")
        )
    return idl.Minted(key=key)


async def _claim(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    match check_key(msg.key):
        case Err(failure):
            return refusal_message(failure)
    max_ms = owner.cfg.claims.retention_ms
    deadline_ms = max(0, min(msg.deadline_ms, max_ms))
    request = GrantRequest(
        msg.key,
        msg.digest,
        msg.idempotent,
        deadline_ms,
        tuple(msg.parts or ()),
    )
    result = await owner.claim(
        request, msg.service_name, holder, min(msg.wait_ms, max_ms)
    )
    return _reply(result, owner.owner_address(msg.key))


async def _renew(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    content = RenewedContent(msg.digest or b"", tuple(msg.parts or ()), holder)
    result = await owner.renew(msg.key, msg.attempt, content)
    if result.verdict is Verdict.SUPERSEDED:
        return refusal_message(
            Superseded(f"attempt {msg.attempt} is not current")
        )
    return _reply(result, owner.owner_address(msg.key))


async def _complete(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    stored = StoredAnswer(msg.status, msg.answer, msg.content_type)
    match await owner.complete(msg.key, msg.attempt, stored):
        case Err(failure):
            return refusal_message(failure)
    return idl.Ok()


async def _abandon(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    shard = owner.shard_for(msg.key)
    if shard is None:
        return refusal_message(NotOwner(msg.key))
    shard.abandon(msg.key, msg.attempt, msg.not_run)
    return idl.Ok()


async def _report_crash(
    owner: ClaimOwnerController, msg: Any, holder: str
) -> Any:
    """Record crash evidence, which takes effect before it is stored."""
    digests = msg.digests or ()
    suspects = {
        digest: Suspect(
            frozenset(part.hex() for part in parts), bool(has_begun)
        )
        for digest, parts, has_begun in zip_longest(
            digests,
            (msg.parts or ())[: len(digests)],
            (msg.begun or ())[: len(digests)],
            fillvalue=(),
        )
    }
    owner.evidence_store.report(msg.crash_id, msg.server, suspects)
    with suppress(TimeoutError):
        async with asyncio.timeout(EVIDENCE_SYNC_TIMEOUT_MS / 1_000):
            await owner.evidence_store.sync()
    return idl.Ok()


def _reply(result: ClaimResult, owner_address: str) -> Any:
    stored = result.answer
    return idl.ClaimReply(
        verdict=int(result.verdict),
        attempt=result.attempt,
        suspect=result.suspect,
        status=stored.status if stored else 0,
        answer=stored.body if stored else None,
        content_type=stored.content_type if stored else "",
        owner_address=owner_address,
        retry_after_ms=result.retry_after_ms,
        ran_before=result.ran_before,
    )


_HANDLERS: Final = {
    idl.Mint: _mint,
    idl.Claim: _claim,
    idl.Renew: _renew,
    idl.Complete: _complete,
    idl.Abandon: _abandon,
    idl.CrashReport: _report_crash,
}


class MessageHandlers:
    """Handles claim messages and tracks the sessions of claim holders."""

    def __init__(self, owner: ClaimOwnerController) -> None:
        self._owner = owner
        self._session_counts: dict[str, int] = {}
        self._connected_entries: set[str] = set()

    def other_entries(self) -> int:
        """Return the number of other entries with an open session."""
        own = self._owner.holder
        return sum(holder != own for holder in self._connected_entries)

    def is_connected(self, holder: str) -> bool:
        """Whether a holder has an open session or is this entry itself."""
        return holder in self._session_counts or holder == self._owner.holder

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the message handlers and the session callbacks."""
        for message_type in _HANDLERS:
            dispatcher.register(message_type, self._handle)
        dispatcher.on_connect(self._on_connect)
        dispatcher.on_disconnect(self._on_disconnect)

    def _on_connect(self, session: Session) -> None:
        holder = holder_of(session)
        if session.peer.process_kind == "entry":
            self._connected_entries.add(holder)
        self._session_counts[holder] = self._session_counts.get(holder, 0) + 1
        for shard in self._owner.section.shards.values():
            shard.claims.holder_reconnected(holder)

    def _on_disconnect(self, session: Session) -> None:
        holder = holder_of(session)
        self._session_counts[holder] -= 1
        if self._session_counts[holder]:
            return
        del self._session_counts[holder]
        self._connected_entries.discard(holder)
        for shard in self._owner.section.shards.values():
            shard.holder_lost(holder)

    async def _handle(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        if session.closed.is_set():
            # The end of a session orphans its claims. This session has ended
            # already, so nothing would orphan a claim that is made now.
            return
        reply = await dispatch_message(
            self._owner, message, holder_of(session)
        )
        if session.closed.is_set():
            self._abandon_undelivered_grant(reply, message)
        await session.send(correlation, reply)

    def _abandon_undelivered_grant(self, reply: Any, message: Any) -> None:
        """Abandon a grant whose reply cannot be delivered.

        The session ended before the grant, so its end did not orphan the
        claim, which would be held until its deadline.
        """
        if not isinstance(message, idl.Claim):
            return
        if getattr(reply, "verdict", None) != Verdict.GRANTED:
            return
        shard = self._owner.shard_for(message.key)
        if shard is not None:
            shard.abandon(message.key, reply.attempt, not_run=True)
