"""What other versions wrote is read here, and the other way round.

``docs/compatibility.md`` has the rules that these tests check.
"""

from __future__ import annotations

import json
import struct
from pathlib import Path

import pytest
from scripts.record_samples import SAMPLES, version

from gooseberrypost.wire import codec
from gooseberrypost.wire.messages import TYPES_BY_NUMBER
from tests.stored_samples import FORMS, parts_of, restrict
from tests.wire_samples import (
    HEADER_BYTES,
    OldReader,
    current_schema,
    encode_filled,
    fields_of,
)

VERSIONS = sorted(folder.name for folder in SAMPLES.iterdir())
UNKNOWN_FIELD = b"\x0b" + struct.pack("!hi", 30_000, 3) + b"new"


def load(folder: str, name: str):
    return json.loads((Path(SAMPLES) / folder / f"{name}.json").read_text())


MESSAGES = [(v, name) for v in VERSIONS for name in load(v, "messages")]
STORED = [(v, name) for v in VERSIONS for name in load(v, "stored")]


def read_message(frame: bytes):
    found = codec.decode(frame[codec.LENGTH_BYTES :]).unwrap()
    return type(found.message).__name__, fields_of(found.message)


def test_this_version_has_samples():
    """Guards against a release that the next one is not checked against."""
    assert version() in VERSIONS


@pytest.mark.parametrize(("folder", "name"), MESSAGES)
def test_message_of_another_version_is_read(folder, name):
    """Guards against a field that gets another number, type or name."""
    sample = load(folder, "messages")[name]
    found_name, found = read_message(bytes.fromhex(sample["hex"]))
    assert found_name == name
    assert restrict(found, sample["fields"]) == sample["fields"]


@pytest.mark.parametrize(("folder", "name"), MESSAGES)
def test_message_is_read_by_another_version(folder, name):
    """Guards against a message that processes not yet replaced misread."""
    schema, sample = load(folder, "schema"), load(folder, "messages")[name]
    message_type = TYPES_BY_NUMBER[schema["messages"][name]]
    found = OldReader(schema).read(encode_filled(message_type))
    assert found == (name, sample["fields"])


@pytest.mark.parametrize(("folder", "name"), MESSAGES)
def test_unknown_field_of_a_message_is_skipped(folder, name):
    """Guards against a decoder that rejects the fields of a later version."""
    sample = load(folder, "messages")[name]
    frame = bytes.fromhex(sample["hex"])
    body = UNKNOWN_FIELD + frame[HEADER_BYTES:]
    head = frame[codec.LENGTH_BYTES : HEADER_BYTES]
    size = struct.pack("!I", len(head) + len(body))
    _, found = read_message(size + head + body)
    assert restrict(found, sample["fields"]) == sample["fields"]
    assert OldReader(load(folder, "schema")).read(size + head + body) == (
        name,
        sample["fields"],
    )


@pytest.mark.parametrize("folder", VERSIONS)
def test_numbers_are_not_used_again(folder):
    """Guards against a number that means something else than before.

    This includes fields that samples leave out, and values of enums.
    """
    old, now = load(folder, "schema"), current_schema()
    assert restrict(now, old) == old


@pytest.mark.parametrize(("folder", "name"), STORED)
def test_text_of_another_version_is_read(folder, name):
    """Guards against stored data that changes its meaning in an upgrade."""
    sample = load(folder, "stored")[name]
    found = json.loads(json.dumps(FORMS[name].read(sample["written"])))
    assert restrict(found, sample["meaning"]) == sample["meaning"]


@pytest.mark.parametrize(("folder", "name"), STORED)
def test_text_is_read_by_another_version(folder, name):
    """Guards against stored data that processes not yet replaced misread."""
    sample, schema = load(folder, "stored")[name], load(folder, "schema")
    written = parts_of(sample["written"], schema)
    found = parts_of(FORMS[name].write(), schema)
    assert restrict(found, written) == written


def add_unknown(value):
    """Return a document with a further field in each object with fields."""
    if isinstance(value, list):
        return [add_unknown(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {k: add_unknown(v) for k, v in value.items()} | {"new": 1}


def test_unknown_field_of_a_claim_head_is_skipped():
    """Guards against shards that nobody can take in a rolling upgrade."""
    form = FORMS["claim head"]
    text = json.dumps(add_unknown(json.loads(form.write())))
    assert form.read(text) == form.read(form.write())


def test_unknown_field_of_a_claim_record_is_skipped():
    """Guards against a log that an owner of this version cannot replay."""
    form = FORMS["claim segment"]
    header, *lines = form.write().splitlines()
    for number, line in enumerate(lines):
        batch, records = json.loads(line)
        records = [[*record, ["new"]] for record in records]
        text = json.dumps([batch, records], separators=(",", ":"))
        lines[number] = text
    found = form.read("\n".join((header, *lines)))
    assert found["has_batches"] == [True, True, False]
    keys = [record["key"] for record in found["records"]]
    assert keys == ["k1", "k1", "k1", "k2"]


def test_unknown_field_of_a_configuration_record_is_skipped():
    """Guards against services that vanish from processes not yet replaced."""
    form = FORMS["configuration"]
    document = json.loads(form.write())
    for key, (text, number) in document["records"].items():
        later = json.dumps(add_unknown(json.loads(text)))
        document["records"][key] = [later, number]
    document["new"] = 1
    found = form.read(json.dumps(document))
    assert found["records"] == form.read(form.write())["records"]


@pytest.mark.parametrize(
    "name", ["records of gateways", "documents of the platform"]
)
def test_unknown_field_of_a_platform_document_is_skipped(name):
    """Guards against a gateway that drops a document of a later one."""
    form = FORMS[name]
    values = json.loads(form.write())
    for key, text in values.items():
        if text.startswith("{"):
            later = json.loads(text)
            lost = later.get("lost")
            later = add_unknown(later)
            if lost is not None:
                # The keys of this object are requests.
                later["lost"] = {k: add_unknown(v) for k, v in lost.items()}
            values[key] = json.dumps(later)
    assert form.read(json.dumps(values)) == form.read(form.write())


@pytest.mark.parametrize("name", sorted(FORMS))
def test_form_has_a_sample(name):
    """Guards against a form that no later version is checked against."""
    assert name in load(version(), "stored")
