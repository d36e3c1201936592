"""Fake of the key-value service: its HTTP protocol over an in-memory store.

Run with ``python -m tests.standins.keyvalue --address 127.0.0.1:PORT``.
Faults: ``POST /_test/switches {"down", "slow_ms", "lose_answers"}``; call
counters: ``GET /_test/calls``.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import click
from aiohttp import web
from result import Err, Ok

from gooseberrypost.address import Address, split_address
from gooseberrypost.stores.keyvalue import KeyValueUnknown
from gooseberrypost.stores.memory import InMemoryKeyValueStore

STATUS = {
    "conflict": 409,
    "lease_lost": 410,
    "value_too_large": 413,
    "key_value_unavailable": 503,
}


def monotonic_ms():
    return time.monotonic_ns() // 1_000_000


class KeyValueService:
    """HTTP handlers on top of a key-value store."""

    def __init__(self, store):
        self.store = store

    def application(self):
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v1/{name:.+}", self.call)
        app.router.add_post("/_test/switches", self.switches)
        app.router.add_get("/_test/calls", self.calls)
        return app

    async def call(self, req):
        body = await req.json()
        match await self._dispatch(req.match_info["name"], body):
            case Ok(value):
                return web.json_response(value)
            case Err(KeyValueUnknown()):
                # The write took effect, but its response is lost.
                req.transport.abort()
                return web.Response(status=500)
            case Err(failure):
                return web.json_response(
                    {"code": failure.code, "detail": failure.detail},
                    status=STATUS[failure.code],
                )

    async def _dispatch(self, name, body):
        store = self.store
        match name:
            case "get":
                found = await store.get(body["key"])
                return found.map(lambda v: v._asdict())
            case "put":
                done = await store.put(
                    body["key"],
                    body["value"],
                    body["expect_version"],
                    body.get("lease", 0),
                )
                return done.map(lambda version: {"version": version})
            case "delete":
                done = await store.delete(body["key"], body["expect_version"])
                return done.map(lambda _: {})
            case "lease/grant":
                done = await store.grant_lease(body["ttl_ms"])
                return done.map(lambda lease: {"lease": lease})
            case "lease/keepalive":
                return (await store.keep_alive(body["lease"])).map(
                    lambda _: {}
                )
            case "lease/revoke":
                return (await store.revoke_lease(body["lease"])).map(
                    lambda _: {}
                )
            case "watch":
                found = await store.watch(
                    body["key"], body["after_version"], body["wait_ms"]
                )
                return found.map(lambda v: v._asdict())
        raise web.HTTPNotFound

    async def switches(self, req):
        body = await req.json()
        self.store.slow_ms = body.get("slow_ms", self.store.slow_ms)
        self.store.lose_answers = body.get(
            "lose_answers", self.store.lose_answers
        )
        self.store.set_down(body.get("down", self.store.down))
        return web.json_response({})

    async def calls(self, req):
        return web.json_response(dict(self.store.calls))


@asynccontextmanager
async def serving(app, address="127.0.0.1:0"):
    """Serve an application and yield the bound ``host:port``."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, *split_address(address)).start()
        yield str(Address(*runner.addresses[0][:2]))
    finally:
        await runner.cleanup()


async def serve_forever(app, address):
    async with serving(app, address) as bound:
        print(bound, flush=True)
        await asyncio.Event().wait()


@click.command()
@click.option("--address", default="127.0.0.1:0")
def main(address):
    store = InMemoryKeyValueStore(monotonic_ms)
    asyncio.run(serve_forever(KeyValueService(store).application(), address))


if __name__ == "__main__":
    main()
