"""Streams that go on at another server within one answer."""

import pytest

from chervilgw.core.messages import TurnRequest
from chervilgw.forward.exchange import Stage
from chervilgw.forward.stream_binding import make_stream_binding
from chervilgw.forward.tests.stream_entry import StreamEntry


def test_stream_goes_on_at_a_server_of_its_version():
    """Guards against an answer that is joined from two software versions."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v2", "i-3": "v2", "i-4": "v1"})
    entry.request()
    [first] = entry.called()
    entry.answer(1, 2)
    entry.break_off()
    entry.answer(3)
    expected = {"i-1": "i-4", "i-4": "i-1", "i-2": "i-3", "i-3": "i-2"}[first]
    assert (entry.called(), entry.relayed()) == ([first, expected], 3)


def test_answer_breaks_at_once_without_a_server_of_its_version():
    """Guards against a stream that goes on at another version, or is held."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v2"})
    entry.request()
    entry.answer(1, 2)
    entry.break_off()
    assert (len(entry.called()), entry.ends()) == (1, [False])


def test_stream_that_has_not_begun_is_sent_to_any_version():
    """Guards against a request that fails although no event was relayed."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v2"})
    entry.request()
    entry.break_off()
    entry.answer(1)
    assert (sorted(entry.called()), entry.relayed()) == (["i-1", "i-2"], 1)


def test_turn_of_a_server_that_changed_its_version_is_not_used():
    """Guards against a continuation sent to a server that was started anew."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v1"}, has_agents=True)
    entry.request()
    entry.grant()
    [first] = entry.called()
    entry.answer(1)
    entry.break_off()
    other = {"i-1": "i-2", "i-2": "i-1"}[first]
    entry.register(other, "v2", started_ms=2)
    entry.grant()
    assert (entry.called(), entry.ends()) == ([first], [False])


@pytest.mark.parametrize("has_head", [False, True])
def test_continuation_of_a_server_started_anew_is_not_relayed(has_head):
    """Guards against events of the next version between the choice and the answer."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v1"})
    entry.request()
    entry.answer(1)
    entry.break_off()
    if has_head:
        entry.head()
    entry.register(entry.called()[-1], "v2", started_ms=2)
    if not has_head:
        entry.head()
    entry.data(2)
    assert (entry.relayed(), entry.ends()) == (1, [False])
    assert len(entry.sent("http_call_cancel")) == 1


def test_stream_of_a_server_started_anew_meanwhile_does_not_go_on():
    """Guards against a stream that is bound to the version of the former start."""
    entry = StreamEntry({"i-1": "v1"})
    entry.request()
    entry.register("i-1", "v2", started_ms=2)
    entry.register("i-2", "v1")
    entry.register("i-3", "v2")
    entry.answer(1)
    entry.break_off()
    assert (entry.called(), entry.ends()) == (["i-1"], [False])


def test_start_anew_with_the_same_software_keeps_the_version():
    """Guards against a stream that breaks although the version is certain."""
    entry = StreamEntry({"i-1": "v1"})
    binding, server = make_stream_binding(), entry.gateway.fleet.directory.find("i-1")
    binding.on_sent(server)
    entry.register("i-1", "v1", started_ms=2)
    assert binding.on_bytes(entry.gateway.fleet.directory.find("i-1"))
    assert (binding.version, binding.is_uncertain) == ("v1", False)
    assert binding.admits(None)


def make_broken_stream():
    """Return an entry whose stream broke, and the other server of the version."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v1"})
    entry.confirm_list()
    entry.request()
    [first] = entry.called()
    entry.answer(1)
    entry.break_off(confirms_list=False)
    return entry, {"i-1": "i-2", "i-2": "i-1"}[first]


@pytest.mark.parametrize(("version", "is_sent"), [("v1", True), ("v2", False)])
def test_stream_goes_on_by_a_list_of_servers_read_since_its_break(version, is_sent):
    """Guards against a registration of before a stop that is believed.

    A server may have started again under its id with other software.
    """
    entry, other = make_broken_stream()
    assert (len(entry.called()), entry.ends()) == (1, [])
    assert len(entry.sent("server_list_wanted")) == 1
    entry.register(other, version, started_ms=2)
    entry.confirm_list()
    assert entry.called()[1:] == ([other] if is_sent else [])
    assert entry.ends() == ([] if is_sent else [False])


def test_stream_breaks_if_the_list_of_servers_stays_out_of_date():
    """Guards against a stream that is held until its deadline."""
    entry, _ = make_broken_stream()
    entry.tick(1.0)
    assert entry.ends() == []
    entry.run_for(0.7)
    assert (len(entry.called()), entry.ends()) == (1, [False])


def test_turn_that_was_granted_long_ago_is_requested_anew():
    """Guards against a turn of before a stop at an engine that was started anew."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v1"}, has_agents=True)
    entry.request()
    entry.grant()
    entry.answer(1)
    entry.break_off()
    [waiting] = entry.gateway.exchanges_in(Stage.WAITING_FOR_TURN)
    waiting.turn_requested_s -= 2.0
    entry.grant()
    messages = [message for _, message in entry.sent("agent_send")]
    requests = [message for message in messages if type(message) is TurnRequest]
    assert len(entry.called()) == 1
    assert [each.started_ms for each in requests] == [0, 1, 1]


@pytest.mark.parametrize(
    ("list_asked_s", "now_s", "needs_list"),
    [(9.9, 10.1, True), (10.0, 10.1, False), (10.1, 12.5, False), (10.1, 15.0, True)],
)
def test_list_has_to_be_of_after_the_break_and_recent(list_asked_s, now_s, needs_list):
    """Guards against a stop between the read of the list and the send."""
    binding = make_stream_binding()
    binding.on_interrupted(10.0)
    assert not binding.needs_list(list_asked_s, now_s)
    binding.version = "v1"
    assert binding.needs_list(list_asked_s, now_s) is needs_list
