"""Budget of moves for memory that do not take place."""

from __future__ import annotations

from gooseberrypost.gateway import migration
from gooseberrypost.policy.gatewayretry import GatewayRetryBudget
from tests.gateway_kit import serving
from tests.silent_engine import add_engines, stream, whole
from tests.test_stream_successors import run


def test_moves_for_memory_that_are_refused_cost_no_budget(monkeypatch):
    """Guards against streams that are cut for the sake of moves not made.

    The engine is low on memory and refuses each move of its run.
    """
    monkeypatch.setattr(migration, "run_to_migrate", lambda sizes, _: sizes[0])
    counted = []
    spend, refund = GatewayRetryBudget.spend, GatewayRetryBudget.refund

    def spent(budget, now_s):
        counted.append(1)
        spend(budget, now_s)

    def refunded(budget, spent_s):
        counted.append(-1)
        refund(budget, spent_s)

    monkeypatch.setattr(GatewayRetryBudget, "spend", spent)
    monkeypatch.setattr(GatewayRetryBudget, "refund", refunded)

    async def work():
        async with serving() as kit:
            await add_engines(kit, "d", "e")
            got = await stream(kit, "text")
            assert got.body == whole(30)
            assert sum(counted) == 0

    run(work)
