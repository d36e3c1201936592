"""Samples of what is stored, and of what notices and settings mean.

Each form has fixed content. ``write`` returns it as this version writes it;
``read`` returns what this version takes a text to mean, as plain JSON values.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import zlib
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple

from gooseberrypost.configsync.messages import delta_message, parse_delta
from gooseberrypost.gateway.model import DefaultVersion, Stage, StageOrder
from gooseberrypost.gateway.notices import decode_notice
from gooseberrypost.gateway.quarantine import CrashRecord, CrashReport
from gooseberrypost.platform.coordination import (
    PlatformConvictionStore,
    PlatformVersionStore,
    StoreRegistry,
    StoreStageLock,
)
from gooseberrypost.platform.feeds import _update
from gooseberrypost.platform.settings import decode_settings
from gooseberrypost.platform.store import Commit, Item, Items
from gooseberrypost.policy.quarantine import Evidence
from gooseberrypost.policy.serverload import PeerLoad
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.settings.loader import load_agent, load_entry
from gooseberrypost.state.configuration import (
    AppliedChange,
    Delta,
    Document,
    RecordEntry,
)
from gooseberrypost.state.document import (
    COMPRESSED_PREFIX,
    format_document,
    parse_head,
)
from gooseberrypost.state.heads import (
    ShardHead,
    head_key,
    lease_key,
    segment_key,
)
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRecord,
    Record,
    ScheduleRecord,
    ServiceRecord,
)
from gooseberrypost.state.segments import LogRecord, Segment
from gooseberrypost.wire.codec import LENGTH_BYTES, Frame, decode, encode
from gooseberrypost.wire.messages import idl
from tests.gateway_kit import configuration
from tests.wire_samples import OldReader, encode_filled

STREAM = "5d" * 32
REVISION = 41
ERA = 3


class Form(NamedTuple):
    """One stored form with fixed content."""

    write: Callable[[], str]
    read: Callable[[str], Any]


def plain(value: Any) -> Any:
    """Return a value as JSON has it; objects become their fields."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return {
            field.name: plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return plain(value._asdict())
    if isinstance(value, PeerLoad):
        return {name: plain(getattr(value, name)) for name in value.__slots__}
    if isinstance(value, Mapping):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(map(plain, value))
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def restrict(value: Any, sample: Any) -> Any:
    """Return a value without the fields that a sample doesn't have.

    The fields of some records are told apart by their position; new ones
    stand behind the others.
    """
    if isinstance(value, dict) and isinstance(sample, dict):
        return {k: restrict(value.get(k), sample[k]) for k in sample}
    if not isinstance(value, list) or not isinstance(sample, list):
        return value
    if not any(isinstance(item, list | dict) for item in value):
        value = value[: len(sample)]
    if len(value) != len(sample):
        return value
    return [restrict(v, s) for v, s in zip(value, sample, strict=True)]


def parts_of(text: str, schema: Any = None) -> Any:
    """Return the fields of a stored text as far as a version knows them.

    A text without fields is returned as it is.
    """
    if text.startswith(COMPRESSED_PREFIX):
        packed = base64.b64decode(text.removeprefix(COMPRESSED_PREFIX))
        text = zlib.decompress(packed).decode()
    if schema is not None and is_frame(text):
        return _parse_texts(OldReader(schema).read(bytes.fromhex(text)))
    try:
        return [_parse_texts(json.loads(line)) for line in text.splitlines()]
    except ValueError:
        return text


def is_frame(text: str) -> bool:
    """Whether a text is a frame in hexadecimal digits."""
    return len(text) > 20 and not set(text) - set("0123456789abcdef")


