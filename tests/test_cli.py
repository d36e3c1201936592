"""Command line: exit codes, JSON output and locations of errors."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from gooseberrypost.cli.main import main
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.configuration_cluster import run_processes, wait_for_version
from tests.standins.keyvalue import KeyValueService, monotonic_ms, serving

RECORDS = """{
  "services": {"s": {"models": ["m"]}}, // one model
  "engines": {
    "e1": {"service": "s", "agent_address": "127.0.0.1:1", "zone": "z",
           "role": "prefill", "model": "m"},
    "e2": {"service": "s", "agent_address": "127.0.0.1:2", "zone": "z"},
    "e3": {"service": "s", "agent_address": "127.0.0.1:3", "zone": "z"},
  },
}"""
SHEET = """day;service;engine;role;model;from;to;time zone
Monday;s;e3;prefill;m;08:00;%s;Europe/Bratislava
"""


async def invoke(*arguments):
    """Run a command in a thread, because it starts an event loop."""
    runner = CliRunner()
    result = await asyncio.to_thread(
        runner.invoke, main, [str(argument) for argument in arguments]
    )
    assert result.exception is None or isinstance(
        result.exception, SystemExit
    ), result.exception
    return result


@pytest.fixture
def write_file(tmp_path):
    def write(name, text):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write


def test_an_operator_applies_records_and_a_sheet(write_file):
    """Guards against an accepted change that never takes effect (P8).

    Also covers an apply whose write gets no response, and later edits from the
    same base that conflict with it.
    """

    async def run():
        memory = InMemoryKeyValueStore(monotonic_ms)
        app = KeyValueService(memory).application()
        async with (
            serving(app) as store,
            run_processes(3, memory, 100) as nodes,
        ):
            store_options = ("--key-value", store)
            peers = [x for n in nodes for x in ("--peer", n.address)]
            records = write_file("records.json", RECORDS)
            result = await invoke(
                "config", "apply", records, *store_options, *peers
            )
            assert result.exit_code == 0, result.output
            base = write_file(
                "base.json",
                (
                    await invoke("config", "show", "--json", *store_options)
                ).output,
            )
            first = write_file("first.csv", SHEET % "10:00")
            second = write_file("second.csv", SHEET % "11:00")
            edit_options = (*store_options, "--base", base)
            memory.lose_answers = 1
            result = await invoke(
                "sheet", "apply", first, *edit_options, *peers, "--json"
            )
            assert result.exit_code == 0, result.output
            assert json.loads(result.output)["confirmed"] == 3
            assert json.loads(result.output)["version"] == 2
            conflict = await invoke("sheet", "apply", second, *edit_options)
            assert conflict.exit_code == 4
            assert "schedule/monday/e3/08:00" in conflict.output
            await wait_for_version(nodes, 2)
            row = nodes[0].section.records["schedule/monday/e3/08:00"]
            assert row.ends == "10:00"
            # A different row that overlaps the row accepted since the base.
            later = write_file(
                "later.csv", (SHEET % "11:00").replace("08:", "09:")
            )
            conflict = await invoke("sheet", "apply", later, *edit_options)
            assert conflict.exit_code == 4, conflict.output
            assert "schedule/monday/e3/08:00" in conflict.output
            assert "schedule/monday/e3/09:00" in conflict.output
            diff = await invoke(
                "sheet", "diff", second, *store_options, "--json"
            )
            assert list(json.loads(diff.output)["changes"]) == [
                "schedule/monday/e3/08:00"
            ]
            sheet_text = await invoke("sheet", "show", *store_options)
            sheet_file = write_file("shown.csv", sheet_text.output)
            diff = await invoke("sheet", "diff", sheet_file, *store_options)
            assert diff.output == "no changes\n"

    asyncio.run(run())


def test_failures_have_their_exit_codes(write_file):
    """Guards against scripts that mistake a rejected change for success."""

    async def run():
        memory = InMemoryKeyValueStore(monotonic_ms)
        app = KeyValueService(memory).application()
        async with serving(app) as store:
            store_options = ("--key-value", store)
            records = write_file("records.json", RECORDS)
            unconfirmed = await invoke(
                "config",
                "apply",
                records,
                *store_options,
                "--peer",
                "127.0.0.1:9",
            )
            assert unconfirmed.exit_code == 8
            removal = write_file("removal.json", '{"services": {"s": null}}')
            inconsistent = await invoke(
                "config", "apply", removal, *store_options
            )
            assert inconsistent.exit_code == 3
            assert "engine/e1: service" in inconsistent.output
            invalid = write_file(
                "invalid.csv", SHEET.replace("e3", "e9") % "8:00"
            )
            rejected = await invoke("sheet", "check", invalid, *store_options)
            assert rejected.exit_code == 3
            assert f"{invalid}: row 2, column 'to'" in rejected.output
            invalid = write_file(
                "invalid.csv", SHEET.replace("e3", "e9") % "9:00"
            )
            rejected = await invoke("sheet", "check", invalid, *store_options)
            assert f"{invalid}: row 2, column 'engine'" in rejected.output
        down = await invoke("config", "show", *store_options)
        assert down.exit_code == 5
        usage = await invoke("config", "show", "--key-value", "localhost:1")
        assert usage.exit_code == 2

    asyncio.run(run())


def test_config_check_names_file_line_and_field(write_file):
    """Guards against errors without the location of the invalid value."""

    async def run():
        valid = write_file("records.json", RECORDS)
        result = await invoke("config", "check", valid, "--json")
        assert json.loads(result.output)["kind"] == "records"
        text = RECORDS.replace('"zone": "z",', '"zon": "z",')
        invalid = write_file("invalid.json", text)
        result = await invoke("config", "check", invalid)
        assert result.exit_code == 3
        assert f"{invalid}: line 4: engines.e1.zon: " in result.output
        assert "did you mean 'zone'?" in result.output
        assert "line 4: engines.e1.zone: is required" in result.output
        with_name = write_file(
            "name.json", '{"accounts": {"a": {"name": "b"}}}'
        )
        assert (
            "is given by the key"
            in (await invoke("config", "check", with_name)).output
        )

    asyncio.run(run())


def test_commands_query_a_running_process():
    """Guards against commands that do not match the internal protocol."""

    async def run():
        dispatcher = Dispatcher()
        drains = []

        async def status(session, correlation, message):
            load = idl.Load(slots=3)
            reply = idl.Status(name="e1", shards=[1], load=load)
            await session.send(correlation, reply)

        async def drain(session, correlation, message):
            drains.append(message.draining)
            await session.send(correlation, idl.Ok())

        async def explain(session, correlation, message):
            reply = idl.Explanation(lines=[f"placed {message.key}"])
            await session.send(correlation, reply)

        dispatcher.register(idl.StatusRequest, status)
        dispatcher.register(idl.Drain, drain)
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            address_options = ("--address", listener.address)
            status_json = json.loads(
                (await invoke("status", *address_options, "--json")).output
            )
            assert status_json["load"]["slots"] == 3
            await invoke("drain", *address_options)
            await invoke("drain", *address_options, "--undo")
            assert drains == [True, False]
            refused = await invoke("request", "explain", "k", *address_options)
            assert refused.exit_code == 1
            dispatcher.register(idl.Explain, explain)
            explained = await invoke(
                "request", "explain", "k", *address_options
            )
            assert explained.output == "placed k\n"
        unreachable = await invoke("status", *address_options)
        assert unreachable.exit_code == 5

    asyncio.run(run())


def test_the_module_runs_and_daemons_check_their_settings(write_file):
    """Guards against a package that ``python -m`` cannot run."""
    path = write_file("e.json", '{"name": "e1"}')
    result = subprocess.run(
        [sys.executable, "-m", "gooseberrypost", "entry", "--config", path],
        capture_output=True,
        text=True,
        timeout=30,
        env={"PYTHONPATH": "src"},
        check=False,
    )
    assert result.returncode == 3
    assert "zone: is required" in result.stderr


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_a_port_in_use_is_a_typed_failure(write_file, kind):
    """Guards against a traceback instead of an error message."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        settings = {"name": "n1", "zone": "z1", "internal_address": address}
        if kind == "entry":
            settings["http_address"] = "127.0.0.1:0"
        else:
            backend = {"kind": "plain", "address": "127.0.0.1:9"}
            settings |= {"vm": "v1", "service": "s1", "backend": backend}
        path = write_file(f"{kind}.json", json.dumps(settings))
        result = subprocess.run(
            [sys.executable, "-m", "gooseberrypost", kind, "--config", path],
            capture_output=True,
            text=True,
            timeout=30,
            env={"PYTHONPATH": "src"},
            check=False,
        )
    assert result.returncode == 1
    lines = result.stderr.splitlines()
    start_failures = [
        line for line in lines if line.startswith("start_failed: ")
    ]
    assert len(start_failures) == 1
    assert (
        str(path) in start_failures[0]
        and "address already in use" in start_failures[0]
    )
    assert not any(line.startswith("Traceback") for line in lines)
