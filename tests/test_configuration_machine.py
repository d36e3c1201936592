"""Configuration under concurrent operators, lost answers and outages.

Operators perform one call to the key-value service at a time, so that any
interleaving, pause and loss can be generated. Each process is a configuration
section. Sections exchange deltas, which may arrive late, twice or out of
order.
"""

from __future__ import annotations

import random
import types

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok

from gooseberrypost.configsync.apply import Applier, ApplyUnknown
from gooseberrypost.state.configuration import HEAD_KEY, Configuration
from gooseberrypost.state.document import parse_head
from gooseberrypost.state.records import AccountRecord
from gooseberrypost.stores.keyvalue import (
    KeyValueUnavailable,
    KeyValueUnknown,
)
from gooseberrypost.stores.memory import InMemoryKeyValueStore

KEYS = ["account/a", "account/b"]
PROCESSES = 3
CHANGES = st.dictionaries(
    st.sampled_from(KEYS), st.none() | st.integers(1, 9), min_size=1
)
WRITE_OUTCOMES = st.sampled_from(
    ["answered", "answer lost", "lost", "delayed"]
)


@types.coroutine
def step():
    yield


class SteppedStore:
    """Key-value service as one operator sees it; suspends around calls."""

    def __init__(self, machine):
        self.machine = machine
        self.write_outcome = "answered"

    async def get(self, key):
        await step()
        found = await self.machine.memory.get(key)
        await step()
        return found

    async def put(self, key, value, expect_version, lease=0):
        await step()
        write_outcome, self.write_outcome = self.write_outcome, "answered"
        if write_outcome == "delayed":
            self.machine.delayed.append((key, value, expect_version))
            return Err(KeyValueUnknown("delayed"))
        if write_outcome == "lost":
            return Err(KeyValueUnknown("the request was lost"))
        done = await self.machine.write(key, value, expect_version)
        await step()
        if write_outcome == "answer lost" and done.is_ok():
            return Err(KeyValueUnknown("the answer was lost"))
        return done


class Operator:
    """Operator that applies one change, and the result it received."""

    def __init__(self, machine, number, base, change):
        self.apply_id = f"apply-{number}"
        self.base = base
        self.change = change
        self.result = None
        self.store = SteppedStore(machine)

        async def sleep(seconds):
            machine.now_ms += round(seconds * 1_000)
            await step()

        applier = Applier(
            self.store,
            timeout_ms=5_000,
            rng=random.Random(number),
            clock=lambda: machine.now_ms,
            sleep=sleep,
        )
        changes = {
            k: None if v is None else AccountRecord(k[8:], burst=v)
            for k, v in change.items()
        }
        self.coroutine = applier.apply(changes, self.apply_id, base)

    def advance(self):
        try:
            self.coroutine.send(None)
        except StopIteration as stop:
            self.result = stop.value


def texts(document):
    return {k: e.text for k, e in document.entries.items()}


