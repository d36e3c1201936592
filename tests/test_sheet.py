"""Sheet parser, daylight saving time, schedule, validation and diff."""

from __future__ import annotations

from datetime import UTC, date, datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrypost.sheet.check import check_rows
from gooseberrypost.sheet.diff import diff_rows
from gooseberrypost.sheet.local_time import END, START, utc_timestamp_ms
from gooseberrypost.sheet.parser import COLUMNS, parse_sheet, row_from_record
from gooseberrypost.sheet.schedule import Assignment, Schedule
from gooseberrypost.state.records import EngineRecord, ServiceRecord

HEADER = "day;service;engine;role;model;from;to;time zone\n"
ZONE = "Europe/Bratislava"
RECORDS = {
    "service/s": ServiceRecord("s", models=["m", "n"]),
    "service/p": ServiceRecord("p", kind="plain"),
    "engine/e1": EngineRecord("e1", "s", "127.0.0.1:1", "z", "prefill", "m"),
    "engine/e2": EngineRecord("e2", "s", "127.0.0.1:2", "z", "decode", "m"),
    "engine/e3": EngineRecord("e3", "s", "127.0.0.1:3", "z", "decode", "m"),
}


def to_ms(text):
    utc_time = datetime.fromisoformat(text)
    return round(utc_time.replace(tzinfo=UTC).timestamp() * 1_000)


NOW_MS = to_ms("2026-10-20T12:00")


def parse(*lines):
    return parse_sheet((HEADER + "\n".join(lines)).encode(), "f").unwrap()


def row(day="Monday", engine="e3", role="prefill", hours="08:00;10:00"):
    return f"{day};s;{engine};{role};m;{hours};{ZONE}"


def schedule_from(*lines):
    engines = [r for r in RECORDS.values() if isinstance(r, EngineRecord)]
    return Schedule(parse(*lines), engines)


@given(st.binary(max_size=80), st.booleans())
def test_any_bytes_give_rows_or_typed_problems(data, header):
    """Guards against an exception of the parser on malformed input."""
    content = HEADER.encode() + data if header else data
    assert isinstance(parse_sheet(content, "f"), Ok | Err)


CELL = st.text(alphabet='08:29;,"\n\tMonday/é\0', max_size=8)


@given(st.lists(st.lists(CELL, max_size=9).map(";".join), max_size=4))
def test_malformed_cells_name_row_and_column(lines):
    """Guards against a problem with a row or column that does not exist."""
    text = HEADER + "\n".join(lines)
    match parse_sheet(text.encode(), "f"):
        case Err(invalid):
            assert invalid.problems
            for problem in invalid.problems:
                assert 1 <= problem.row <= text.count("\n") + 1
                assert problem.column in ("", *COLUMNS)


def test_a_spreadsheet_export_is_accepted():
    """Guards against rejecting what spreadsheets write.

    They add byte-order marks, quotes and empty rows, and order columns freely.
    """
    text = (
        "\ufeffTime Zone,To,From,Model,Role,Engine,Service,Weekday\r\n"
        ",,,,,,,\r\n\r\n"
        f'"{ZONE}",10:00,8:00,"m",Prefill,e3,s,mon\r\n'
    )
    rows = parse_sheet(text.encode(), "f").unwrap()
    assert rows[0].to_record() == parse(row())[0].to_record()
    assert rows[0].row == 4


def test_all_problems_are_reported_by_row_and_column():
    """Guards against a parser that stops at the first problem."""
    lines = (
        "someday;s;e1;decode;m;08:00;10:00;Europe/Bratislava",
        "2026-02-30;s;;cook;m;24:00;8:61;Europe/Nowhere",
        row(hours="08:00;08:00"),
    )
    data = (HEADER + "\n".join(lines)).encode()
    problems = parse_sheet(data, "f").unwrap_err().problems
    assert sorted((p.row, p.column) for p in problems) == [
        (2, "day"),
        (3, "day"),
        (3, "engine"),
        (3, "from"),
        (3, "role"),
        (3, "time zone"),
        (3, "to"),
        (4, "to"),
    ]


@pytest.mark.parametrize(
    ("zone", "day", "minutes", "boundary", "utc_time"),
    [
        (ZONE, date(2026, 10, 25), 150, START, "2026-10-25T00:30"),
        (ZONE, date(2026, 10, 25), 150, END, "2026-10-25T01:30"),
        (ZONE, date(2026, 10, 24), 1440 + 150, END, "2026-10-25T01:30"),
        (ZONE, date(2026, 10, 25), 180, START, "2026-10-25T02:00"),
        (ZONE, date(2027, 3, 28), 120, START, "2027-03-28T01:00"),
        (ZONE, date(2027, 3, 28), 150, START, "2027-03-28T01:00"),
        (ZONE, date(2027, 3, 28), 150, END, "2027-03-28T01:00"),
        (ZONE, date(2027, 3, 28), 180, END, "2027-03-28T01:00"),
        ("Indian/Mauritius", date(2026, 10, 25), 150, END, "2026-10-24T22:30"),
        ("Indian/Mauritius", date(2027, 3, 28), 0, START, "2027-03-27T20:00"),
    ],
)
def test_local_times_at_clock_changes(zone, day, minutes, boundary, utc_time):
    """Guards against rows that start or end an hour off at a transition."""
    assert utc_timestamp_ms(zone, day, minutes, boundary) == to_ms(utc_time)


