"""Callers of a scenario: their requests and the results."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from tests.standins.generation import answer


class Exchange:
    """One request of a caller, sent by a task, and its result.

    Scenarios read the attributes by name.
    """

    def __init__(self):
        self.status: int | None = None
        self.outcome: str | None = None
        self.code: str | None = None
        self.ended = False
        self.tokens = 0
        self.text = ""
        self.body = b""
        self.task: asyncio.Task | None = None

    def start(self):
        self.task = asyncio.create_task(self._run())

    async def disconnect(self):
        """Close the connection without waiting for the response."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    async def _run(self):
        timeout = aiohttp.ClientTimeout(total=120)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._exchange(session)
        except (aiohttp.ClientError, TimeoutError) as exc:
            self.code = self.code or f"broken:{type(exc).__name__}"
        finally:
            self.ended = True

    async def _exchange(self, session):
        raise NotImplementedError

    def _record_head(self, reply):
        self.status = reply.status
        self.outcome = reply.headers.get("X-Gooseberrypost-Outcome")

    def _record_error(self, document):
        error = document.get("error")
        if error:
            self.code = error.get("code")
            self.outcome = error.get("outcome", self.outcome)


class Completion(Exchange):
    """A streamed completion request."""

    def __init__(self, address: str, model: str, options: dict):
        super().__init__()
        self.url = f"http://{address}/v1/completions"
        self.prompt = options.get("prompt") or " ".join(
            f"w{n}" for n in range(options.get("words", 200))
        )
        self.max_tokens = options.get("tokens", 50)
        self.model = options.get("model", model)
        self.headers = _headers(options)
        self.done = False

    @property
    def whole(self) -> int:
        """1 if the answer is complete and correct, else 0."""
        expected = answer(self.prompt, self.max_tokens)
        return int(self.done and self.text == expected)

    @property
    def prefix(self) -> int:
        """1 if the output so far is a prefix of the correct answer, else 0."""
        return int(answer(self.prompt, self.max_tokens).startswith(self.text))

    async def _exchange(self, session):
        body = {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        async with session.post(
            self.url, json=body, headers=self.headers
        ) as reply:
            self._record_head(reply)
            if not reply.content_type.startswith("text/event-stream"):
                self.body = await reply.read()
                self._record_document(json.loads(self.body))
                return
            async for line in reply.content:
                self.body += line
                self._record_event(line.decode().strip())

    def _record_document(self, document):
        self._record_error(document)
        if "choices" in document:
            self.text = document["choices"][0]["text"]
            self.done = True

    def _record_event(self, line: str):
        if not line.startswith("data: "):
            return
        if line == "data: [DONE]":
            # The response header is sent before the outcome of a stream is
            # known; an end without an error event means ``completed``.
            self.done = self.code is None
            if self.done and self.outcome is None:
                self.outcome = "completed"
            return
        document = json.loads(line[len("data: ") :])
        self._record_error(document)
        for choice in document.get("choices", []):
            if choice.get("text"):
                self.tokens += 1
                self.text += choice["text"]


class Call(Exchange):
    """A call to a plain service."""

    def __init__(self, address: str, method: str, path: str, options: dict):
        super().__init__()
        self.url = f"http://{address}{path}"
        self.method = method
        self.data = str(options.get("body", "{}"))
        self.headers = _headers(options)
        self.key = self.headers.get("Idempotency-Key", "")

    async def _exchange(self, session):
        async with session.request(
            self.method, self.url, data=self.data, headers=self.headers
        ) as reply:
            self._record_head(reply)
            self.key = reply.headers.get("Idempotency-Key", self.key)
            self.body = await reply.read()
            if reply.content_type == "application/json":
                document = json.loads(self.body)
                if isinstance(document, dict):
                    self._record_error(document)


def _headers(options: dict) -> dict[str, str]:
    headers = {}
    if "key" in options:
        headers["Idempotency-Key"] = str(options["key"])
    if "deadline" in options:
        headers["X-Gooseberrypost-Deadline-Ms"] = str(options["deadline"])
    if "account" in options:
        headers["X-Gooseberrypost-Account"] = str(options["account"])
    return headers
