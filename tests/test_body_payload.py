"""Bodies that are sent to servers."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from gooseberrypost.bodypayload import PART_BYTES, BodyPayload

SIZE = 40 * PART_BYTES + 1


class Writer:
    """Counts what is written, without keeping it."""

    def __init__(self):
        self.sizes: list[int] = []
        self.last = b""

    async def write(self, part):
        self.sizes.append(len(part))
        self.last = bytes(part[-1:])


@pytest.mark.parametrize("length", [None, SIZE, PART_BYTES + 1, 0])
def test_a_body_is_not_copied_to_be_sent(length):
    """Guards against memory that is held and not counted."""
    body = b"x" * (SIZE - 1) + b"y"
    writer = Writer()
    tracemalloc.start()
    try:
        payload = BodyPayload(body)
        asyncio.run(payload.write_with_length(writer, length))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert payload.size == SIZE
    assert sum(writer.sizes) == (SIZE if length is None else length)
    assert max(writer.sizes, default=0) <= PART_BYTES
    assert peak < SIZE / 2
    assert length != SIZE or writer.last == b"y"
    payload.release()
    assert payload.decode() == ""
