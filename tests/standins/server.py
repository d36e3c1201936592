"""HTTP server of a fake; can abort its connections and restart."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import click
from aiohttp import web


class FakeServer:
    """Base of the HTTP fakes; subclasses add their routes."""

    def __init__(self):
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self.app.router.add_post("/_test/{switch}", self._switch)
        self.app.on_response_prepare.append(self._name_limit)
        self.limit_per_s: str | None = None
        """Rate limit that each answer names."""
        self.host, self.port = "127.0.0.1", 0
        self.tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    @asynccontextmanager
    async def serving(cls, *args, address="127.0.0.1:0", **options):
        server = cls(*args, **options)
        await server.start(address)
        try:
            yield server
        finally:
            await server.stop()

    async def start(self, address: str = "127.0.0.1:0"):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await self.listen()

    async def listen(self):
        self.site = web.TCPSite(
            self.runner, self.host, self.port, reuse_address=True
        )
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.abort_connections()
        await self.runner.cleanup()

    def abort_connections(self):
        """Abort every connection; all state is kept."""
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def restart(self, after_ms: int):
        """Abort all connections and refuse new ones for ``after_ms``."""
        await self.site.stop()
        self.abort_connections()
        await asyncio.sleep(after_ms / 1_000)
        await self.listen()

    async def _name_limit(self, request, response):
        if self.limit_per_s is not None:
            response.headers["Server-Limit"] = self.limit_per_s

    async def _switch(self, request):
        body = await request.json()
        self.switch(request.match_info["switch"], body["value"])
        return web.json_response({})

    def switch(self, name: str, value):
        """Set a fault switch; some, such as ``crash``, act once."""
        raise NotImplementedError


def refuse(status: int, code: str) -> web.Response:
    return web.json_response({"error": code}, status=status)


def run_from_command_line(server_class: type[FakeServer]):
    """Print the address of a fake and serve until the process ends."""

    @click.command()
    @click.option("--address", required=True)
    @click.option("--options", default="{}")
    def main(address: str, options: str):
        async def serve():
            async with server_class.serving(
                address=address, **json.loads(options)
            ) as server:
                click.echo(server.address)
                await asyncio.Event().wait()

        asyncio.run(serve())

    main()
