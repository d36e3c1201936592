"""Claim owners and clients of several entries over loopback connections."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from gooseberrypost.claims._clocks import monotonic_ms
from gooseberrypost.claims._lease import OwnerLease
from gooseberrypost.claims.client import (
    AnsweredBefore,
    StoredAnswer,
)
from gooseberrypost.errors import (
    ClaimsUnavailable,
    Duplicate,
    KeyReused,
    Outcome,
    Quarantined,
    Superseded,
    UnknownOutcome,
)
from gooseberrypost.identity import MintedKey
from gooseberrypost.stores.keyvalue import KeyValueUnavailable
from gooseberrypost.wire.messages import idl
from tests.claim_cluster import (
    SHARDS,
    entries,
    key_owned_by,
    owned_shard_count,
    wait_until,
)
from tests.fake_store import FakeStore, SharedState

ANSWER = StoredAnswer(200, b"complete answer", "text/plain")


def test_a_new_cluster_distributes_its_shards_within_two_seconds():
    """Guards against unowned shards and against one owner of all shards."""

    async def run():
        loop = asyncio.get_running_loop()
        start = loop.time()
        async with entries(3, lease_ms=15_000) as cluster:
            assert loop.time() - start < 2
            held = [len(e.owner.section.shards) for e in cluster]
            assert max(held) <= 3
            assert sum(held) == SHARDS

    asyncio.run(run())


def test_an_owner_releases_shards_beyond_its_fair_share():
    """Guards against an owner that keeps all shards after starting first."""

    async def run():
        async with entries(4, owners=[0]) as cluster:
            for entry in cluster[1:]:
                await entry.claim("k")
            assert len(cluster[0].owner.section.shards) == SHARDS
            for _ in range(3):
                await cluster[0].owner.balance_once()
            assert len(cluster[0].owner.section.shards) == 2

    asyncio.run(run())


def test_a_resend_through_another_entry_gets_the_stored_answer():
    """Guards against a second answer for the same key (P2)."""

    async def run():
        async with entries(3) as (first, second, third):
            key = key_owned_by(next(e for e in (first, third, second)))
            grant = (await second.claim(key)).unwrap()
            assert isinstance((await third.claim(key)).err(), Duplicate)
            other = await third.claim(key, digest=b"other")
            assert isinstance(other.err(), KeyReused)
            waiting = asyncio.create_task(third.claim(key, wait_ms=5_000))
            done = await second.client.complete(key, grant.attempt, ANSWER)
            assert done.is_ok()
            replay = (await waiting).unwrap_err()
            assert isinstance(replay, AnsweredBefore)
            assert replay.answer == ANSWER
            again = await second.client.complete(key, grant.attempt, ANSWER)
            assert again.is_ok()

    asyncio.run(run())


def test_a_lost_entry_orphans_its_claims():
    """Guards against resends that wait for or repeat a lost attempt (P5)."""

    async def run():
        async with entries(3, owners=[0]) as (owner, lost, other):
            for key, idempotent in (("check", True), ("book", False)):
                grant = (await lost.claim(key, idempotent)).unwrap()
                assert grant.attempt > 0
            await lost.pool.close()
            shards = owner.owner.section.shards.values()
            claims = [c for s in shards for c in s.claims.claims.values()]
            await wait_until(
                lambda: all(c.state == "orphaned" for c in claims)
            )
            again = (await other.claim("check")).unwrap()
            assert again.attempt > grant.attempt
            once = await other.claim("book", idempotent=False)
            assert once.unwrap_err().outcome is Outcome.UNKNOWN
            late = await lost.client.complete("check", grant.attempt, ANSWER)
            assert isinstance(late.unwrap_err(), Superseded)

    asyncio.run(run())


def test_an_undeliverable_grant_is_abandoned():
    """Guards against a claim that a lost entry holds until its deadline."""

    async def run():
        async with entries(3, owners=[0]) as (owner, first, second):
            grant = (await first.claim("k", idempotent=False)).unwrap()
            attached = asyncio.create_task(
                second.claim("k", idempotent=False, wait_ms=5_000)
            )
            claims = owner.owner.shard_for("k").claims.claims
            await wait_until(lambda: len(owner.listener.sessions) == 2)
            await second.pool.close()
            assert (await attached).is_err()
            await first.client.abandon("k", grant.attempt, not_run=True)
            await wait_until(lambda: claims["k"].attempt > grant.attempt)
            await wait_until(lambda: claims["k"].state == "abandoned")
            again = await first.claim("k", idempotent=False)
            assert again.is_ok()

    asyncio.run(run())


def test_a_successor_replays_the_claims_of_a_lost_owner():
    """Guards against a second run after an owner crashed (P5)."""

    async def run():
        async with entries(3, owners=[0, 1]) as (first, second, third):
            once, done = key_owned_by(first, "o"), key_owned_by(first, "d")
            grant = (await third.claim(once, idempotent=False)).unwrap()
            done_grant = (await third.claim(done)).unwrap()
            await third.client.complete(done, done_grant.attempt, ANSWER)
            minted = await third.client.mint("s")
            assert MintedKey.parse(minted.unwrap()).is_ok()
            await first.crash()
            resend = await third.claim(once, idempotent=False)
            assert isinstance(resend.unwrap_err(), Duplicate)
            assert isinstance((await third.claim(done)).err(), Duplicate)
            await wait_until(lambda: owned_shard_count([second]) == SHARDS)
            kept = await third.client.complete(once, grant.attempt, ANSWER)
            assert kept.is_ok()

    asyncio.run(run())


def test_a_successor_takes_over_running_claims_of_a_released_shard():
    """Guards against answers lost in a graceful shutdown (P7)."""

    async def run():
        async with entries(3, owners=[0, 1]) as (first, second, third):
            key = key_owned_by(first)
            grant = (await third.claim(key)).unwrap()
            epoch = first.owner.shard_for(key).log.epoch
            old = next(iter(first.owner.section.shards.values()))
            minted = old.claims.mint(first.rng)
            run = (await third.claim(minted, idempotent=False)).unwrap()
            await first.owner.stop()
            for name, attempt in ((key, grant.attempt), (minted, run.attempt)):
                done = await third.client.complete(name, attempt, ANSWER)
                assert done == Ok(None)
            assert second.owner.shard_for(key).log.epoch == epoch + 1
            unused = old.claims.mint(first.rng)
            unknown = await third.claim(unused)
            assert isinstance(unknown.unwrap_err(), UnknownOutcome)

    asyncio.run(run())


def test_claims_in_an_outage_of_the_key_value_service():
    """Guards against grants that are not in the log for a successor (P5)."""

    async def run():
        async with entries(2, owners=[0], lease_ms=3_000) as (owner, entry):
            before = (await entry.claim("before")).unwrap()
            owner.store.shared.down = True
            shard = owner.owner.shard_for("x")
            first = await entry.claim("x", idempotent=False)
            assert isinstance(first.unwrap_err(), ClaimsUnavailable)
            assert shard.is_stalled
            minted = (await entry.client.mint("s")).unwrap()
            run = (await entry.claim(minted, idempotent=False)).unwrap()
            done = await entry.client.complete(minted, run.attempt, ANSWER)
            assert done.is_ok()
            held = owner.owner.lease.held
            await wait_until(lambda: not held.is_held(monotonic_ms()))
            late = await entry.claim("x", idempotent=False)
            assert late.unwrap_err().outcome is Outcome.UNKNOWN
            assert late.unwrap_err().retry_after_ms
            owner.store.shared.down = False
            await wait_until(lambda: held.is_held(monotonic_ms()))
            done = await entry.client.complete(
                "before", before.attempt, ANSWER
            )
            assert done.is_ok()
            await wait_until(lambda: not shard.is_stalled)
            again = await entry.claim("x", idempotent=False)
            assert again.is_ok()

    asyncio.run(run())


def test_an_idempotent_claim_waits_for_the_end_of_a_short_outage():
    """Guards against a run that is not in the log (P2, P4)."""

    async def run():
        async with entries(2, owners=[0], lease_ms=5_000) as (owner, entry):
            owner.store.shared.down = True
            first = await entry.claim("x", idempotent=False)
            assert isinstance(first, Err)
            key = next(
                f"k{n}"
                for n in range(99)
                if owner.owner.shard_for(f"k{n}").is_stalled
            )
            claims = owner.owner.shard_for(key).claims
            task = asyncio.create_task(entry.claim(key))
            await wait_until(lambda: key in claims.claims)
            assert not claims.claims[key].may_have_run
            owner.store.shared.down = False
            assert (await task).is_ok()

    asyncio.run(run())


def test_a_partitioned_owner_is_replaced_and_grants_nothing():
    """Guards against two owners that grant the same key (P5)."""

    async def run():
        async with entries(3, owners=[0, 1]) as (first, second, _):
            key = key_owned_by(first)
            stale = first.owner.shard_for(key)
            first.store.is_partitioned = True
            await wait_until(lambda: second.owner.shard_for(key) is not None)
            direct = await first.claim(key, idempotent=False)
            assert direct.unwrap_err().outcome is Outcome.UNKNOWN
            assert (await second.claim(key, idempotent=False)).is_ok()
            first.store.is_partitioned = False
            await wait_until(lambda: first.owner.shard_for(key) is not stale)
            resend = await first.claim(key, idempotent=False)
            assert isinstance(resend.unwrap_err(), Duplicate)

    asyncio.run(run())


def test_writes_with_lost_answers_are_read_back():
    """Guards against refusing or repeating a write that took effect."""

    async def run():
        async with entries(2, owners=[0]) as (owner, entry):
            for number in range(20):
                owner.store.lose_answers = 1
                assert (await entry.claim(f"k{number}")).is_ok()
            assert owned_shard_count([owner]) == SHARDS

    asyncio.run(run())


def test_crash_evidence_survives_the_loss_of_its_owner():
    """Guards against convicted content that runs after a takeover (P9)."""

    async def run():
        async with entries(3, owners=[0, 1]) as (first, second, third):
            for crash in ("c1", "c2"):
                report = idl.CrashReport(
                    crash_id=crash, server="s1", digests=[b"p", crash.encode()]
                )
                address = first.listener.address
                done = await third.pool.request(address, report, 2_000)
                assert isinstance(done.unwrap(), idl.Ok)
            await first.crash()
            await wait_until(lambda: owned_shard_count([second]) == SHARDS)
            refused = await third.claim("k", digest=b"p")
            assert isinstance(refused.unwrap_err(), Quarantined)
            grant = (await third.claim("j", digest=b"c1")).unwrap()
            assert grant.suspect

    asyncio.run(run())


def test_a_new_lease_is_held_only_after_every_head_was_written():
    """Guards against "not run" reported while a successor may run it (P4)."""

    async def run():
        store = FakeStore(SharedState())
        lease = OwnerLease("e1", 1, 10_000, store, monotonic_ms)

        async def fails():
            return Err(KeyValueUnavailable("head"))

        async def succeeds():
            return Ok(None)

        assert (await lease.renew(fails)).is_err()
        assert not lease.held.is_held(monotonic_ms())
        assert (await lease.renew(succeeds)).is_ok()
        assert lease.held.is_held(monotonic_ms())
        assert len(store.shared.leases) == 1
        store.shared.end_lease(1)
        assert (await lease.renew(fails)).is_err()
        assert not lease.held.is_held(monotonic_ms())

    asyncio.run(run())
