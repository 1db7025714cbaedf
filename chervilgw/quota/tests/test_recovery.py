"""Units that faults took out of use must come back by a collection."""

from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.tests.simulation import Fleet


def make_fleet(count=3):
    fleet = Fleet(1, {"acme": (100.0, 1000.0)})
    entries = [fleet.start(f"e{index}") for index in range(count)]
    fleet.advance(10.0)
    return fleet, entries


def test_units_come_back_after_a_vm_restarts_and_dies_before_its_join_is_read():
    """Guards against an earlier incarnation that stays a member for ever."""
    fleet, entries = make_fleet()
    assert fleet.entries[entries[2]].quota.units("acme") > 0
    # The second process of e2 ends before its first tick; only it is listed as gone.
    fleet.kill(fleet.start("e2"))
    fleet.advance(20.0)
    assert entries[2] not in fleet.entries[entries[0]].quota.members()
    assert fleet.held_units("acme") == SHARE_UNITS
