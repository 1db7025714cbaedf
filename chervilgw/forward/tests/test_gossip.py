"""Messages that an entry's gossip task sends to the engines' agents."""

from dataclasses import replace

from circuits import BaseComponent, Component, handler

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import ReportSubscription
from chervilgw.forward import events
from chervilgw.forward.gossip import GossipOptions, make_gossip
from chervilgw.forward.tests.test_evacuation import DEPLOYMENT

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
