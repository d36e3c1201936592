"""Fake of the platform's store, which speaks its HTTP protocol."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json

from aiohttp import web

from tests.standins.server import FakeServer

PACKET_BYTES = 8 * 1024


class FakePlatformStore(FakeServer):
    """Key-value store with revisions, watches, transactions and leases."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.era = 1
        """Rises each time the store comes back from an older copy."""
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, asyncio.TimerHandle] = {}
        self.ttl_ms: dict[int, int] = {}
        self.changed = asyncio.Event()
        self._link = asyncio.Lock()
        self.calls: list[str] = []
        self.queries: list[tuple[str, str | None]] = []
        """Path and prefix of each call."""
        self.deaf = False
        """Fault: watches return no events until they time out."""
        self.down = False
        """Fault: every call is answered with 503."""
        self.silent = False
        """Fault: calls are accepted but never answered."""
        self.txn_delay_s = 0.0
        """Time before a transaction takes effect."""
        self.compacted = 0
        """Watches from before this revision are answered with 410, as if the
        history had been compacted."""
        self.bytes_per_s = 0
        """Rate of its link, which all answers share; 0 for no limit."""
        self.trickles = False
        """Fault: answers begin, and then bring a byte at a time."""
        self.refusal = 0
        """Fault: status with which calls are refused; 0 for none."""
        self.refuses_watches = False
        """Fault: watches are refused with 429."""
        self.bad_watches = False
        """Fault: answers to watches lack their fields."""
        self.skips_events = False
        """Fault: watches skip the change of the configuration for good."""
        self.forgets = False
        """Fault: watches from before the last change are silent until the
        next one, and are answered with 410 only then."""
        self.endless = False
        """Fault: answers have a body that ends when the caller closes."""
        self.sent_bytes = 0
        """Bytes of answers without end."""
        router = self.app.router
        router.add_get("/-/kv-range", self._list)
        router.add_get("/-/kv-watch", self._watch)
        router.add_post("/-/kv-txn", self._txn)
        router.add_post("/-/kv-lease", self._grant_lease)
        router.add_post("/-/kv-keep/{lease}", self._keep_alive)
        router.add_delete("/-/kv-lease-end/{lease}", self._revoke_lease)
        self.app.middlewares.append(self._inject_faults)
        self.app.on_response_prepare.append(self._name_era)

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.calls.append(request.path)
        self.queries.append((request.path, request.query.get("path_prefix")))
        if self.silent:
            await asyncio.sleep(3_600)
        if self.endless:
            return await self._send_endlessly(request)
        if self.down:
            return web.json_response({}, status=503)
        if self.refuses_watches and "watch" in request.path:
            return web.json_response({}, status=429)
        if self.refusal:
            return web.json_response({}, status=self.refusal)
        response = await handler(request)
        if self.bytes_per_s or self.trickles:
            return await self._send_slowly(request, response)
        return response

    async def _send_slowly(self, request, answer):
        """Send an answer at the rate of the link, or a byte at a time."""
        body = answer.body
        response = web.StreamResponse(status=answer.status)
        response.headers["Content-Length"] = str(len(body))
        response.content_type = "application/json"
        await response.prepare(request)
        size = 1 if self.trickles else PACKET_BYTES
        bytes_per_s = self.bytes_per_s
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(body), size):
                part = body[start : start + size]
                if self.trickles:
                    await asyncio.sleep(0.1)
                else:
                    async with self._link:
                        # 0 is no rate: the rest goes on at the one before.
                        bytes_per_s = self.bytes_per_s or bytes_per_s
                        await asyncio.sleep(len(part) / bytes_per_s)
                await response.write(part)
        return response

    async def _name_era(self, request, response):
        response.headers["Store-Era"] = str(self.era)

    def copy(self) -> tuple:
        """Return a copy of the contents, from which to restore."""
        return (
            self.revision,
            dict(self.items),
            list(self.history),
            set(self.leases),
            dict(self.ttl_ms),
        )

    def restore(self, copy: tuple, *, cut: bool = True):
        """Lose what was written since a copy; leases too.

        Open calls are cut, unless there are none. Revisions and leases since
        then are given out again.
        """
        self.era += 1
        self.revision, self.items, self.history = (
            copy[0],
            dict(copy[1]),
            list(copy[2]),
        )
        for lease in set(self.leases) | copy[3]:
            handle = self.leases.pop(lease, None)
            if handle is not None:
                handle.cancel()
        self.ttl_ms = dict(copy[4])
        for lease in copy[3]:
            self._schedule_expiry(lease)
        if cut:
            self.abort_connections()

    async def _send_endlessly(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b" " * 65_536)
            self.sent_bytes += 65_536

    def switch(self, name: str, value):
        setattr(self, name, value)

    def put(self, key: str, value: object, lease: int = 0):
        content = value if isinstance(value, bytes) else encode(value)
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
        self._record_event(item)

    def remove(self, key: str):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            deletion = {"key": key, "revision": self.revision, "deleted": True}
            self._record_event(deletion)

    def _record_event(self, event: dict):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _list(self, request):
        prefix, after = (
            request.query["path_prefix"],
            request.query.get("after"),
        )
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and (not after or key > after)
        ]
        body = {"items": found, "has_more": False, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, request):
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(request.query["wait_ms"]) / 1_000
        called_at = self.revision
        while True:
            if after < self.compacted or after > self.revision:
                return web.json_response({}, status=410)
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(prefix)
                and not (self.skips_events and event["key"] == "op/config")
            ]
            is_forgotten = self.forgets and after < called_at
            if is_forgotten and self.revision > called_at:
                return web.json_response({}, status=410)
            if events and not (self.deaf or is_forgotten):
                break
            try:
                async with asyncio.timeout(max(deadline_s - loop.time(), 0)):
                    await changed.wait()
            except TimeoutError:
                events = []
                break
        if self.bad_watches:
            return web.json_response({})
        return web.json_response({"events": events, "at": self.revision})

    async def _txn(self, request):
        await asyncio.sleep(self.txn_delay_s)
        body = await request.json()
        for row in body["precondition"]:
            current = self.items.get(row["key"], {}).get("revision", 0)
            if current != row["revision"]:
                rows = [row["key"] for row in body["precondition"]]
                items = [self.items[key] for key in rows if key in self.items]
                return web.json_response({"items": items}, status=412)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return web.json_response({}, status=404)
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _grant_lease(self, request):
        ttl = (await request.json())["ttl_ms"]
        lease = 1_000 + len(self.ttl_ms)
        self.ttl_ms[lease] = ttl
        self._schedule_expiry(lease)
        return web.json_response({"lease": lease, "ttl_ms": ttl})

    def _schedule_expiry(self, lease: int):
        loop = asyncio.get_running_loop()
        self.leases[lease] = loop.call_later(
            self.ttl_ms[lease] / 1_000, self.expire_lease, lease
        )

    def expire_lease(self, lease: int):
        handle = self.leases.pop(lease, None)
        if handle is not None:
            handle.cancel()
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _keep_alive(self, request):
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        self.leases[lease].cancel()
        self._schedule_expiry(lease)
        return web.json_response({"ttl_ms": self.ttl_ms[lease]})

    async def _revoke_lease(self, request):
        self.expire_lease(int(request.match_info["lease"]))
        return web.json_response({})


def encode(value: object) -> bytes:
    return json.dumps(value).encode()
