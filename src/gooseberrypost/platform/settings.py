"""Decodes the settings file that the platform writes for each process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.address import MAX_PORT, parse_address
from gooseberrypost.settings.gateway import GatewaySettings
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.strictjson import parse_json

if TYPE_CHECKING:
    from collections.abc import Mapping

PATH_VARIABLE: Final = "GOOSEBERRYPOST_BOOT"
"""Environment variable with the path of the settings file."""
METRICS_PORT: Final = 9_464
"""Port of the metrics; must match ``deploy/system.toml``."""

ANSWER_BUFFER_SHARE: Final = 0.2
"""Share of a VM's memory for answers that are buffered."""
BYTES_PER_MB: Final = 1_000_000
BYTES_PER_S_PER_MBPS: Final = 125_000
DEFAULT_MEMORY_MB: Final = 128
"""Memory of a VM whose settings do not state it."""

_MISSING: Final = object()


class _Reader:
    """Reads fields by dotted path and collects the problems found."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self.problems: list[SettingsProblem] = []

    def value(self, path: str) -> Any:
        value: Any = self._document
        for name in path.split("."):
            value = (
                value.get(name, _MISSING)
                if isinstance(value, dict)
                else _MISSING
            )
        return value

    def text(self, path: str) -> str:
        value = self.value(path)
        if isinstance(value, str) and value:
            return value
        self._problem(path, value, "a non-empty string")
        return ""

    def address(self, path: str) -> str:
        value = self.value(path)
        if isinstance(value, str) and parse_address(value).is_ok():
            return value
        self._problem(path, value, "IP:PORT")
        return ""

    def ports(self, path: str) -> tuple[int, int]:
        value = self.value(path)
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(isinstance(port, int) for port in value)
            and 0 < value[0] <= value[1] <= MAX_PORT
        ):
            return value[0], value[1]
        self._problem(path, value, "the first and the last port")
        return 0, 0

    def number(self, path: str, default: float) -> float:
        value = self.value(path)
        if value is _MISSING:
            return default
        is_number = isinstance(value, int | float)
        if is_number and not isinstance(value, bool) and value >= 0:
            return value
        self._problem(path, value, "a number of 0 or more")
        return default

    def flag(self, path: str, default: bool) -> bool:
        value = self.value(path)
        if value is _MISSING:
            return default
        if isinstance(value, bool):
            return value
        self._problem(path, value, "true or false")
        return default

    def _problem(self, path: str, value: Any, allowed: str) -> None:
        message = "is missing" if value is _MISSING else f"is {value!r}"
        shown = None if value is _MISSING else value
        self.problems.append(
            SettingsProblem(path, 1, message, shown, allowed=allowed)
        )


def decode_settings(
    text: str, file: str
) -> Result[GatewaySettings, SettingsInvalid]:
    """Decode the settings; unknown fields are ignored.

    A newer platform may add fields.
    """
    try:
        document = parse_json(text)
    except ValueError as exc:
        problem = SettingsProblem("", 1, str(exc))
        return Err(SettingsInvalid(file, [problem]))
    if not isinstance(document, dict):
        problem = SettingsProblem("", 1, "is not an object")
        return Err(SettingsInvalid(file, [problem]))
    reader = _Reader(document)
    ports = reader.ports("internal_port_range")
    # The VM's own address; ``listen`` has an address for each interface.
    ip = reader.text("ip")
    settings = GatewaySettings(
        name=reader.text("node_name"),
        zone=reader.text("zone"),
        client_address=reader.address("listen.frontend"),
        readiness_address=reader.address("listen.readiness"),
        store_address=reader.address("platform.address"),
        metrics_address=f"{ip}:{METRICS_PORT}",
        internal_address=f"{ip}:{ports[0]}",
        # The file states seconds.
        grace_ms=round(1_000 * reader.number("bounds.grace_s", 8)),
        # The limits for a new configuration and for a draining server; one
        # watch delivers both, so the shorter limit applies.
        propagation_ms=round(
            min(
                reader.number("bounds.config_apply_ms", 2_000),
                reader.number("bounds.drain_ms", 2_000),
            )
        ),
        retry_budget_ratio=reader.number("bounds.retry_budget_ratio", 0.1),
        retry_budget_window_ms=round(
            1_000 * reader.number("bounds.budget_window_s", 10)
        ),
        # A number of retries per window, not a time.
        retry_budget_allowance=reader.number("bounds.budget_slack", 0),
        lease_ms=round(reader.number("bounds.lease_ms", 3_000)),
        heartbeat_ms=round(reader.number("heartbeat_ms", 1_200)),
        answer_buffer_bytes=round(
            ANSWER_BUFFER_SHARE
            * BYTES_PER_MB
            * reader.number("limits.memory_mb", DEFAULT_MEMORY_MB)
        ),
        queue_plain_requests=reader.flag("queue_plain_requests", False),
        routing_by_work=reader.flag("routing_by_work", False),
        memory_bytes=round(
            BYTES_PER_MB * reader.number("limits.memory_mb", DEFAULT_MEMORY_MB)
        ),
        memory_budget_bytes=round(
            reader.number("limits.memory_budget_bytes", 0)
        ),
        link_bytes_per_s=BYTES_PER_S_PER_MBPS
        * reader.number("limits.link_mbps", 0),
        file_descriptors=round(reader.number("limits.file_descriptors", 0)),
        connections_per_address=round(
            reader.number("limits.connections_per_address", 0)
        ),
    )
    if reader.problems:
        return Err(SettingsInvalid(file, reader.problems))
    return Ok(settings)
