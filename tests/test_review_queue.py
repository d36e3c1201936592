"""What streams that have begun cost the others that wait for memory."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from gooseberrypost.gateway.reserver import PendingReservation
from gooseberrypost.policy.queueorder import QueuedGeneration, queue_rank_ms
from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl
from tests.gateway_kit import serving
from tests.silent_engine import SilentEngine, add_engines, stream, whole
from tests.test_begun_streams import EngineWithOnePlace
from tests.test_stream_successors import running_at
from tests.version_kit import is_listed, run, serving_versions

DUE_S = 0.9
"""Time in which the first event of a new generation is due."""
HEAD_S = 5.0
"""Time from the head of an answer to its first event."""
PEERS = 8
GENERATIONS = 12
SLOTS = 2 * GENERATIONS


class Queue:
    """Decode engines ``d``, with memory, and ``e``, without, of one version.

    A stream at ``d`` is silent, and its successor waits for another engine.
    """

    def __init__(self, kit):
        self.kit = kit
        self.ctx = kit.daemon.context
        self.tasks = []

    def pending(self, due_in_s: float, **changes) -> PendingReservation:
        now_s = self.ctx.now_s()
        return PendingReservation(
            **{
                "first_event_due_s": now_s + due_in_s,
                "abandon_s": now_s + 5.0,
                "deadline_s": now_s + 5.0,
                "tokens": 100,
                "output": 10,
                "service": "llm",
                **changes,
            }
        )

    def acquire(self, pending: PendingReservation) -> asyncio.Task:
        task = asyncio.create_task(self.ctx.reservation_queue.acquire(pending))
        self.tasks.append(task)
        return task

    async def successor_of_silent(self, **changes) -> asyncio.Task:
        """Queue the successor of a stream that ``d`` still runs."""
        silent = self.pending(2.0, has_begun=True, source="d@1", **changes)
        task = self.acquire(silent)
        await asyncio.sleep(0.1)
        return task


@asynccontextmanager
async def queue(kind=EngineWithOnePlace, *names: str):
    async with serving_versions() as kit:
        for name in names or ("d", "e"):
            await kit.add(
                name, "llm", "decode", kind, version="v1", slots=SLOTS
            )
        servers = kit.daemon.context.directory.servers
        for name in names or ("d", "e"):
            await kit.until(lambda name=name: is_listed(servers, name))
        waiting = Queue(kit)
        try:
            yield waiting
        finally:
            for task in waiting.tasks:
                task.cancel()
            await asyncio.gather(*waiting.tasks, return_exceptions=True)


async def is_granted(task: asyncio.Task) -> bool:
    await asyncio.wait({task}, timeout=DUE_S)
    return task.done() and task.exception() is None


def test_new_generation_passes_a_successor_that_its_engine_cannot_take():
    """Guards against free memory that nobody gets.

    The stream's engine has the only free memory, and still runs the stream.
    """

    async def work():
        async with queue() as waiting:
            waiting.kit.engines["e"].has_room = False
            await waiting.successor_of_silent()
            new = waiting.acquire(waiting.pending(DUE_S))
            assert await is_granted(new)

    run(work)


def test_broken_stream_passes_a_successor_that_its_engine_cannot_take():
    """Guards against a cut stream while memory is free.

    The next event of the silent stream is due first.
    """

    async def work():
        async with queue() as waiting:
            waiting.kit.engines["e"].has_room = False
            await waiting.successor_of_silent(version="v1")
            broken = waiting.pending(3.0, version="v1", has_begun=True)
            assert await is_granted(waiting.acquire(broken))

    run(work)


def test_new_generation_gets_memory_before_a_successor_that_may_not_be_used():
    """Guards against refusals for the sake of a stream that still runs."""

    async def work():
        async with queue() as waiting:
            kit = waiting.kit
            for name in "de":
                kit.engines[name].has_room = False
            silent = await waiting.successor_of_silent()
            new = waiting.acquire(waiting.pending(DUE_S))
            await asyncio.sleep(0.1)
            kit.engines["e"].has_room = True
            await kit.until(lambda: new.done() or silent.done())
            assert not silent.done()

    run(work)


def test_clients_are_served_beside_a_silent_stream():
    """Guards against late events although an engine has memory.

    The silent stream has sent its head, and no event yet.
    """

    async def work():
        async with serving() as kit:
            (source,) = await add_engines(kit, "d")
            other = await kit.add("e", "llm", "decode", kind=SilentEngine)
            other.has_room = False
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            source.head_s = HEAD_S
            silent = asyncio.create_task(stream(kit, "again"))
            await running_at(kit, [source])
            waiting = kit.daemon.context.reservation_queue
            await kit.until(lambda: waiting.has_waiting)
            source.head_s = source.event_s = 0.0
            began_s = kit.daemon.context.now_s()
            got = await stream(kit, "text")
            assert got.status == 200
            assert got.body == whole(30)
            assert kit.daemon.context.now_s() - began_s < DUE_S
            await silent

    run(work)


def test_begun_streams_of_another_service_do_not_delay_at_other_gateways():
    """Guards against new generations that wait for what they do not share.

    Streams of another service wait at the other gateways, as no engine of it
    has memory.
    """

    async def work():
        async with queue(SilentEngine, "d") as waiting:
            kit, ctx = waiting.kit, waiting.ctx

            def tell(sequence: int):
                begun = waiting.pending(
                    2.0, service="quiet-llm", has_begun=True
                )
                for number in range(PEERS):
                    notice = idl.LoadNotice(
                        name=f"other-{number}",
                        incarnation=1,
                        sequence=sequence,
                        servers=[],
                        configuration_version=1,
                        waiting=0,
                        turn_ms=queue_rank_ms(begun, ctx.now_s(), 0.1),
                    )
                    data = encode(Frame(sequence, notice))
                    kit.daemon.peers.datagram_received(
                        data, ("127.0.0.1", 9_000 + number)
                    )

            tell(1)
            new = [
                waiting.acquire(waiting.pending(DUE_S))
                for _ in range(GENERATIONS)
            ]
            began_s = ctx.now_s()
            await asyncio.wait(new, timeout=5)
            took_s = ctx.now_s() - began_s
            assert [task.exception() for task in new] == [None] * GENERATIONS
            assert took_s < DUE_S

    run(work)


def test_rank_of_begun_bulk_is_behind_new_interactive_requests():
    """Guards against bulk streams before interactive requests elsewhere."""
    bulk = QueuedGeneration(2.0, 5.0, 1, priority=1, has_begun=True)
    new = QueuedGeneration(0.9, 2.0, 1, priority=0)
    assert queue_rank_ms(new, 0.0, 0.1) < queue_rank_ms(bulk, 0.0, 0.1)
