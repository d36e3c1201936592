"""Plain service calls through an entry and fake agents, on real sockets."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from gooseberrypost.wire.messages import idl
from tests.entry_fakes import drop, hang, refuse, run


def sent_calls(rig):
    return [
        m for n in ("s1", "s2") for m in rig.agents[n].messages_of(idl.Call)
    ]


def script_all(rig, kind, scripted_reply):
    for name in ("s1", "s2"):
        rig.agents[name].script[kind] = [scripted_reply, scripted_reply]


async def post_log(rig, key=None, headers=None):
    headers = dict(headers or {}) | ({"Idempotency-Key": key} if key else {})
    path = "/services/desk/log?bag=7"
    async with rig.post(path, data=b"bag", headers=headers) as response:
        return SimpleNamespace(
            status=response.status,
            headers=response.headers,
            body=await response.read(),
        )


def outcome(response):
    return response.headers["X-Gooseberrypost-Outcome"]


def test_a_call_is_forwarded_once_and_replayed():
    """Guards against running a call again when its key is reused (P2, P5)."""

    async def scenario(rig):
        first = await post_log(rig, "k1")
        again = await post_log(rig, "k1")
        assert first.body == again.body == b"got bag"
        assert (first.status, outcome(first)) == (201, "completed")
        assert (again.status, outcome(again)) == (201, "duplicate")
        assert "X-Bad" not in first.headers
        (call,) = sent_calls(rig)
        assert (call.method, call.path) == ("POST", "/log?bag=7")
        assert not call.idempotent and call.attempt == 1

    run(scenario)


@pytest.mark.parametrize(
    "scripted_reply", [drop, refuse("engine_crashed"), hang]
)
def test_a_lost_non_idempotent_call_is_unknown_and_not_repeated(
    scripted_reply,
):
    """Guards against running a non-idempotent call twice (P4, P5)."""

    async def scenario(rig):
        script_all(rig, idl.Call, scripted_reply)
        headers = {"X-Gooseberrypost-Deadline-Ms": "300"}
        response = await post_log(rig, "k1", headers)
        assert outcome(response) == "unknown"
        assert len(sent_calls(rig)) == 1
        assert ("k1", 1, False) in rig.claims.abandoned

    run(scenario)


def test_a_call_that_never_started_is_tried_elsewhere():
    """Guards against a retry without proof that no run was started (P4, P5).

    It also guards against reporting a failure to the caller, with this proof,
    before another server was tried.
    """

    async def proof(session, correlation, message):
        await session.send(correlation, idl.Revoked(never_started=True))

    async def scenario(rig):
        for name in ("s1", "s2"):
            rig.agents[name].script = {
                idl.Call: [drop],
                idl.Revoke: [proof],
            }
        response = await post_log(rig, "k1")
        assert outcome(response) == "not-run"
        assert len(sent_calls(rig)) == 2
        assert rig.claims.abandoned == [("k1", 1, True)]

    run(scenario)


def test_definite_refusals_of_all_servers_are_not_run():
    """Guards against ``unknown`` when no server has run the call (P4)."""

    async def scenario(rig):
        script_all(rig, idl.Call, refuse("draining"))
        response = await post_log(rig)
        assert (response.status, outcome(response)) == (503, "not-run")
        assert "Retry-After" in response.headers

    run(scenario)


def test_an_idempotent_call_is_repeated_as_a_higher_attempt():
    """Guards against a retry that reuses the number of a lost attempt."""

    async def scenario(rig):
        rig.agents["s1"].script[idl.Call] = [drop]
        rig.agents["s2"].script[idl.Call] = [drop]
        async with rig.get("/services/desk/receipt/7") as response:
            error = (await response.json())["error"]
        assert error["code"] == "no_capacity"
        assert error["outcome"] == "unknown"
        attempts = [m.attempt for m in sent_calls(rig)]
        assert sorted(attempts) == [1, 2]

    run(scenario)


def test_a_disconnected_caller_cancels_its_call():
    """Guards against a claim of ``not-run`` for a call that was sent (P4)."""

    async def scenario(rig):
        script_all(rig, idl.Call, hang)
        request = asyncio.create_task(post_log(rig, "k1"))
        call_waits = [
            asyncio.create_task(agent.wait_for(idl.Call))
            for agent in (rig.agents["s1"], rig.agents["s2"])
        ]
        await asyncio.wait(call_waits, return_when=asyncio.FIRST_COMPLETED)
        name = "s1" if rig.agents["s1"].messages_of(idl.Call) else "s2"
        request.cancel()
        await rig.agents[name].wait_for(idl.Cancel)
        for call_wait in call_waits:
            call_wait.cancel()
        await rig.daemon.requests.idle()
        assert rig.claims.abandoned == [("k1", 1, False)]

    run(scenario)


def test_a_key_minted_in_advance_is_usable():
    """Guards against an entry that refuses the keys it has minted."""

    async def scenario(rig):
        async with rig.post("/v1/idempotency-keys") as response:
            key = (await response.json())["key"]
        assert response.status == 201
        assert outcome(await post_log(rig, key)) == "completed"

    run(scenario)
