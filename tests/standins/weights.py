"""Fake of the weight store; can truncate transfers.

Run with ``python -m tests.standins.weights --address 127.0.0.1:PORT``; it
serves 1 MiB under any name. Faults: ``POST /_test/break {"after": [BYTES]}``.
"""

from __future__ import annotations

import asyncio
import hashlib

import click
from aiohttp import web

from tests.standins.keyvalue import serve_forever


class WeightService:
    """Serves byte ranges.

    ``break_after_bytes`` lists, for the next transfers, the size after which
    the connection is closed. ``range_starts`` records the start of each one.
    """

    def __init__(self, content):
        self.content = content
        self.break_after_bytes = []
        self.range_starts = []

    def application(self):
        app = web.Application()
        app.router.add_get("/v1/weights/{model}", self.get)
        app.router.add_post("/_test/break", self.switch)
        return app

    async def get(self, req):
        if req.match_info["model"] == "missing":
            raise web.HTTPNotFound
        tag = f'"{hashlib.sha256(self.content).hexdigest()}"'
        start = req.http_range.start or 0
        if req.headers.get("If-Range", tag) != tag:
            start = 0
        self.range_starts.append(start)
        size = len(self.content)
        response = web.StreamResponse(
            status=206 if start else 200, headers={"ETag": tag}
        )
        response.content_length = size - start
        if start:
            content_range = f"bytes {start}-{size - 1}/{size}"
            response.headers["Content-Range"] = content_range
        await response.prepare(req)
        if self.break_after_bytes:
            end = start + self.break_after_bytes.pop(0)
            await response.write(self.content[start:end])
            req.transport.close()
            return response
        await response.write(self.content[start:])
        return response

    async def switch(self, req):
        self.break_after_bytes = list((await req.json())["after"])
        return web.json_response({})


@click.command()
@click.option("--address", default="127.0.0.1:0")
def main(address):
    service = WeightService(b"gooseberry".ljust(1024 * 1024, b"."))
    asyncio.run(serve_forever(service.application(), address))


if __name__ == "__main__":
    main()
