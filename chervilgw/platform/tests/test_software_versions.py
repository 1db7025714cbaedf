"""Record of the software versions that lately served."""

import json
import time

import pytest
from circuits import Component

from chervilgw.forward import events
from chervilgw.platform.boot import decode_settings
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.log_format import VERSIONS_KEY, encode_keyed
from chervilgw.platform.records import MAX_ITEMS, MAX_NAME_LENGTH
from chervilgw.platform.software_versions import (
    decode_versions,
    encode_versions,
    make_version_record,
)
from chervilgw.platform.store import make_store_task
from chervilgw.routing.stream_origins import RETENTION_S
from chervilgw.routing.version_history import MAX_VERSIONS
from chervilgw.runtime.events import (
    CallDone,
    CallFailed,
    call_done,
    call_failed,
    clock_tick,
)

from .store_recorder import Recorder
from .test_boot import ENTRY_SETTINGS
from .test_operator_records import page

OLD, NEW, BOTH = {"llm": ("1",)}, {"llm": ("2",)}, {"llm": ("1", "2")}
ADDRESS = "10.0.0.1:7600"
READ = ("software_versions_recorded", "entry_list_read")


class Store:
    """A store task whose calls the test answers."""

    def __init__(self):
        self.root, self.recorder = Component(), Recorder(READ)
        settings = decode_settings(ENTRY_SETTINGS)
        make_store_task(settings, follow_servers=False).register(self.root)
        self.recorder.register(self.root)
        self.now_s, self.era = 0.0, 1
        self.fire(events.announce_entry("n1", ADDRESS))

    def fire(self, event):
        self.root.fire(event, "store")
        while len(self.root):
            self.root.flush()

    def tick(self):
        """Let the delay of a repeated call pass."""
        self.now_s += 10.0
        self.fire(clock_tick(time.monotonic() + self.now_s, False))

    def take(self, method, topic):
        """Return the oldest call of a kind that has no answer yet."""
        for spec in self.recorder.calls:
            if spec.method == method and f"topic={topic}&" in spec.path:
                self.recorder.calls.remove(spec)
                return spec
        return None

    def answer(self, spec, body=b'{"offset": 3}', status=200):
        headers = (("Store-Era", str(self.era)),)
        self.fire(call_done(CallDone(spec.call, status, headers, body)))

    def list_entries(self, *items):
        """Acknowledge the announcement, and answer the listing that follows."""
        self.answer(self.take("POST", "keyed.entries"))
        self.tick()
        self.answer(self.take("GET", "keyed.entries"), page(items, 9))

    def written(self):
        """Return the body of the append in flight and its call, or None."""
        return self.take("POST", "keyed.entries")


def body_of(versions):
    return encode_keyed(VERSIONS_KEY, encode_versions(versions))


def test_record_is_read_before_the_list_of_entries_and_is_no_address():
    """Guards against a start that believes in one version as it has read no record."""
    store = Store()
    record = (VERSIONS_KEY, encode_versions(BOTH), 5)
    store.list_entries((ADDRESS, b"n1", 4), record)
    assert store.recorder.seen == [
        ("software_versions_recorded", BOTH),
        ("entry_list_read", (ADDRESS,)),
    ]


def test_malformed_record_of_another_writer_ends_no_start():
    store = Store()
    store.list_entries((VERSIONS_KEY, b'{"versions": {"llm": 3}}', 5))
    assert store.recorder.seen == [("entry_list_read", ())]


def test_start_keeps_the_versions_that_former_processes_recorded():
    """Guards against a started entry that erases the version of servers that left.

    The entry that starts next would then let a stream go on at another version.
    """
    store = Store()
    store.fire(events.software_versions_due(NEW))
    assert store.take("POST", "keyed.entries").body == encode_keyed(ADDRESS, b"n1")
    assert store.written() is None
    store = Store()
    store.fire(events.software_versions_due(NEW))
    store.list_entries((VERSIONS_KEY, encode_versions(OLD), 5))
    assert store.written().body == body_of(BOTH)


def test_newest_versions_are_written_until_they_are_acknowledged():
    """Guards against a lost append, and against an older one that replaces it."""
    store = Store()
    store.list_entries()
    store.fire(events.software_versions_due(OLD))
    first = store.written()
    store.fire(events.software_versions_due(BOTH))
    store.fire(events.software_versions_due(NEW))
    assert (first.body, store.written()) == (body_of(OLD), None)
    store.fire(call_failed(CallFailed(first.call, True, "timeout")))
    store.fire(events.software_versions_due(NEW))
    for status in (503, 200):
        store.tick()
        append = store.written()
        assert append.body == body_of(NEW)
        store.answer(append, status=status)
    store.tick()
    assert store.written() is None


def test_versions_are_written_again_after_the_store_was_restored():
    """Guards against a record that the copy of the store lacks."""
    store = Store()
    store.list_entries()
    store.fire(events.software_versions_due(NEW))
    store.answer(store.written())
    store.era = 2
    # A second answer confirms the era.
    for _ in range(2):
        store.answer(store.take("GET", "keyed.op"), page([], 0))
    store.list_entries((VERSIONS_KEY, encode_versions(OLD), 2))
    assert store.written().body == body_of(BOTH)


def test_record_that_nobody_needs_any_more_is_not_written_after_a_restore():
    """Guards against a former writer that erases the record of the present one."""
    record = make_version_record()
    record.on_listed(0.0)
    record.on_due(OLD)
    assert record.take_due(1.0) == OLD
    record.on_restored(RETENTION_S + 2.0)
    record.on_listed(RETENTION_S + 2.0)
    assert record.take_due(RETENTION_S + 2.0) is None


def test_former_versions_are_dropped_when_no_stream_of_theirs_is_taken_up():
    record = make_version_record()
    record.on_record(OLD)
    record.on_listed(0.0)
    for now_s, expected in ((RETENTION_S, BOTH), (RETENTION_S + 0.1, NEW)):
        record.on_due(NEW)
        assert record.take_due(now_s) == expected


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b'{"versions": {"": []}}',
        b'{"versions": {"llm": [1]}}',
        b'{"versions": {"llm": "1"}}',
        json.dumps({"versions": {"llm": ["1"] * (MAX_VERSIONS + 1)}}).encode(),
        json.dumps({"versions": {"llm": ["1" * (MAX_NAME_LENGTH + 1)]}}).encode(),
        json.dumps({"versions": {f"s{n}": [] for n in range(MAX_ITEMS + 1)}}).encode(),
    ],
)
def test_record_out_of_bounds_is_rejected(value):
    """Guards against an odd record that ends a start or fills the memory."""
    with pytest.raises(DecodeError):
        decode_versions(value)


def test_merged_record_stays_within_the_bounds_and_keeps_the_newer_versions():
    record, newer = make_version_record(), tuple(f"b{n:02}" for n in range(20))
    record.on_record({"llm": tuple(f"a{n:02}" for n in range(20))})
    record.on_listed(0.0)
    record.on_due({"llm": newer})
    merged = record.take_due(1.0)
    assert decode_versions(encode_versions(merged)) == merged
    assert set(newer) < set(merged["llm"]) and len(merged["llm"]) == MAX_VERSIONS
