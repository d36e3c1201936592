"""Annotated example files in ``examples/``."""

from __future__ import annotations

from pathlib import Path

from gooseberrypost.settings.loader import load_agent, load_entry
from gooseberrypost.settings.records import load_records
from gooseberrypost.sheet.check import check_rows
from gooseberrypost.sheet.parser import parse_sheet
from gooseberrypost.state.records import EngineRecord

FOLDER = Path(__file__).parents[1] / "examples"


def test_examples_load_and_refer_to_each_other():
    """Guards against examples that violate the schema or disagree."""
    texts = {path.name: path.read_text() for path in FOLDER.iterdir()}
    entry = load_entry(texts.pop("entry.jsonc"), "entry.jsonc").unwrap()
    agent = load_agent(texts.pop("agent.jsonc"), "agent.jsonc").unwrap()
    records = load_records(texts.pop("records.jsonc"), "records.jsonc")
    sheet = parse_sheet(texts.pop("morning.csv").encode(), "morning.csv")
    assert not texts
    assert (
        check_rows(sheet.unwrap(), records.unwrap(), 1_796_358_000_000) == []
    )
    engine = records.unwrap()[f"engine/{agent.name}"]
    assert isinstance(engine, EngineRecord)
    assert engine.agent_address == agent.internal_address
    assert engine.service == agent.service
    assert entry.internal_address in agent.peers
