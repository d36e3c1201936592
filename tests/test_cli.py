"""Command line: exit codes, JSON output and errors with their place."""

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
    """Run a command in a thread, as its event loop is its own."""
    runner = CliRunner()
    result = await asyncio.to_thread(
        runner.invoke, main, [str(one) for one in arguments]
    )
    assert result.exception is None or isinstance(
        result.exception, SystemExit
    ), result.exception
    return result


@pytest.fixture
def files(tmp_path):
    def write(name, text):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write


def test_an_operator_applies_records_and_a_sheet(files):
    """Guards against a change that is accepted but not in force (P8)."""

    async def run():
        memory = InMemoryKeyValueStore(monotonic_ms)
        app = KeyValueService(memory).application()
        async with (
            serving(app) as store,
            run_processes(3, memory, 100) as nodes,
        ):
            where = ("--key-value", store)
            peers = [x for n in nodes for x in ("--peer", n.address)]
            records = files("records.json", RECORDS)
            done = await invoke("config", "apply", records, *where, *peers)
            assert done.exit_code == 0, done.output
            base = files(
                "base.json",
                (await invoke("config", "show", "--json", *where)).output,
            )
            first = files("first.csv", SHEET % "10:00")
            second = files("second.csv", SHEET % "11:00")
            edit = (*where, "--base", base)
            memory.lose_answers = 1
            done = await invoke(
                "sheet", "apply", first, *edit, *peers, "--json"
            )
            assert done.exit_code == 0, done.output
            assert json.loads(done.output)["confirmed"] == 3
            assert json.loads(done.output)["version"] == 2
            lost = await invoke("sheet", "apply", second, *edit)
            assert lost.exit_code == 4
            assert "schedule/monday/e3/08:00" in lost.output
            await wait_for_version(nodes, 2)
            row = nodes[0].section.records["schedule/monday/e3/08:00"]
            assert row.ends == "10:00"
            # Other rows, whose hours overlap those accepted meanwhile.
            later = files("later.csv", (SHEET % "11:00").replace("08:", "09:"))
            lost = await invoke("sheet", "apply", later, *edit)
            assert lost.exit_code == 4, lost.output
            assert "schedule/monday/e3/08:00" in lost.output
            assert "schedule/monday/e3/09:00" in lost.output
            diff = await invoke("sheet", "diff", second, *where, "--json")
            assert list(json.loads(diff.output)["changes"]) == [
                "schedule/monday/e3/08:00"
            ]
            shown = await invoke("sheet", "show", *where)
            again = files("again.csv", shown.output)
            same = await invoke("sheet", "diff", again, *where)
            assert same.output == "no changes\n"

    asyncio.run(run())


def test_failures_have_their_exit_codes(files):
    """Guards against a script that takes a refused change for done."""

    async def run():
        memory = InMemoryKeyValueStore(monotonic_ms)
        app = KeyValueService(memory).application()
        async with serving(app) as store:
            where = ("--key-value", store)
            records = files("records.json", RECORDS)
            alone = await invoke(
                "config", "apply", records, *where, "--peer", "127.0.0.1:9"
            )
            assert alone.exit_code == 8
            removed = files("gone.json", '{"services": {"s": null}}')
            broken = await invoke("config", "apply", removed, *where)
            assert broken.exit_code == 3
            assert "engine/e1: service" in broken.output
            bad = files("bad.csv", SHEET.replace("e3", "e9") % "8:00")
            wrong = await invoke("sheet", "check", bad, *where)
            assert wrong.exit_code == 3
            assert f"{bad}: row 2, column 'to'" in wrong.output
            bad = files("bad.csv", SHEET.replace("e3", "e9") % "9:00")
            wrong = await invoke("sheet", "check", bad, *where)
            assert f"{bad}: row 2, column 'engine'" in wrong.output
        down = await invoke("config", "show", *where)
        assert down.exit_code == 5
        usage = await invoke("config", "show", "--key-value", "localhost:1")
        assert usage.exit_code == 2

    asyncio.run(run())


def test_config_check_names_file_line_and_field(files):
    """Guards against an operator who cannot find the fault."""

    async def run():
        good = files("records.json", RECORDS)
        done = await invoke("config", "check", good, "--json")
        assert json.loads(done.output)["kind"] == "records"
        text = RECORDS.replace('"zone": "z",', '"zon": "z",')
        bad = files("bad.json", text)
        found = await invoke("config", "check", bad)
        assert found.exit_code == 3
        assert f"{bad}: line 4: engines.e1.zon: " in found.output
        assert "did you mean 'zone'?" in found.output
        assert "line 4: engines.e1.zone: is required" in found.output
        named = files("named.json", '{"accounts": {"a": {"name": "b"}}}')
        assert (
            "is given by the key"
            in (await invoke("config", "check", named)).output
        )

    asyncio.run(run())


def test_a_running_process_is_asked():
    """Guards against commands that the internal protocol does not carry."""

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
            to = ("--address", listener.address)
            shown = json.loads((await invoke("status", *to, "--json")).output)
            assert shown["load"]["slots"] == 3
            await invoke("drain", *to)
            await invoke("drain", *to, "--undo")
            assert drains == [True, False]
            refused = await invoke("request", "explain", "k", *to)
            assert refused.exit_code == 1
            dispatcher.register(idl.Explain, explain)
            told = await invoke("request", "explain", "k", *to)
            assert told.output == "placed k\n"
        gone = await invoke("status", *to)
        assert gone.exit_code == 5

    asyncio.run(run())


def test_the_module_runs_and_daemons_check_their_settings(files):
    """Guards against a package without an entry point."""
    path = files("e.json", '{"name": "e1"}')
    done = subprocess.run(
        [sys.executable, "-m", "gooseberrypost", "entry", "--config", path],
        capture_output=True,
        text=True,
        timeout=30,
        env={"PYTHONPATH": "src"},
        check=False,
    )
    assert done.returncode == 3
    assert "zone: is required" in done.stderr


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_a_taken_port_is_a_typed_failure(files, kind):
    """Guards against a traceback in place of a message for the operator."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        cfg = {"name": "n1", "zone": "z1", "internal_address": address}
        if kind == "entry":
            cfg["http_address"] = "127.0.0.1:0"
        else:
            backend = {"kind": "plain", "address": "127.0.0.1:9"}
            cfg |= {"vm": "v1", "service": "s1", "backend": backend}
        path = files(f"{kind}.json", json.dumps(cfg))
        done = subprocess.run(
            [sys.executable, "-m", "gooseberrypost", kind, "--config", path],
            capture_output=True,
            text=True,
            timeout=30,
            env={"PYTHONPATH": "src"},
            check=False,
        )
    assert done.returncode == 1
    lines = done.stderr.splitlines()
    told = [line for line in lines if line.startswith("start_failed: ")]
    assert len(told) == 1
    assert str(path) in told[0] and "address already in use" in told[0]
    assert not any(line.startswith("Traceback") for line in lines)
