"""Removal of a budget must deny waiting requests and keep outstanding tokens."""

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.core.states import RefusalReason
from chervilgw.quota import make_quota
from chervilgw.quota.records import Append, Denied, Granted

ACME = BudgetName("acme")


def make_entry():
    """Return a ledger that holds all units, with a full bucket, at 20 s."""
    quota, offset, now_s = make_quota(Incarnation(VmId("e1"), 1)), 0, 0.0
    quota.set_budget(ACME, 10.0, 100.0, 0.0)
    while now_s < 20.0:
        now_s += 0.1
        for output in quota.tick(now_s):
            if isinstance(output, Append):
                quota.on_record(Offset(offset), output.record, now_s)
                offset += 1
    return quota


def test_removed_budget_denies_waiting_and_new_reservations():
    quota = make_entry()
    assert isinstance(quota.reserve("a", ACME, 100.0, 20.0)[0], Granted)
    assert quota.reserve("b", ACME, 1.0, 20.0) == []
    (denied,) = quota.remove_budget(ACME, 20.0)
    assert isinstance(denied, Denied) and denied.token == "b"
    (later,) = quota.reserve("c", ACME, 1.0, 20.1)
    assert later.refusal.reason is RefusalReason.NOT_ALLOWED
    assert quota.units(ACME) == 0


def test_outstanding_tokens_count_when_a_removed_budget_is_configured_again():
    """Guards against a second burst while runs of the first have not started."""
    quota = make_entry()
    (granted,) = quota.reserve("a", ACME, 100.0, 20.0)
    quota.remove_budget(ACME, 20.0)
    quota.set_budget(ACME, 10.0, 100.0, 21.0)
    quota.reserve("b", ACME, 50.0, 60.0)
    assert not any(isinstance(output, Granted) for output in quota.tick(60.1))
    (after,) = quota.cancel(granted.debit, 60.1)
    assert isinstance(after, Granted) and after.token == "b"


def test_late_end_of_a_run_does_not_touch_a_new_budget_of_the_same_name():
    quota = make_entry()
    (granted,) = quota.reserve("a", ACME, 100.0, 20.0)
    quota.remove_budget(ACME, 20.0)
    quota.cancel(granted.debit, 20.1)
    quota.set_budget(ACME, 10.0, 100.0, 21.0)
    quota.settle(granted.debit, 0.0, 21.0)
    assert quota.units(ACME) == 0
