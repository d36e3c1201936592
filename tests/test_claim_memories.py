"""Claims in the memory of owners survive a service that came back older.

All processes go on running. The service comes back from a copy, without what
was written after it, and gives out the same versions again.
"""

from __future__ import annotations

import asyncio
import itertools

from result import Ok

from gooseberrypost.claims._clocks import monotonic_ms
from gooseberrypost.claims._lease import OwnerLease
from gooseberrypost.state.claim import GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.wire.messages import idl
from tests.claim_cluster import (
    SHARDS,
    entries,
    key_owned_by,
    owned_shard_count,
    wait_until,
)
from tests.fake_store import FakeStore, SharedState
from tests.test_claim_owner import ANSWER

DEADLINE_MS = 8_000
BOOKING = GrantRequest("booking", b"d", False, DEADLINE_MS)
CHECK = GrantRequest("check", b"d", True, DEADLINE_MS)


def take_copy(shared):
    return dict(shared.values), dict(shared.key_leases)


def restore(shared, copy, keep_leases=False):
    """Let the service come back from a copy; its leases are lost."""
    shared.values, shared.key_leases = dict(copy[0]), dict(copy[1])
    versions = [found.version for found in copy[0].values()]
    shared.versions = itertools.count(max(versions, default=0) + 1)
    for lease in list(shared.leases):
        if not keep_leases:
            shared.end_lease(lease)


async def until_served(cluster, keys):
    """Wait until the shard of each key has an owner that logged it."""

    def is_logged(key):
        owned = [entry.owner.shard_for(key) for entry in cluster]
        served = [shard for shard in owned if shard is not None]
        return (
            len(served) == 1
            and key in served[0].claims.claims
            and not served[0].claims.unconfirmed
            and not served[0].has_successor
        )

    await wait_until(lambda: all(is_logged(key) for key in keys))


async def run_once(client, key):
    grant = (await client.claim(key, idempotent=False)).unwrap()
    assert (await client.client.complete(key, grant.attempt, ANSWER)).is_ok()
    return grant.attempt


def served_epochs(cluster):
    return {
        number: shard.log.epoch
        for entry in cluster
        for number, shard in entry.owner.section.shards.items()
    }


async def until_taken_anew(cluster, before):
    """Wait until every shard has an owner of a later epoch."""

    def is_taken_anew():
        after = served_epochs(cluster)
        return len(after) == SHARDS and all(
            after[number] > before[number] for number in before
        )

    await wait_until(is_taken_anew)


def test_claims_survive_the_loss_of_the_whole_store():
    """Guards against a second run, and against an epoch given out twice."""

    async def run():
        async with entries(3) as cluster:
            shared = cluster[0].store.shared
            keys = [key_owned_by(entry) for entry in cluster[:2]]
            for key in keys:
                await run_once(cluster[2], key)
            before = served_epochs(cluster)
            restore(shared, ({}, {}))
            await until_taken_anew(cluster, before)
            await until_served(cluster, keys)
            for key in keys:
                assert (await cluster[2].claim(key, False)).is_err()

    asyncio.run(run())


def test_claims_survive_two_restores():
    """Guards against claims that are lost as the service goes back again."""

    async def run():
        async with entries(3) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            copy = take_copy(shared)
            key = key_owned_by(first)
            await run_once(second, key)
            restore(shared, copy)
            await until_served(cluster, [key])
            restore(shared, copy)
            await until_served(cluster, [key])
            assert (await third.claim(key, idempotent=False)).is_err()

    asyncio.run(run())


def test_an_idle_owner_writes_lost_claims_again():
    """Guards against a loss that shows only after the owner is lost."""

    async def run():
        async with entries(3, owners=[0, 1]) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            copy = take_copy(shared)
            key = key_owned_by(first)
            await run_once(third, key)
            stale = first.owner.shard_for(key)
            await wait_until(lambda: not stale.claims.unconfirmed)
            restore(shared, copy, keep_leases=True)
            await first.owner.verify_once()
            assert stale.is_lost
            await until_served(cluster, [key])
            await first.crash()
            await wait_until(lambda: owned_shard_count([second]) == SHARDS)
            assert (await third.claim(key, idempotent=False)).is_err()

    asyncio.run(run())


