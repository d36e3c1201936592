"""Loads the settings of entries and agents.

A failure lists all problems of the file, not only the first.

>>> load_agent('{"name": 1}', "agent.json").unwrap_err().code
'settings_invalid'
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.settings.agent import AgentSettings, BackendSettings
from gooseberrypost.settings.document import Document, parse_document
from gooseberrypost.settings.entry import ClaimSettings, EntrySettings
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.settings.rules import (
    AddressRule,
    BooleanRule,
    ListRule,
    NumberRule,
    SectionRule,
    StringRule,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

HOUR_MS: Final = 3_600_000
KIB: Final = 1024
MIB: Final = 1024 * 1024


def _ms(minimum: int, maximum: int) -> NumberRule:
    return NumberRule(minimum, maximum, "ms")


def _bytes(minimum: int, maximum: int) -> NumberRule:
    return NumberRule(minimum, maximum, "bytes")


_ADDRESSES: Final = ListRule(AddressRule())
_SEED: Final = NumberRule(0, 2**63 - 1)

_CLAIMS: Final = SectionRule(
    ClaimSettings,
    {
        "shards": NumberRule(1, 1024, "shards"),
        "own": BooleanRule(),
        "lease_ms": _ms(1_000, HOUR_MS),
        "linger_ms": _ms(0, 1_000),
        # A value in the key-value service is limited to 1 MB.
        "segment_bytes": _bytes(KIB, 1_000_000),
        "answers_bytes": _bytes(0, 1024 * MIB),
        "retention_ms": _ms(1_000, 24 * HOUR_MS),
    },
)

_ENTRY: Final = SectionRule(
    EntrySettings,
    {
        "name": StringRule(),
        "zone": StringRule(),
        "http_address": AddressRule(allow_port_zero=True),
        "internal_address": AddressRule(allow_port_zero=True),
        "peers": _ADDRESSES,
        "key_value_addresses": _ADDRESSES,
        "claims": _CLAIMS,
        # A body is sent in one frame, which is limited to 4 MiB.
        "max_body_bytes": _bytes(1, 3 * MIB),
        "max_header_bytes": _bytes(256, MIB),
        "read_timeout_ms": _ms(100, HOUR_MS),
        "write_timeout_ms": _ms(100, HOUR_MS),
        "drain_timeout_ms": _ms(0, HOUR_MS),
        "memory_mb": NumberRule(0, 10_000_000, "MB"),
        "memory_budget_bytes": _bytes(0, 1024 * MIB),
        "file_descriptors": NumberRule(0, 10_000_000, "descriptors"),
        "explanations": NumberRule(0, 1_000_000, "requests"),
        "allow_unknown_accounts": BooleanRule(),
        "seed": _SEED,
    },
    frozenset({"name", "zone", "http_address", "internal_address"}),
)

_BACKEND: Final = SectionRule(
    BackendSettings,
    {
        "kind": StringRule(choices=("model", "plain")),
        "address": AddressRule(),
        "checks_fencing": BooleanRule(),
        "slots": NumberRule(1, 100_000, "slots"),
        "pieces": NumberRule(0, 10_000_000, "memory pieces"),
        "piece_tokens": NumberRule(1, 1_000_000, "tokens"),
        "link_kb_per_s": NumberRule(0, 10**9, "kB/s"),
    },
    frozenset({"kind", "address"}),
)

_AGENT: Final = SectionRule(
    AgentSettings,
    {
        "name": StringRule(),
        "vm": StringRule(),
        "zone": StringRule(),
        "service": StringRule(),
        "internal_address": AddressRule(allow_port_zero=True),
        "backend": _BACKEND,
        "peers": _ADDRESSES,
        "key_value_addresses": _ADDRESSES,
        "vm_list_address": AddressRule(optional=True),
        "lease_ms": _ms(1_000, HOUR_MS),
        "lease_renewal_ms": _ms(100, HOUR_MS),
        "load_poll_ms": _ms(10, 60_000),
        "vm_poll_ms": _ms(10, 60_000),
        "entry_silence_ms": _ms(100, 60_000),
        "reattach_ms": _ms(0, 60_000),
        "drain_timeout_ms": _ms(0, HOUR_MS),
        "seed": _SEED,
    },
    frozenset(
        {"name", "vm", "zone", "service", "internal_address", "backend"}
    ),
)


def load_entry(text: str, file: str) -> Result[EntrySettings, SettingsInvalid]:
    """Parse and validate the settings of an entry."""
    return load_section(text, file, _ENTRY, _check_entry)


def load_agent(text: str, file: str) -> Result[AgentSettings, SettingsInvalid]:
    """Parse and validate the settings of an agent."""
    return load_section(text, file, _AGENT, _check_agent)


def load_section(
    text: str, file: str, rule: SectionRule, cross_check: Any = None
) -> Result[Any, SettingsInvalid]:
    """Parse a file, validate it by ``rule`` and return what the rule builds.

    ``cross_check`` is called with the result and the document if every value
    is valid by itself. It yields the problems of values that contradict each
    other.
    """
    parsed = parse_document(text, file)
    if isinstance(parsed, Err):
        return parsed
    document = parsed.ok_value
    problems = list(document.problems)
    problems += rule.check(document.value, "", document)
    if problems:
        problems.sort(key=lambda problem: problem.line)
        return Err(SettingsInvalid(file, problems))
    settings = rule.build(document.value)
    if cross_check is not None:
        problems += cross_check(settings, document)
    if problems:
        return Err(SettingsInvalid(file, problems))
    return Ok(settings)


def _check_entry(
    settings: EntrySettings, document: Document
) -> Iterator[SettingsProblem]:
    same_address = settings.http_address == settings.internal_address
    if same_address and not settings.http_address.endswith(":0"):
        yield SettingsProblem(
            "internal_address",
            document.line_of("internal_address"),
            "must differ from http_address",
            settings.internal_address,
        )


def _check_agent(
    settings: AgentSettings, document: Document
) -> Iterator[SettingsProblem]:
    # A lease must outlast one failed renewal.
    if 2 * settings.lease_renewal_ms > settings.lease_ms:
        yield SettingsProblem(
            "lease_renewal_ms",
            document.line_of("lease_renewal_ms"),
            f"{settings.lease_renewal_ms} is more than half of lease_ms",
            settings.lease_renewal_ms,
            "ms",
            f"at most {settings.lease_ms // 2}",
        )