def test_a_row_across_midnight_belongs_to_the_day_it_starts_on():
    """Guards against dropping 23:00 to 01:00 or moving it to another day."""
    schedule = schedule_from(row(hours="23:00;01:00"))
    prefill, decode = Assignment("prefill", "m"), Assignment("decode", "m")
    # Monday 2026-10-19; local time is two hours ahead of UTC.
    assert schedule.assignment_at("e3", to_ms("2026-10-19T20:59")) == decode
    assert schedule.assignment_at("e3", to_ms("2026-10-19T21:00")) == prefill
    assert schedule.assignment_at("e3", to_ms("2026-10-19T22:59")) == prefill
    assert schedule.assignment_at("e3", to_ms("2026-10-19T23:00")) == decode
    assert schedule.assignment_at("e3", to_ms("2026-10-18T22:30")) == decode
    assert schedule.next_change("e3", to_ms("2026-10-19T22:00")) == to_ms(
        "2026-10-19T23:00"
    )
    # Daylight saving time ends before the next Monday.
    assert schedule.next_change("e3", to_ms("2026-10-20T00:00")) == to_ms(
        "2026-10-26T22:00"
    )
    assert schedule.next_change("e1", NOW_MS) is None
    assert schedule.assignment_at("unknown", NOW_MS) is None


def test_adjoining_rows_meet_once_in_the_repeated_hour():
    """Guards against the wrong role while two adjoining rows overlap.

    If the time at which they adjoin occurs twice, the first row ends at its
    second occurrence, but the second row starts at its first.
    """
    schedule = schedule_from(
        row("2026-10-25", role="prefill", hours="00:00;02:30"),
        row("2026-10-25", role="decode", hours="02:30;05:00"),
    )
    assert (
        schedule.assignment_at("e3", to_ms("2026-10-25T00:29")).role
        == "prefill"
    )
    assert (
        schedule.assignment_at("e3", to_ms("2026-10-25T00:30")).role
        == "decode"
    )
    assert (
        schedule.assignment_at("e3", to_ms("2026-10-25T01:15")).role
        == "decode"
    )


def test_a_dated_row_overrides_its_weekday():
    """Guards against rows for weekdays that override a row for a date."""
    schedule = schedule_from(
        row(hours="00:00;24:00"), row("2026-10-19", "e3", "decode")
    )
    assert (
        schedule.assignment_at("e3", to_ms("2026-10-19T07:00")).role
        == "decode"
    )
    assert (
        schedule.assignment_at("e3", to_ms("2026-10-19T09:00")).role
        == "prefill"
    )


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([row(), row(hours="10:00;12:00")], []),
        ([row(), row("2026-10-19")], []),
        ([row(), row(hours="09:59;12:00")], [(3, "from")]),
        (
            [row("Sunday", hours="23:00;01:00"), row(hours="00:00;02:00")],
            [(3, "from")],
        ),
        (
            [
                row("2026-10-19", hours="23:00;01:00"),
                row("2026-10-20", hours="00:30;02:00"),
            ],
            [(3, "from")],
        ),
        ([row(engine="e9")], [(2, "engine")]),
        ([row().replace(";m;", ";x;")], [(2, "model")]),
        (
            [row().replace(";s;", ";p;")],
            [(2, "service"), (2, "engine")],
        ),
        ([row(), row("Friday").replace(ZONE, "UTC")], [(3, "time zone")]),
        # The checked window ends between the last two rows.
        (
            [
                row("Wednesday", "e1", "decode", "22:00;02:00"),
                row("Wednesday", "e3", "prefill", "22:00;24:00"),
                row("Thursday", "e2", "prefill", "00:00;02:00"),
            ],
            [],
        ),
        # The only prefill engine becomes a decode engine.
        ([row(engine="e1", role="decode")], [(2, "role")]),
        ([row("2027-06-01", "e1", "decode")], [(2, "role")]),
    ],
)
def test_overlaps_gaps_and_unknown_names_are_refused(lines, expected):
    """Guards against a schedule that leaves a service without a pool."""
    problems = check_rows(parse(*lines), RECORDS, NOW_MS)
    assert [(p.row, p.column) for p in problems] == expected


def test_the_diff_makes_the_schedule_equal_to_the_sheet():
    """Guards against rows that remain after their removal from the sheet."""
    old, new = parse(row(), row("Friday")), parse(row(hours="08:00;11:00"))
    records = dict(RECORDS)
    records.update({k: r for k, r in diff_rows(old, records).items()})
    changes = diff_rows(new, records)
    assert changes["schedule/friday/e3/08:00"] is None
    assert changes["schedule/monday/e3/08:00"].ends == "11:00"
    records.update(changes)
    assert diff_rows(new, {k: r for k, r in records.items() if r}) == {}
    night = parse(row(hours="23:00;01:00"))[0]
    assert row_from_record(night.to_record(), night.row) == night
