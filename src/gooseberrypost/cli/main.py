"""Root command, and the commands that run the daemons."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
from result import Err, Result

from gooseberrypost import daemonlog
from gooseberrypost.cli.lazy import LazyGroup
from gooseberrypost.errors import Failure
from gooseberrypost.platform.settings import PATH_VARIABLE, decode_settings
from gooseberrypost.settings.files import read_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NoReturn

    from gooseberrypost.settings.problems import SettingsInvalid

FILE: Final = click.Path(path_type=Path)
OPERATOR_COMMANDS: Final = {
    "config": "gooseberrypost.cli.config",
    "sheet": "gooseberrypost.cli.sheet",
    "status": "gooseberrypost.cli.remote",
    "drain": "gooseberrypost.cli.remote",
    "request": "gooseberrypost.cli.remote",
}
"""Modules of the commands that are imported only when they are used."""

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


@click.group(cls=LazyGroup, modules=OPERATOR_COMMANDS)
@click.version_option(package_name="gooseberrypost")
def main() -> None:
    """Route language-model requests over prefill and decode pools."""


@main.command()
@click.option("--config", "file", type=FILE, required=True)
@log_level_option
def entry(file: Path, log_level: str) -> None:
    """Run an entry with settings from a file."""
    _run_daemon("gooseberrypost.entry.daemon", file, "load_entry", log_level)


@main.command()
@click.option("--config", "file", type=FILE, required=True)
@log_level_option
def agent(file: Path, log_level: str) -> None:
    """Run an agent with settings from a file."""
    _run_daemon("gooseberrypost.agent.daemon", file, "load_agent", log_level)


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
        _fail(loaded.err_value)
    if check:
        click.echo(f"{file}: valid")
        return
    daemonlog.set_up(log_level, sys.stdout.fileno())
    # A gateway opens no TLS connections. The HTTP library loads the system's
    # certificates when it is imported, which takes a tenth of a second of
    # processor time.
    os.environ["SSL_CERT_FILE"] = os.devnull
    run = import_module("gooseberrypost.platform.gateway").run
    _end_start()
    try:
        asyncio.run(run(loaded.ok_value, file))
    except OSError as exc:
        _fail(StartFailed(f"{file}: {exc}"))


def _run_daemon(
    module: str,
    file: Path,
    loader: str,
    log_level: str,
) -> None:
    load: Callable[[str, str], Result[Any, SettingsInvalid]] = getattr(
        import_module("gooseberrypost.settings.loader"), loader
    )
    loaded = read_file(file).and_then(lambda text: load(text, str(file)))
    if isinstance(loaded, Err):
        _fail(loaded.err_value)
    daemonlog.set_up(log_level)
    # Imported here, so that a daemon does not load the other daemon's modules.
    daemon = import_module(module)
    _end_start()
    try:
        asyncio.run(daemon.run(loaded.ok_value))
    except OSError as exc:
        _fail(StartFailed(f"{file}: {exc}"))


def _end_start() -> None:
    """Collect garbage from now on, except in what was imported."""
    gc.freeze()
    gc.enable()


def _fail(failure: Failure) -> NoReturn:
    """Print a failure and exit with its exit code."""
    exit_codes = import_module("gooseberrypost.cli.exit_codes")
    exit_codes.fail(failure)
    raise failure
