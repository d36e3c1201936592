"""Model engines whose events tell the version that wrote them."""

from __future__ import annotations

import re

from tests.standins.platform_engine import FakePlatformEngine

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class VersionedEngine(FakePlatformEngine):
    """Fake whose streams of three events may break off after some."""

    def __init__(self, instance: str, stage: str = ""):
        super().__init__(instance, stage)
        self.event_s = 0.01
        self.breaks_after: int | None = None
        """Number of the event after which each stream breaks off."""

    def _event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self.version}\n\n".encode()

    async def _stream(self, request, writer):
        if self.breaks_after is None:
            return await super()._stream(request, writer)
        events, self.events = self.events, self.breaks_after
        try:
            await super()._stream(request, CutWriter(writer))
        finally:
            self.events = events


class CutWriter:
    """Writer that leaves out the last chunk."""

    def __init__(self, writer):
        self._writer = writer

    def write(self, data: bytes):
        if data != b"0\r\n\r\n":
            self._writer.write(data)

    async def drain(self):
        await self._writer.drain()


def numbers_and_versions(body: bytes) -> tuple[list[int], set[str]]:
    """Return the numbers of the events of a stream, and their versions."""
    found = _EVENT.findall(body)
    return [int(n) for n, _ in found], {v.decode() for _, v in found}
