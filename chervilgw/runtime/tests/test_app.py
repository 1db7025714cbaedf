"""Polling of sockets while events are queued."""

from circuits import BaseComponent, Event, handler

from chervilgw.runtime import app as app_module
from chervilgw.runtime.sockets import DirectServer

from .running import exchange, running, wait_until

HOPS = 50


class hop(Event):  # noqa: N801
    """One of a chain of events."""


class Chain(BaseComponent):
    """Fires a chain of events and counts the polls between its first and last."""

    channel = "chain"

    def __init__(self, hops):
        super().__init__()
        self.hops = hops
        self._polls = 0
        self.hops_done = 0
        self.polls_between = None

    @handler("started", channel="*")
    def _on_started(self, *args):
        self.fire(hop())

    @handler("hop")
    def _on_hop(self):
        if self.hops_done == 0:
            self._polls = 0
        self.hops_done += 1
        if self.hops_done < self.hops:
            self.fire(hop())
        else:
            self.polls_between = self._polls

    @handler("generate_events", priority=10)
    def _on_generate_events(self, event):
        self._polls += 1


class Echo(BaseComponent):
    """Sends back what it reads."""

    channel = "echo"

    def __init__(self):
        super().__init__()
        bind = ("127.0.0.1", 0)
        self.server = DirectServer(bind, "echo", on_data=self._on_data)
        self.server.register(self)

    def _on_data(self, sock, data):
        self.server.write(sock, data)


def test_chain_of_events_is_not_interrupted_by_polls(monkeypatch):
    # One poll per batch took a third of the entry's processor time for a short call.
    monkeypatch.setattr(app_module, "POLL_INTERVAL_S", 30.0)
    chain = Chain(HOPS)
    with running(chain):
        wait_until(lambda: chain.polls_between is not None)
    assert chain.hops_done == HOPS
    # The poll that was due when the first hop came is the only one.
    assert chain.polls_between <= 1


def test_endless_events_do_not_keep_sockets_waiting():
    """Guards against sockets that are never polled while events are queued."""
    echo, chain = Echo(), Chain(float("inf"))
    with running(echo, chain):
        try:
            wait_until(lambda: chain.hops_done > HOPS)
            assert exchange(echo.server.port, b"END") == b"END"
            assert chain.polls_between is None
        finally:
            # The process ends only when no event is left.
            chain.hops = 0
