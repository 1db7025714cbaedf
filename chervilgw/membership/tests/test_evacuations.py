"""Sets of evacuated zones that are read, listed and exchanged in any order."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilgw.membership.evacuations import EvacuationChange, make_evacuations

READERS = st.integers(0, 2)
ZONES = st.sampled_from("abc")


class EvacuationsMachine(RuleBasedStateMachine):
    """Guards against a set that differs from the part of the log that it reflects.

    A late report of another entry would else evacuate a zone again after the evacuation
    was revoked, or the reverse.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.readers = [make_evacuations() for _ in range(3)]
        self.positions = [None] * 3
        self.known = [{} for _ in range(3)]
        self.ends = [0] * 3
        self.reports = []

    def expected(self, end):
        zones = {}
        for offset, (zone, is_evacuated) in enumerate(self.log[:end]):
            if is_evacuated:
                zones[zone] = offset
            else:
                zones.pop(zone, None)
        return zones

    def apply(self, reader, changes):
        for change in changes:
            assert self.known[reader].get(change.zone, False) != change.is_evacuated
            self.known[reader][change.zone] = change.is_evacuated

    @rule(zone=ZONES, is_evacuated=st.booleans())
    def append(self, zone, is_evacuated):
        self.log.append((zone, is_evacuated))

    @rule(reader=READERS)
    def list_all(self, reader):
        end = self.positions[reader] = len(self.log)
        changes = self.readers[reader].on_set(self.expected(end), end, 0.0)
        self.apply(reader, changes)

    @rule(reader=READERS)
    def read_next(self, reader):
        at = self.positions[reader]
        if at is not None and at < len(self.log):
            changes = self.readers[reader].on_record(*self.log[at], at, 0.0)
            self.apply(reader, changes)
            self.positions[reader] = at + 1

    @rule(reader=READERS)
    def send_report(self, reader):
        report = self.readers[reader].report(0.0)
        if report is not None:
            self.reports.append(report)

    @rule(reader=READERS, data=st.data())
    def receive_report(self, reader, data):
        if self.reports:
            report = data.draw(st.sampled_from(self.reports))
            changes = self.readers[reader].on_set(report.positions, report.end, 0.0)
            self.apply(reader, changes)

    @invariant()
    def sets_equal_the_log(self):
        for index, reader in enumerate(self.readers):
            report, known = reader.report(0.0), self.known[index]
            zones, end = (report.positions, report.end) if report else ({}, 0)
            assert end >= self.ends[index]
            self.ends[index] = end
            assert zones == self.expected(end)
            assert {zone for zone in "abc" if zone in reader} == zones.keys()
            assert {zone for zone, is_in in known.items() if is_in} == zones.keys()


TestEvacuationsMachine = EvacuationsMachine.TestCase


def test_record_appended_during_a_listing_is_applied_once():
    """Guards against an older record that revokes what the listing showed already."""
    evacuations = make_evacuations()
    # The log ended at 4 when the listing began; records 4 and 5 came meanwhile.
    evacuations.on_set({"a": 5}, 4, 0.0)
    assert evacuations.on_record("a", False, 4, 0.0) == ()
    assert evacuations.on_record("a", True, 5, 0.0) == ()
    assert evacuations.on_set({}, 5, 0.0) == ()
    assert evacuations.on_record("a", False, 6, 0.0) == (EvacuationChange("a", False),)


def test_record_that_another_entry_had_read_before_changes_nothing():
    """Guards against an entry that falls behind what it knew from a peer."""
    evacuations = make_evacuations()
    evacuations.on_set({}, 9, 0.0)
    assert evacuations.on_record("a", True, 6, 0.0) == ()
    assert evacuations.report(0.0).end == 9
