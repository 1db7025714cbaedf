"""Configuration and evacuated zones from reads and paged listings of one topic."""

import base64
import json
import math

from circuits import BaseComponent, Component, handler

from chervilgw.platform.boot import decode_settings
from chervilgw.platform.log_format import KeyedRecord
from chervilgw.platform.operator_records import (
    ZoneRecordRead,
    ZonesListed,
    make_operator_records,
)
from chervilgw.platform.store import make_store_task
from chervilgw.runtime.events import CallDone, CallFailed, call_done, call_failed

from .test_boot import ENTRY_SETTINGS
from .test_odd_records import CONFIGURATION


class Recorder(BaseComponent):
    """Records what the store task tells the other tasks."""

    def __init__(self):
        super().__init__()
        self.seen, self.calls = [], []

    @handler("http_call", channel="*")
    def _on_call(self, spec):
        self.calls.append(spec)

    @handler("deployment_changed", "evacuations_listed", "store_lost", channel="*")
    def _on_told(self, event, *args):
        self.seen.append((event.name, *args))


def flush(root):
    while len(root):
        root.flush()


def page(items, end, truncated=False):
    answer = {
        "items": [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, value, offset in items
        ],
        "truncated": truncated,
        "end": end,
    }
    return json.dumps(answer).encode()


def test_first_configuration_takes_effect_with_the_zones_of_a_later_page():
    """Guards against an entry that is ready and sends to an evacuated zone.

    Keys are listed in order, so that the configuration may come a page earlier.
    """
    root, recorder = Component(), Recorder()
    recorder.register(root)
    store = make_store_task(decode_settings(ENTRY_SETTINGS), True).register(root)
    flush(root)
    store.send_due_calls(0.0)
    flush(root)

    def answer(body):
        [call] = [spec for spec in recorder.calls if "keyed.op" in spec.path][-1:]
        root.fire(call_done(CallDone(call.call, 200, (), body)), "store")
        flush(root)

    configuration = ("config", json.dumps(CONFIGURATION).encode(), 2)
    answer(page([configuration], 9, truncated=True))
    assert recorder.seen == []
    answer(page([("evacuate/b", b"{}", 5), ("evacuate/c", b"", 6)], 9))
    zones, (name, deployment) = recorder.seen
    assert zones == ("evacuations_listed", {"b": 5}, 9)
    assert name == "deployment_changed"
    assert deployment.version == CONFIGURATION["version"]
    assert "from=9" in recorder.calls[-1].path


def test_later_configuration_does_not_wait_for_the_end_of_its_listing():
    """Guards against a configuration that is late because the topic has many keys."""
    records = make_operator_records()
    records.on_listing_started()
    assert records.on_listing_ended(3) == [ZonesListed({}, 3)]
    value = json.dumps(CONFIGURATION).encode()
    records.on_listing_started()
    [read] = records.on_listed(KeyedRecord(4, "config", value))
    assert (read.deployment.version, read.position) == (CONFIGURATION["version"], 4)
    assert records.on_listing_ended(5) == [ZonesListed({}, 5)]


def test_versions_alone_order_configurations():
    """Guards against a newer configuration that is ignored for its position.

    A store that states no era may have come back from a copy, too.
    """
    records = make_operator_records()
    records.on_listing_ended(0)
    for position, version, is_applied in ((9, 5, True), (4, 7, True), (6, 6, False)):
        value = json.dumps(CONFIGURATION | {"version": version}).encode()
        read = records.on_record(KeyedRecord(position, "config", value))
        assert [each.deployment.version for each in read] == [version] * is_applied


def test_any_value_evacuates_and_none_revokes():
    records = make_operator_records()
    for value, is_evacuated in ((b"{}", True), (b"\xff", True), (None, False)):
        record = KeyedRecord(8, "evacuate/zone/1", value)
        assert records.on_record(record) == [ZoneRecordRead("zone/1", is_evacuated, 8)]
    assert records.on_record(KeyedRecord(9, "evacuate/", b"{}")) == []
    assert records.on_record(KeyedRecord(9, "other", b"{}")) == []


def test_zones_of_a_listing_that_was_broken_off_are_forgotten():
    """Guards against a zone that stays evacuated although its key was removed."""
    records = make_operator_records()
    records.on_listing_started()
    records.on_listed(KeyedRecord(1, "evacuate/a", b"{}"))
    records.on_listing_started()
    assert records.on_listing_ended(4) == [ZonesListed({}, 4)]


def test_answers_of_an_earlier_era_are_not_repeated_without_delay():
    """Guards against calls without end while parts of the store state an old era."""
    root, recorder = Component(), Recorder()
    recorder.register(root)
    store = make_store_task(decode_settings(ENTRY_SETTINGS), True).register(root)
    store.send_due_calls(0.0)
    flush(root)
    operators, servers = recorder.calls
    for call, era in ((servers, "2"), (operators, "1")):
        headers = (("Store-Era", era),)
        answer = CallDone(call.call, 200, headers, page([], 0))
        root.fire(call_done(answer), "store")
        flush(root)
    assert [spec.path for spec in recorder.calls[2:] if "keyed.op" in spec.path] == []
    store.send_due_calls(math.inf)
    flush(root)
    assert "keyed.op" in "".join(spec.path for spec in recorder.calls[2:])


def test_call_given_up_at_a_restore_makes_no_outage_when_it_fails():
    """Guards against servers that were removed and count again as after an outage."""
    root, recorder = Component(), Recorder()
    recorder.register(root)
    store = make_store_task(decode_settings(ENTRY_SETTINGS), True).register(root)
    store.send_due_calls(0.0)
    flush(root)
    operators, servers = recorder.calls

    def answer(call, era):
        headers = (("Store-Era", era),)
        done = CallDone(call.call, 200, headers, page([], 0))
        root.fire(call_done(done), "store")
        flush(root)

    answer(servers, "1")
    for _ in range(2):
        store.send_due_calls(math.inf)
        flush(root)
        answer(recorder.calls[-1], "2")
    root.fire(call_failed(CallFailed(operators.call, True, "no answer")), "store")
    flush(root)
    assert ("store_lost",) not in recorder.seen
