"""Streaming generations: prefill on one engine, decode on another."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, contextmanager
from functools import cached_property
from typing import TYPE_CHECKING, Any, Final, TypeVar

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.buffering import buffer_answer
from gooseberrypost.gateway.events import EventSplitter
from gooseberrypost.gateway.exchange import (
    CONNECT_TIMEOUT_S,
    Exchange,
    ServerReplaced,
)
from gooseberrypost.gateway.migration import Migration
from gooseberrypost.gateway.request import Prompt
from gooseberrypost.gateway.reserver import (
    RESERVATION_TTL_MS,
    PendingReservation,
)
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.enginememory import Run, predict_output_tokens
from gooseberrypost.policy.queueorder import first_event_due_in_s
from gooseberrypost.policy.serverchoice import (
    DECODE_PREFILL_SLOWDOWN,
    choose_prefill,
    prefill_time_ms,
    should_prefill_on_decode,
)
from gooseberrypost.policy.streamprogress import StreamProgress, idle_timeout_s

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

PREFILL_TIMEOUT_FACTOR: Final = 6.0
"""Multiple of the predicted prefill time after which a prefill times out."""
MIN_PREFILL_TIMEOUT_S: Final = 1.0
"""Lower bound of the prefill timeout."""
MAX_PREFILL_WAIT_S: Final = RESERVATION_TTL_MS / 2_000
"""Longest wait for the rate limit of a prefill engine.

Half of a reservation's lifetime is left for the prefill.
"""
KV_REUSE_SHARE: Final = 0.7
"""Share of the engine's KV cache retention time during which reuse is tried.

