"""Streaming generations: prefill on one engine, decode on another."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import cached_property
from typing import TYPE_CHECKING, Any, Final, TypeVar

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.buffering import buffer_answer
from gooseberrypost.gateway.events import EventSplitter
from gooseberrypost.gateway.exchange import (
    CONNECT_TIMEOUT_S,
    MAX_REFUSALS,
    MIN_REMAINING_S,
    Exchange,
    ServerReplaced,
)
from gooseberrypost.gateway.migration import Migration
from gooseberrypost.gateway.preparation import Preparation
from gooseberrypost.gateway.request import Prompt
from gooseberrypost.gateway.streamwatch import (
    GenerationMoved,
    StreamStalled,
    StreamWatch,
)
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.enginememory import Run

if TYPE_CHECKING:
    from gooseberrypost.errors import NotRun
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import (
        Answer,
        KvHandle,
        Reservation,
    )

REFUSED_PAUSE_S: Final = 0.1
"""Increase of the pause with each engine that does not take a begun stream."""
MIN_CLIENT_WAIT_MS: Final = 2_000
"""Minimum time without an event after which a client disconnects."""
LATENCY_WAIT_FACTOR: Final = 4
"""Multiple of the route's objective for the first event."""
GAP_WAIT_FACTOR: Final = 8
"""Multiple of the route's objective for the gap between two events.

A client disconnects when it has received no event for the longest of 2 s,
four times the first-event objective and eight times the gap objective.
"""
HTTP_OK: Final = 200
SUCCESS_END: Final = 300
"""Lowest status that is no success."""

T = TypeVar("T")


class EngineFailed(Failure):
    """The engine answered with an error; another one is tried next."""

    code = "engine_failed"


