"""Entries with real claims and agents, and fake engines and services."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp

from gooseberrypost.agent.lifecycle import DrainReason
from gooseberrypost.claims.owner import monotonic_ms
from gooseberrypost.entry.wiring import assemble
from gooseberrypost.settings.entry import ClaimSettings, EntrySettings
from gooseberrypost.state.records import EngineRecord, ServiceRecord
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from tests import agent_kit
from tests.entry_fakes import FilledConfiguration
from tests.standins.engine import Engine
from tests.standins.generation import answer
from tests.standins.plain import PlainService
from tests.test_entry_model import text_of

PROMPT = "tell me about the bow rig"


class Deployment:
    """Two entries, two engines of each role and one plain server."""

    def __init__(self, stack):
        self.enter = stack.enter_async_context
        self.stack = stack
        self.servers = {}
        self.agents = {}
        self.entries = []

    async def start(self, service=None, **options):
        targets = {"first_token_ms": 5_000} | (service or {})
        records = {
            "service/llm": ServiceRecord("llm", models=["m"], **targets),
            "service/desk": ServiceRecord(
                "desk", kind="plain", non_idempotent=["POST /log"]
            ),
        }
        store = InMemoryKeyValueStore(monotonic_ms)
        owner_addresses = [
            await self.start_entry(n, store, records) for n in (1, 2)
        ]
        for name in ("p1", "p2", "d1", "d2", "s1"):
            await self.start_agent(name, records, owner_addresses, options)
        self.http = await self.enter(aiohttp.ClientSession())
        for entry in self.entries:
            entry.fleet.refresh()
        await agent_kit.until(
            lambda: sum(len(entry.shards()) for entry in self.entries) == 2
        )

    async def start_entry(self, number, store, records):
        cfg = EntrySettings(
            f"e{number}",
            "z1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            claims=ClaimSettings(shards=2),
        )
        entry = await assemble(
            cfg,
            random.Random(number),
            store,
            lambda board, wire: (FilledConfiguration(records), []),
        )
        await entry.start()
        self.stack.push_async_callback(entry.stop)
        self.entries.append(entry)
        return entry.context.agents.pool.hello.address

    async def start_agent(self, name, records, owner_addresses, options):
        plain = name[0] == "s"
        kind = PlainService if plain else Engine
        role = {"p": "prefill", "d": "decode", "s": "plain"}[name[0]]
        server = await self.enter(
            kind.serving() if plain else kind.serving(role=role, **options)
        )
        cfg = agent_kit.settings(
            server,
            "plain" if plain else "model",
            name=name,
            peers=owner_addresses,
            reattach_ms=300,
        )
        agent = await self.enter(agent_kit.running(cfg))
        self.servers[name], self.agents[name] = server, agent
        records[f"engine/{name}"] = EngineRecord(
            name,
            "desk" if plain else "llm",
            agent.address,
            "z1",
            role,
            "" if plain else "m",
        )

    def post(self, path, entry=0, **kwargs):
        address = self.entries[entry].http.address
        return self.http.post(f"http://{address}{path}", **kwargs)

    def complete(self, prompt=PROMPT, entry=0, max_tokens=20, **kwargs):
        body = {
            "model": "m",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self.post("/v1/completions", entry, json=body, **kwargs)

    def busy_engines(self):
        return [
            (
                name,
                agent.capacity.capacity.ledger.slots_used,
                server.attempts,
            )
            for (name, agent), server in zip(
                self.agents.items(), self.servers.values(), strict=True
            )
            if name[0] != "s"
            and (agent.capacity.capacity.ledger.slots_used or server.attempts)
        ]

    async def wait_until_idle(self):
        await agent_kit.until(lambda: not self.busy_engines())


def run(scenario, **options):
    async def main():
        async with asyncio.timeout(30), AsyncExitStack() as stack:
            deployment = Deployment(stack)
            await deployment.start(**options)
            await scenario(deployment)

    asyncio.run(main())


def test_streams_are_complete_and_free_the_engines():
    """Guards against lost or mixed-up tokens and leaked memory (P1, P3)."""

    async def check_stream(deployment, number):
        prompt = f"{PROMPT} {number}"
        async with deployment.complete(prompt, entry=number % 2) as response:
            body = await response.text()
        assert text_of(body, "length") == answer(prompt, 20)

    async def scenario(deployment):
        await asyncio.gather(*(check_stream(deployment, n) for n in range(10)))
        await deployment.wait_until_idle()

    run(scenario)


def test_a_caller_disconnect_frees_the_engines():
    """Guards against engine memory held for a disconnected caller (P1)."""

    async def scenario(deployment):
        response = await deployment.complete(max_tokens=1_000).__aenter__()
        await response.content.readany()
        assert deployment.busy_engines()
        disconnected_s = asyncio.get_running_loop().time()
        response.close()
        await deployment.wait_until_idle()
        assert asyncio.get_running_loop().time() - disconnected_s < 1

    run(scenario, token_ms=5.0)


def test_a_duplicate_request_at_another_entry_is_not_executed():
    """Guards against a second execution of one key (P2, P5)."""

    async def send(deployment, entry):
        headers = {"Idempotency-Key": "k1"}
        async with deployment.post(
            "/services/desk/log", entry, data=b"bag", headers=headers
        ) as response:
            outcome = response.headers["X-Gooseberrypost-Outcome"]
            return outcome, await response.read()

    async def scenario(deployment):
        results = await asyncio.gather(
            *(send(deployment, n % 2) for n in range(6))
        )
        outcomes = sorted(outcome for outcome, _ in results)
        assert outcomes == ["completed"] + 5 * ["duplicate"]
        assert len({body for _, body in results}) == 1
        assert deployment.servers["s1"].executions == {"k1": 1}

    run(scenario)


def test_a_call_that_every_server_refuses_is_not_run_and_can_be_retried():
    """Guards against reporting ``unknown`` for a call that never ran (P4)."""

    async def send(deployment):
        headers = {"Idempotency-Key": "k1"}
        async with deployment.post(
            "/services/desk/log", data=b"bag", headers=headers
        ) as response:
            return response.headers["X-Gooseberrypost-Outcome"]

    async def scenario(deployment):
        lifecycle = deployment.agents["s1"].lifecycle
        lifecycle.drain(DrainReason.OPERATOR, True)
        assert await send(deployment) == "not-run"
        lifecycle.drain(DrainReason.OPERATOR, False)
        # The entry probes a draining server again after 250 ms.
        while (outcome := await send(deployment)) == "not-run":
            pass
        assert outcome == "completed"
        assert deployment.servers["s1"].executions == {"k1": 1}

    run(scenario)


def test_a_prompt_that_crashes_engines_crashes_two_at_most():
    """Guards against retries that crash one engine after another (P9).

    Other requests on the same engines still get complete answers.
    """

    async def other_request(deployment, number):
        prompt = f"{PROMPT} {number}"
        async with deployment.complete(prompt, number % 2, 100) as response:
            body = await response.text()
        assert text_of(body, "length") == answer(prompt, 100)

    async def scenario(deployment):
        other_tasks = [
            asyncio.create_task(other_request(deployment, n))
            for n in range(12)
        ]
        decoders = [
            deployment.agents[n].capacity.capacity for n in ("d1", "d2")
        ]
        await agent_kit.until(
            lambda: sum(c.ledger.slots_used for c in decoders) == 12
        )
        codes = []
        for entry in (0, 1, 0):
            async with deployment.complete(
                "CRASH-DECODE now", entry
            ) as response:
                codes.append((await response.json())["error"]["code"])
        crashes = sum(deployment.servers[n].crashes for n in ("d1", "d2"))
        assert crashes <= 2
        assert codes[1:] == ["quarantined", "quarantined"]
        await asyncio.gather(*other_tasks)
        await deployment.wait_until_idle()

    run(scenario)


def test_prompts_that_share_a_crashing_part_crash_few_engines():
    """Guards against a part of prompts that crashes one engine after another.

    No two prompts are equal, so that no digest of a request is repeated.
    After the fifth crash, at most three more may reach engines.
    """

    async def scenario(deployment):
        words = " ".join(f"word{n}" for n in range(64))
        for number in range(12):
            async with deployment.complete(
                f"{words} CRASH-DECODE {words} question {number}", number % 2
            ) as response:
                await response.read()
            await asyncio.sleep(0.2)
        crashes = sum(deployment.servers[n].crashes for n in ("d1", "d2"))
        assert crashes <= 5 + 3
        # Sound prompts begin with the same words.
        for entry in range(2):
            prompt = f"{words} how is the rig levelled? {entry}"
            async with deployment.complete(prompt, entry) as response:
                assert response.status == 200
                body = await response.text()
            assert text_of(body, "length") == answer(prompt, 20)

    run(scenario)


def test_broken_connections_to_agents_lose_no_token():
    """Guards against lost or repeated tokens after a reattachment (P3)."""

    async def scenario(deployment):
        async with deployment.complete(max_tokens=60) as response:
            body = await response.content.readany()
            for name in ("d1", "d2"):
                for session in deployment.agents[name].listener.sessions:
                    session.abort()
            body += await response.content.read()
        assert text_of(body.decode(), "length") == answer(PROMPT, 60)
        await deployment.wait_until_idle()

    run(scenario)


def test_a_stalled_transfer_falls_back_before_the_result_expires():
    """Guards against repeating the prefill after a stalled transfer."""

    async def scenario(deployment):
        entry = deployment.entries[0]
        for number in range(4):
            prompt = f"{PROMPT} {number}"
            async with deployment.complete(prompt) as response:
                body = await response.text()
            assert text_of(body, "length") == answer(prompt, 20)
            # Placement prefers the engine with the least measured token gap.
            views = entry.fleet.candidates("llm", "decode")
            fastest = min(views, key=lambda v: v.token_gap_ms)
            if number == 0:
                deployment.servers[fastest.name].link_open.clear()
        computed = sum(
            deployment.servers[n].prefilled_tokens for n in ("p1", "p2")
        )
        assert computed == 4 * len(f"{PROMPT} 0".split())
        lines = entry.context.metrics.render()
        assert 'action="fallback_decode",code="transfer_stalled"' in lines

    run(scenario)


def test_shared_prefixes_are_placed_where_they_are_cached():
    """Guards against computing a long shared prefix on every engine.

    Without prefix hints, prefixes that one engine has cached are computed
    again by the other.
    """
    prefix_count, prefix_tokens = 8, 4_096

    async def ask(deployment, number, question):
        text = " ".join(f"m{number}w{n}" for n in range(prefix_tokens))
        async with deployment.complete(f"{text} {question}", 0, 5) as response:
            assert response.status == 200
            await response.read()

    async def scenario(deployment):
        for number in range(prefix_count):
            drained, active = ("p1", "p2") if number % 2 else ("p2", "p1")
            operator = DrainReason.OPERATOR
            deployment.agents[drained].lifecycle.drain(operator, True)
            deployment.agents[active].lifecycle.drain(operator, False)
            await ask(deployment, number, "first")
        deployment.agents[drained].lifecycle.drain(operator, False)
        fleet = deployment.entries[0].fleet
        while any(v.draining for v in fleet.candidates("llm", "prefill", "m")):
            await fleet.probe("llm", fleet.candidates("llm", "prefill", "m"))
            await asyncio.sleep(0.01)
        for question in ("second", "third"):
            for number in range(prefix_count):
                await ask(deployment, number, question)
        computed = sum(
            deployment.servers[n].prefilled_tokens for n in ("p1", "p2")
        )
        assert computed < (prefix_count + 2) * prefix_tokens

    run(scenario, prefill_tokens_per_s=50_000.0)


def test_a_long_uncached_prefix_is_served_late_and_then_cached():
    """Guards against refusing a shared prefix forever.

    Its prefill misses the first-token target on every engine. If no request
    were served late, the prefix would never be cached.
    """
    prefix = "abc " * 8_192

    async def scenario(deployment):
        statuses = []
        for number in range(4):
            async with deployment.complete(
                f"{prefix} q{number}", 0, 5
            ) as response:
                statuses.append(response.status)
                await response.read()
        assert statuses == [503, 200, 200, 200]
        computed = sum(
            deployment.servers[n].prefilled_tokens for n in ("p1", "p2")
        )
        assert computed < 8_192 + 1_024

    run(scenario, service={"first_token_ms": 300}, prefill_tokens_per_s=2e4)
