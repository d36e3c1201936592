"""A key-value service that comes back without the newest claims."""

from __future__ import annotations

import asyncio
import itertools

from tests.claim_cluster import (
    SHARDS,
    entries,
    key_owned_by,
    owned_shard_count,
    wait_until,
)
from tests.test_claim_owner import ANSWER


def test_a_claim_that_the_service_lost_is_not_granted_again():
    """Guards against a call that runs twice as its claim was lost.

    All processes go on running. The service comes back from a copy that was
    made before the claim, and gives out the same versions again.
    """

    async def run():
        async with entries(3) as cluster:
            first, second, third = cluster
            shared = first.store.shared
            key = key_owned_by(first)
            copy = dict(shared.values), dict(shared.key_leases)
            version = max(v.version for v in copy[0].values())
            grant = (await second.claim(key, idempotent=False)).unwrap()
            done = await second.client.complete(key, grant.attempt, ANSWER)
            assert done.is_ok()
            shared.down = True
            await asyncio.sleep(0.1)
            shared.values, shared.key_leases = copy
            shared.versions = itertools.count(version + 1)
            for lease in list(shared.leases):
                shared.end_lease(lease)
            shared.down = False
            # The owners have new leases after this, or new owners the shards.
            await asyncio.sleep(2.0)
            await wait_until(lambda: owned_shard_count(cluster) == SHARDS)
            again = await third.claim(key, idempotent=False)
            assert again.is_err()

    asyncio.run(run())
