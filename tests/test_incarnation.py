"""Incarnation numbers of processes whose settings have a seed."""

from __future__ import annotations

import asyncio
import random

from gooseberrypost.agent.daemon import Agent
from gooseberrypost.entry.wiring import assemble
from gooseberrypost.settings.entry import EntrySettings
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from tests import agent_kit
from tests.entry_fakes import FilledConfiguration
from tests.standins.keyvalue import monotonic_ms
from tests.standins.plain import PlainService


async def entry_incarnations():
    store = InMemoryKeyValueStore(monotonic_ms)
    incarnations = []
    for _ in range(2):
        cfg = EntrySettings("e1", "z1", "127.0.0.1:0", "127.0.0.1:0", seed=1)
        entry = await assemble(
            cfg,
            random.Random(cfg.seed),
            store,
            lambda board, wire: (FilledConfiguration({}), []),
        )
        hello = entry.context.agents.pool.hello
        incarnations.append(hello.incarnation)
        await entry.start()
        await entry.stop()
    return incarnations


async def agent_incarnations():
    cfg = agent_kit.settings(PlainService(), "plain", seed=1)
    return [Agent.from_config(cfg).process_id.incarnation for _ in range(2)]


def test_a_seed_does_not_repeat_the_incarnation_of_an_entry():
    """Guards against entries with the same seed taking each other's shards.

    An entry takes a shard whose head has its own incarnation without checking
    the lease.
    """
    first, second = asyncio.run(entry_incarnations())
    assert first != second


def test_a_seed_does_not_repeat_the_incarnation_of_an_agent():
    """Guards against a false ``never_started`` from a restarted agent.

    ``Revoke`` carries the incarnation that the call was sent to, so that its
    successor does not report that the call never started.
    """
    first, second = asyncio.run(agent_incarnations())
    assert first != second
