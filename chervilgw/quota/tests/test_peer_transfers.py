"""Level that is transferred without units is neither lost nor counted twice."""

import pytest

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.core.messages import ShareReply, ShareTransfer
from chervilgw.quota.records import Collect, Granted, Join, Send
from chervilgw.quota.tests.simulation import Fleet

ACME = BudgetName("acme")


@pytest.fixture
def two_entries():
    fleet = Fleet(1, {"acme": (10.0, 1000.0)})
    first, second = fleet.start("e0"), fleet.start("e1")
    fleet.advance(250.0)
    return fleet, first, second


def free_tokens(fleet, incarnation):
    """Return the level of an entry, measured by debits that are cancelled again."""
    quota, now_s = fleet.entries[incarnation].quota, fleet.now_s
    now_s += fleet.entries[incarnation].clock_offset_s
    fleet.network.cut.add(frozenset(fleet.entries))
    debits = []
    while True:
        [output, *_] = quota.reserve(f"t{len(debits)}", ACME, 1.0, now_s) or [None]
        if not isinstance(output, Granted):
            break
        debits.append(output.debit)
    quota.abandon(f"t{len(debits)}", ACME)
    for debit in debits:
        quota.cancel(debit, now_s)
    return len(debits)


def test_full_receiver_returns_level_above_its_cap(two_entries):
    fleet, first, second = two_entries
    quota = fleet.entries[first].quota
    now_s = fleet.now_s + fleet.entries[first].clock_offset_s
    units = quota.units(ACME)
    transfer = ShareTransfer("e1/1/900", ACME, 0, 100.0, quota.ledger_offset)
    before = free_tokens(fleet, first)
    [send, *_] = quota.on_message(second, transfer, now_s)
    assert send == Send(second, ShareReply("e1/1/900", True, 100.0))
    # A late copy gets the same answer and adds no tokens.
    assert quota.on_message(second, transfer, now_s) == [send]
    assert (free_tokens(fleet, first), quota.units(ACME)) == (before, units)


def test_level_from_before_a_collection_is_refused():
    local, peer = Incarnation(VmId("e0"), 1), Incarnation(VmId("e1"), 1)
    fleet = Fleet(1, {"acme": (10.0, 1000.0)})
    quota = fleet.entries[fleet.start("e0")].quota
    for offset, record in enumerate(
        [Join(local), Join(peer), Collect("c", local, (), (local, peer), Offset(1))]
    ):
        quota.on_record(Offset(offset), record, 0.0)
    transfer = ShareTransfer("e1/1/1", ACME, 0, 100.0, Offset(1))
    [send, *_] = quota.on_message(peer, transfer, 0.0)
    assert send.message == ShareReply("e1/1/1", False)
