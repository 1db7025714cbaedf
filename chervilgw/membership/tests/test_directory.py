"""Usable servers after late, lost and repeated entries of the list."""

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.deployment import RegisteredServer, ServerId, ServerState
from chervilgw.core.ids import ServiceName, ZoneId
from chervilgw.membership.directory import (
    CONTRADICTION_TIMEOUT_S,
    REREGISTRATION_TIMEOUT_S,
    make_server_directory,
)

DRAFTING = ServiceName("drafting")


def server(name="s1", started_ms=1, state=ServerState.READY, address="10.0.0.1:80"):
    return RegisteredServer(
        ServerId(name), DRAFTING, address, ZoneId("a"), 64, state, started_ms
    )


def usable(directory, now_s=0.0):
    return [registered.server for registered in directory.usable(DRAFTING, now_s)]


def test_draining_server_gets_no_work_after_a_late_ready_entry():
    """Guards against a heartbeat that arrives after the draining notice."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_entry(server(state=ServerState.DRAINING), 2, 0.0)
    directory.on_entry(server(), 3, 0.0)
    assert usable(directory) == []


def test_later_incarnation_of_a_drained_server_gets_work():
    directory = make_server_directory()
    directory.on_entry(server(state=ServerState.DRAINING), 1, 0.0)
    directory.on_entry(server(started_ms=2), 2, 0.0)
    assert usable(directory) == ["s1"]


def test_entry_of_a_former_incarnation_is_ignored():
    directory = make_server_directory()
    directory.on_entry(server(started_ms=2), 1, 0.0)
    assert not directory.on_entry(server(started_ms=1, address="10.0.0.9:80"), 2, 0.0)
    assert directory.find("s1").address == "10.0.0.1:80"


def test_only_the_latest_server_at_an_address_gets_work():
    """Guards against requests for a server whose address another one has now."""
    directory = make_server_directory()
    directory.on_entry(server("old", started_ms=1), 1, 0.0)
    directory.on_entry(server("new", started_ms=2), 2, 0.0)
    assert usable(directory) == ["new"]


def test_entry_of_a_service_that_no_configuration_names_takes_no_server_away():
    """Guards against one odd entry that takes an address out for good."""
    directory = make_server_directory()
    directory.set_services([DRAFTING])
    directory.on_entry(server("s1", started_ms=1), 1, 0.0)
    odd = replace(server("odd", started_ms=9), service=ServiceName("drafting-next"))
    directory.on_entry(odd, 2, 0.0)
    assert usable(directory) == ["s1"]
    assert [each.server for each in directory.present(0.0)] == ["s1"]
    # A later configuration may name the service.
    directory.set_services([DRAFTING, odd.service])
    assert usable(directory) == []


def test_later_start_counts_no_longer_once_its_entry_is_removed():
    """Guards against a belief that the removal of its cause does not end."""
    directory = make_server_directory()
    directory.on_entry(server("s1", started_ms=1), 1, 0.0)
    directory.on_entry(server("odd", started_ms=9), 2, 0.0)
    assert usable(directory) == ["odd"]
    directory.on_removed("odd", 3, 1.0)
    assert usable(directory, 1.0) == ["s1"]


def test_server_that_writes_after_a_later_start_at_its_address_gets_work():
    """Guards against a sound server that an odd entry takes out while it stays."""
    directory = make_server_directory()
    directory.on_entry(server("s1", started_ms=1), 1, 0.0)
    directory.on_entry(server("odd", started_ms=9), 2, 0.0)
    directory.on_entry(server("s1", started_ms=1), 3, 1.2)
    directory.on_entry(server("odd", started_ms=9), 4, 1.3)
    assert "s1" in usable(directory, 1.3)


def test_start_that_is_not_renewed_gives_way_to_the_server_that_goes_on_writing():
    """Guards against an odd entry under a server's own id, and a clock set back."""
    directory = make_server_directory()
    directory.on_entry(server(started_ms=9, address="10.0.0.9:80"), 1, 0.0)
    at_s = 0.0
    for offset in range(2, 6):
        at_s = (offset - 1) * CONTRADICTION_TIMEOUT_S / 3
        directory.on_entry(server(started_ms=1), offset, at_s)
    assert directory.find("s1").address == "10.0.0.1:80"
    assert usable(directory, at_s) == ["s1"]


