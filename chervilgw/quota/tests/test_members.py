"""A claimant with incomplete members would take units that a member still uses."""

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.quota import make_quota
from chervilgw.quota.records import Append, Collect, Join

LOCAL, PEER = Incarnation(VmId("e1"), 1), Incarnation(VmId("e2"), 1)
ACME = BudgetName("acme")


def make_joined_after_truncation():
    """Return a ledger that read only its own join record, at offset 7."""
    quota = make_quota(LOCAL)
    quota.set_budget(ACME, 10.0, 100.0, 0.0)
    quota.on_log_truncated(Offset(7))
    quota.on_record(Offset(7), Join(LOCAL), 0.1)
    return quota


def collections(quota, start_s, end_s):
    """Tick without reading anything back; return the collections to append."""
    records, now_s = [], start_s
    while now_s < end_s:
        now_s += 0.1
        appends = [output for output in quota.tick(now_s) if isinstance(output, Append)]
        records += [
            append.record for append in appends if isinstance(append.record, Collect)
        ]
    return records


def test_ledger_on_a_truncated_log_starts_no_collection():
    """Guards against a claim that omits members with earlier join records."""
    quota = make_joined_after_truncation()
    assert collections(quota, 0.1, 30.0) == []


def test_ledger_on_a_truncated_log_does_not_complete_its_own_collection():
    quota = make_joined_after_truncation()
    record = Collect("e1/1/1", LOCAL, (), (LOCAL,), Offset(5))
    quota.on_record(Offset(8), record, 1.0)
    quota.tick(1.1)
    assert quota.units(ACME) == 0


def test_collection_record_restores_members_of_dropped_records():
    quota = make_joined_after_truncation()
    record = Collect("e2/1/1", PEER, (), (LOCAL, PEER), Offset(7))
    quota.on_record(Offset(8), record, 1.0)
    assert quota.members() == (LOCAL, PEER)
    assert collections(quota, 1.0, 700.0)


def test_confirmed_members_may_collect():
    """Guards against a fleet on a truncated log that never gets units."""
    quota = make_joined_after_truncation()
    quota.confirm_members()
    record = collections(quota, 0.1, 3.0)[0]
    assert record.members == (LOCAL,)
    quota.on_record(Offset(8), record, 3.0)
    assert quota.units(ACME) == 1_000_000


def test_truncation_of_records_already_read_changes_nothing():
    quota = make_quota(LOCAL)
    quota.set_budget(ACME, 10.0, 100.0, 0.0)
    quota.on_record(Offset(0), Join(LOCAL), 0.1)
    quota.on_log_truncated(Offset(1))
    assert collections(quota, 0.1, 3.0)
