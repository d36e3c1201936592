"""Fake of the VM list service; changes become visible after a lag.

Run with ``python -m tests.standins.vms --address 127.0.0.1:PORT``.
Settings: ``POST /_test/vms {"vms": [...], "lag_ms", "down"}``.
"""

from __future__ import annotations

import asyncio

import click
from aiohttp import web

from tests.standins.keyvalue import monotonic_ms, serve_forever


class VmListService:
    """Serves the VM list as it was ``lag_ms`` ago."""

    def __init__(self, clock=monotonic_ms):
        self.clock = clock
        self.lag_ms = 0
        self.down = False
        self._history = [(0, [])]

    def set_vms(self, vms):
        self._history.append((self.clock(), vms))

    def visible(self):
        cutoff_ms = self.clock() - self.lag_ms
        return [
            v
            for since_ms, v in self._history
            if since_ms == 0 or since_ms <= cutoff_ms
        ][-1]

    def application(self):
        app = web.Application()
        app.router.add_get("/v1/vms", self.list)
        app.router.add_post("/_test/vms", self.switch)
        return app

    async def list(self, req):
        if self.down:
            return web.Response(status=503)
        return web.json_response(self.visible())

    async def switch(self, req):
        body = await req.json()
        self.lag_ms = body.get("lag_ms", self.lag_ms)
        self.down = body.get("down", self.down)
        if "vms" in body:
            self.set_vms(body["vms"])
        return web.json_response({})


@click.command()
@click.option("--address", default="127.0.0.1:0")
def main(address):
    asyncio.run(serve_forever(VmListService().application(), address))


if __name__ == "__main__":
    main()
