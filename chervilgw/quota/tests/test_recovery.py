"""Units that faults took out of use must come back by a collection."""

import pytest

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.core.messages import ShareRequest, ShareSnapshot, ShareTransfer
from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.ledger import SUPPLY_WAIT_S, make_quota
from chervilgw.quota.records import Collect, Denied, Granted, Join, Send
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


@pytest.mark.parametrize("index", [0, 1, 2])
def test_reservation_for_a_new_budget_waits_for_its_first_units(index):
    """Guards against a refusal while the first collection is under way."""
    fleet, entries = make_fleet()
    for me in entries:
        entry = fleet.entries[me]
        now_s = fleet.now_s + entry.clock_offset_s
        entry.quota.set_budget(BudgetName("new"), 1000.0, 5000.0, now_s)
    token = fleet.reserve(entries[index], "new", 100.0)
    fleet.advance(2.1)
    assert isinstance(fleet.results[token], Granted)


def test_reservation_for_a_new_budget_is_refused_after_two_seconds():
    """Guards against a wait without end when no collection is possible."""
    fleet, entries = make_fleet()
    fleet.log_up = False
    entry = fleet.entries[entries[0]]
    now_s = fleet.now_s + entry.clock_offset_s
    entry.quota.set_budget(BudgetName("new"), 1000.0, 5000.0, now_s)
    token = fleet.reserve(entries[0], "new", 100.0)
    fleet.advance(1.9)
    assert token not in fleet.results
    fleet.advance(0.2)
    assert isinstance(fleet.results[token], Denied)


def is_supplied(fleet, me):
    entry = fleet.entries[me]
    return entry.quota.is_supplied(fleet.now_s + entry.clock_offset_s)


def restart(fleet, vm):
    """Restart an entry's process and let time pass until it is supplied."""
    me = fleet.start(vm)
    assert not is_supplied(fleet, me)
    while not is_supplied(fleet, me):
        fleet.advance(0.02)
    return me


@pytest.mark.parametrize("lost", [0, 1], ids=["other-lost", "restarted-lost"])
def test_loss_after_a_restart_leaves_units_without_the_log(lost):
    """Guards against a restarted entry without units, or one that takes all of them."""
    fleet, entries = make_fleet(2)
    for _ in range(3):
        entries[1] = restart(fleet, "e1")
    fleet.log_up = False
    fleet.kill(entries[lost])
    fleet.advance(0.3)
    token = fleet.reserve(entries[1 - lost], "acme", 20.0)
    fleet.advance(0.3)
    assert isinstance(fleet.results[token], Granted)


def test_entry_that_cannot_get_units_counts_as_supplied_later():
    """Guards against an entry that never becomes ready without the log."""
    fleet, _ = make_fleet(2)
    fleet.log_up = False
    me = fleet.start("e2")
    fleet.advance(SUPPLY_WAIT_S - 0.1)
    assert not is_supplied(fleet, me)
    fleet.advance(0.2)
    assert is_supplied(fleet, me)


def test_units_given_between_two_reads_of_a_collection_count_once():
    """Guards against lost units that a collection leaves lost until the next audit.

    A giver that had read the collection counted units which a receiver that had not
    read it yet took, and counted as well.
    """
    acme, me, peer = BudgetName("acme"), *(Incarnation(VmId(v), 1) for v in "ab")
    quotas = {each: make_quota(each) for each in (me, peer)}
    for quota in quotas.values():
        quota.set_budget(acme, 100.0, 1000.0, 0.0)
        quota.set_peers((me, peer))

    def read(reader, offset, record):
        return quotas[reader].on_record(Offset(offset), record, 0.0)

    def message_of(outputs, kind):
        sent = [each.message for each in outputs if isinstance(each, Send)]
        return next(each for each in sent if isinstance(each, kind))

    collect = Collect("a/1", me, (), (me, peer), Offset(1))
    for reader in (me, peer):
        for offset, record in enumerate([Join(me), Join(peer), collect]):
            read(reader, offset, record)
    snapshot = message_of(quotas[peer].tick(0.0), ShareSnapshot)
    quotas[me].on_message(peer, snapshot, 0.0)
    assert quotas[me].units(acme) == SHARE_UNITS
    # Units are lost, as by a transfer to an entry that dies.
    quotas[me]._budgets.get(acme).surrender(200_000, 0.0)
    again = Collect("a/2", me, (), (me, peer), Offset(2))
    read(me, 3, again)
    request = ShareRequest(acme, 300_000, Offset(2), False)
    outputs = quotas[me].on_message(peer, request, 0.0)
    quotas[peer].on_message(me, message_of(outputs, ShareTransfer), 0.0)
    assert quotas[peer].units(acme) == 300_000
    read(peer, 3, again)
    snapshot = message_of(quotas[peer].tick(1.0), ShareSnapshot)
    assert snapshot.units.get(acme, 0) == 0
    quotas[me].on_message(peer, snapshot, 1.0)
    assert sum(quota.units(acme) for quota in quotas.values()) == SHARE_UNITS
