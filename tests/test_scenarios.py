"""Scripted scenarios over real processes; each file names its failure."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.scenarios.language import ScenarioSyntax, parse
from tests.scenarios.runner import run_scenario

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize(
    "path", sorted(FOLDER.glob("*.scenario")), ids=lambda path: path.stem
)
def test_scenario(path, tmp_path):
    """Guards against the failure stated at the top of the scenario."""
    asyncio.run(run_scenario(parse(path.read_text()), tmp_path))


def test_a_typo_in_a_scenario_is_an_error_with_its_position():
    """Guards against a misspelt step that silently checks nothing."""
    with pytest.raises(ScenarioSyntax, match="2:1"):
        parse("begin\nexpct r1 ended == 1\n")
