"""Streams that callers take up at an entry, while two software versions serve."""

import pytest

from chervilgw.core.messages import StreamOrigin, StreamOriginQuery
from chervilgw.forward import events
from chervilgw.forward.tests.stream_entry import StreamEntry
from chervilgw.routing.resumptions import ORIGIN_WAIT_S, SOLE_VERSION_WAIT_S
from chervilgw.runtime.events import http_disconnected

TWO = {"i-1": "v1", "i-2": "v2"}


def test_take_up_goes_on_at_the_version_that_began_the_stream():
    """Guards against a text joined from two versions over a caller's tries."""
    entry = StreamEntry(TWO)
    entry.request("a")
    first = entry.called()[0]
    entry.head("a")
    entry.data(1, 2)
    entry.break_off()
    for attempt, event in (("b", 3), ("c", 4)):
        entry.request(attempt, str(event - 1), "a")
        entry.confirm_list()
        entry.head(attempt)
        entry.data(event)
        entry.break_off()
    assert (entry.called(), entry.relayed()) == ([first] * 3, 4)
    assert entry.sent("resumption_counted") == [("relayed",)] * 2


def test_take_up_asks_other_processes_for_the_version():
    """Guards against a choice by this entry alone after another one was lost."""
    entry = StreamEntry(TWO)
    entry.request("b", "2", "a")
    entry.tick()
    # A datagram may be lost.
    assert entry.sent("stream_origin_requested") == [("llm", "a")] * 2
    assert entry.called() == []
    entry.fire(events.stream_origin_reported("desk", "a", "v1"))
    entry.fire(events.stream_origin_reported("llm", "a", "v2"))
    entry.confirm_list()
    assert entry.called() == ["i-2"]
    entry.head("b")
    entry.data(3)
    # This entry answers for the attempt that began the stream from now on.
    entry.fire(events.stream_origin_queried(StreamOriginQuery("llm", "a", "x:1")))
    entry.fire(events.stream_origin_queried(StreamOriginQuery("llm", "b", "x:1")))
    origin = StreamOrigin("llm", "a", "v2")
    assert entry.sent("stream_origin_answered") == [("x:1", origin)]


def test_take_up_that_nobody_knows_is_refused_as_not_run():
    """Guards against a stream joined by chance, or held to the caller's deadline."""
    entry = StreamEntry(TWO)
    entry.request("b", "2", "a")
    entry.run_for(ORIGIN_WAIT_S - 0.1)
    assert (entry.called(), entry.refusals()) == ([], [])
    entry.run_for(ORIGIN_WAIT_S + 0.1)
    assert (entry.called(), entry.refusals()) == ([], [503])
    assert entry.sent("resumption_counted") == [("stream_version_unknown",)]


def test_take_up_without_a_server_of_its_version_is_refused_at_once():
    """Guards against a stream that goes on at the version that replaced its own."""
    entry = StreamEntry(TWO)
    entry.request("a")
    entry.head("a")
    entry.data(1)
    entry.break_off()
    entry.leave(entry.called()[0])
    entry.request("b", "1", "a")
    assert (len(entry.called()), entry.refusals()) == (1, [503])
    assert dict(entry.sent("http_reply")[0][0].headers).keys() == {"Content-Type"}


def test_caller_that_leaves_while_others_are_asked_is_forgotten():
    """Guards against a request that is sent for a caller that has left."""
    entry = StreamEntry(TWO)
    entry.request("b", "2", "a")
    [number] = entry.gateway._exchanges
    entry.fire(http_disconnected(number))
    entry.fire(events.stream_origin_reported("llm", "a", "v2"))
    entry.tick()
    assert (entry.called(), entry.refusals()) == ([], [])


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_started_entry_decides_by_the_record_of_former_ones(versions):
    """Guards against streams joined after all entries were lost at once."""
    entry = StreamEntry({"i-1": "v1"}, reads_record=False)
    entry.request("b", "2")
    assert (entry.called(), entry.refusals()) == ([], [])
    entry.fire(events.software_versions_recorded({"llm": versions}), "*")
    entry.fire(events.entry_list_read(()), "*")
    entry.confirm_list()
    is_sole = len(versions) == 1
    assert entry.called() == (["i-1"] if is_sole else [])
    assert entry.refusals() == ([] if is_sole else [503])


@pytest.mark.parametrize("begun_by", ["a", None])
def test_take_up_waits_for_the_list_of_servers_as_it_is_now(begun_by):
    """Guards against a sole version that is not the sole one any more."""
    entry = StreamEntry({"i-1": "v1"})
    entry.confirm_list(age_s=0.01)
    entry.request("b", "2", begun_by)
    entry.run_for(ORIGIN_WAIT_S - 0.1)
    assert entry.sent("server_list_wanted")
    assert (entry.called(), entry.refusals()) == ([], [])
    entry.register("i-2", "v2")
    entry.confirm_list()
    entry.run_for(ORIGIN_WAIT_S + 0.1)
    assert (entry.called(), entry.refusals()) == ([], [503])


def test_take_up_goes_on_as_soon_as_the_list_confirms_the_sole_version():
    """Guards against a refusal, or a wait until the next regular read."""
    entry = StreamEntry({"i-1": "v1"})
    entry.request("b", "2", "a")
    entry.run_for(SOLE_VERSION_WAIT_S)
    assert entry.called() == []
    entry.confirm_list()
    assert (entry.called(), entry.refusals()) == (["i-1"], [])


def test_time_in_which_the_entry_stood_still_is_no_wait_for_answers():
    """Guards against silence that is believed though no answer could be read."""
    entry = StreamEntry({"i-1": "v1"})
    entry.request("b", "2", "a")
    entry.tick(1.0)
    assert (entry.called(), entry.refusals()) == ([], [])
    entry.fire(events.stream_origin_reported("llm", "a", "v1"))
    entry.confirm_list()
    assert entry.called() == ["i-1"]


def test_new_stream_is_not_asked_for():
    """Guards against a delay of streams that no caller takes up."""
    entry = StreamEntry(TWO, reads_record=False)
    entry.request("a")
    assert (len(entry.called()), entry.sent("stream_origin_requested")) == (1, [])


def test_take_up_goes_to_the_free_one_of_two_servers_of_its_version():
    """Guards against take-ups that begin less often than new streams."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v1", "i-3": "v2"})
    entry.fire(events.stream_origin_reported("llm", "a", "v1"))
    for number in range(4):
        entry.request(f"b{number}", "2", "a")
        entry.confirm_list()
    assert (sorted(entry.called()), entry.refusals()) == (
        ["i-1", "i-1", "i-2", "i-2"],
        [],
    )