class Generation(Exchange):
    """Reserves decode memory, prefills the prompt and streams the answer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.prompt = self.req.prompt or Prompt(1, 1)
        self.version: str | None = None
        """Software version that began the stream; None before that."""
        self._events = EventSplitter(
            self.req.resume_after,
            ids_count=self.ctx.ids_count_events.get(self.service),
        )
        self._events_before = 0
        """Number of events before the current attempt."""
        self._continues = False
        """Whether the current attempt goes on after an event of another."""
        self._continues_run = False
        """Whether the current attempt goes on with a run that was moved."""
        self._is_taken = False
        """Whether the engine of the current attempt has begun to answer."""
        self._run = Run(0, 0)
        """Run of the current attempt, as counted at its engine."""
        self._migration = Migration(self)
        self._preparation = Preparation(self)
        self.has_prefilled = False
        """Whether an engine has prefilled the prompt for this request."""
        self._watch = StreamWatch(self, self._migration)
        self._inline_prefill: Server | None = None
        """Decode engine that is prefilling the prompt itself."""
        self._decode_started_s = 0.0
        self._first_event_s: float | None = None
        """Monotonic time of the first event for the client."""
        self._last_event_s = self.req.arrived_s
        """Time of the last event, or of the arrival before the first one."""
        self._longest_pause_s = 0.0
        """Longest time between two events for the client."""

    @property
    def is_repeatable(self) -> bool:
        """Whether another engine may resume the stream."""
        return self.route.resumable

    @property
    def needs_version(self) -> bool:
        """Whether the version that begins the stream has to be recorded."""
        return self.version is None and self.route.resumable

    @property
    def cancels_on_disconnect(self) -> bool:
        """Always true: only this client can receive the stream."""
        return True

    @cached_property
    def shared_parts(self) -> frozenset[str]:
        """Digests of all parts of the prompt but the last, its own one."""
        scope = f"{self.service} part"
        return frozenset(
            content_digest(scope, part.encode()).hex()
            for part, _ in self.prompt.parts[:-1]
        )

    @property
    def has_begun(self) -> bool:
        """Whether an event arrived in the current attempt."""
        return self._events.count > self._events_before

    @property
    def events_sent(self) -> int:
        """Number of complete events forwarded to the client."""
        return self._events.count

    @property
    def client_waits_until_s(self) -> float:
        """Time at which the client disconnects if no event comes before."""
        waits_until_s = self._last_event_s + self.client_wait_s
        return min(self.deadline_s, waits_until_s)

    @property
    def client_wait_s(self) -> float:
        """Time without an event after which the client disconnects."""
        return (
            max(
                MIN_CLIENT_WAIT_MS,
                LATENCY_WAIT_FACTOR * self.route.target_latency_ms,
                GAP_WAIT_FACTOR * self.route.target_gap_ms,
            )
            / 1_000
        )

    async def serve(self) -> None:
        """Answer the client, retrying on other engines."""
        if self.req.resume_after:
            await self._take_up()
        try:
            while True:
                self.check_deadline()
                self.check_quarantine()
                if await self._attempt():
                    return
                await self._pause()
        finally:
            self._release_unused()

    async def _pause(self) -> None:
        """Pause if many engines have not taken a stream that has begun.

        Their number is not limited for it, and each refusal uses the retry
        budget of the service.
        """
        failures = self.refusals + self.connect_failures - MAX_REFUSALS
        if self.reply.is_started and failures > 0:
            await asyncio.sleep(REFUSED_PAUSE_S * failures)

    async def _take_up(self) -> None:
        """Find the version that began the stream which the client resumes."""
        req = self.req
        self.log("taken_up", begun_by=req.begun_by, after=req.resume_after)
        if self.route.resumable:
            self.version = await self.ctx.versions.find(
                self.service, req.begun_by
            )

    async def _attempt(self) -> bool:
        """Make one attempt; returns whether the answer was delivered."""
        self._events_before = self._events.count
        self._continues = self._events.begin_attempt()
        self._watch.give_up_move()
        moved = self._migration.pop_moved()
        self._continues_run = moved is not None
        if moved is not None:
            # The run is stopped and can only continue there.
            self._watch.cancel_successor()
            self.ctx.count_send(moved.server)
            return await self._decode(moved.server, moved.kv, None)
        successor = await self._watch.pop_successor()
        if successor is not None:
            self._preparation.release()
            self._preparation = successor
        if not await self._preparation.complete():
            return False
        prepared = self._preparation.take()
        self._run = prepared.run
        reservation = prepared.reservation
        return await self._decode(reservation.server, prepared.kv, reservation)

    def _release_unused(self) -> None:
        """Release what was prepared, and runs that were moved."""
        self._watch.close()
        moved = self._migration.pop_moved()
        if moved is not None:
            self.remove_run(moved.server, self._run)
            self.ctx.spawn(self.ctx.transport.release_kv(moved.kv))
        self._preparation.release()

    async def _decode(
        self,
        server: Server,
        kv: KvHandle | None,
        reservation: Reservation | None,
    ) -> bool:
        remaining_s = self.remaining_s
        self.departure.log_send(server, "decode")
        options = SendOptions(
            timeout_s=remaining_s,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
            reservation=reservation,
            kv=kv,
            resume_after=self._events.last_id,
        )
        # A run that was moved is the same execution of the request.
        executes = not self._continues_run
        self.attempts += executes
        # A resumed or moved generation keeps the time at which its first
        # decode began.
        if not self._events.count:
            self._decode_started_s = self.ctx.now_s()
        self.ctx.loads.of(server.identity).runs.add(self._run)
        self._watch.start(server, kv, self._run)
        self._is_taken = False
        if kv is None and reservation is not None:
            self._inline_prefill = server
            load = self.ctx.loads.of(server.identity)
            load.prefill_tokens += self.prompt.tokens
        try:
            async with AsyncExitStack() as stack:
                opened = self.ctx.transport.open(server, self.req, options)
                answer = await self._watch.wait(
                    server, stack.enter_async_context(opened)
                )
                self._is_taken = True
                await self._forward(server, answer)
            return True
        except (ServerUnreachable, ServerRefused) as failure:
            self.attempts -= executes
            self._cancel_unused(reservation)
            await self._handle_not_taken(server, kv, failure)
        except GenerationMoved:
            # The next attempt continues the run.
            pass
        except EngineFailed as failure:
            self._log_retry(server, failure)
            # A late move would stop the next run of the request there.
            await self._watch.finish_move(server)
        except AnswerLost as failure:
            self._cancel_unused(reservation)
            await self._handle_broken_stream(server, kv, failure)
        except asyncio.CancelledError:
            self._cancel_unused(reservation)
            raise
        finally:
            self._end_inline_prefill()
            self.remove_run(server, self._run)
        return False

    def _end_inline_prefill(self) -> None:
        """Stop counting the prompt as being prefilled by a decode engine."""
        server, self._inline_prefill = self._inline_prefill, None
        if server is not None:
            load = self.ctx.loads.of(server.identity)
            load.prefill_tokens -= self.prompt.tokens
            self.ctx.notify_loads_changed()

    def _cancel_unused(self, reservation: Reservation | None) -> None:
        """Cancel a reservation whose request may not have used it.

        An engine drops a request whose connection ends before the first
        event, and keeps the reserved memory until the reservation expires.
        """
        if reservation is not None and not self.has_begun:
            transport = self.ctx.transport
            self.ctx.spawn(transport.cancel_reservation(reservation))

    async def _handle_not_taken(
        self,
        server: Server,
        kv: KvHandle | None,
        failure: ServerUnreachable | ServerRefused,
    ) -> None:
        """Choose how to go on if an engine has not taken the generation.

        Raises the failure if no other engine may execute it.
        """
        is_refused = isinstance(failure, ServerRefused)
        if self._continues_run and kv is not None:
            if await self._migration.try_other_holder(server, kv, failure):
                return
            self.ctx.spawn(self.ctx.transport.release_kv(kv))
            kv = None
        self._check_restartable(failure)
        if is_refused:
            self.handle_refusal(server, failure)
            self._preparation.return_refused_kv(kv)
        else:
            self._preparation.return_kv(kv)
            self.handle_unreachable(server, failure)

    def _check_restartable(self, failure: NotRun) -> None:
        """Raise if another attempt would execute the stream too often.

        The failed attempt would have continued the same run. Without its KV
        cache the request would have to be executed once more.
        """
        if self.attempts and not self.may_execute_again:
            raise AnswerLost(
                f"stream cannot be resumed: {failure}"
            ) from failure

    async def _handle_broken_stream(
        self, server: Server, kv: KvHandle | None, failure: AnswerLost
    ) -> None:
        migration = self._migration
        is_moved = migration.moved is not None
        is_late = self.remaining_s < MIN_REMAINING_S
        if not (is_moved or is_late) and not isinstance(
            failure, StreamStalled | ServerReplaced
        ):
            is_moved = await self._watch.fail_over(server)
            if not is_moved and not self._is_taken and self._continues_run:
                # The handle can be used once, so the run cannot go on twice.
                is_moved = kv is not None and await migration.try_other_holder(
                    server, kv, failure
                )
        if is_moved:
            # The same run continues from its KV cache, so the request is not
            # executed again.
            self.record_lost_answer(server, failure)
            return
        self.count_waste("engine_lost")
        if isinstance(failure, StreamStalled):
            # Another engine is ready, and the retry budget was used for it.
            self.record_lost_answer(server, failure)
            return
        self.handle_lost_answer(
            server,
            failure,
            repeatable=self.may_execute_again,
            is_counted=self._watch.has_successor,
        )

    def count_waste(self, cause: str) -> None:
        """Count the prompt as prefilled without an answer from it."""
        self.ctx.metrics.count(
            "prefill_wasted_tokens_total", self.prompt.tokens, cause=cause
        )

    @property
    def may_execute_again(self) -> bool:
        """Whether another attempt may execute the request."""
        return self.is_repeatable and self.attempts < self.route.max_attempts

    def remove_run(self, server: Server, run: Run) -> None:
        """Stop counting a run at an engine."""
        self.ctx.loads.of(server.identity).runs.discard(run)
        self.ctx.notify_loads_changed()
        self.ctx.reservation_queue.wake()

    async def _forward(self, server: Server, answer: Answer) -> None:
        if not answer.is_signed:
            raise AnswerLost(f"unsigned answer with status {answer.status}")
        if answer.status != HTTP_OK or not answer.is_event_stream:
            await self._forward_unstreamed(server, answer)
            return
        if not self.reply.is_started:
            self.ctx.record_first_event_delay(
                self.service, self._preparation.since_reserved_s
            )
            if not (self.needs_version and self._waits_for_record):
                await self._start_reply(answer)
        stride = self.ctx.engine_spec(self.service).tokens_per_event
        chunks = aiter(answer.chunks)
        # Only these streams hold events of more than one engine.
        is_confirmed = not (self.route.resumable or self._events.last_id)
        while chunk := await self._watch.wait(
            server, anext(chunks, b""), ends_whole=answer.is_framed
        ):
            if not is_confirmed:
                await self._watch.wait(server, self.confirm_start(server))
                is_confirmed = True
            complete = self._feed(chunk, stride)
            if complete:
                if self._events.count and self.version is None:
                    await self._begin_stream(server)
                await self._start_reply(answer)
                await self.reply.write(complete)
                self._watch.relieve(server)
        await self._check_end(server, answer)
        await self._start_reply(answer)
        await self.reply.finish()
        self.ctx.loads.of(server.identity).record_success(0.0)
        self.record_answer(answer)
        if not self._continues and self._events.ids_count is not None:
            self.ctx.ids_count_events[self.service] = self._events.ids_count
        self.ctx.record_generation(
            self.service,
            self._run.produced,
            self.ctx.now_s() - self._decode_started_s,
        )
        self.ctx.record_pause(self.service, self._watch.longest_pause_s)
        self._record_pace(server)
        self._log_answer(server, answer)

    def _record_pace(self, server: Server) -> None:
        """Record the pace of an engine that decoded the whole answer."""
        work = self.ctx.work
        if work is None or self._events_before or self._first_event_s is None:
            return
        stride = self.ctx.engine_spec(self.service).tokens_per_event
        work.record_stream(
            server,
            self._run.produced - stride,
            self._last_event_s - self._first_event_s,
            self.ctx.loads.run_count(server.identity),
            self.ctx.now_s(),
        )

    async def _start_reply(self, answer: Answer) -> None:
        """Send the head of an answer, unless it was sent before."""
        if not self.reply.is_started:
            await self.reply.start(answer.status, answer.headers)

    @property
    def _waits_for_record(self) -> bool:
        """Whether the first event has to wait for the stream's record."""
        return not self.ctx.versions.is_recorded(self.service, self.req.id)

    async def _begin_stream(self, server: Server) -> None:
        """Bind the stream to the version that brings its first event."""
        self.version = server.version
        if self.route.resumable:
            await self.ctx.versions.begin(
                self.service, self.req.id, server.version, self._record_wait_s
            )

    @property
    def _record_wait_s(self) -> float:
        """Time for which the first event waits for the stream's record.

        Afterwards the client still has time to ask for another first event
        before it would have left.
        """
        leaves_s = self.req.arrived_s + self.client_wait_s
        delay_s = self.ctx.first_event_delay_s(self.service)
        left_s = min(leaves_s, self.deadline_s) - delay_s - self.ctx.now_s()
        return max(0.0, left_s)

    async def _check_end(self, server: Server, answer: Answer) -> None:
        """Raise ``AnswerLost`` if a stream that ended was broken off."""
        if self._events.incomplete:
            raise AnswerLost(f"{server.address}: ended inside an event")
        # A run may have been moved after its last event.
        needs_event = self._continues and not self._continues_run
        if not self.has_begun and (needs_event or not answer.is_framed):
            raise AnswerLost(f"{server.address}: ended without an event")
        await self.confirm_end(server, answer)

    def _feed(self, chunk: bytes, stride: int) -> bytes:
        """Return the events that a chunk completes, and record progress."""
        events_before = self._events.count
        complete = self._events.feed(chunk)
        if self._events.count == events_before:
            return complete
        now_s = self.ctx.now_s()
        self._watch.record_event(now_s)
        self._end_inline_prefill()
        self._run.produced = stride * self._events.count
        if self._first_event_s is None:
            self._first_event_s = now_s
        else:
            pause_s = now_s - self._last_event_s
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._last_event_s = now_s
        return complete

    async def _forward_unstreamed(
        self, server: Server, answer: Answer
    ) -> None:
        """Forward an answer that is no stream, such as a server error."""
        buffered = await buffer_answer(
            answer, self.req.memory, self.remaining_s
        )
        await self.confirm_end(server, answer)
        is_success = answer.status < SUCCESS_END
        if self.reply.is_started or (self._continues and is_success):
            raise AnswerLost(f"resumption failed with status {answer.status}")
        self.record_answer(answer)
        self._log_answer(server, answer)
        if buffered.is_server_error and self.is_repeatable:
            self.keep_error(server, buffered)
            raise EngineFailed(f"status {answer.status}")
        self.check_refusal(answer.status)
        await self.reply.send(buffered.status, buffered.headers, buffered.body)

    def _log_answer(self, server: Server, answer: Answer) -> None:
        self.log(
            "answered",
            server=server.instance,
            version=server.version,
            status=answer.status,
            framed=answer.is_framed,
            attempts=self.attempts,
            events=self._events.count,
            first_event_ms=self._since_arrival_ms(self._first_event_s),
            longest_pause_ms=round(1_000 * self._longest_pause_s),
        )

    def _since_arrival_ms(self, at_s: float | None) -> int | None:
        return (
            None
            if at_s is None
            else round(1_000 * (at_s - self.req.arrived_s))
        )
