"""Malformed messages, documents and settings, made from samples."""

from __future__ import annotations

import json
import os
import random
import time
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from scripts.record_samples import SAMPLES, version

from gooseberrypost.configsync.messages import parse_delta
from gooseberrypost.gateway.notices import NoticeInvalid, decode_notice
from gooseberrypost.platform.feeds import _update
from gooseberrypost.platform.settings import decode_settings
from gooseberrypost.platform.store import Item, Items
from gooseberrypost.policy.quarantine import Evidence
from gooseberrypost.settings.loader import load_agent, load_entry
from gooseberrypost.settings.records import load_records
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.document import format_document, parse_head
from gooseberrypost.state.heads import ShardHead
from gooseberrypost.state.segments import Segment
from gooseberrypost.stores.http import (
    _parse_integer,
    _parse_response,
    _parse_versioned,
)
from gooseberrypost.stores.keyvalue import KeyValueUnavailable
from gooseberrypost.stores.vms import _parse_records
from gooseberrypost.strictjson import parse_json
from gooseberrypost.wire.codec import LENGTH_BYTES, Frame, decode, encode
from gooseberrypost.wire.messages import TYPE_NUMBERS
from tests.mutations import mutate_bytes, mutate_text, odd_message

EXAMPLES = int(os.environ.get("GOOSEBERRYPOST_FUZZ_EXAMPLES", "200"))
"""Inputs of each test; runs by hand take more."""
SEED = int(os.environ.get("GOOSEBERRYPOST_FUZZ_SEED", "1"))
MAX_INPUT_S = 0.05
"""Longest processor time for one input."""


def load(name: str) -> Any:
    text = (SAMPLES / version() / f"{name}.json").read_text()
    return json.loads(text)


MESSAGES = {
    name: bytes.fromhex(sample["hex"])
    for name, sample in load("messages").items()
}
STORED = {name: sample["written"] for name, sample in load("stored").items()}
RECORDS = """{"services": {"llm": {"models": ["m"], "priority": 4}},
 "engines": {"d1": {"service": "llm", "agent_address": "127.0.0.1:1",
 "zone": "a"}}, "accounts": {"kiosk": {"burst": 3}, "gone": null}}"""


def read_frame(data: bytes):
    """Decode a frame; one that is valid can be sent on."""
    found = decode(data[LENGTH_BYTES:])
    if isinstance(found, Ok):
        encode(found.ok_value)
    return found


def read_notice(data: bytes):
    try:
        return Ok(decode_notice(data))
    except NoticeInvalid as failure:
        return Err(failure)


def read_delta(data: bytes):
    """Apply a delta and hand it on, as processes that pull do."""
    found = decode(data[LENGTH_BYTES:])
    if isinstance(found, Err) or not hasattr(
        found.ok_value.message, "removed"
    ):
        return found
    delta = parse_delta(found.ok_value.message)
    if isinstance(delta, Ok):
        section = Configuration()
        section.apply_delta(delta.ok_value)
        section.delta_since(1)
        format_document(section.document)
    return delta


def read_head(text: str):
    """Read a head and take the shard over."""
    found = ShardHead.parse(text)
    if isinstance(found, Ok):
        head = found.ok_value
        assert head.epoch + 1 > 0 and head.segment >= 0
        assert ShardHead.parse(head.text()).is_ok()
        f"{head.name}/{head.incarnation}/{head.address}".split("/")
    return found


def read_segment(text: str):
    """Replay a segment."""
    found = Segment.parse(text)
    if isinstance(found, Ok):
        claims = ShardClaims(0, max(found.ok_value.epoch, 1) + 1)
        claims.replay(found.ok_value.records(), 1_000)
        claims.tick(5_000)
    return found


def read_evidence(text: str):
    """Read evidence, merge it and write it again."""
    found = Evidence.parse(text)
    if isinstance(found, Ok):
        own = Evidence()
        own.report("crash-1", ["aa"], 1)
        own.merge(found.ok_value, 1_700_000_000_005)
        own.expire(1_700_000_000_005)
        own.text()
        found.ok_value.covers(own)
    return found


def read_configuration(text: str):
    """Adopt a configuration, hand it on and put it back."""
    found = parse_head(text)
    if isinstance(found, Ok):
        section = Configuration()
        section.apply_document(found.ok_value)
        section.delta_since(1)
        section.document.records()
        known = parse_head(STORED["configuration"]).unwrap()
        if found.ok_value.has_lost_part_of(known):
            format_document(known.put_back_into(found.ok_value))
        format_document(found.ok_value)
    return found


def read_store(text: str):
    """Follow the platform's store."""
    try:
        values = json.loads(text)
    except ValueError:
        values = {"op/config": text, "servers/d1": text}
    if not isinstance(values, dict):
        values = {"op/config": text}
    items = tuple(
        Item(
            key,
            (v if isinstance(v, str) else json.dumps(v)).encode(
                "utf-8", "surrogatepass"
            ),
            1,
        )
        for key, v in values.items()
    )
    return Ok(_update(Items(items, 1, 1), is_snapshot=True))


