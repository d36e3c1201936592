"""Invalid input to an entry: typed errors and no leaked state."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict
from result import Err, Ok

from gooseberrypost.entry import parse
from gooseberrypost.errors import MalformedRequest, NotRun
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import run

JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from(
    ["model", "prompt", "messages", "max_tokens", "stream", "role", "content"]
)


@given(
    st.binary(max_size=60)
    | st.dictionaries(FIELDS, JSON).map(lambda d: json.dumps(d).encode())
)
def test_every_body_is_parsed_or_refused(body):
    """Guards against an exception from a malicious body."""
    for parser in (parse.parse_completion, parse.parse_chat):
        match parser(body):
            case Ok(completion):
                assert completion.model and completion.prompt
                assert completion.prompt_tokens >= 1
                completion.prompt.encode()
            case Err(failure):
                assert isinstance(failure, NotRun)


@given(
    st.dictionaries(
        st.sampled_from(
            [
                parse.IDEMPOTENCY_KEY_HEADER,
                parse.DEADLINE_HEADER,
                parse.ACCOUNT_HEADER,
            ]
        ),
        st.text(max_size=150) | st.integers().map(str),
    )
)
def test_all_header_values_are_parsed_or_refused(headers):
    """Guards against an exception from malicious header values."""
    match parse.parse_headers(CIMultiDict(headers)):
        case Ok(parsed):
            assert 0 <= parsed.deadline_ms <= parse.MAX_DEADLINE_MS
        case Err(failure):
            assert isinstance(failure, MalformedRequest)


PATH = "/v1/completions"
VALID_BODY = b'{"model": "m", "prompt": "p"}'
UNKNOWN_MODEL_BODY = b'{"model": "x", "prompt": "p"}'
MANY_HEADERS = {f"X-{n}": "x" * 200 for n in range(8)}


@pytest.mark.parametrize(
    ("path", "body", "headers", "error"),
    [
        (PATH, b"{", {}, "400 malformed_request"),
        (PATH, b"x" * 2_000, {}, "413 body_too_large"),
        (PATH, UNKNOWN_MODEL_BODY, {}, "404 unknown_model"),
        (
            PATH,
            VALID_BODY,
            {parse.DEADLINE_HEADER: "-1"},
            "400 malformed_request",
        ),
        (
            PATH,
            VALID_BODY,
            {parse.IDEMPOTENCY_KEY_HEADER: "gbp1-x"},
            "400 malformed_request",
        ),
        (PATH, VALID_BODY, {"X-Long": "x" * 1_500}, "431 headers_too_large"),
        (PATH, VALID_BODY, MANY_HEADERS, "431 headers_too_large"),
        (PATH, VALID_BODY, {parse.ACCOUNT_HEADER: "x"}, "403 unknown_account"),
        ("/services/none/x", b"", {}, "404 unknown_service"),
        ("/services/llm/x", b"", {}, "404 unknown_service"),
        ("/elsewhere", b"", {}, "404 unknown_path"),
    ],
)
def test_invalid_requests_get_a_typed_error(path, body, headers, error):
    """Guards against untyped errors and claims left by invalid requests."""

    async def scenario(rig):
        async with rig.post(path, data=body, headers=headers) as response:
            error_body = (await response.json())["error"]
        assert f"{response.status} {error_body['code']}" == error
        assert error_body["outcome"] == "not-run"
        assert rig.daemon.requests.in_flight == 0
        assert rig.claims.attempts == {}
        text = rig.daemon.context.metrics.render()
        assert f'failures_total{{code="{error_body["code"]}"' in text

    run(
        scenario,
        max_body_bytes=1_000,
        max_header_bytes=1_000,
        allow_unknown_accounts=False,
    )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /v1/completions HT", b""),
        (b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Half", b""),
        (
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 100\r\n\r\n{",
            b"408",
        ),
        (b"\x16\x03\x01\x00\xa5\x01\r\n\r\n", b"400"),
        (
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"400",
        ),
    ],
)
def test_incomplete_and_invalid_requests_are_closed_in_time(data, status):
    """Guards against connections held by callers that stop sending."""

    async def scenario(rig):
        host, port = rig.daemon.http.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        assert b"".join(answer.split(b" ")[1:2]) == status
        assert rig.daemon.requests.in_flight == 0

    run(scenario, read_timeout_ms=200)


def test_operators_see_status_and_decisions_and_can_drain():
    """Guards against an entry that cannot be inspected or drained."""

    async def scenario(rig):
        async with rig.complete(key="k1") as response:
            assert response.status == 200
        pool = rig.daemon.context.agents.pool
        address = pool.hello.address
        channel = (await Channel.connect(address, pool.hello)).unwrap()
        explained = await channel.request(idl.Explain(key="k1"), 2_000)
        (line,) = explained.unwrap().lines
        assert "event=routed request=k1 service=llm" in line
        assert "prefill=p1 decode=d1" in line
        await channel.request(idl.Drain(draining=True), 2_000)
        status = (await channel.request(idl.StatusRequest(), 2_000)).unwrap()
        assert (status.state, status.in_flight) == ("draining", 0)
        await channel.close()

    run(scenario)
