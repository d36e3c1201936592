"""VM list and weight store clients against fake services."""

from __future__ import annotations

import asyncio
import hashlib

from gooseberrypost.stores.vms import (
    HttpVmList,
    VmListUnavailable,
    VmRecord,
)
from gooseberrypost.stores.weights import (
    DigestMismatch,
    HttpWeightStore,
    UnknownWeights,
    WeightSink,
)
from tests.standins.keyvalue import serving
from tests.standins.vms import VmListService
from tests.standins.weights import WeightService


class MemorySink(WeightSink):
    def __init__(self):
        self.data = bytearray()

    async def write(self, chunk):
        self.data += chunk

    async def restart(self):
        self.data.clear()


class FakeTime:
    """Clock that only advances when the client sleeps."""

    def __init__(self):
        self.now_ms = 0.0

    def clock(self):
        return round(self.now_ms)

    async def sleep(self, seconds):
        self.now_ms += seconds * 1_000


def test_the_list_lags_and_failures_are_typed():
    """Guards against a crash of the poller on an invalid response."""

    async def run():
        now = FakeTime()
        service = VmListService(now.clock)
        vm = VmRecord("vm1", "127.0.0.1", "z1", "leaving")
        async with serving(service.application()) as address:
            vms = HttpVmList.from_address(address)
            now.now_ms = 5_000
            service.lag_ms = 2_000
            service.set_vms([vm._asdict()])
            assert (await vms.list()).unwrap() == []
            now.now_ms = 7_000
            assert (await vms.list()).unwrap() == [vm]
            for bad in ({"a": 1}, [1], [{"vm": "v"}]):
                service.lag_ms = 0
                service.set_vms(bad)
                failure = (await vms.list()).unwrap_err()
                assert isinstance(failure, VmListUnavailable)
            service.down = True
            assert (await vms.list()).is_err()
            await vms.close()

    asyncio.run(run())


def test_an_interrupted_fetch_resumes_within_its_rate_limit():
    """Guards against refetching gigabytes and overloading the store."""

    async def run():
        content = bytes(range(256)) * 4_096
        service = WeightService(content)
        digest = hashlib.sha256(content).hexdigest()
        now, sink = FakeTime(), MemorySink()
        async with serving(service.application()) as address:
            store = HttpWeightStore(address, 500_000, now.clock, now.sleep)
            service.break_after_bytes = [100_000, 1, 200_000]
            assert (await store.fetch("m", digest, sink)).unwrap() == 2**20
            assert bytes(sink.data) == content
            assert service.range_starts[:2] == [0, 100_000]
            # Bytes beyond the burst take their time at the rate limit.
            assert now.now_ms >= (2**20 - 256 * 1024) / 500
            await store.close()

    asyncio.run(run())


def test_a_wrong_digest_fails_and_a_changed_file_restarts_the_transfer():
    """Guards against loading weights mixed from two versions of a file."""

    async def run():
        service = WeightService(b"a" * 100_000)
        new = b"b" * 100_000
        now, sink = FakeTime(), MemorySink()

        async def change_and_sleep(seconds):
            service.content = new
            now.now_ms += seconds * 1_000

        async with serving(service.application()) as address:
            store = HttpWeightStore(address, 10**9, now.clock, now.sleep)
            wrong = await store.fetch("m", "0" * 64, sink)
            assert isinstance(wrong.unwrap_err(), DigestMismatch)
            gone = await store.fetch("missing", "0" * 64, sink)
            assert isinstance(gone.unwrap_err(), UnknownWeights)
            await store.close()
            sink = MemorySink()
            service.break_after_bytes = [50_000]
            store = HttpWeightStore(
                address, 10**9, now.clock, change_and_sleep
            )
            digest = hashlib.sha256(new).hexdigest()
            assert (await store.fetch("m", digest, sink)).unwrap() == 100_000
            assert bytes(sink.data) == new
            await store.close()

    asyncio.run(run())
