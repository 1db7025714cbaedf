"""When the list of servers was read to its end, and gaps between its reads."""

import struct
import time

import pytest
from circuits import Component

from chervilgw.platform.boot import decode_settings
from chervilgw.platform.followers import Follower, FollowerStep
from chervilgw.platform.log_format import USAGE_KEY, VERSIONS_KEY
from chervilgw.platform.software_versions import encode_versions
from chervilgw.platform.store import make_store_task
from chervilgw.routing.version_history import MAX_LIST_AGE_S
from chervilgw.runtime.events import CallDone, call_done, clock_tick

from .store_recorder import Recorder
from .test_boot import ENTRY_SETTINGS
from .test_operator_records import page

SERVERS, ENTRIES = "keyed.servers", "keyed.entries"


class Store:
    """A store task that follows the list of servers; the test answers its calls."""

    def __init__(self):
        self.root, self.recorder = Component(), Recorder()
        make_store_task(decode_settings(ENTRY_SETTINGS), True).register(self.root)
        self.recorder.register(self.root)
        self.after_s = 0.0
        self.tick(0.0)
        # The listing is followed by a read at once.
        self.answer(SERVERS, page((), 4))

    def fire(self, event):
        self.root.fire(event, "store")
        while len(self.root):
            self.root.flush()

    def tick(self, after_s):
        self.after_s += after_s
        self.fire(clock_tick(time.monotonic() + self.after_s, False))

    def take(self, topic):
        for spec in self.recorder.calls:
            if f"topic={topic}&" in spec.path:
                self.recorder.calls.remove(spec)
                return spec
        return None

    def answer(self, topic, body):
        spec = self.take(topic)
        headers = (("Store-Era", "1"),)
        self.fire(call_done(CallDone(spec.call, 200, headers, body)))

    def take_seen(self):
        seen, self.recorder.seen = self.recorder.seen, []
        return seen


def read_to(end):
    return struct.pack(">QQ", end, 0)


def test_list_is_dated_by_the_call_and_not_by_its_answer(monkeypatch):
    """Guards against an answer of before a stop that makes the list look new."""
    began_s, store = time.monotonic(), Store()
    store.tick(6.0)
    monkeypatch.setattr(time, "monotonic", lambda: began_s + 6.0)
    store.answer(SERVERS, read_to(4))
    expected = ("server_list_confirmed", pytest.approx(began_s, abs=2.0))
    assert store.take_seen() == [expected, expected]


def test_read_that_stops_before_the_end_confirms_nothing():
    """Guards against a part of the news that is taken for all of it."""
    store = Store()
    store.take_seen()
    store.answer(SERVERS, read_to(9))
    assert store.take_seen() == []


def test_record_of_versions_is_read_again_after_a_gap():
    """Guards against a version that came and went while nothing was read.

    Nothing else of the topic is applied a second time.
    """
    store = Store()
    store.answer(SERVERS, read_to(4))
    store.take_seen()
    store.tick(MAX_LIST_AGE_S + 1.0)
    store.answer(SERVERS, read_to(4))
    assert [name for name, *_ in store.take_seen()] == [
        "server_list_gap",
        "server_list_confirmed",
    ]
    versions = {"llm": ("1", "2")}
    items = (
        (VERSIONS_KEY, encode_versions(versions), 5),
        (USAGE_KEY, b"{}", 6),
        ("10.0.0.1:7600", b"n1", 4),
    )
    store.answer(ENTRIES, page(items, 9))
    assert store.take_seen() == [
        ("software_versions_recorded", versions),
        ("software_versions_listed",),
    ]
    assert store.take(ENTRIES) is None


def test_position_that_was_lost_is_a_gap_as_well():
    """Guards against records that were deleted unread."""
    follower = Follower(SERVERS, 0.0, 0.8)
    follower.on_asked(1.0)
    follower.on_current()
    assert not follower.take_gap()
    follower.step = FollowerStep.READ
    follower.restart_listing(1.5)
    follower.on_asked(1.5)
    follower.on_current()
    assert (follower.take_gap(), follower.take_gap()) == (True, False)
