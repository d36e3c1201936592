"""Model requests through an entry and fake agents over real sockets."""

from __future__ import annotations

import json

from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, run


def events(body):
    """Parse the events of a stream; ``[DONE]`` stays text."""
    data = [e.removeprefix("data: ") for e in body.split("\n\n") if e]
    return [e if e == "[DONE]" else json.loads(e) for e in data]


def text_of(body):
    parsed = events(body)
    assert parsed[-1] == "[DONE]"
    assert parsed[-2]["choices"][0]["finish_reason"] == "stop"
    return "".join(e["choices"][0]["text"] for e in parsed[:-1])


def test_a_stream_is_whole_and_recorded():
    """Guards against a lost token or an answer without its claim (P2, P3)."""

    async def scenario(rig):
        async with rig.complete(stream=True) as response:
            body = await response.text()
            key = response.headers["Idempotency-Key"]
        assert text_of(body) == "".join(TOKENS)
        assert rig.claims.answers[key].body.decode() == body
        assert (
            rig.metric("requests_total", service="llm", outcome="completed")
            == 1
        )
        release = await rig.agents["p1"].wait_for(idl.ReleasePrefill)
        assert release.handle == "h-p1-1"
        assert rig.claims.abandoned == []

    run(scenario)
