"""Scripted scenarios over real processes; each file names its failure."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.scenarios.language import ScenarioSyntax, parse
from tests.scenarios.processes import reserve_address
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


def test_a_reserved_port_is_left_to_its_daemon():
    """Guards against a daemon whose port another test process has drawn."""
    with ExitStack() as stack:
        host, port = reserve_address(stack).split(":")
        other, daemon = socket.socket(), socket.socket()
        stack.callback(other.close)
        stack.callback(daemon.close)
        with pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        daemon.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        daemon.bind((host, int(port)))
        daemon.listen()
