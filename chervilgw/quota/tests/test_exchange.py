"""Level that moves without units is neither lost nor counted twice."""

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


def free_tokens(fleet, me):
    """Return the level of an entry, by debits of one token each that are returned."""
    quota, now_s = fleet.entries[me].quota, fleet.now_s
    now_s += fleet.entries[me].clock_offset_s
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


def test_full_receiver_returns_what_it_has_no_room_for(two_entries):
    fleet, first, second = two_entries
    quota = fleet.entries[first].quota
    now_s = fleet.now_s + fleet.entries[first].clock_offset_s
    units = quota.units(ACME)
    gift = ShareTransfer("e1/1/900", ACME, 0, 100.0, quota.ledger_offset)
    before = free_tokens(fleet, first)
    [send, *_] = quota.on_message(second, gift, now_s)
    assert send == Send(second, ShareReply("e1/1/900", True, 100.0))
    # A late copy gets the same answer and brings no tokens either.
    assert quota.on_message(second, gift, now_s) == [send]
    assert (free_tokens(fleet, first), quota.units(ACME)) == (before, units)


def test_level_from_before_a_collection_is_refused():
    me, peer = Incarnation(VmId("e0"), 1), Incarnation(VmId("e1"), 1)
    fleet = Fleet(1, {"acme": (10.0, 1000.0)})
    quota = fleet.entries[fleet.start("e0")].quota
    for offset, record in enumerate(
        [Join(me), Join(peer), Collect("c", me, (), (me, peer), Offset(1))]
    ):
        quota.on_record(Offset(offset), record, 0.0)
    gift = ShareTransfer("e1/1/1", ACME, 0, 100.0, Offset(1))
    [send, *_] = quota.on_message(peer, gift, 0.0)
    assert send.message == ShareReply("e1/1/1", False)
