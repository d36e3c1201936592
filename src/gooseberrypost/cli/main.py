"""Root command, and the commands that run the daemons."""

from __future__ import annotations

import asyncio
import sys
from importlib import import_module
from typing import TYPE_CHECKING, Any

import click
from result import Err, Result

from gooseberrypost import daemonlog
from gooseberrypost.cli.common import FILE
from gooseberrypost.cli.config import config
from gooseberrypost.cli.exit_codes import fail
from gooseberrypost.cli.remote import drain, request, status
from gooseberrypost.cli.sheet import sheet
from gooseberrypost.errors import Failure
from gooseberrypost.platform.settings import PATH_VARIABLE, decode_settings
from gooseberrypost.settings.loader import load_agent, load_entry, read_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from gooseberrypost.settings.problems import SettingsInvalid

log_level_option = click.option(
    "--log-level",
    type=click.Choice(list(daemonlog.LEVELS)),
    default=daemonlog.DEFAULT_LEVEL,
    show_default=True,
    help="Minimum level of the log lines.",
)


class StartFailed(Failure):
    """The daemon could not start, for example because its port is in use."""

    code = "start_failed"


@click.group()
@click.version_option(package_name="gooseberrypost")
def main() -> None:
    """Route language-model requests over prefill and decode pools."""


for _command in (config, sheet, status, drain, request):
    main.add_command(_command)


@main.command()
@click.option("--config", "file", type=FILE, required=True)
@log_level_option
def entry(file: Path, log_level: str) -> None:
    """Run an entry with settings from a file."""
    _run_daemon("gooseberrypost.entry.daemon", file, load_entry, log_level)


@main.command()
@click.option("--config", "file", type=FILE, required=True)
@log_level_option
def agent(file: Path, log_level: str) -> None:
    """Run an agent with settings from a file."""
    _run_daemon("gooseberrypost.agent.daemon", file, load_agent, log_level)


@main.command()
@click.option(
    "--config",
    "file",
    type=FILE,
    envvar=PATH_VARIABLE,
    required=True,
    help="Settings file written by the platform.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@log_level_option
def gateway(file: Path, check: bool, log_level: str) -> None:
    """Run a gateway for backend servers without agents."""
    loaded = read_file(file).and_then(
        lambda text: decode_settings(text, str(file))
    )
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    if check:
        click.echo(f"{file}: valid")
        return
    daemonlog.set_up(log_level, sys.stdout.fileno())
    run = import_module("gooseberrypost.platform.gateway").run
    try:
        asyncio.run(run(loaded.ok_value, file))
    except OSError as exc:
        fail(StartFailed(f"{file}: {exc}"))


def _run_daemon(
    module: str,
    file: Path,
    load: Callable[[str, str], Result[Any, SettingsInvalid]],
    log_level: str,
) -> None:
    loaded = read_file(file).and_then(lambda text: load(text, str(file)))
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    daemonlog.set_up(log_level)
    # Imported here, so that a daemon does not load the other daemon's modules.
    daemon = import_module(module)
    try:
        asyncio.run(daemon.run(loaded.ok_value))
    except OSError as exc:
        fail(StartFailed(f"{file}: {exc}"))