def test_a_successor_asks_an_owner_that_is_cut_off_from_the_service():
    """Guards against a takeover that replays only the older log."""

    async def run():
        async with entries(3, owners=[0, 1]) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            copy = take_copy(shared)
            key = key_owned_by(first)
            await run_once(third, key)
            first.store.is_partitioned = True
            restore(shared, copy)
            await wait_until(lambda: second.owner.shard_for(key) is not None)
            assert (await second.claim(key, idempotent=False)).is_err()
            assert (await first.claim(key, idempotent=False)).is_err()

    asyncio.run(run())


def test_an_owner_that_was_cut_off_hands_its_claims_over():
    """Guards against a second run after an owner that nobody could ask."""

    async def run():
        async with entries(3, owners=[0, 1]) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            copy = take_copy(shared)
            key = key_owned_by(first)
            await run_once(third, key)
            first.store.is_partitioned = True
            address = first.listener.address
            await first.listener.stop()
            restore(shared, copy)
            await wait_until(lambda: second.owner.shard_for(key) is not None)
            assert key not in second.owner.shard_for(key).claims.claims
            await first.listener.start(address)
            first.store.is_partitioned = False
            await until_served([second], [key])
            await wait_until(lambda: not first.owner._memories)
            assert (await third.claim(key, idempotent=False)).is_err()

    asyncio.run(run())


def test_a_minted_key_of_a_lost_epoch_is_not_granted_again():
    """Guards against a minted key whose epoch another owner gets."""

    async def run():
        async with entries(3) as cluster:
            first, second, third = cluster
            minted = (await first.client.mint("s")).unwrap()
            await run_once(second, minted)
            before = served_epochs(cluster)
            restore(first.store.shared, ({}, {}))
            await until_taken_anew(cluster, before)
            assert (await third.claim(minted, idempotent=False)).is_err()

    asyncio.run(run())


def test_first_uses_are_unknown_until_every_peer_was_asked():
    """Guards against a grant while an unreachable peer may remember a run."""

    async def run():
        async with entries(3) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            copy = take_copy(shared)
            key = key_owned_by(first)
            await run_once(second, key)
            address = third.listener.address
            await third.listener.stop()
            third.store.is_partitioned = True
            restore(shared, copy)
            await until_served([first, second], [key])
            owner = next(e for e in (first, second) if e.owner.shard_for(key))
            new = key_owned_by(owner, "new")
            shard = owner.owner.shard_for(key)
            while owner.owner.shard_for(new) is not shard:
                new += "x"
            refused = await owner.claim(new, idempotent=False)
            assert refused.unwrap_err().outcome == "unknown"
            await third.listener.start(address)
            await wait_until(lambda: not shard.unasked)
            assert (await owner.claim(new, idempotent=False)).is_ok()

    asyncio.run(run())


def test_an_owner_without_shards_puts_its_evidence_back():
    """Guards against convicted content that the service has forgotten."""

    async def run():
        async with entries(3, owners=[0]) as cluster:
            _, second, third = cluster
            shared = second.store.shared
            copy = take_copy(shared)
            for crash in ("c1", "c2"):
                report = idl.CrashReport(
                    crash_id=crash, server="s1", digests=[b"p", crash.encode()]
                )
                address = second.listener.address
                done = await third.pool.request(address, report, 2_000)
                assert isinstance(done.unwrap(), idl.Ok)
            restore(shared, copy)
            assert "claims/evidence" not in shared.values
            await wait_until(lambda: "claims/evidence" in shared.values)

    asyncio.run(run())


def test_a_lease_whose_id_was_given_out_again_counts_as_lost():
    """Guards against "not run" under the lease of another process (P4)."""

    async def run():
        shared = SharedState()
        store = FakeStore(shared)
        own = OwnerLease("e1", 1, 10_000, store, monotonic_ms)
        other = OwnerLease("e2", 2, 10_000, store, monotonic_ms)
        written = []

        async def write_heads():
            written.append(own.held.is_held(monotonic_ms()))
            return Ok(None)

        assert (await own.renew(write_heads)).is_ok()
        restore(shared, ({}, {}))
        shared.lease_ids = itertools.count(1)
        assert (await other.renew(write_heads)).is_ok()
        assert (await own.renew(write_heads)).is_ok()
        assert written == [False, True, False]
        assert len(shared.values) == 2

    asyncio.run(run())


