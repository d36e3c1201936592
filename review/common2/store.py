"""Stand-in of the platform's store, which loses nothing."""

from __future__ import annotations

import asyncio
import base64
import json

from review.common2.http import RawServer, Received, send_json

PAGE_ITEMS = 500


class Store(RawServer):
    """Keys with revisions, watches, transactions and leases."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.is_silent = False
        """Whether calls are accepted and not answered."""
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._next_lease = 1_000
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._watches: set[asyncio.StreamWriter] = set()

    def put(self, key: str, value: object, lease: int = 0):
        """Write a key, as the operator and the servers do."""
        content = value if isinstance(value, bytes) else _encode(value)
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._announce(item)

    def remove(self, key: str):
        """Remove a key if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._announce(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def go_silent(self):
        """Begin to answer nothing; open calls end without an answer."""
        self.is_silent = True
        for writer in list(self._open):
            writer.transport.abort()

    def cut_watches(self):
        """End the watches that wait, without an answer."""
        for writer in list(self._watches):
            writer.transport.abort()

    def come_back(self):
        """Answer again."""
        self.is_silent = False

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        return [key for key in self.items if key.startswith(prefix)]

    def _announce(self, event: dict):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request: Received, reader, writer):
        """Answer a call."""
        if self.is_silent:
            # The caller gives up and closes.
            await reader.read()
            return
        self._open.add(writer)
        if request.path == "/-/kv-watch":
            self._watches.add(writer)
        try:
            status, body = await self._answer(request)
            if self.is_silent:
                return
            await send_json(writer, status, body)
        finally:
            self._open.discard(writer)
            self._watches.discard(writer)

    async def _answer(self, request: Received) -> tuple[int, dict]:
        match request.method, request.path:
            case "GET", "/-/kv-range":
                return 200, self._range(request.query)
            case "GET", "/-/kv-key":
                item = self.items.get(request.query["key"])
                return (200, item) if item else (404, {})
            case "GET", "/-/kv-watch":
                return 200, await self._watch(request.query)
            case "POST", "/-/kv-txn":
                return self._commit(request.json())
            case "POST", "/-/kv-lease":
                return 200, self._grant(request.json()["ttl_ms"])
        lease = int(request.last_path_part)
        if lease not in self._leases:
            return 404, {}
        if request.method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_ms, timer = self._leases[lease]
        timer.cancel()
        self._schedule(lease, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, query: dict) -> dict:
        after = query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query["path_prefix"]) and key > after
        ]
        return {
            "items": found[:PAGE_ITEMS],
            "has_more": len(found) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(self, query: dict) -> dict:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["wait_ms"]) / 1_000
        after = int(query["after"])
        while True:
            changed = self._changed
            events = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["path_prefix"])
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                return {"events": [], "at": self.revision}

    def _commit(self, body: dict) -> tuple[int, dict]:
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in rows]
                current = [self.items[k] for k in keys if k in self.items]
                return 412, {"items": current}
        puts = body.get("puts", [])
        if any(p["lease"] and p["lease"] not in self._leases for p in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms: int) -> dict:
        self._next_lease += 1
        self._schedule(self._next_lease, ttl_ms)
        return {"lease": self._next_lease, "ttl_ms": ttl_ms}

    def _schedule(self, lease: int, ttl_ms: int):
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_ms / 1_000, self._expire, lease)
        self._leases[lease] = ttl_ms, timer

    def _expire(self, lease: int):
        if self.is_silent:
            # Leases pause while the store is away.
            self._schedule(lease, self._leases[lease][0])
            return
        self._end_lease(lease)

    def _end_lease(self, lease: int):
        _, timer = self._leases.pop(lease)
        timer.cancel()
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()