def run(coroutine):
    """Return the result of a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.memory = InMemoryKeyValueStore(lambda: self.now_ms)
        self.history = {0: {}}
        self.written = {}
        self.delayed = []
        self.deltas = []
        self.heads = []
        self.operators = []
        self.sections = [Configuration() for _ in range(PROCESSES)]
        self.highest = [0] * PROCESSES

    @initialize(value=st.integers(1, 9))
    def first_version(self, value):
        self.start_operator({KEYS[0]: value}, fresh=True)
        while self.operators[0].result is None:
            self.operators[0].advance()
        assert self.operators[0].result.is_ok()

    def teardown(self):
        for operator in self.operators:
            operator.coroutine.close()

    async def write(self, key, value, expect_version):
        done = await self.memory.put(key, value, expect_version)
        if isinstance(done, Ok):
            document = parse_head(value).unwrap()
            assert document.version == max(self.history) + 1
            self.history[document.version] = texts(document)
            self.written[document.applied_changes[-1].apply_id] = (
                document.version
            )
        return done

    def head(self):
        down, self.memory.down = self.memory.down, False
        value = run(self.memory.get(HEAD_KEY)).unwrap().value
        self.memory.down = down
        return parse_head(value).unwrap()

    def start_operator(self, change, fresh):
        base = None if fresh else self.head()
        number = len(self.operators)
        self.operators.append(Operator(self, number, base, change))

    def running(self):
        return [
            operator for operator in self.operators if operator.result is None
        ]

    @rule(
        changes=st.lists(CHANGES, min_size=1, max_size=2),
        fresh=st.booleans(),
        write_outcome=WRITE_OUTCOMES,
    )
    def begin(self, changes, fresh, write_outcome):
        for change in changes:
            self.start_operator(change, fresh)
            self.operators[-1].store.write_outcome = write_outcome

    @rule(change=CHANGES, write_outcome=WRITE_OUTCOMES)
    def apply_at_once(self, change, write_outcome):
        self.start_operator(change, True)
        self.operators[-1].store.write_outcome = write_outcome
        self.finish(self.operators[-1])

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def finish_one(self, data):
        self.finish(data.draw(st.sampled_from(self.running())))

    def finish(self, operator):
        while operator.result is None:
            operator.advance()
        self.check_result(operator)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), steps=st.integers(1, 6))
    def advance(self, data, steps):
        operator = data.draw(st.sampled_from(self.running()))
        for _ in range(steps):
            if operator.result is None:
                operator.advance()
        self.check_result(operator)

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def deliver_late_write(self, data):
        index = data.draw(st.integers(0, len(self.delayed) - 1))
        run(self.write(*self.delayed.pop(index)))

    @rule(down=st.sampled_from([False, False, True]))
    def outage(self, down):
        self.memory.down = down

    @rule(one=st.integers(0, PROCESSES - 1), paused=st.booleans())
    def watch(self, one, paused):
        if self.memory.down:
            return
        if paused:
            self.heads.append((one, self.head()))
        else:
            self.sections[one].apply_document(self.head())

    @precondition(lambda self: self.heads)
    @rule()
    def resume_watch(self):
        one, document = self.heads.pop(0)
        self.sections[one].apply_document(document)

    @rule(
        one=st.integers(0, PROCESSES - 1),
        other=st.integers(0, PROCESSES - 1),
        paused=st.booleans(),
    )
    def pull(self, one, other, paused):
        since = self.sections[one].version
        delta = self.sections[other].delta_since(since)
        if paused:
            self.deltas.append((one, delta))
        else:
            self.sections[one].apply_delta(delta)

    @precondition(lambda self: self.deltas)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        index = data.draw(st.integers(0, len(self.deltas) - 1))
        one, delta = self.deltas[index]
        if not keep:
            self.deltas.pop(index)
        self.sections[one].apply_delta(delta)

    @rule(one=st.integers(0, PROCESSES - 1))
    def restart(self, one):
        self.sections[one] = Configuration()
        self.highest[one] = 0
        self.watch(one, paused=False)
        for other in self.sections:
            delta = other.delta_since(self.sections[one].version)
            self.sections[one].apply_delta(delta)
        newest = max(section.version for section in self.sections)
        assert self.sections[one].version == newest

    def check_result(self, operator):
        if operator.result is None:
            return
        written_version = self.written.get(operator.apply_id)
        match operator.result:
            case Ok(accepted):
                # A change that was already in force creates no version.
                state = self.history[written_version or accepted.version]
                for key, value in operator.change.items():
                    text = state.get(key)
                    assert (text is None) == (value is None)
                    assert value is None or f'"burst": {value},' in text
            case Err(ApplyUnknown()):
                return
            case Err(failure):
                assert written_version is None, failure
                unsent = isinstance(failure, KeyValueUnavailable)
                assert unsent or failure.code in ("collision", "conflict")

    @invariant()
    def no_failed_change_takes_effect_later(self):
        for operator in self.operators:
            self.check_result(operator)

    @invariant()
    def no_edit_reverts_a_record_that_changed_after_its_base(self):
        for operator in self.operators:
            written_version = self.written.get(operator.apply_id)
            if written_version is None or operator.base is None:
                continue
            since = range(operator.base.version, written_version)
            for key in operator.change:
                if self.changed(operator, key):
                    seen = {self.history[v].get(key) for v in since}
                    assert len(seen) == 1

    @invariant()
    def versions_only_rise(self):
        for index, section in enumerate(self.sections):
            assert section.version >= self.highest[index]
            self.highest[index] = section.version

    @invariant()
    def a_process_has_exactly_what_its_version_says(self):
        for section in self.sections:
            assert texts(section.document) == self.history[section.version]
            assert set(section.records) == set(section.document.entries)

    @invariant()
    def accepted_edits_from_one_base_do_not_collide(self):
        accepted = [
            one
            for one in self.operators
            if one.base is not None and isinstance(one.result, Ok)
        ]
        for index, one in enumerate(accepted):
            for other in accepted[:index]:
                if one.base.version != other.base.version:
                    continue
                for key in one.change.keys() & other.change.keys():
                    changed = self.changed(one, key)
                    assert not (changed and self.changed(other, key))

    def changed(self, operator, key):
        """Whether the version that the operator created changed the key."""
        version = self.written.get(operator.apply_id)
        if version is None:
            return False
        before = self.history[version - 1].get(key)
        return self.history[version].get(key) != before


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