def served_claims(epoch, *requests):
    """Claims of an owner that granted each request to ``e1``."""
    claims = ShardClaims(0, epoch)
    for request in requests:
        grant = claims.claim(request, "e1", 0)
        log(claims)
        claims.mark_grant_sent(request.key, grant.attempt)
    return claims


def log(claims):
    """Confirm the records of an owner, which a successor replays."""
    records = claims.take_outbox()
    claims.confirm(len(records))
    claims.logged = [*getattr(claims, "logged", []), *records]


def merged(claims, *memories):
    for memory in memories:
        claims.merge(memory.recollect(0), 0)
        log(claims)
    return claims


def replayed(claims):
    """Claims of a successor that replays the log of an owner."""
    successor = ShardClaims(0, claims.epoch + 1)
    log(claims)
    successor.replay(claims.logged, 0)
    return successor


def test_a_remembered_run_is_not_granted_again_by_any_successor():
    """Guards against a merge that is not in the log."""
    owner = merged(ShardClaims(0, 2), served_claims(1, BOOKING, CHECK))
    for claims in (replayed(owner), owner):
        again = claims.claim(BOOKING, "e2", 0)
        assert again.verdict is Verdict.RUNNING
        claims.tick(DEADLINE_MS)
        again = claims.claim(BOOKING, "e2", DEADLINE_MS)
        assert again.verdict is Verdict.UNKNOWN
        retried = claims.claim(CHECK, "e2", DEADLINE_MS)
        assert retried.verdict is Verdict.GRANTED
        assert not claims.is_confirmed(retried)


def test_a_process_that_was_deposed_long_ago_replaces_nothing_newer():
    """Guards against an older memory that hides a newer grant or answer."""
    old = served_claims(1, CHECK)
    new = merged(ShardClaims(0, 2), old)
    new.tick(DEADLINE_MS)
    grant = new.claim(CHECK, "e2", DEADLINE_MS)
    log(new)
    new.mark_grant_sent(CHECK.key, grant.attempt)
    newest = merged(ShardClaims(0, 3), new, old)
    assert newest.claims[CHECK.key].attempt == grant.attempt
    assert newest.claims[CHECK.key].holder == "e2"
    late = newest.complete(CHECK.key, 1_025, ANSWER, DEADLINE_MS)
    assert late.verdict is Verdict.SUPERSEDED
    done = newest.complete(CHECK.key, grant.attempt, ANSWER, DEADLINE_MS)
    assert done.verdict is Verdict.GRANTED


def test_a_remembered_run_overrules_a_later_proof_of_no_run():
    """Guards against a grant after a run that the last owner did not know."""
    memory = served_claims(1, BOOKING)
    owner = served_claims(2, BOOKING)
    attempt = owner.claims[BOOKING.key].attempt
    owner.abandon(BOOKING.key, attempt, True, 0)
    merged(owner, memory)
    for claims in (replayed(owner), owner):
        again = claims.claim(BOOKING, "e3", 0)
        assert again.verdict is Verdict.UNKNOWN


def test_a_remembered_answer_supersedes_a_running_attempt():
    """Guards against two answers of a key (P2)."""
    memory = served_claims(1, CHECK)
    memory.complete(CHECK.key, 1_025, ANSWER, 0)
    log(memory)
    owner = served_claims(2, CHECK)
    attempt = owner.claims[CHECK.key].attempt
    merged(owner, memory)
    for claims in (replayed(owner), owner):
        late = claims.complete(CHECK.key, attempt, ANSWER, 0)
        assert late.verdict is Verdict.SUPERSEDED
        again = claims.claim(CHECK, "e3", 0)
        assert again.verdict is Verdict.COMPLETED


def test_two_holders_of_one_attempt_do_not_both_answer():
    """Guards against an epoch that two owners were given."""
    memory = served_claims(1, CHECK)
    owner = ShardClaims(0, 1)
    grant = owner.claim(CHECK, "e2", 0)
    log(owner)
    owner.mark_grant_sent(CHECK.key, grant.attempt)
    heir = merged(ShardClaims(0, 2), owner, memory)
    done = heir.complete(CHECK.key, grant.attempt, ANSWER, 0)
    assert done.verdict is Verdict.SUPERSEDED
