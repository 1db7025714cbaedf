"""Messages that an entry's gossip task sends to the engines' agents."""

from dataclasses import replace

from circuits import BaseComponent, Component, handler

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import (
    ReportSubscription,
    StreamOrigin,
    StreamOriginQuery,
)
from chervilgw.forward import events
from chervilgw.forward.gossip import GossipOptions, make_gossip
from chervilgw.forward.tests.test_evacuation import DEPLOYMENT
from chervilgw.routing.stream_origins import MAX_ATTEMPT_LENGTH
from chervilgw.runtime.datagrams import datagram_received

OWN, AGENT_PORT = "10.0.0.9:7600", 7700
ENGINE = RegisteredServer(
    "i-1", "llm", "10.0.0.1:80", "a", 64, ServerState.READY, 7, {"m": frozenset()}
)


class Sent(BaseComponent):
    """Records what the gossip task sends to other processes and to the gateway."""

    def __init__(self):
        super().__init__()
        self.datagrams, self.to_gateway = [], []

    @handler("datagram_send", channel="datagrams")
    def _on_send(self, message, addresses):
        self.datagrams.append((message, addresses))

    @handler(
        "stream_origin_queried", "stream_origin_reported", channel="gateway", event=True
    )
    def _on_gateway_event(self, event, *args):
        self.to_gateway.append((event.name, args))


class Entry:
    """The gossip task of an entry that knows a deployment."""

    def __init__(self):
        self.root, self.sent = Component(), Sent()
        self.sent.register(self.root)
        options = GossipOptions(Incarnation("e1", 1), OWN, "a", AGENT_PORT)
        make_gossip(options).register(self.root)
        self.fire(events.deployment_changed(DEPLOYMENT), "*")

    def fire(self, event, channel="gossip"):
        self.root.fire(event, channel)
        while len(self.root):
            self.root.flush()

    def targets(self, cls):
        return [
            (message, address)
            for message, addresses in self.sent.datagrams
            if isinstance(message, cls)
            for address in addresses
        ]


def test_subscription_states_the_version_of_the_engine():
    """Guards against agents that cannot tell which version began a stream."""
    entry = Entry()
    engine = replace(ENGINE, software_version="2.1")
    entry.fire(events.servers_updated([engine]))
    [(subscription, address)] = entry.targets(ReportSubscription)
    assert subscription.software_version == "2.1"
    assert address == f"10.0.0.1:{AGENT_PORT}"


def test_agents_and_other_entries_are_asked_which_version_began_a_stream():
    """Guards against take-ups that are refused though a process knows the version."""
    entry = Entry()
    second = replace(ENGINE, server="i-2", address="10.0.0.2:80")
    other = replace(ENGINE, server="i-3", address="10.0.0.3:80", service="desk")
    entry.fire(events.servers_updated([ENGINE, second, other]))
    entry.fire(events.entry_list_read((OWN, "10.0.0.8:7600")))
    # The second engine has left; its agent is still asked.
    entry.fire(events.servers_updated([ENGINE]))
    entry.fire(events.stream_origin_requested("llm", "a1"))
    query = StreamOriginQuery("llm", "a1", OWN)
    targets = [f"10.0.0.{host}:{AGENT_PORT}" for host in (1, 2)]
    assert entry.targets(StreamOriginQuery) == [
        (query, target) for target in [*targets, "10.0.0.8:7600"]
    ]


def test_id_that_no_process_remembers_is_asked_for_nowhere():
    """Guards against long ids of callers that are sent to the whole fleet."""
    entry = Entry()
    entry.fire(events.servers_updated([ENGINE]))
    for attempt in ("", "a" * (MAX_ATTEMPT_LENGTH + 1)):
        entry.fire(events.stream_origin_requested("llm", attempt))
    assert entry.targets(StreamOriginQuery) == []


def test_queries_and_answers_reach_the_gateway_and_its_answer_the_asking_entry():
    entry, asking = Entry(), "10.0.0.8:7600"
    query = StreamOriginQuery("llm", "a1", asking)
    origin = StreamOrigin("llm", "a1", "2.1")
    entry.fire(datagram_received(query, asking))
    entry.fire(events.stream_origin_answered(asking, origin))
    assert entry.targets(StreamOrigin) == [(origin, asking)]
    entry.fire(datagram_received(origin, "10.0.0.1:7700"))
    assert entry.sent.to_gateway == [
        ("stream_origin_queried", (query,)),
        ("stream_origin_reported", ("llm", "a1", "2.1")),
    ]
