"""Generations: a prompt is read at one engine and decoded at another."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, contextmanager
from typing import TYPE_CHECKING, Any, Final, TypeVar

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.events import EventSplitter
from gooseberrypost.gateway.exchange import CONNECT_S, Exchange
from gooseberrypost.gateway.relocation import Relocation
from gooseberrypost.gateway.request import Prompt
from gooseberrypost.gateway.room import Ticket
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.policy.enginememory import Run, expected_output
from gooseberrypost.policy.serverchoice import (
    choose_prefill,
    prefill_time_ms,
    reads_itself,
)
from gooseberrypost.policy.waitingorder import objective_left_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Iterator

    from gooseberrypost.errors import NotRun
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import (
        Answer,
        KvHandle,
        Reservation,
    )
    from gooseberrypost.policy.serverload import ServerLoad

PREFILL_PATIENCE: Final = 6.0
"""Multiple of the predicted time after which a prefill counts as lost."""
MIN_PREFILL_S: Final = 1.0
KV_MARGIN: Final = 0.7
"""Share of its retention in which a KV cache is still offered."""
SILENT_S: Final = 0.7
"""Silence after which a generation is taken over; events come every 50 ms,
and one that was preempted goes on after a few hundred."""
STOPPED_S: Final = 0.1
"""Time in which an engine that stopped a generation closes its stream."""
CLIENT_PATIENCE_MS: Final = 2_000
OBJECTIVE_PATIENCE: Final = 4
GAP_PATIENCE: Final = 8
"""A client leaves after a pause of the longest of 2 s, four times the
objective of the first event and eight times that of a pause."""
OK: Final = 200

T = TypeVar("T")


class Relieved(Failure):
    """The generation goes on at another engine."""

    code = "relieved"


class Generation(Exchange):
    """Plans, reads the prompt and streams the answer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._prompt = self.req.prompt or Prompt(1, 1)
        self._events = EventSplitter()
        self._events.last_id = self.req.resume_after
        self._kv: KvHandle | None = None
        """Prefilled and not used yet."""
        self._run = Run(0, 0)
        self._relocation = Relocation(self)
        self._room: Reservation | None = None
        """Reserved and not used yet."""
        self._reserved_s = 0.0
        self._decoding_since_s = 0.0
        self._kv_made_s = 0.0
        self._kv_refusals = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether another engine may go on with the stream."""
        return self.route.resumable

    @property
    def is_abandoned_with_client(self) -> bool:
        """Nobody else reads a stream."""
        return True

    @property
    def events_sent(self) -> int:
        """Events of the stream that the client has."""
        return self._events.count

    async def serve(self) -> None:
        """Answer the client."""
        try:
            while True:
                self.check_time()
                if await self._attempt():
                    return
        finally:
            self._give_back()

    async def _attempt(self) -> bool:
        """Try once; returns whether the client has its answer."""
        moved = self._relocation.take()
        if moved is not None:
            return await self._decode(moved.server, moved.kv, None)
        if self._room is None:
            self._room = await self._reserve()
        if self._kv is None:
            reader = self._reader(self._room.server)
            if reader is not None:
                self._kv = await self._prefill(reader)
                if self._kv is None:
                    return False
        room, kv, self._room, self._kv = self._room, self._kv, None, None
        return await self._decode(room.server, kv, room)

    async def _reserve(self) -> Reservation:
        prompt = self._prompt
        arrived_s, route = self.req.arrived_s, self.route
        output = expected_output(
            prompt.output_hint,
            self.ctx.mean_output(self.service),
            prompt.max_output,
        )
        self._run = Run(prompt.tokens, output, prompt.max_output)
        self.ctx.note_prompt(self.service, prompt.tokens)
        ticket = Ticket(
            objective_s=arrived_s
            + objective_left_s(
                self.req.deadline_s - arrived_s,
                route.timeout_ms / 1_000,
                route.target_latency_ms / 1_000,
            ),
            give_up_s=min(self.end_s, arrived_s + self._patience_s()),
            tokens=prompt.tokens,
            output=output,
            priority=route.priority,
            service=self.service,
            request=self.req.id,
            excluded=self.excluded,
            run=self._run,
        )
        room = await self.ctx.room.acquire(ticket)
        self._reserved_s = self.ctx.now_s()
        self.log(
            "reserved",
            server=room.server.instance,
            prompt=prompt.tokens,
            output=output,
            hint=prompt.output_hint,
            runs=self.ctx.loads.run_count(room.server.identity),
            peak=self.ctx.loads.peak_with(
                room.server.identity, self.ctx.now_s()
            ),
            left_ms=round(1_000 * self.left_s),
        )
        return room

    def _patience_s(self) -> float:
        """Time for which a client waits for its first event."""
        return (
            max(
                CLIENT_PATIENCE_MS,
                OBJECTIVE_PATIENCE * self.route.target_latency_ms,
                GAP_PATIENCE * self.route.target_gap_ms,
            )
            / 1_000
        )

    def _reader(self, decode: Server) -> Server | None:
        """Engine that reads the prompt; None for the decode engine itself."""
        tokens = self._prompt.tokens
        loads = self.ctx.loads
        prefill = choose_prefill(self.servers(), loads, tokens, self.ctx.rng)
        if reads_itself(prefill, decode, loads, tokens):
            return None
        return prefill

    def _give_back(self) -> None:
        """Free what was reserved or read and not used."""
        transport = self.ctx.transport
        moved = self._relocation.take()
        if moved is not None:
            self._end_run(moved.server)
            self.ctx.spawn(transport.release_kv(moved.kv))
        if self._kv is not None:
            self.ctx.spawn(transport.release_kv(self._kv))
            self._kv = None
        if self._room is not None:
            self._end_run(self._room.server)
            self.ctx.spawn(transport.cancel_reservation(self._room))
            self._room = None

    async def _prefill(self, server: Server) -> KvHandle | None:
        load = self.ctx.loads.of(server.identity)
        tokens = self._prompt.tokens
        loads = self.ctx.loads
        predicted_s = prefill_time_ms(server, loads, tokens) / 1_000
        limit_s = max(PREFILL_PATIENCE * predicted_s, MIN_PREFILL_S)
        send = SendOptions(
            timeout_s=min(self.left_s, limit_s),
            connect_timeout_s=min(CONNECT_S, self.left_s),
        )
        before = loads.prefill_tokens(server.identity)
        try:
            with self._reading(load, tokens):
                started_s = self.ctx.now_s()
                kv = await self.ctx.transport.prefill(server, self.req, send)
                took_ms = 1_000 * (self.ctx.now_s() - started_s)
        except ServerUnreachable as failure:
            self.note_unreachable(server, failure)
            return None
        except ServerRefused as failure:
            self.note_refused(server, failure)
            return None
        except AnswerLost as failure:
            # Reading a prompt executes nothing and may be repeated.
            self.note_lost(server, failure, repeatable=True)
            return None
        load.prefilled(before + tokens, took_ms)
        self._kv_made_s, self._kv_refusals = self.ctx.now_s(), 0
        self.log(
            "prefilled",
            server=server.instance,
            tokens=kv.tokens,
            server_ms=round(took_ms),
            before=before,
        )
        return kv

    @contextmanager
    def _reading(self, load: ServerLoad, tokens: int) -> Iterator[None]:
        load.outstanding += 1
        load.prefill_tokens += tokens
        self.ctx.loads_changed()
        try:
            yield
        finally:
            load.outstanding -= 1
            load.prefill_tokens -= tokens
            self.ctx.loads_changed()

    async def _decode(
        self, server: Server, kv: KvHandle | None, room: Reservation | None
    ) -> bool:
        left_s = self.left_s
        send = SendOptions(
            timeout_s=left_s,
            connect_timeout_s=min(CONNECT_S, left_s),
            reservation=room,
            kv=kv,
            resume_after=self._events.last_id,
        )
        self.attempts += 1
        # A generation that moved has decoded since its first engine.
        if not self._events.count:
            self._decoding_since_s = self.ctx.now_s()
        self.ctx.loads.of(server.identity).runs.add(self._run)
        try:
            async with AsyncExitStack() as stack:
                opened = self.ctx.transport.open(server, self.req, send)
                answer = await self._watched(
                    server, stack.enter_async_context(opened)
                )
                await self._forward(server, answer)
            return True
        except ServerUnreachable as failure:
            self.attempts -= 1
            self._kv = kv
            self._check_may_restart(failure)
            self.note_unreachable(server, failure)
        except ServerRefused as failure:
            self.attempts -= 1
            self._check_may_restart(failure)
            self.note_refused(server, failure)
            self._keep(kv)
        except Relieved:
            self._events.restart()
        except AnswerLost as failure:
            await self._note_broken(server, failure)
        finally:
            self._end_run(server)
        return False

    def _check_may_restart(self, failure: NotRun) -> None:
        """Raise where only the same run could go on and its memory is lost."""
        if self.attempts and not self.is_repeatable:
            raise AnswerLost(f"not resumed: {failure}") from failure

    async def _note_broken(self, server: Server, failure: AnswerLost) -> None:
        self._events.restart()
        # A generation that is taken over goes on as the same run.
        relocation = self._relocation
        repeatable = relocation.moved is not None or (
            await relocation.take_over(server, self._run)
        )
        if self.is_repeatable and self.attempts < self.route.max_attempts:
            repeatable = True
        self.note_lost(server, failure, repeatable=repeatable)

    async def _watched(self, server: Server, work: Awaitable[T]) -> T:
        """Wait for an engine; a generation that falls silent is taken over.

        The connection stays open meanwhile: an engine drops a generation
        whose connection is closed.
        """
        task = asyncio.ensure_future(work)
        try:
            done, _ = await asyncio.wait({task}, timeout=SILENT_S)
            if not done and await self._relocation.take_over(
                server, self._run
            ):
                raise AnswerLost(f"{server.address}: silent")
            return await task
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    def _end_run(self, server: Server) -> None:
        self.ctx.loads.of(server.identity).runs.discard(self._run)
        self.ctx.loads_changed()
        self.ctx.room.note_freed()

    def _keep(self, kv: KvHandle | None) -> None:
        """Offer a KV cache to another engine while it lasts, else free it.

        The refusal of an engine does not say whether the cache is gone or
        the engine had no room; a second refusal makes the former likely.
        """
        if kv is None:
            return
        self._kv_refusals += 1
        spec = self.ctx.engine_spec(self.service)
        lasts_s = KV_MARGIN * spec.kv_retention_ms / 1_000
        age_s = self.ctx.now_s() - self._kv_made_s
        if self._kv_refusals <= 1 and age_s < lasts_s:
            self._kv = kv
        else:
            self.ctx.spawn(self.ctx.transport.release_kv(kv))

    async def _forward(self, server: Server, answer: Answer) -> None:
        if not answer.is_signed:
            raise AnswerLost(f"status {answer.status} without a signature")
        if answer.status != OK or not answer.is_event_stream:
            body = b"".join([chunk async for chunk in answer.chunks])
            if self.reply.is_started:
                raise AnswerLost(f"resumed stream answered {answer.status}")
            self._log_answer(server, answer)
            await self.reply.send(answer.status, answer.headers, body)
            return
        if not self.reply.is_started:
            self.ctx.note_lead(
                self.service, self.ctx.now_s() - self._reserved_s
            )
            await self.reply.start(answer.status, answer.headers)
        stride = self.ctx.engine_spec(self.service).tokens_per_event
        chunks = aiter(answer.chunks)
        while chunk := await self._watched(server, anext(chunks, b"")):
            whole = self._events.feed(chunk)
            if whole:
                self._run.produced = stride * self._events.count
                await self.reply.write(whole)
                if await self._relocation.relieve(server, self._run):
                    await self._write_rest(chunks, stride)
                    raise Relieved(server.address)
        if self._events.rest:
            await self.reply.write(self._events.rest)
        await self.reply.finish()
        self.ctx.loads.of(server.identity).succeeded(0.0)
        self.ctx.note_run(
            self.service,
            self._run.produced,
            self.ctx.now_s() - self._decoding_since_s,
        )
        self._log_answer(server, answer)

    async def _write_rest(
        self, chunks: AsyncIterator[bytes], stride: int
    ) -> None:
        """Pass on what an engine had made before it was told to stop."""
        try:
            async with asyncio.timeout(STOPPED_S):
                async for chunk in chunks:
                    whole = self._events.feed(chunk)
                    self._run.produced = stride * self._events.count
                    if whole:
                        await self.reply.write(whole)
        except (AnswerLost, TimeoutError):
            # The engine breaks its stream off, as it is not complete.
            return

    def _log_answer(self, server: Server, answer: Answer) -> None:
        self.log(
            "answered",
            server=server.instance,
            status=answer.status,
            attempts=self.attempts,
            events=self._events.count,
        )
