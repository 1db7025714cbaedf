"""Which registered servers may get work, over late, lost and repeated entries."""

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.deployment import RegisteredServer, ServerId, ServerState
from chervilgw.core.ids import ServiceName, ZoneId
from chervilgw.membership.directory import RETURN_S, make_server_directory

DRAFTING = ServiceName("drafting")


def server(name="s1", started_ms=1, state=ServerState.READY, address="10.0.0.1:80"):
    return RegisteredServer(
        ServerId(name), DRAFTING, address, ZoneId("a"), 64, state, started_ms
    )


def usable(directory, now_s=0.0):
    return [each.server for each in directory.usable(DRAFTING, now_s)]


def test_a_draining_server_gets_no_work_even_if_an_old_entry_comes_late():
    """Guards against a heartbeat that was overtaken by the notice of leaving."""
    directory = make_server_directory()
    directory.on_entry(server(), 1)
    directory.on_entry(server(state=ServerState.DRAINING), 2)
    directory.on_entry(server(), 3)
    assert usable(directory) == []


def test_a_later_incarnation_of_a_drained_server_gets_work():
    directory = make_server_directory()
    directory.on_entry(server(state=ServerState.DRAINING), 1)
    directory.on_entry(server(started_ms=2), 2)
    assert usable(directory) == ["s1"]


def test_an_entry_of_a_former_incarnation_is_ignored():
    directory = make_server_directory()
    directory.on_entry(server(started_ms=2), 1)
    assert not directory.on_entry(server(started_ms=1, address="10.0.0.9:80"), 2)
    assert directory.find("s1").address == "10.0.0.1:80"


def test_the_server_that_started_last_has_the_address():
    """Guards against work for a server whose address went to another one."""
    directory = make_server_directory()
    directory.on_entry(server("old", started_ms=1), 1)
    directory.on_entry(server("new", started_ms=2), 2)
    assert usable(directory) == ["new"]


def test_a_removed_server_gets_no_work_at_once():
    directory = make_server_directory()
    directory.on_entry(server(), 1)
    directory.on_removed("s1", 2, 0.0)
    assert usable(directory) == []


def test_entries_that_lapsed_with_the_store_are_kept_until_they_can_be_back():
    """Guards against an empty fleet right after an outage of the store."""
    directory = make_server_directory()
    directory.on_entry(server(), 1)
    directory.on_store_lost()
    directory.on_store_recovered(10.0)
    directory.on_removed("s1", 2, 10.1)
    assert usable(directory, 10.0 + RETURN_S - 0.1) == ["s1"]
    assert usable(directory, 10.0 + RETURN_S + 0.1) == []


def test_a_listing_removes_what_it_leaves_out_but_nothing_newer():
    directory = make_server_directory()
    directory.on_entry(server("s1"), 1)
    directory.on_entry(server("s2", address="10.0.0.2:80"), 9)
    assert directory.on_listing((), 5, 0.0) == ("s1",)
    assert usable(directory) == ["s2"]


def test_word_from_beside_the_server_stops_work_before_the_list_does():
    directory = make_server_directory()
    directory.on_entry(server(), 1)
    assert directory.on_draining_reported("s1", 1)
    assert usable(directory) == []
    assert not directory.on_draining_reported("s1", 1)


class DirectoryMachine(RuleBasedStateMachine):
    """Entries in any order of offsets: a drained incarnation never gets work again."""

    @initialize()
    def start(self):
        self.directory = make_server_directory()
        self.drained = set()
        self.newest_ms = 0
        self.offset = 0
        self.now_s = 0.0

    @rule(started_ms=st.integers(1, 4), draining=st.booleans(), late=st.integers(0, 3))
    def entry(self, started_ms, draining, late):
        self.offset += 1
        state = ServerState.DRAINING if draining else ServerState.READY
        offset = self.offset - late
        known = self.directory.find("s1")
        taken = self.directory.on_entry(
            server(started_ms=started_ms, state=state), offset
        )
        after = self.directory.find("s1")
        self.newest_ms = max(self.newest_ms, after.started_ms)
        is_current = after.started_ms == started_ms and (taken or after == known)
        if draining and is_current and after.state is ServerState.DRAINING:
            self.drained.add(started_ms)

    @rule()
    def removed(self):
        self.offset += 1
        self.directory.on_removed("s1", self.offset, self.now_s)

    @rule()
    def store_goes_and_returns(self):
        self.directory.on_store_lost()
        self.now_s += 1.0
        self.directory.on_store_recovered(self.now_s)

    @rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @invariant()
    def drained_incarnations_get_no_work(self):
        for each in self.directory.usable(DRAFTING, self.now_s):
            assert each.started_ms not in self.drained

    @invariant()
    def no_incarnation_comes_back(self):
        known = self.directory.find("s1")
        assert known is None or known.started_ms == self.newest_ms


TestDirectoryMachine = DirectoryMachine.TestCase


def test_orders_alone_are_no_change():
    directory = make_server_directory()
    directory.on_entry(server(), 1)
    assert not directory.on_entry(replace(server(), orders=7), 2)
