"""Whole permits move between entries, and never exceed the count together."""

from chervilgw.core.ids import BudgetName, Incarnation, VmId
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.quota import make_permits
from chervilgw.quota.records import Denied, Granted, Send
from chervilgw.quota.tests.simulation import Fleet

SIDECAR = Incarnation(VmId("b1"), 1)
LOADS, RATE = BudgetName("loads"), BudgetName("rate")


class PermitFleet(Fleet):
    """Three entries with a permit queue each, for one sidecar."""

    def __init__(self, count):
        super().__init__(1, {"rate": (1000.0, 1000.0)})
        self.granted = []
        self.started = [self.start(f"e{index}") for index in range(3)]
        self.permits = {}
        for incarnation in self.started:
            quota = self.entries[incarnation].quota
            quota.set_count_budget(LOADS, count, 0.0)
            self.permits[incarnation] = make_permits(quota)
        self.advance_permits(10.0)

    def _perform(self, entry, output):
        if isinstance(output, Granted | Denied):
            self.call(entry, self.permits[entry.incarnation].filter_outputs, [output])
        elif isinstance(output, Send) and isinstance(output.message, PermitGrant):
            if output.message.granted:
                self.granted.append(output.message.permit_id)
        else:
            super()._perform(entry, output)

    def advance_permits(self, duration_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.advance(0.05)
            for incarnation in self.started:
                self.call(self.entries[incarnation], self.permits[incarnation].tick)

    def request(self, index, name):
        entry = self.entries[self.started[index]]
        message = PermitRequest(name, (LOADS, RATE))
        self.call(entry, self.permits[entry.incarnation].on_request, SIDECAR, message)
        self.advance_permits(2.0)

    def release(self, index, name):
        entry = self.entries[self.started[index]]
        message = PermitRelease(name)
        self.call(entry, self.permits[entry.incarnation].on_release, SIDECAR, message)


def test_one_entry_gets_every_permit_that_the_others_do_not_use():
    """Guards against permits that stay idle at entries without requests."""
    fleet = PermitFleet(4)
    for name in "abcd":
        fleet.request(0, name)
    assert fleet.granted == ["a", "b", "c", "d"]
    fleet.request(1, "e")
    assert fleet.granted == ["a", "b", "c", "d"]
    # A released permit goes to the entry whose request waits.
    fleet.release(0, "a")
    fleet.advance_permits(2.0)
    assert fleet.granted[4:] == ["e"]


def test_a_single_permit_moves_whole_between_entries():
    """Guards against fractions of a permit at several entries, which none can use."""
    fleet = PermitFleet(1)
    for index, name in [(0, "a"), (1, "b"), (2, "c"), (1, "d"), (0, "e")]:
        fleet.request(index, name)
        assert fleet.granted[-1:] == [name]
        fleet.release(index, name)


def test_permits_of_all_entries_together_never_exceed_the_count():
    fleet = PermitFleet(5)
    for number in range(9):
        fleet.request(number % 3, str(number))
    assert sum(permits.granted for permits in fleet.permits.values()) == 5
