"""Units lost by faults must be restored by a collection."""

import pytest

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.core.messages import ShareRequest, ShareSnapshot, ShareTransfer
from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.ledger import MAX_SUPPLY_WAIT_S, make_quota
from chervilgw.quota.records import Collect, Denied, Granted, Join, Send
from chervilgw.quota.tests.simulation import Fleet


def make_fleet(count=3):
    fleet = Fleet(1, {"acme": (100.0, 1000.0)})
    entries = [fleet.start(f"e{index}") for index in range(count)]
    fleet.advance(10.0)
    return fleet, entries


def test_units_are_collected_after_a_restarted_vm_dies_before_its_join_is_read():
    """Guards against an earlier incarnation that stays a member for ever."""
    fleet, entries = make_fleet()
    assert fleet.entries[entries[2]].quota.units("acme") > 0
    # The second process of e2 ends before its first tick; only it is reported as gone.
    fleet.kill(fleet.start("e2"))
    fleet.advance(20.0)
    assert entries[2] not in fleet.entries[entries[0]].quota.members()
    assert fleet.held_units("acme") == SHARE_UNITS


@pytest.mark.parametrize("index", [0, 1, 2])
def test_reservation_for_a_new_budget_waits_for_its_first_units(index):
    """Guards against a refusal during the first collection."""
    fleet, entries = make_fleet()
    for incarnation in entries:
        entry = fleet.entries[incarnation]
        now_s = fleet.now_s + entry.clock_offset_s
        entry.quota.set_budget(BudgetName("new"), 1000.0, 5000.0, now_s)
    token = fleet.reserve(entries[index], "new", 100.0)
    fleet.advance(2.1)
    assert isinstance(fleet.results[token], Granted)


def test_reservation_for_a_new_budget_is_refused_after_two_seconds():
    """Guards against an endless wait when no collection is possible."""
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


def is_supplied(fleet, incarnation):
    entry = fleet.entries[incarnation]
    return entry.quota.is_supplied(fleet.now_s + entry.clock_offset_s)


def restart(fleet, vm):
    """Restart an entry's process and advance the time until it is supplied."""
    incarnation = fleet.start(vm)
    assert not is_supplied(fleet, incarnation)
    while not is_supplied(fleet, incarnation):
        fleet.advance(0.02)
    return incarnation


@pytest.mark.parametrize("killed", [0, 1], ids=["other-killed", "restarted-killed"])
def test_loss_after_a_restart_leaves_units_without_the_log(killed):
    """Guards against a restarted entry without units, or one that takes all of them."""
    fleet, entries = make_fleet(2)
    for _ in range(3):
        entries[1] = restart(fleet, "e1")
    fleet.log_up = False
    fleet.kill(entries[killed])
    fleet.advance(0.3)
    token = fleet.reserve(entries[1 - killed], "acme", 20.0)
    fleet.advance(0.3)
    assert isinstance(fleet.results[token], Granted)


def test_entry_that_cannot_get_units_counts_as_supplied_later():
    """Guards against an entry that never becomes ready without the log."""
    fleet, _ = make_fleet(2)
    fleet.log_up = False
    incarnation = fleet.start("e2")
    fleet.advance(MAX_SUPPLY_WAIT_S - 0.1)
    assert not is_supplied(fleet, incarnation)
    fleet.advance(0.2)
    assert is_supplied(fleet, incarnation)


def test_units_transferred_between_two_reads_of_a_collection_count_once():
    """Guards against lost units that a collection does not restore.

    The sender had read the collection record, the receiver had not, and both counted
    the transferred units.
    """
    acme, local, peer = BudgetName("acme"), *(Incarnation(VmId(v), 1) for v in "ab")
    quotas = {incarnation: make_quota(incarnation) for incarnation in (local, peer)}
    for quota in quotas.values():
        quota.set_budget(acme, 100.0, 1000.0, 0.0)
        quota.set_peers((local, peer))

    def read(reader, offset, record):
        return quotas[reader].on_record(Offset(offset), record, 0.0)

    def message_of(outputs, kind):
        sent = [
            incarnation.message
            for incarnation in outputs
            if isinstance(incarnation, Send)
        ]
        return next(
            incarnation for incarnation in sent if isinstance(incarnation, kind)
        )

    collect = Collect("a/1", local, (), (local, peer), Offset(1))
    for reader in (local, peer):
        for offset, record in enumerate([Join(local), Join(peer), collect]):
            read(reader, offset, record)
    snapshot = message_of(quotas[peer].tick(0.0), ShareSnapshot)
    quotas[local].on_message(peer, snapshot, 0.0)
    assert quotas[local].units(acme) == SHARE_UNITS
    # Units are lost, as by a transfer to an entry that dies.
    quotas[local]._budgets.get(acme).release(200_000, 0.0)
    again = Collect("a/2", local, (), (local, peer), Offset(2))
    read(local, 3, again)
    request = ShareRequest(acme, 300_000, Offset(2), False)
    outputs = quotas[local].on_message(peer, request, 0.0)
    quotas[peer].on_message(local, message_of(outputs, ShareTransfer), 0.0)
    assert quotas[peer].units(acme) == 300_000
    read(peer, 3, again)
    snapshot = message_of(quotas[peer].tick(1.0), ShareSnapshot)
    assert snapshot.units.get(acme, 0) == 0
    quotas[local].on_message(peer, snapshot, 1.0)
    assert sum(quota.units(acme) for quota in quotas.values()) == SHARE_UNITS
