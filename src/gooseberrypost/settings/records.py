"""Loads services, engines and accounts from JSON with comments.

The file has the objects ``services``, ``engines`` and ``accounts``, each with
records by name; ``null`` in place of a record removes it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from result import Result

from gooseberrypost.settings.document import child_path
from gooseberrypost.settings.loader import load_section
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.settings.rules import (
    AddressRule,
    ListRule,
    NumberRule,
    Rule,
    SectionRule,
    TextRule,
)
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRecord,
    Record,
    ServiceRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.settings.document import Document

HOUR_MS: Final = 3_600_000
DAY_MS: Final = 24 * HOUR_MS

_NAME: Final = re.compile(r"[^\x00-\x20/]{1,128}")


@dataclass(slots=True, frozen=True)
class RecordsRule(Rule):
    """Records of one kind by name, or ``null`` to remove one."""

    prefix: str
    record: SectionRule

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Check every name and record."""
        if not isinstance(value, dict):
            line = document.line_of(path)
            yield SettingsProblem(path, line, "is not an object", value)
            return
        for name, item in value.items():
            inner = child_path(path, name)
            if _NAME.fullmatch(name) is None:
                yield SettingsProblem(
                    inner,
                    document.line_of(inner),
                    f"{name!r} is not a name",
                    allowed="1 to 128 characters without spaces and '/'",
                )
            if isinstance(item, dict) and "name" in item:
                line = document.line_of(f"{inner}.name")
                yield SettingsProblem(
                    f"{inner}.name", line, "is given by the key"
                )
            if item is not None:
                yield from self.record.check(item, inner, document)

    def build(self, value: Any) -> dict[str, Record | None]:
        """Return the changes by key of the configuration."""
        return {
            f"{self.prefix}/{name}": None
            if item is None
            else self.record.build({**item, "name": name})
            for name, item in value.items()
        }


def _merged(**kinds: dict[str, Record | None]) -> dict[str, Record | None]:
    return {k: r for records in kinds.values() for k, r in records.items()}


def _count(noun: str) -> NumberRule:
    return NumberRule(0, 1_000_000, noun)


_RATE: Final = NumberRule(0, 1_000_000, "requests/s", fraction=True)

# The name is the key of the record; the rule for it serves ``build`` only.
_SERVICE: Final = SectionRule(
    ServiceRecord,
    {
        "name": TextRule(),
        "kind": TextRule(choices=("model", "plain")),
        "models": ListRule(TextRule()),
        "first_token_ms": NumberRule(1, HOUR_MS, "ms"),
        "token_gap_ms": NumberRule(1, HOUR_MS, "ms"),
        "answer_ms": NumberRule(1, DAY_MS, "ms"),
        "priority": NumberRule(0, 9),
        "waste_weight": NumberRule(0, 1, fraction=True),
        "max_wait_ms": NumberRule(0, DAY_MS, "ms"),
        "max_output_tokens": NumberRule(1, 1_000_000, "tokens"),
        "max_in_flight": _count("requests"),
        "requests_per_s": _RATE,
        "retry_share": NumberRule(0, 1, fraction=True),
        "non_idempotent": ListRule(TextRule(high=1_024)),
        "claims_outage_policy": TextRule(choices=("memory", "refuse")),
    },
)

_ENGINE: Final = SectionRule(
    EngineRecord,
    {
        "name": TextRule(),
        "service": TextRule(),
        "agent_address": AddressRule(),
        "zone": TextRule(),
        "role": TextRule(choices=("prefill", "decode", "plain")),
        "model": TextRule(low=0),
        "slots": NumberRule(1, 100_000, "slots"),
        "pieces": _count("memory pieces"),
        "prefill_tokens_per_s": NumberRule(
            1, 10**9, "tokens/s", fraction=True
        ),
        "link": TextRule(low=0),
        "link_kb_per_s": NumberRule(0, 10**9, "kB/s"),
    },
    frozenset({"service", "agent_address", "zone"}),
)

_ACCOUNT: Final = SectionRule(
    AccountRecord,
    {
        "name": TextRule(),
        "requests_per_s": _RATE,
        "burst": _count("requests"),
        "max_in_flight": _count("requests"),
        "share": NumberRule(0.001, 1_000, fraction=True),
    },
)

_RECORDS: Final = SectionRule(
    _merged,
    {
        "services": RecordsRule("service", _SERVICE),
        "engines": RecordsRule("engine", _ENGINE),
        "accounts": RecordsRule("account", _ACCOUNT),
    },
)


def load_records(
    text: str, file: str
) -> Result[dict[str, Record | None], SettingsInvalid]:
    """Parse and check a file; returns the changes by key."""
    return load_section(text, file, _RECORDS)
