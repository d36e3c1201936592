"""Stand-ins of clients, on raw connections."""

from __future__ import annotations

import asyncio
import itertools
import re

HOST = "ficu95.example"
_ids = itertools.count(1)


class Answer:
    """What a client has received for one attempt."""

    def __init__(self, attempt: str):
        self.attempt = attempt
        self.status = 0
        """0 if the connection ended before an answer."""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


def new_attempt() -> str:
    """Return the id of a new attempt."""
    number = next(_ids)
    return f"{number:04x}{number * 2654435761 % 2**48:012x}"


async def call(
    address: str,
    method: str,
    target: str,
    deadline_s: float,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    answer: Answer | None = None,
) -> Answer:
    """Send a request on a new connection, and read its answer."""
    answer = answer or Answer(new_attempt())
    sent = {
        "Host": HOST,
        "X-Gooseberrypost-Attempt-Id": answer.attempt,
        "X-Gooseberrypost-Deadline-Ms": str(int(1_000 * deadline_s)),
        **(headers or {}),
    }
    if method != "GET":
        sent["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readuntil(b"\n")
            size = int(line.split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Return the id and data of each complete event of a stream."""
    pattern = rb"id: (\d+)\ndata: ([^\n]*)\n\n"
    return [
        (int(number), data.decode())
        for number, data in re.findall(pattern, body)
    ]