def _parse_texts(value: Any) -> Any:
    """Parse the objects that are stored as texts in other objects."""
    if isinstance(value, dict):
        return {key: _parse_texts(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_parse_texts(item) for item in value]
    if isinstance(value, str) and value.startswith("{"):
        return json.loads(value)
    return value


class RecordingStore:
    """Stands for the platform's store and keeps what is written."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}

    async def grant_lease(self, ttl_ms: int) -> int:
        return 9

    async def write(
        self, puts, conditions=None, removed=(), timeout_s=None
    ) -> Commit:
        for put in puts:
            self.values[put.key] = put.value.decode()
        return Commit(REVISION, ERA)


async def _write_records(store: RecordingStore) -> int:
    await StoreRegistry(store).register("g1", "127.0.0.1:9470", 3_000)
    lock = StoreStageLock(store)
    token = await lock.acquire("g1", 9)
    await lock.record_order(token, 9, StageOrder("d1", Stage.DECODE, "g1"))
    convictions = PlatformConvictionStore(store)
    await convictions.save("c1", 1_700_000_000_000)
    await convictions.save("c2", -1_700_000_000_001)
    lost = {
        "r1": Suspect(frozenset(["p1", "p2"]), True),
        "r2": Suspect(frozenset()),
    }
    report = CrashReport("d1@5", lost, {"r3"})
    crash = CrashRecord(report, 1_700_000_000_002)
    await convictions.save_crashes({"crash-1": crash})
    versions = PlatformVersionStore(store)
    await versions.save({STREAM: "v1"})
    await versions.set_default("llm", "v2", DefaultVersion("v1", 3))
    return token


def written_records() -> dict[str, str]:
    """Return what gateways keep on the platform's store, by key."""
    store = RecordingStore()
    token = asyncio.run(_write_records(store))
    return {**store.values, "fencing token": str(token)}


def read_records(text: str) -> Any:
    """Return what a gateway learns from the records in its store."""
    values = json.loads(text)
    values.pop("fencing token", None)
    items = tuple(
        Item(key, value.encode(), REVISION) for key, value in values.items()
    )
    return plain(_update(Items(items, REVISION, ERA), is_snapshot=True))


def _platform_documents() -> dict[str, str]:
    """Return documents of the platform itself, which gateways read."""
    document = configuration(7, max_header_bytes=8_192, idle_timeout_ms=900)
    document["routes"][3]["traffic_split"] = [
        {"service": "llm", "weight": 0.75},
        {"service": "quiet-llm", "weight": 0.25},
    ]
    server = {
        "service": "llm",
        "address": "127.0.0.1:9400",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "draining",
        "cold_remaining_ms": 0,
        "stage": "decode",
        "sequence": 6,
        "born": 1_700_000_000_000,
    }
    return {
        "op/config": json.dumps(document),
        "servers/d1": json.dumps(server),
    }


def _records() -> list[tuple[str, Record]]:
    return [
        (
            "service",
            ServiceRecord(
                "llm",
                models=["m1", "m2"],
                first_token_ms=481,
                token_gap_ms=27,
                answer_ms=30_001,
                priority=4,
                waste_weight=0.25,
                max_wait_ms=901,
                max_output_tokens=1_025,
                max_in_flight=31,
                requests_per_s=12.5,
                retry_share=0.125,
                non_idempotent=["POST /pay"],
                claims_outage_policy="refuse",
            ),
        ),
        (
            "engine",
            EngineRecord(
                "d1",
                service="llm",
                agent_address="127.0.0.1:7100",
                zone="z1",
                role="prefill",
                model="m1",
                slots=21,
                pieces=201,
                prefill_tokens_per_s=20_000.5,
                link="l1",
                link_kb_per_s=5_000,
            ),
        ),
        (
            "schedule",
            ScheduleRecord(
                "s1",
                day="monday",
                service="llm",
                engine="d1",
                role="decode",
                model="m2",
                starts="08:00",
                ends="24:00",
                time_zone="Europe/Prague",
            ),
        ),
        (
            "account",
            AccountRecord(
                "kiosk", requests_per_s=2.5, burst=11, max_in_flight=3, share=2
            ),
        ),
    ]


def _document(records: int = 0) -> Document:
    """Return a configuration, with more accounts to make it large."""
    entries = {
        f"{prefix}/{record.name}": RecordEntry(record.to_json(), number)
        for number, (prefix, record) in enumerate(_records(), 3)
    }
    for number in range(records):
        text = AccountRecord(f"a{number}").to_json()
        entries[f"account/a{number}"] = RecordEntry(text, 6)
    return Document(
        7, entries, {"account/gone": 5}, 2, (AppliedChange("apply-1", 7),)
    )


def _read_document(text: str) -> Any:
    document = parse_head(text).unwrap()
    return {
        "document": plain(document),
        "records": plain(document.records()),
    }


def _write_delta() -> str:
    hello = idl.Hello(process_kind="entry", name="e1", zone="z1")
    entries = dict(list(_document().entries.items())[:2])
    delta = Delta(7, 2, entries, ["account/gone"])
    return encode(Frame(1, delta_message(delta, hello))).hex()


def _read_delta(text: str) -> Any:
    frame = decode(bytes.fromhex(text)[LENGTH_BYTES:]).unwrap()
    return plain(parse_delta(frame.message).unwrap())


def _segment() -> Segment:
    claim = LogRecord(
        "claim", "k1", 3_073, "ab" * 32, "e1/7/127.0.0.1:7000", True, 900
    )
    renew = LogRecord("renew", "k1", 3_074, "", "e2/8/", False, 800)
    segment = Segment(3).with_batch("3.1", [claim, renew])
    ends = [
        LogRecord("complete", "k1", 3_074),
        LogRecord("abandon", "k2", 3_075, not_run=True),
    ]
    return segment.with_batch("3.2", ends).sealed(4)


def _read_segment(text: str) -> Any:
    segment = Segment.parse(text).unwrap()
    return {
        "epoch": segment.epoch,
        "sealed_by": segment.sealed_by,
        "records": plain(list(segment.records())),
        "has_batches": [segment.has_batch(b) for b in ("3.1", "3.2", "3")],
    }


def _evidence() -> Evidence:
    evidence = Evidence()
    evidence.report("crash-1", ["aa", "bb"], 1_700_000_000_000)
    evidence.report("crash-2", ["aa", "cc"], 1_700_000_000_001)
    evidence.convicted["dd"] = 1_700_000_000_002
    return evidence


def _read_evidence(text: str) -> Any:
    return json.loads(Evidence.parse(text).unwrap().text())


def _entry_settings() -> str:
    claims = {"shards": 4, "own": False, "lease_ms": 14_000, "linger_ms": 21}
    claims |= {"segment_bytes": 2_048, "answers_bytes": 4_096}
    claims |= {"retention_ms": 60_000}
    return json.dumps(
        {
            "name": "e1",
            "zone": "z1",
            "http_address": "127.0.0.1:8080",
            "internal_address": "127.0.0.1:7000",
            "peers": ["127.0.0.1:7001"],
            "key_value_addresses": ["127.0.0.1:7002"],
            "claims": claims,
            "max_body_bytes": 1_001,
            "max_header_bytes": 1_002,
            "read_timeout_ms": 1_003,
            "write_timeout_ms": 1_004,
            "drain_timeout_ms": 1_005,
            "explanations": 1_006,
            "allow_unknown_accounts": False,
            "seed": 1_007,
        }
    )


def _agent_settings() -> str:
    backend = {"kind": "model", "address": "127.0.0.1:8000", "slots": 5}
    backend |= {"checks_fencing": True, "pieces": 50, "piece_tokens": 16}
    backend |= {"link_kb_per_s": 5_000}
    return json.dumps(
        {
            "name": "d1",
            "vm": "vm-d1",
            "zone": "z1",
            "service": "llm",
            "internal_address": "127.0.0.1:7100",
            "backend": backend,
            "peers": ["127.0.0.1:7001"],
            "key_value_addresses": ["127.0.0.1:7002"],
            "vm_list_address": "127.0.0.1:7003",
            "lease_ms": 30_000,
            "lease_renewal_ms": 9_000,
            "load_poll_ms": 101,
            "vm_poll_ms": 102,
            "entry_silence_ms": 103,
            "reattach_ms": 104,
            "drain_timeout_ms": 105,
            "seed": 106,
        }
    )


def _gateway_settings() -> str:
    return json.dumps(
        {
            "node_name": "g1",
            "zone": "a",
            "ip": "127.0.0.1",
            "internal_port_range": [9_470, 9_479],
            "listen": {
                "frontend": "127.0.0.1:8080",
                "readiness": "127.0.0.1:8081",
            },
            "platform": {"address": "127.0.0.1:2379"},
            "bounds": {
                "grace_s": 7.5,
                "config_apply_ms": 1_900,
                "drain_ms": 1_800,
                "retry_budget_ratio": 0.125,
                "budget_window_s": 9,
                "budget_slack": 3,
                "lease_ms": 2_900,
            },
            "heartbeat_ms": 1_100,
            "limits": {"memory_mb": 96},
        }
    )


def _loaded(load: Any) -> Callable[[str], Any]:
    return lambda text: plain(load(text, "sample").unwrap())


def _read_notice(text: str) -> dict[str, Any]:
    found = plain(decode_notice(bytes.fromhex(text)))
    # A notice that names no services has one rank for all of them.
    found["rank_ms"] = found.pop("ranks_ms").of("any")
    return found


FORMS: dict[str, Form] = {
    "load notice": Form(
        lambda: encode_filled(idl.LoadNotice).hex(),
        _read_notice,
    ),
    "records of gateways": Form(
        lambda: json.dumps(written_records()), read_records
    ),
    "documents of the platform": Form(
        lambda: json.dumps(_platform_documents()), read_records
    ),
    "claim head": Form(
        lambda: ShardHead("e1", "127.0.0.1:7000", 5, 3, 8, 2).text(),
        lambda text: plain(ShardHead.parse(text).unwrap()),
    ),
    "claim segment": Form(_segment().text, _read_segment),
    "claim keys": Form(
        lambda: "\n".join(
            (head_key(3), segment_key(3, 8), lease_key("e1", 5))
        ),
        lambda text: text.split("\n"),
    ),
    "claim evidence": Form(_evidence().text, _read_evidence),
    "configuration": Form(
        lambda: format_document(_document()).unwrap(), _read_document
    ),
    "large configuration": Form(
        lambda: format_document(_document(1_000)).unwrap(),
        lambda text: plain(parse_head(text).unwrap().version),
    ),
    "configuration delta": Form(_write_delta, _read_delta),
    "entry settings": Form(_entry_settings, _loaded(load_entry)),
    "agent settings": Form(_agent_settings, _loaded(load_agent)),
    "gateway settings": Form(_gateway_settings, _loaded(decode_settings)),
}


def record_forms() -> dict[str, Any]:
    """Return each form as it is written now, and what it means."""
    found = {}
    for name, form in FORMS.items():
        written = form.write()
        found[name] = {"written": written, "meaning": form.read(written)}
    return found
