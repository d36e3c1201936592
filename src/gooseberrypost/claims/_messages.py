"""Claim messages of other processes, answered by the controller's shards."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from result import Err

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.claims.holders import Holder
from gooseberrypost.claims.shard import Judgement, NotOwner
from gooseberrypost.errors import ClaimsUnavailable, Superseded
from gooseberrypost.identity import check_key
from gooseberrypost.state.claim import GrantRequest, Verdict
from gooseberrypost.wire.listener import refused
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.claims.owner import ClaimOwnerController
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

REPORT_SYNC_MS: Final = 500
"""Time for crash evidence to be stored before the agent goes on."""


def holder_of(session: Session) -> str:
    """Process at the other end of a session."""
    peer = session.peer
    return str(Holder(peer.name, peer.incarnation, peer.address or ""))


async def answer(
    owner: ClaimOwnerController, message: Any, holder: str
) -> Any:
    """Answer a claim message of another process or of this entry."""
    return await _ANSWERS[type(message)](owner, message, holder)


async def _mint(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    key = owner.mint()
    if key is None:
        return refused(ClaimsUnavailable("no shard is held here"))
    return idl.Minted(key=key)


async def _claim(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    match check_key(msg.key):
        case Err(failure):
            return refused(failure)
    longest_ms = owner.cfg.claims.retention_ms
    deadline_ms = max(0, min(msg.deadline_ms, longest_ms))
    ask = GrantRequest(msg.key, msg.digest, msg.idempotent, deadline_ms)
    judgement = await owner.claim(
        ask, msg.service_name, holder, min(msg.wait_ms, longest_ms)
    )
    return _reply(judgement, owner.owner_address(msg.key))


async def _renew(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    judgement = owner.renew(msg.key, msg.attempt)
    if judgement.verdict is Verdict.SUPERSEDED:
        return refused(Superseded(f"attempt {msg.attempt} is not current"))
    return _reply(judgement, owner.owner_address(msg.key))


async def _complete(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    stored = StoredAnswer(msg.status, msg.answer, msg.content_type)
    match await owner.complete(msg.key, msg.attempt, stored):
        case Err(failure):
            return refused(failure)
    return idl.Ok()


async def _abandon(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    shard = owner.shard_for(msg.key)
    if shard is None:
        return refused(NotOwner(msg.key))
    shard.abandon(msg.key, msg.attempt, msg.not_run)
    return idl.Ok()


async def _report(owner: ClaimOwnerController, msg: Any, holder: str) -> Any:
    """Take crash evidence; it counts in memory before it is stored."""
    owner.keeper.report(msg.crash_id, msg.server, msg.digests)
    with suppress(TimeoutError):
        async with asyncio.timeout(REPORT_SYNC_MS / 1_000):
            await owner.keeper.sync()
    return idl.Ok()


def _reply(judgement: Judgement, owner_address: str) -> Any:
    stored = judgement.answer
    return idl.ClaimReply(
        verdict=int(judgement.verdict),
        attempt=judgement.attempt,
        suspect=judgement.suspect,
        status=stored.status if stored else 0,
        answer=stored.body if stored else None,
        content_type=stored.content_type if stored else "",
        owner_address=owner_address,
        retry_after_ms=judgement.retry_after_ms,
        ran_before=judgement.ran_before,
    )


_ANSWERS: Final = {
    idl.Mint: _mint,
    idl.Claim: _claim,
    idl.Renew: _renew,
    idl.Complete: _complete,
    idl.Abandon: _abandon,
    idl.CrashReport: _report,
}


class MessageHandlers:
    """Registered on the dispatcher of the internal listener."""

    def __init__(self, owner: ClaimOwnerController) -> None:
        self._owner = owner
        self._sessions: dict[str, int] = {}
        self._entries: set[str] = set()

    def entries(self) -> int:
        """Return the number of other entries that are connected."""
        own = self._owner.holder
        return sum(holder != own for holder in self._entries)

    def is_connected(self, holder: str) -> bool:
        """Whether a holder has a session whose end would be noticed."""
        return holder in self._sessions or holder == self._owner.holder

    def register(self, dispatcher: Dispatcher) -> None:
        """Accept the claim messages and follow the sessions."""
        for message_type in _ANSWERS:
            dispatcher.register(message_type, self._handle)
        dispatcher.on_connect(self._connected)
        dispatcher.on_disconnect(self._disconnected)

    def _connected(self, session: Session) -> None:
        holder = holder_of(session)
        if session.peer.process_kind == "entry":
            self._entries.add(holder)
        self._sessions[holder] = self._sessions.get(holder, 0) + 1
        for shard in self._owner.section.shards.values():
            shard.claims.holder_reconnected(holder)

    def _disconnected(self, session: Session) -> None:
        holder = holder_of(session)
        self._sessions[holder] -= 1
        if self._sessions[holder]:
            return
        del self._sessions[holder]
        self._entries.discard(holder)
        for shard in self._owner.section.shards.values():
            shard.holder_lost(holder)

    async def _handle(
        self, session: Session, number: int, message: Any
    ) -> None:
        if session.closed.is_set():
            # A claim made now would have no session whose end orphans it.
            return
        reply = await answer(self._owner, message, holder_of(session))
        if session.closed.is_set():
            self._take_back(reply, message)
        await session.send(number, reply)

    def _take_back(self, reply: Any, message: Any) -> None:
        """Abandon a grant whose entry is gone before it could be told.

        Its session ended before the grant, so nothing else would orphan it.
        """
        if not isinstance(message, idl.Claim):
            return
        if getattr(reply, "verdict", None) != Verdict.GRANTED:
            return
        shard = self._owner.shard_for(message.key)
        if shard is not None:
            shard.abandon(message.key, reply.attempt, not_run=True)
