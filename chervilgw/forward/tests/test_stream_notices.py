"""Order of the notice that a stream has begun and of its events to the caller."""

import pytest
from circuits import BaseComponent, handler

from chervilgw.core.messages import StreamOrigin, TurnReleased
from chervilgw.forward.tests.stream_entry import StreamEntry
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.runtime.events import (
    CallData,
    CallDone,
    CallFailed,
    call_data,
    call_done,
    call_failed,
)

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in (1, 2))


class Gossip(BaseComponent):
    """Sends each message to an agent on, as the gossip task does."""

    channel = "gossip"

    @handler("agent_send")
    def _on_agent_send(self, server, message):
        self.fire(datagram_send(message, [server]), "datagrams")


class Sockets(BaseComponent):
    """Records in which order messages and answers reach their sockets."""

    def __init__(self):
        super().__init__()
        self.written = []

    @handler("datagram_send", channel="*")
    def _on_datagram(self, message, addresses):
        is_notice = type(message) is StreamOrigin or (
            type(message) is TurnReleased and message.begun_by
        )
        if is_notice:
            self.written.append("notice")

    @handler("http_push_data", channel="*")
    def _on_data(self, parts):
        self.written.append("data")

    @handler("http_push_end", channel="*")
    def _on_end(self, number, complete=True):
        self.written.append("end" if complete else "break")


def make_stream(has_agents):
    """Return an entry whose stream has a head, and the sockets."""
    entry, sockets = StreamEntry({"i-1": "v1"}, has_agents=has_agents), Sockets()
    Gossip().register(entry.root)
    sockets.register(entry.root)
    entry.request()
    if has_agents:
        entry.grant()
    entry.head()
    return entry, sockets


def fire_together(entry, *fired):
    """Fire events that the HTTP client fires for one read."""
    for event in fired:
        entry.root.fire(event, "gateway")
    while len(entry.root):
        entry.root.flush()


@pytest.mark.parametrize("has_agents", [True, False])
def test_agent_is_informed_before_the_caller_gets_the_first_event(has_agents):
    """Guards against a stream that nobody knows once its entry is killed."""
    entry, sockets = make_stream(has_agents)
    entry.data(1)
    entry.data(2)
    assert sockets.written == ["notice", "data", "data"]


@pytest.mark.parametrize("has_agents", [True, False])
@pytest.mark.parametrize("is_whole", [True, False])
def test_end_of_an_answer_follows_its_events(has_agents, is_whole):
    """Guards against an answer that is ended before its delayed first event."""
    entry, sockets = make_stream(has_agents)
    call = entry.sent("http_call")[-1][0].call
    end = call_failed(CallFailed(call, True, "reset", connection_lost=True))
    if is_whole:
        end = call_done(CallDone(call, 200, (), b""))
    data = [call_data([CallData(call, part)]) for part in (EVENTS, b"id: 3\nda")]
    fire_together(entry, *data, end)
    assert sockets.written[:2] == ["notice", "data"]
    assert sockets.written[-1] == ("end" if is_whole else "break")