A KV cache that is older is released instead of used for another attempt.
"""
STALL_SHARE: Final = 0.5
"""Share of the time that a client waits for an event after which a stalled
stream is resumed at another engine, if that executes the request again."""
LATE_TIMER_S: Final = 0.02
"""Delay of a timer beyond which the event loop of this process was late."""
READ_GRACE_S: Final = 0.02
"""Time to read what arrived before a stream is taken for stalled."""
STREAM_CLOSE_TIMEOUT_S: Final = 0.1
"""Time allowed for an engine to close the stream of a stopped generation."""
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


class GenerationMoved(Failure):
    """The generation continues at another engine, as memory ran low."""

    code = "relieved"


class StreamStalled(AnswerLost):
    """The decode engine sends no event, and the run cannot be moved."""

    code = "stream_stalled"


class EngineFailed(Failure):
    """The engine answered with an error; another one is tried next."""

    code = "engine_failed"


class StreamMoved(AnswerLost):
    """A stalled run was stopped, to continue at another engine."""

    code = "stream_moved"


class Generation(Exchange):
    """Reserves decode memory, prefills the prompt and streams the answer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._prompt = self.req.prompt or Prompt(1, 1)
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
        self._version: str | None = None
        """Software version that began the stream; None before that."""
        self._kv: KvHandle | None = None
        """Prefilled KV cache that no decode attempt has used yet."""
        self._run = Run(0, 0)
        self._migration = Migration(self)
        self._pending: PendingReservation | None = None
        """The latest wait for a reservation, which may have ended."""
        self._reservation: Reservation | None = None
        """Decode reservation that no decode attempt has used yet."""
        self._reserved_at_s = 0.0
        self._decode_started_s = 0.0
        self._progress = StreamProgress(0.0, 0.0, 0.0)
        """Events of the current decode attempt."""
        self._first_event_s: float | None = None
        """Monotonic time of the first event for the client."""
        self._last_event_s = 0.0
        self._longest_pause_s = 0.0
        """Longest time between two events for the client."""
        self._kv_created_s = 0.0
        self._kv_refusals = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether another engine may resume the stream."""
        return self.route.resumable

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
            for part, _ in self._prompt.parts[:-1]
        )

    @property
    def has_begun(self) -> bool:
        """Whether an event arrived in the current attempt."""
        return self._events.count > self._events_before

    @property
    def events_sent(self) -> int:
        """Number of complete events forwarded to the client."""
        return self._events.count

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
        finally:
            self._release_unused()

    async def _take_up(self) -> None:
        """Find the version that began the stream which the client resumes."""
        req = self.req
        self.log("taken_up", begun_by=req.begun_by, after=req.resume_after)
        if self.route.resumable:
            self._version = await self.ctx.versions.find(
                self.service, req.begun_by
            )

    async def _attempt(self) -> bool:
        """Make one attempt; returns whether the answer was delivered."""
        self._events_before = self._events.count
        self._continues = self._events.begin_attempt()
        moved = self._migration.pop_moved()
        self._continues_run = moved is not None
        if moved is not None:
            # The run is stopped and can only continue there.
            self.ctx.count_send(moved.server)
            return await self._decode(moved.server, moved.kv, None)
        if self._reservation is None:
            self._reservation = await self._reserve()
        if self._version is None and self.route.resumable:
            # The record is saved during the prefill.
            self.ctx.versions.prepare(
                self.service, self.req.id, self._reservation.server.version
            )
        if self._kv is None:
            prefill_server = self._prefill_server(self._reservation.server)
            if prefill_server is not None:
                if not await self.take_turn(prefill_server):
                    return False
                self._kv = await self._prefill(prefill_server)
                if self._kv is None:
                    return False
                if self._pending is not None and not self.attempts:
                    self.ctx.reservation_queue.check_shutdown(self._pending)
        self.check_quarantine()
        reservation, kv, self._reservation, self._kv = (
            self._reservation,
            self._kv,
            None,
            None,
        )
        return await self._decode(reservation.server, kv, reservation)

    async def _reserve(self) -> Reservation:
        prompt = self._prompt
        arrived_s, route = self.req.arrived_s, self.route
        self.ctx.record_hint(self.service, prompt.output_hint)
        output = predict_output_tokens(
            prompt.output_hint,
            self.ctx.typical_output(self.service),
            prompt.max_output,
        )
        self._run = Run(prompt.tokens, output, prompt.max_output)
        pending = PendingReservation(
            first_event_due_s=arrived_s
            + first_event_due_in_s(
                self.req.deadline_s - arrived_s,
                route.timeout_ms / 1_000,
                route.target_latency_ms / 1_000,
            ),
            abandon_s=min(self.deadline_s, arrived_s + self._client_wait_s()),
            tokens=prompt.tokens,
            output=output,
            priority=route.priority,
            service=self.service,
            request=self.req.id,
            deadline_s=self.req.deadline_s,
            excluded=self.excluded,
            run=self._run,
            version=self._version,
        )
        self._pending = pending
        reservation = await self.ctx.reservation_queue.acquire(pending)
        self._reserved_at_s = self.ctx.now_s()
        self.log(
            "reserved",
            server=reservation.server.instance,
            prompt=prompt.tokens,
            parts=",".join(part for part, _ in prompt.parts),
            output=output,
            hint=prompt.output_hint,
            runs=self.ctx.loads.run_count(reservation.server.identity),
            peak=self.ctx.loads.predict_peak_tokens(
                reservation.server.identity, self.ctx.now_s()
            ),
            left_ms=round(1_000 * self.remaining_s),
        )
        return reservation

    @property
    def client_waits_until_s(self) -> float:
        """Time at which the client disconnects if no event comes before."""
        last_s = (
            self._last_event_s if self._events.count else (self.req.arrived_s)
        )
        return min(self.deadline_s, last_s + self._client_wait_s())

    def _client_wait_s(self) -> float:
        """Time after which a client without a first event disconnects."""
        return (
            max(
                MIN_CLIENT_WAIT_MS,
                LATENCY_WAIT_FACTOR * self.route.target_latency_ms,
                GAP_WAIT_FACTOR * self.route.target_gap_ms,
            )
            / 1_000
        )

    def _prefill_server(self, decode: Server) -> Server | None:
        """Choose a prefill engine; None to prefill on the decode engine."""
        tokens = self._prompt.tokens
        loads, now_s = self.ctx.loads, self.ctx.now_s()
        servers = [
            server
            for server in self.servers()
            if loads.limit_wait_s(server.identity, now_s) <= MAX_PREFILL_WAIT_S
        ]
        prefill = choose_prefill(servers, loads, tokens, now_s, self.ctx.rng)
        cfg = self.ctx.directory.configuration
        objective_ms = 1_000 * cfg.first_event_objective_s(self.service)
        if should_prefill_on_decode(
            prefill, decode, loads, tokens, objective_ms, now_s
        ):
            return None
        return prefill

    def _release_unused(self) -> None:
        """Release unused reservations, KV caches and moved runs."""
        transport = self.ctx.transport
        moved = self._migration.pop_moved()
        if moved is not None:
            self._remove_run(moved.server)
            self.ctx.spawn(transport.release_kv(moved.kv))
        if self._kv is not None:
            self._count_waste("unused")
            self.ctx.spawn(transport.release_kv(self._kv))
            self._kv = None
        if self._reservation is not None:
            self._remove_run(self._reservation.server)
            self.ctx.spawn(transport.cancel_reservation(self._reservation))
            self._reservation = None

    async def _prefill(self, server: Server) -> KvHandle | None:
        load = self.ctx.loads.of(server.identity)
        tokens = self._prompt.tokens
        loads = self.ctx.loads
        predicted_s = prefill_time_ms(server, loads, tokens) / 1_000
        timeout_s = max(
            PREFILL_TIMEOUT_FACTOR * predicted_s, MIN_PREFILL_TIMEOUT_S
        )
        options = SendOptions(
            timeout_s=min(self.remaining_s, timeout_s),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, self.remaining_s),
        )
        queued_tokens = loads.prefill_tokens(server.identity)
        try:
            with self._prefill_counted(load, tokens):
                started_s = self.ctx.now_s()
                kv = await self.ctx.transport.prefill(
                    server, self.req, options
                )
                took_ms = 1_000 * (self.ctx.now_s() - started_s)
        except ServerUnreachable as failure:
            self.handle_unreachable(server, failure)
            return None
        except ServerRefused as failure:
            self.handle_refusal(server, failure)
            return None
        except AnswerLost as failure:
            self._count_waste("prefill_lost")
            # A prefill has no side effects, so it may be repeated.
            self.handle_lost_answer(server, failure, repeatable=True)
            return None
        load.record_prefill(tokens, took_ms, queued_tokens)
        self._kv_created_s, self._kv_refusals = self.ctx.now_s(), 0
        self.log(
            "prefilled",
            server=server.instance,
            tokens=kv.tokens,
            server_ms=round(took_ms),
            before=queued_tokens,
        )
        return kv

    @contextmanager
    def _prefill_counted(
        self, load: ServerLoad, tokens: int
    ) -> Iterator[None]:
        """Count a prefill in the engine's load while it is in progress."""
        load.outstanding += 1
        load.prefill_tokens += tokens
        self.ctx.notify_loads_changed()
        try:
            yield
        finally:
            load.outstanding -= 1
            load.prefill_tokens -= tokens
            self.ctx.notify_loads_changed()

    async def _decode(
        self,
        server: Server,
        kv: KvHandle | None,
        reservation: Reservation | None,
    ) -> bool:
        remaining_s = self.remaining_s
        options = SendOptions(
            timeout_s=remaining_s,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
            reservation=reservation,
            kv=kv,
            resume_after=self._events.last_id,
        )
        self.attempts += 1
        # A resumed or moved generation keeps the time at which its first
        # decode began.
        if not self._events.count:
            self._decode_started_s = self.ctx.now_s()
        self.ctx.loads.of(server.identity).runs.add(self._run)
        self._progress = self._start_progress(server, kv)
        try:
            async with AsyncExitStack() as stack:
                opened = self.ctx.transport.open(server, self.req, options)
                answer = await self._wait_or_fail_over(
                    server, stack.enter_async_context(opened)
                )
                await self._forward(server, answer)
            return True
        except ServerUnreachable as failure:
            self.attempts -= 1
            if kv and self._migration.return_to_source(server, kv):
                load = self.ctx.loads.of(server.identity)
                load.record_unreachable(self.ctx.now_s())
                return False
            self._kv = kv
            self._check_restartable(failure)
            self.handle_unreachable(server, failure)
        except ServerRefused as failure:
            self.attempts -= 1
            if kv and self._migration.return_to_source(server, kv):
                load = self.ctx.loads.of(server.identity)
                load.record_refusal(self.ctx.now_s())
                return False
            self._check_restartable(failure)
            self.handle_refusal(server, failure)
            self._keep_or_release(kv)
        except GenerationMoved:
            # The next attempt continues the run.
            pass
        except EngineFailed as failure:
            self._log_retry(server, failure)
        except AnswerLost as failure:
            await self._handle_broken_stream(server, failure)
        finally:
            self._remove_run(server)
        return False

    def _check_restartable(self, failure: NotRun) -> None:
        """Raise if another attempt would execute a non-resumable stream again.

        The failed attempt would have continued the same run. Without its KV
        cache the request would have to be executed a second time.
        """
        if self.attempts and not self.is_repeatable:
            raise AnswerLost(
                f"stream cannot be resumed: {failure}"
            ) from failure

    async def _handle_broken_stream(
        self, server: Server, failure: AnswerLost
    ) -> None:
        # After a failover the same run continues from its KV cache, so the
        # request is not executed again.
        migration = self._migration
        is_moved = migration.moved is not None
        if not is_moved and not isinstance(
            failure, StreamStalled | ServerReplaced
        ):
            is_moved = await migration.fail_over(server, self._run)
        if not is_moved:
            self._count_waste("engine_lost")
        self.handle_lost_answer(
            server, failure, repeatable=is_moved or self._may_execute_again
        )

    def _count_waste(self, cause: str) -> None:
        """Count the prompt as prefilled without an answer from it."""
        self.ctx.metrics.count(
            "prefill_wasted_tokens_total", self._prompt.tokens, cause=cause
        )

    def _start_progress(
        self, server: Server, kv: KvHandle | None
    ) -> StreamProgress:
        """Return the progress of a decode attempt that begins now."""
        ctx = self.ctx
        gap_s = self.route.target_gap_ms / 1_000
        idle_s = idle_timeout_s(gap_s, ctx.usual_pause_s(self.service))
        first_event_s = ctx.first_event_delay_s(self.service)
        if kv is None:
            tokens = self._prompt.tokens
            prefill_ms = prefill_time_ms(server, ctx.loads, tokens)
            first_event_s += DECODE_PREFILL_SLOWDOWN * prefill_ms / 1_000
        return StreamProgress(ctx.now_s(), idle_s, first_event_s)

    async def _wait_or_fail_over(
        self, server: Server, work: Awaitable[T]
    ) -> T:
        """Wait for data from an engine; fail over when no event arrives.

        The connection stays open during the failover, because an engine drops
        a generation whose connection is closed.
        """
        task = asyncio.ensure_future(work)
        try:
            while True:
                started_s = self.ctx.now_s()
                wait_s = self._progress.until_check_s(started_s)
                await asyncio.wait({task}, timeout=wait_s)
                late_s = self.ctx.now_s() - started_s - wait_s
                if late_s > LATE_TIMER_S and not task.done():
                    # The delay is no silence of the engine.
                    self._log_delay(late_s)
                    self._progress.exclude(late_s)
                # Data that has arrived is read before the stream is checked.
                await asyncio.wait({task}, timeout=READ_GRACE_S)
                if task.done():
                    return task.result()
                if self._progress.until_check_s(self.ctx.now_s()) <= 0:
                    await self._handle_stall(server)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    def _log_delay(self, late_s: float) -> None:
        late_ms = round(1_000 * late_s)
        self.log("late_event_loop", events=self.events_sent, late_ms=late_ms)
        self.ctx.metrics.observe("event_loop_late_ms", late_ms)

    async def _handle_stall(self, server: Server) -> None:
        """Move a run without progress; raise if the stream is to be resumed.

        A run that cannot be moved may still continue where it is. It is only
        executed again if the request permits that and its engine does not
        answer, or has been silent for a large part of the time that clients
        wait.
        """
        self.log(
            "stalled",
            server=server.instance,
            events=self.events_sent,
            silence_ms=round(
                1_000 * self._progress.silence_s(self.ctx.now_s())
            ),
        )
        if await self._migration.fail_over(server, self._run):
            raise StreamMoved(f"{server.address}: stream idle timeout")
        now_s = self.ctx.now_s()
        silence_s = self._progress.silence_s(now_s)
        is_lost = (
            self._migration.is_source_unreachable
            or silence_s >= STALL_SHARE * self._client_wait_s()
        )
        if is_lost and self._may_execute_again:
            raise StreamStalled(f"{server.address}: silent for {silence_s} s")
        self._progress.postpone_check(now_s)

    @property
    def _may_execute_again(self) -> bool:
        return self.is_repeatable and self.attempts < self.route.max_attempts

    def _remove_run(self, server: Server) -> None:
        self.ctx.loads.of(server.identity).runs.discard(self._run)
        self.ctx.notify_loads_changed()
        self.ctx.reservation_queue.wake()

    def _keep_or_release(self, kv: KvHandle | None) -> None:
        """Keep a refused KV cache for one more attempt, or release it.

        A refusal does not show whether the KV cache has expired or the decode
        engine lacks memory; a second refusal makes expiry the likely cause.
        """
        if kv is None:
            return
        self._kv_refusals += 1
        spec = self.ctx.engine_spec(self.service)
        reusable_s = KV_REUSE_SHARE * spec.kv_retention_ms / 1_000
        age_s = self.ctx.now_s() - self._kv_created_s
        if self._kv_refusals <= 1 and age_s < reusable_s:
            self._kv = kv
        else:
            self._count_waste("refused")
            self.ctx.spawn(self.ctx.transport.release_kv(kv))

    async def _forward(self, server: Server, answer: Answer) -> None:
        if not answer.is_signed:
            raise AnswerLost(f"unsigned answer with status {answer.status}")
        if answer.status != HTTP_OK or not answer.is_event_stream:
            await self._forward_unstreamed(server, answer)
            return
        if not self.reply.is_started:
            self.ctx.record_first_event_delay(
                self.service, self.ctx.now_s() - self._reserved_at_s
            )
            await self.reply.start(answer.status, answer.headers)
        stride = self.ctx.engine_spec(self.service).tokens_per_event
        chunks = aiter(answer.chunks)
        # Only these streams hold events of more than one engine.
        is_confirmed = not (self.route.resumable or self._events.last_id)
        while chunk := await self._wait_or_fail_over(
            server, anext(chunks, b"")
        ):
            if not is_confirmed:
                await self.confirm_start(server)
                is_confirmed = True
            complete = self._feed(chunk, stride)
            if complete:
                if self._events.count and self._version is None:
                    await self._begin_stream(server)
                await self.reply.write(complete)
                if await self._migration.move_if_memory_low(server, self._run):
                    await self._forward_remaining(chunks, stride)
                    raise GenerationMoved(server.address)
        await self._check_end(server, answer)
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
        self.ctx.record_pause(self.service, self._progress.longest_pause_s)
        self._log_answer(server, answer)

    async def _begin_stream(self, server: Server) -> None:
        """Bind the stream to the version that brings its first event."""
        self._version = server.version
        if self.route.resumable:
            await self.ctx.versions.begin(
                self.service, self.req.id, server.version, self.remaining_s
            )

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
        self._progress.record_event(now_s)
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
        buffered = await buffer_answer(answer, self.ctx.buffer_limit)
        await self.confirm_end(server, answer)
        is_success = answer.status < SUCCESS_END
        if self.reply.is_started or (self._continues and is_success):
            raise AnswerLost(f"resumption failed with status {answer.status}")
        self.record_answer(answer)
        self._log_answer(server, answer)
        if buffered.is_server_error and self.is_repeatable:
            self.keep_error(server, buffered)
            raise EngineFailed(f"status {answer.status}")
        await self.reply.send(buffered.status, buffered.headers, buffered.body)

    async def _forward_remaining(
        self, chunks: AsyncIterator[bytes], stride: int
    ) -> None:
        """Forward the events that an engine produced before it stopped."""
        try:
            async with asyncio.timeout(STREAM_CLOSE_TIMEOUT_S):
                async for chunk in chunks:
                    complete = self._feed(chunk, stride)
                    if complete:
                        await self.reply.write(complete)
        except (AnswerLost, TimeoutError):
            # Expected: the engine closes the stream without completing it.
            return

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
