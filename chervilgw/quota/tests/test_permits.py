"""Permits in use must never exceed the count, also after the end of a sidecar."""

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.quota import make_permits, make_quota
from chervilgw.quota.budget_names import STORE_LOADS_AT_ONCE
from chervilgw.quota.records import Append, Send

SIDECAR = Incarnation(VmId("b1"), 1)
OTHER = Incarnation(VmId("b2"), 1)
LOADS, RATE = STORE_LOADS_AT_ONCE, BudgetName("loads_per_s")


def make_entry(count, settle_s=30.0):
    quota = make_quota(Incarnation(VmId("e1"), 1))
    quota.set_count_budget(LOADS, count, 0.0)
    quota.set_budget(RATE, 100.0, 100.0, 0.0)
    offset, now_s = 0, 0.0
    while now_s < 5.0:
        now_s += 0.1
        for output in quota.tick(now_s):
            if isinstance(output, Append):
                quota.on_record(Offset(offset), output.record, now_s)
                offset += 1
    return quota, make_permits(quota, settle_s=settle_s)


def granted(outputs):
    messages = [output.message for output in outputs if isinstance(output, Send)]
    return [
        message.permit_id
        for message in messages
        if isinstance(message, PermitGrant) and message.granted
    ]


def request(permits, name, now_s=5.0):
    message = PermitRequest(name, (LOADS, RATE))
    return granted(permits.on_request(SIDECAR, message, now_s))


def run(quota, permits, begin_s, end_s):
    names, now_s = [], begin_s
    while now_s < end_s:
        now_s += 0.05
        outputs = permits.filter_outputs(quota.tick(now_s), now_s) + permits.tick(now_s)
        names += granted(outputs)
    return names


def test_count_limits_permits_and_release_serves_the_queue():
    quota, permits = make_entry(2)
    assert request(permits, "a") + request(permits, "b") == ["a", "b"]
    assert request(permits, "c") == []
    assert run(quota, permits, 5.0, 6.0) == []
    names = granted(permits.on_release(SIDECAR, PermitRelease("a"), 6.0))
    assert names + run(quota, permits, 6.0, 8.0) == ["c"]
    assert permits.granted == 2


def test_repeated_request_gets_no_second_permit():
    _, permits = make_entry(2)
    assert request(permits, "a") == request(permits, "a") == ["a"]
    assert permits.granted == 1
    permits.on_release(SIDECAR, PermitRelease("a"), 6.0)
    assert request(permits, "a") == []


def test_permit_of_a_gone_sidecar_is_retained_until_its_load_has_settled():
    quota, permits = make_entry(1, settle_s=10.0)
    request(permits, "a")
    permits.set_gone([SIDECAR], 6.0)
    run(quota, permits, 6.0, 15.5)
    assert permits.granted == 1
    run(quota, permits, 15.5, 16.5)
    assert permits.granted == 0


def withheld(outputs):
    messages = [output.message for output in outputs if isinstance(output, Send)]
    return [message.permit_id for message in messages if message.is_withheld]


def test_sender_learns_that_a_lost_sidecar_may_hold_the_permits():
    """Guards against a model out of reach until the permit of a lost load ends."""
    quota, permits = make_entry(1, settle_s=10.0)
    request(permits, "a")
    permits.on_disconnected(SIDECAR, 6.0)
    permits.on_request(OTHER, PermitRequest("b", (LOADS, RATE)), 6.0)
    told_s, now_s = [], 6.0
    while now_s < 8.0:
        now_s += 0.05
        outputs = permits.filter_outputs(quota.tick(now_s), now_s) + permits.tick(now_s)
        told_s += [now_s for _ in withheld(outputs)]
    assert told_s[0] < 6.5 and told_s[-1] > 7.0
    assert permits.queued == 1


def test_request_waits_while_no_sidecar_is_lost():
    """Guards against loads without a permit while running ones release theirs."""
    quota, permits = make_entry(1, settle_s=10.0)
    permits.on_disconnected(OTHER, 5.0)
    permits.on_connected(OTHER)
    request(permits, "a")
    permits.on_request(OTHER, PermitRequest("b", (LOADS, RATE)), 6.0)
    now_s, told = 6.0, []
    while now_s < 8.0:
        now_s += 0.05
        outputs = permits.filter_outputs(quota.tick(now_s), now_s) + permits.tick(now_s)
        told += withheld(outputs)
    assert (told, permits.queued) == ([], 1)
