"""Memory that engines have given to streams that have begun."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.gateway.reserver import PendingReservation
from gooseberrypost.policy.enginememory import Run
from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl
from tests.version_kit import is_listed, run, serving_versions

DELAY_S = 0.03
"""Time that the engine takes for a reservation."""


def notice_of_a_smaller_run() -> bytes:
    """Return what a peer tells that asks for the same memory."""
    load = idl.ServerLoadNotice(
        identity="d@1",
        outstanding=0,
        prefill_tokens=0,
        run_tokens=[5_000],
        run_produced=[0],
        run_expected=[10],
        run_limit=[20],
    )
    notice = idl.LoadNotice(
        name="other",
        incarnation=1,
        sequence=1,
        servers=[load],
        configuration_version=1,
    )
    return encode(Frame(1, notice))


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_reservation_of_a_begun_stream(is_cancelled):
    """Guards against memory in hand that is given back for a new generation.

    The engine has admitted the begun stream, whose prompt is the larger one.
    If its client leaves during the reservation, the memory is given back.
    """

    async def work():
        async with serving_versions() as kit:
            engine = await kit.add("d", "llm", "decode", version="v1")
            engine.control_delay_s = DELAY_S
            ctx = kit.daemon.context
            await kit.until(lambda: is_listed(ctx.directory.servers, "d"))
            now_s = ctx.now_s()
            begun = PendingReservation(
                first_event_due_s=now_s + 2.0,
                abandon_s=now_s + 5.0,
                deadline_s=now_s + 5.0,
                tokens=6_000,
                output=10,
                service="llm",
                run=Run(6_000, 10, 20),
                has_begun=True,
            )
            task = asyncio.create_task(ctx.reservation_queue.acquire(begun))
            await kit.until(lambda: begun.is_reserving)
            if is_cancelled:
                task.cancel()
                await asyncio.wait({task})
            else:
                kit.daemon.peers.datagram_received(
                    notice_of_a_smaller_run(), ("127.0.0.1", 9)
                )
                await asyncio.wait({task}, timeout=1.0)
            await asyncio.sleep(5 * DELAY_S)
            dropped = [
                one.target
                for one in engine.control
                if one.target.startswith("/-/hold-drop")
            ]
            assert len(dropped) == is_cancelled
            assert task.done()

    run(work)
