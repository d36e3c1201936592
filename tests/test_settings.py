"""Settings loader: validation errors with paths and line numbers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrypost.settings.loader import load_agent, load_entry

VALID = """\
{
  // callers
  "name": "e1", "zone": "z1",
  "http_address": "[::1]:8080", /* two
  lines */
  "internal_address": "127.0.0.1:0",
  "peers": ["10.0.0.2:7000", "[fd00::1]:7000",],
  "claims": {"shards": 4},
}
"""


def test_comments_ipv6_and_defaults_load():
    """Guards against rejecting a valid file or omitting a default."""
    settings = load_entry(VALID, "e.json").unwrap()
    assert settings.claims.shards == 4
    assert settings.claims.linger_ms == 20
    assert settings.peers == ["10.0.0.2:7000", "[fd00::1]:7000"]


def test_every_problem_is_reported_with_its_location():
    """Guards against a loader that stops at the first problem."""
    text = VALID.replace('"shards": 4', '"shards": 0, "linger": 3').replace(
        "10.0.0.2:7000", "db.local:7000"
    )
    text = text.replace('"name": "e1", ', "")
    invalid = load_entry(text, "e.json").unwrap_err()
    by_path = {p.path: p for p in invalid.problems}
    assert set(by_path) == {
        "claims.shards",
        "claims.linger",
        "peers[0]",
        "name",
    }
    assert by_path["claims.shards"].line == 8
    assert by_path["claims.shards"].allowed == "1 to 1024"
    assert by_path["claims.shards"].unit == "shards"
    assert "'linger_ms'" in by_path["claims.linger"].message
    assert by_path["peers[0]"].line == 7
    assert "e.json: line 8: claims.shards" in str(invalid)


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ('"shards": 4', '"shards": ', 8),
        ('"shards": 4', '"shards": 4, "shards": 5', 8),
        ('"shards": 4', '"shards": NaN', 1),
        ('"shards": 4', '"shards": true', 8),
        ("127.0.0.1:0", "127.0.0.1", 6),
        ("127.0.0.1:0", "127.0.0.1:65536", 6),
        ("127.0.0.1:0", "::1:80", 6),
        ("127.0.0.1:0", "[::1]:8080", 6),
        ("10.0.0.2:7000", "10.0.0.2:0", 7),
    ],
)
def test_each_error_names_its_line(old, new, line):
    """Guards against accepting an error or reporting a wrong line."""
    invalid = load_entry(VALID.replace(old, new), "e.json").unwrap_err()
    assert [p.line for p in invalid.problems] == [line]


def test_a_renewal_over_half_of_the_lease_is_refused():
    """Guards against a lease that expires after one failed renewal."""
    text = """{"name": "a", "vm": "v", "zone": "z", "service": "s",
    "internal_address": "127.0.0.1:1", "lease_ms": 30000,
    "backend": {"kind": "model", "address": "127.0.0.1:2"}%s}"""
    assert "lease_renewal_ms" in str(load_agent(text % "", "a").unwrap_err())
    assert load_agent(text % ', "lease_renewal_ms": 15000', "a").is_ok()


@given(st.text(alphabet='{}[]",:/*\n1ae\\ ', max_size=60))
def test_any_text_gives_settings_or_typed_problems(text):
    """Guards against an exception of the parser on malformed input."""
    assert isinstance(load_entry(text, "f"), Ok | Err)


def test_deep_nesting_is_a_problem():
    """Guards against an unhandled stack overflow."""
    for depth in (100, 100_000):
        text = "[" * depth + "]" * depth
        assert "nested" in str(load_entry(text, "f").unwrap_err())