def read_answer(text: str):
    """Read an answer of the key-value service."""
    content = text.encode("utf-8", "surrogatepass")
    found = _parse_response(200, content, KeyValueUnavailable)
    if isinstance(found, Ok):
        _parse_versioned(found.ok_value)
        _parse_integer(found.ok_value, "lease")
    _parse_response(409, content, KeyValueUnavailable)
    return found


def read_vms(text: str):
    try:
        return _parse_records(parse_json(text))
    except ValueError as exc:
        return Err(exc)


ANSWER = '{"value": "x", "version": 4, "lease": 6, "code": "conflict"}'
VMS = '[{"vm": "a", "zone": "z", "state": "live", "address": "127.0.0.1"}]'
READERS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "claim head": (STORED["claim head"], read_head),
    "claim segment": (STORED["claim segment"], read_segment),
    "claim evidence": (STORED["claim evidence"], read_evidence),
    "configuration": (STORED["configuration"], read_configuration),
    # The use of its 1,000 records takes as long as the limit, also if sound.
    "large configuration": (STORED["large configuration"], parse_head),
    "records of gateways": (STORED["records of gateways"], read_store),
    "documents of the platform": (
        STORED["documents of the platform"],
        read_store,
    ),
    "key-value answer": (ANSWER, read_answer),
    "list of VMs": (VMS, read_vms),
    "entry settings": (
        STORED["entry settings"],
        lambda text: load_entry(text, "f"),
    ),
    "agent settings": (
        STORED["agent settings"],
        lambda text: load_agent(text, "f"),
    ),
    "gateway settings": (
        STORED["gateway settings"],
        lambda text: decode_settings(text, "f"),
    ),
    "records file": (RECORDS, lambda text: load_records(text, "f")),
}


def read_in_time(read: Callable[[Any], Any], data: Any) -> Any:
    """Read an input; the failure of the test shows the input."""
    times = []
    for _ in range(3):
        began = time.thread_time()
        try:
            found = read(data)
        except Exception as exc:
            raise AssertionError(f"{exc!r} of {data!r}") from exc
        times.append(time.thread_time() - began)
        if times[-1] <= MAX_INPUT_S:
            break
    assert min(times) <= MAX_INPUT_S, f"{min(times)} s for {data!r:.300}"
    assert isinstance(found, Ok | Err)
    return found


@pytest.mark.parametrize(
    "name", sorted(READERS), ids=lambda name: name.replace(" ", "-")
)
def test_mutated_text_is_read_or_refused(name):
    """Guards against a stored text or a file that ends its reader."""
    rng = random.Random(f"{SEED} {name}")
    text, read = READERS[name]
    assert read_in_time(read, text).is_ok()
    for _ in range(EXAMPLES):
        changed = mutate_text(rng, text)
        while rng.random() < 0.3:
            changed = mutate_text(rng, changed)
        read_in_time(read, changed)


@pytest.mark.parametrize(
    ("names", "read"),
    [
        (sorted(MESSAGES), read_frame),
        (["LoadNotice"], read_notice),
        (["ConfigDelta"], read_delta),
    ],
    ids=["frame", "notice", "delta"],
)
def test_mutated_message_is_read_or_refused(names, read):
    """Guards against a frame or a datagram that ends its reader."""
    rng = random.Random(f"{SEED} {names}")
    for number in range(EXAMPLES):
        frame = MESSAGES[names[number % len(names)]]
        read_in_time(read, mutate_bytes(rng, frame))


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=20)
    | st.sampled_from([10**400, "127.0.0.1:70000", "a\r\nb"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def field_names(value: Any) -> set[str]:
    """Return the names of all fields in a document."""
    if isinstance(value, dict):
        return set(value).union(*map(field_names, value.values()))
    if isinstance(value, list):
        return set().union(*map(field_names, value))
    return set()


@pytest.mark.parametrize(
    "name", sorted(READERS), ids=lambda name: name.replace(" ", "-")
)
def test_document_of_odd_fields_is_read_or_refused(name):
    """Guards against a value that nobody has thought of."""
    text, read = READERS[name]
    try:
        names = sorted(field_names(json.loads(text)))
    except ValueError:
        names = []
    documents = st.dictionaries(
        st.sampled_from([*names, "a"]), JSON, max_size=8
    )

    @settings(max_examples=EXAMPLES // 4)
    @given(documents | JSON)
    def check(document):
        read_in_time(read, json.dumps(document))

    check()


@given(st.sampled_from(list(TYPE_NUMBERS)), st.randoms())
@settings(max_examples=EXAMPLES)
def test_message_of_odd_fields_is_read_or_refused(cls, rng):
    """Guards against absent and extreme values of the fields of a message."""
    frame = encode(Frame(1, odd_message(rng, cls)))
    assert read_in_time(read_frame, frame).is_ok()
    read_in_time(read_delta, frame)
    read_in_time(read_notice, frame)