def test_server_that_left_since_the_copy_gets_no_work_after_a_restore():
    """Guards against a removed or disowned server that the copy's list still names."""
    directory = make_server_directory()
    for name, address in (("left", "10.0.0.1:80"), ("moved", "10.0.0.2:80")):
        directory.on_entry(server(name, address=address), 1, 0.0)
    directory.on_removed("left", 2, 1.0)
    directory.on_disowned("moved", 1)
    directory.on_store_restored(10.0)
    copied = 2**36
    for name, address in (("left", "10.0.0.1:80"), ("moved", "10.0.0.2:80")):
        directory.on_entry(server(name, address=address), copied, 10.0)
    directory.on_listing(["left", "moved"], copied + 1, 10.0)
    assert usable(directory, 10.0) == []
    # A heartbeat after the restore shows that the server lives.
    directory.on_entry(server("left"), copied + 1, 11.2)
    assert usable(directory, 11.2) == ["left"]


def test_server_that_the_copy_lacks_keeps_its_work_until_it_writes_again():
    """Guards against a live server that is lost with its registration."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_store_restored(10.0)
    directory.on_listing([], 2**36, 10.0)
    assert usable(directory, 10.0 + REREGISTRATION_TIMEOUT_S / 2) == ["s1"]
    assert usable(directory, 10.0 + REREGISTRATION_TIMEOUT_S) == []


def test_server_that_did_not_return_after_an_outage_is_not_back_in_the_next_one():
    """Guards against requests for a dead server whenever the store is lost again."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_store_lost(1.0)
    directory.on_store_recovered(5.0)
    directory.on_removed("s1", 2, 5.0)
    gone_s = 5.0 + REREGISTRATION_TIMEOUT_S
    assert usable(directory, gone_s) == []
    directory.on_store_lost(gone_s + 1.0)
    assert usable(directory, gone_s + 1.0) == []
    directory.on_store_recovered(gone_s + 2.0)
    assert usable(directory, gone_s + 2.0) == []


def test_server_that_gave_way_at_its_address_gets_no_work_by_a_copied_entry():
    """Guards against a dead server that the copy's list names after its successor."""
    directory = make_server_directory()
    directory.on_entry(server("old", started_ms=1), 1, 0.0)
    directory.on_entry(server("new", started_ms=2), 2, 0.0)
    directory.on_store_restored(10.0)
    copied = 2**36
    directory.on_entry(server("old", started_ms=1), copied, 10.0)
    directory.on_listing(["old"], copied + 1, 10.0)
    assert usable(directory, 10.0) == ["new"]


