"""Notices and pauses of servers, against a simple oracle over any order of events.

Guards against requests to a server that leaves or that asked for a pause, also after a
restart of the server, a late entry of the list or a freeze of this process.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilgw.core.deployment import OpaqueRequest, RegisteredServer, ServerId
from chervilgw.core.deployment import ServerState as State
from chervilgw.core.ids import Offset, ServiceName, ZoneId
from chervilgw.membership.fleet_view import make_fleet_view
from chervilgw.routing.back_off import MAX_BACK_OFF_S, make_back_offs

SERVICE = ServiceName("desk")
SERVERS = [ServerId("i-1"), ServerId("i-2")]
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 8.0, None, None, None, None, (), None
)
servers = st.sampled_from(SERVERS)


class SignalsMachine(RuleBasedStateMachine):
    """Two servers that start again, give notice and ask for pauses at any time."""

    def __init__(self):
        super().__init__()
        self.fleet = make_fleet_view()
        self.now_s = 100.0
        self.offset = 0
        self.started_ms = dict.fromkeys(SERVERS, 1)
        self.left = set()
        self.paused_until_s = {}
        for server in SERVERS:
            self.write_entry(server, State.READY)

    def write_entry(self, server, state, started_ms=None):
        self.offset += 1
        entry = RegisteredServer(
            server,
            SERVICE,
            f"10.0.0.{SERVERS.index(server) + 1}:80",
            ZoneId("a"),
            64,
            state,
            started_ms or self.started_ms[server],
        )
        self.fleet.directory.on_entry(entry, Offset(self.offset), 0.0)

    @rule(server=servers)
    def ready_entry_is_repeated(self, server):
        self.write_entry(server, State.READY)

    @rule(server=servers)
    def entry_of_a_former_incarnation_comes_late(self, server):
        self.write_entry(server, State.READY, max(1, self.started_ms[server] - 1))

    @rule(server=servers)
    def server_starts_again(self, server):
        self.started_ms[server] += 1
        self.write_entry(server, State.READY)

    @rule(server=servers)
    def server_gives_notice(self, server):
        started_ms = self.started_ms[server]
        self.fleet.directory.on_leaving(server, started_ms, self.now_s)
        self.left.add((server, started_ms))

    @rule(server=servers)
    def notice_comes_before_the_entry(self, server):
        """Another entry passes it on before this one has read the list."""
        self.started_ms[server] += 1
        self.server_gives_notice(server)
        self.write_entry(server, State.READY)

    @rule(
        server=servers, retry_after_s=st.sampled_from([None, -1.0, 0.0, 0.4, 3.0, 1e9])
    )
    def server_asks_for_a_pause(self, server, retry_after_s):
        key = (server, self.started_ms[server])
        self.fleet.back_offs.on_refused(*key, retry_after_s, self.now_s)
        if retry_after_s is not None and retry_after_s > 0:
            until_s = self.now_s + min(retry_after_s, MAX_BACK_OFF_S)
            self.paused_until_s[key] = max(until_s, self.paused_until_s.get(key, 0.0))

    @rule(passed_s=st.sampled_from([0.1, 0.5, 2.0, 30.0]))
    def time_passes(self, passed_s):
        """A freeze of this process is a long step: the clock does not go back."""
        self.now_s += passed_s
        self.fleet.back_offs.drop_past(self.now_s)
        self.fleet.directory.drop_gone(self.now_s)

    def may_get_work(self, server):
        key = (server, self.started_ms[server])
        is_paused = self.paused_until_s.get(key, 0.0) > self.now_s
        return key not in self.left and not is_paused

    @invariant()
    def only_servers_that_want_work_get_it(self):
        chosen = self.fleet.candidates(SERVICE, REQUEST, (), 100, self.now_s)
        expected = {server for server in SERVERS if self.may_get_work(server)}
        assert {candidate.server.server for candidate in chosen} == expected
        accepting = {s for s in SERVERS if self.fleet.accepts(s, self.now_s)}
        assert accepting == expected

    @invariant()
    def the_stated_pause_is_the_true_one(self):
        pauses_s = [
            self.paused_until_s[key] - self.now_s
            for key in self.started_ms.items()
            if key not in self.left and self.paused_until_s.get(key, 0.0) > self.now_s
        ]
        stated_s = self.fleet.shortest_back_off_s(SERVICE, REQUEST, (), self.now_s)
        assert (stated_s is None) == (not pauses_s)
        assert stated_s is None or abs(stated_s - min(pauses_s)) < 1e-6


TestSignalsMachine = SignalsMachine.TestCase


def test_shorter_pause_does_not_end_a_longer_one():
    back_offs = make_back_offs()
    back_offs.on_refused(SERVERS[0], 1, 3.0, now_s=0.0)
    back_offs.on_refused(SERVERS[0], 1, 0.5, now_s=0.1)
    assert back_offs.remaining_s(SERVERS[0], 1, now_s=1.0) == 2.0