def test_server_that_an_outage_took_is_not_back_after_a_restore():
    """Guards against requests for a dead server whenever the store is restored."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_store_lost(1.0)
    directory.on_store_recovered(5.0)
    directory.on_removed("s1", 2, 5.0)
    restored_s = 5.0 + REREGISTRATION_TIMEOUT_S
    directory.on_store_restored(restored_s)
    assert usable(directory, restored_s) == []


def test_service_named_after_a_restore_has_its_servers_at_once():
    """Guards against live servers that count as gone with their service."""
    directory = make_server_directory()
    directory.set_services([ServiceName("other")])
    directory.on_entry(server(), 1, 0.0)
    directory.on_store_restored(10.0)
    directory.on_entry(server(), 2**36, 10.0)
    directory.on_listing(["s1"], 2**36 + 1, 10.0)
    directory.set_services([DRAFTING])
    assert usable(directory, 10.0) == ["s1"]


def test_draining_servers_are_reported_after_a_restore():
    """Guards against peers that start after a restore and know only the copy."""
    directory = make_server_directory()
    directory.on_entry(server(state=ServerState.DRAINING), 1, 0.0)
    assert directory.leaving(20.0) == {}
    directory.on_store_restored(20.0)
    assert directory.leaving(21.0) == {"s1": 1}


def test_entry_of_a_former_incarnation_in_the_copy_is_no_evidence():
    """Guards against an ended start that a delayed write and a copied entry revive."""
    directory = make_server_directory()
    directory.on_entry(server(started_ms=2), 1, 0.0)
    directory.on_entry(server(started_ms=1), 2, 1.0)
    restored_s = 1.0 + CONTRADICTION_TIMEOUT_S
    directory.on_store_restored(restored_s)
    directory.on_entry(server(started_ms=1), 2**36, restored_s)
    assert directory.find("s1").started_ms == 2


def test_one_delayed_write_of_a_former_incarnation_changes_nothing():
    directory = make_server_directory()
    directory.on_entry(server(started_ms=2), 1, 0.0)
    for at_s in (1.0, 1.0 + 2 * CONTRADICTION_TIMEOUT_S):
        # A listing repeats the entry at its position.
        assert not directory.on_entry(server(started_ms=1), 2, at_s)
    assert directory.find("s1").started_ms == 2


def test_notice_counts_also_after_one_of_a_later_start():
    """Guards against requests for a server that said it leaves."""
    directory = make_server_directory()
    directory.on_entry(server(started_ms=1), 1, 0.0)
    assert directory.on_leaving("s1", 9, 0.0)
    assert directory.on_leaving("s1", 1, 0.1)
    assert usable(directory, 0.1) == []
    directory.on_entry(server(started_ms=1), 2, 1.2)
    assert usable(directory, 1.2) == []


def test_server_at_whose_address_another_one_answers_gets_work_after_its_next_entry():
    """Guards against an odd entry that gets half of the requests of a service."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    assert not directory.on_disowned("s1", 2)
    assert directory.on_disowned("s1", 1)
    assert usable(directory) == []
    directory.on_entry(server(), 2, 1.2)
    assert usable(directory, 1.2) == ["s1"]


def test_later_start_shows_that_a_server_ended_without_notice():
    """Guards against crashes that nobody hears of (BUDGET)."""
    directory = make_server_directory()
    directory.on_entry(server("s1", started_ms=1), 1, 0.0)
    assert directory.ended_by(server("s1", started_ms=1), 2) == []
    assert directory.ended_by(server("s1", started_ms=5), 2) == [("s1", 1)]
    assert directory.ended_by(server("s2", started_ms=5), 2) == [("s1", 1)]
    other = replace(server("s2", started_ms=5), service=ServiceName("desk"))
    assert directory.ended_by(other, 2) == []
    directory.on_entry(server("s1", state=ServerState.DRAINING), 3, 0.0)
    assert directory.ended_by(server("s2", started_ms=5), 4) == []


def test_entry_of_a_known_start_shows_no_end_of_another_server():
    """Guards against blame for a live server whose neighbour the copy lists first."""
    directory = make_server_directory()
    directory.on_entry(server("s1", started_ms=1), 1, 0.0)
    directory.on_entry(server("odd", started_ms=9), 2, 0.0)
    directory.on_entry(server("s1", started_ms=1), 3, 1.2)
    directory.on_store_restored(2.0)
    assert directory.ended_by(server("odd", started_ms=9), 2**36) == []


def test_removed_server_gets_no_work_at_once():
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_removed("s1", 2, 0.0)
    assert usable(directory) == []


def test_entries_lapsed_in_a_store_outage_are_retained_for_reregistration():
    """Guards against a fleet without servers right after an outage of the store."""
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    directory.on_store_lost(5.0)
    directory.on_store_recovered(10.0)
    directory.on_removed("s1", 2, 10.1)
    assert usable(directory, 10.0 + REREGISTRATION_TIMEOUT_S - 0.1) == ["s1"]
    assert usable(directory, 10.0 + REREGISTRATION_TIMEOUT_S + 0.1) == []


def test_listing_removes_absent_servers_but_none_newer_than_it():
    directory = make_server_directory()
    directory.on_entry(server("s1"), 1, 0.0)
    directory.on_entry(server("s2", address="10.0.0.2:80"), 9, 0.0)
    assert directory.on_listing((), 5, 0.0) == ("s1",)
    assert usable(directory) == ["s2"]


def test_draining_reported_by_the_agent_stops_work_before_the_list_does():
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    assert directory.on_draining_reported("s1", 1, 0.0)
    assert usable(directory) == []
    assert not directory.on_draining_reported("s1", 1, 0.0)


class DirectoryMachine(RuleBasedStateMachine):
    """Entries with offsets in any order; a drained incarnation gets no work again.

    A former incarnation comes back only by two of its entries that are further apart
    than a delayed write, with none of the later incarnation between them.
    """

    @initialize()
    def start(self):
        self.directory = make_server_directory()
        self.drained = set()
        self.believed_ms = 0
        self.contradicted = None
        self.offset = self.applied = 0
        self.now_s = 0.0

    @rule(started_ms=st.integers(1, 4), draining=st.booleans(), late=st.integers(0, 3))
    def entry(self, started_ms, draining, late):
        self.offset += 1
        state = ServerState.DRAINING if draining else ServerState.READY
        offset = self.offset - late
        self._expect(started_ms, offset)
        known = self.directory.find("s1")
        changed = self.directory.on_entry(
            server(started_ms=started_ms, state=state), offset, self.now_s
        )
        after = self.directory.find("s1")
        is_current = after.started_ms == started_ms and (changed or after == known)
        if draining and is_current and after.state is ServerState.DRAINING:
            self.drained.add(started_ms)

    def _expect(self, started_ms, offset):
        if self.believed_ms and offset <= self.applied:
            return
        if started_ms < self.believed_ms:
            self.contradicted = self.contradicted or (offset, self.now_s)
            first, since_s = self.contradicted
            if offset <= first or self.now_s - since_s < CONTRADICTION_TIMEOUT_S:
                return
        self.believed_ms, self.applied = started_ms, offset
        self.contradicted = None

    @rule()
    def removed(self):
        self.offset += 1
        if self.believed_ms:
            self.applied = self.offset
        self.directory.on_removed("s1", self.offset, self.now_s)

    @rule()
    def store_goes_and_returns(self):
        self.directory.on_store_lost(self.now_s)
        self.now_s += 1.0
        self.directory.on_store_recovered(self.now_s)

    @rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @invariant()
    def drained_incarnations_get_no_work(self):
        for registered in self.directory.usable(DRAFTING, self.now_s):
            assert registered.started_ms not in self.drained

    @invariant()
    def no_incarnation_comes_back_by_a_delayed_write(self):
        known = self.directory.find("s1")
        assert (known.started_ms if known else 0) == self.believed_ms


TestDirectoryMachine = DirectoryMachine.TestCase


def test_changed_orders_alone_are_no_change():
    directory = make_server_directory()
    directory.on_entry(server(), 1, 0.0)
    assert not directory.on_entry(replace(server(), orders=7), 2, 0.0)


def test_servers_of_an_evacuated_zone_get_no_work_until_it_is_revoked():
    directory = make_server_directory()
    directory.on_entry(server("s1"), 1, 0.0)
    directory.on_entry(
        replace(server("s2", address="10.0.0.2:80"), zone=ZoneId("b")), 2, 0.0
    )
    directory.evacuations.on_record(ZoneId("a"), True, 7, 0.0)
    assert usable(directory) == ["s2"]
    assert not directory.is_usable("s1", 0.0)
    assert [each.server for each in directory.present(0.0)] == ["s1", "s2"]
    directory.evacuations.on_record(ZoneId("a"), False, 8, 0.0)
    assert usable(directory) == ["s1", "s2"]
