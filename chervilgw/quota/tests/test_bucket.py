"""A bucket must never grant more than its rate and burst."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from chervilgw.core.states import RefusalReason
from chervilgw.quota import SHARE_UNITS, QuotaError, make_bucket


def test_refill_while_a_debit_waits_does_not_double_the_burst():
    """Guards against a second burst after a pause of the holder.

    Without the cap on outstanding tokens 200 tokens instead of 100 run at 10 s.
    """
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    bucket.try_debit(100, now_s=0.0).unwrap()
    # The holder is paused for 10 s between the debit and the run.
    assert not is_successful(bucket.try_debit(1, now_s=10.0))
    assert bucket.level + bucket.outstanding <= bucket.cap


def test_refund_is_lost_when_the_bucket_was_full_meanwhile():
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    debit = bucket.try_debit(50, now_s=0.0).unwrap()
    bucket.confirm_start(debit, now_s=0.0)
    bucket.advance(5.0)
    bucket.try_debit(100, now_s=5.0).unwrap()
    assert bucket.settle(debit, used=0, now_s=5.0) == 0


def test_two_refunds_do_not_use_the_same_headroom():
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    first = bucket.try_debit(50, now_s=0.0).unwrap()
    second = bucket.try_debit(50, now_s=0.0).unwrap()
    bucket.confirm_start(first, now_s=0.0)
    bucket.confirm_start(second, now_s=0.0)
    bucket.advance(6.0)
    third = bucket.try_debit(60, now_s=6.0).unwrap()
    bucket.confirm_start(third, now_s=6.0)
    # With no charge for the two, 40 of a full bucket of 100 would remain.
    total = bucket.settle(first, 0, now_s=6.0) + bucket.settle(second, 0, now_s=6.0)
    assert total == pytest.approx(40)


def test_units_needed_by_outstanding_tokens_stay():
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    bucket.try_debit(70, now_s=0.0).unwrap()
    units, level = bucket.take(SHARE_UNITS, 100.0, now_s=0.0)
    assert (units, level) == (300_000, 30.0)
    assert bucket.outstanding <= bucket.cap


def test_a_started_run_cannot_be_cancelled():
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    debit = bucket.try_debit(70, now_s=0.0).unwrap()
    bucket.confirm_start(debit, now_s=0.0)
    with pytest.raises(QuotaError):
        bucket.cancel(debit, now_s=0.0)


def test_amount_above_the_burst_is_refused_without_a_retry_time():
    bucket = make_bucket(10.0, 100.0, now_s=0.0)
    refusal = bucket.try_debit(101, now_s=0.0).failure()
    assert refusal.reason is RefusalReason.LARGER_THAN_BURST
    assert refusal.retry_after_s is None


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["debit", "start", "settle", "cancel", "take", "put", "wait"]),
        st.floats(0, 1),
    ),
    max_size=80,
)


@given(STEPS)
def test_refunds_never_exceed_a_bucket_charged_with_the_real_amounts(steps):
    """Runs, counted at their start with the used tokens, must fit rate and burst."""
    rate, burst, now_s = 10.0, 100.0, 0.0
    bucket, waiting, started, runs, removed = (
        make_bucket(rate, burst, 0.0),
        [],
        [],
        [],
        [],
    )
    for step, fraction in steps:
        if step == "wait":
            now_s += fraction * 12
        elif step == "debit":
            result = bucket.try_debit(fraction * burst, now_s)
            if is_successful(result):
                waiting.append((result.unwrap(), fraction * burst))
        elif step == "start" and waiting:
            debit, amount = waiting.pop(0)
            bucket.confirm_start(debit, now_s)
            started.append((debit, amount * fraction))
            runs.append((now_s, amount * fraction))
        elif step == "settle" and started:
            debit, used = started.pop(int(fraction * (len(started) - 1)))
            bucket.settle(debit, used, now_s)
        elif step == "cancel" and waiting:
            bucket.cancel(waiting.pop()[0], now_s)
        elif step == "take":
            removed.append(bucket.take(int(fraction * SHARE_UNITS), 0.0, now_s))
        elif step == "put" and removed:
            bucket.put(*removed.pop(), now_s)
        assert bucket.level + bucket.outstanding <= bucket.cap + 1e-6
    for index, (begin_s, _) in enumerate(runs):
        total = 0.0
        for time_s, tokens in runs[index:]:
            total += tokens
            assert total <= rate * (time_s - begin_s) + burst + 1e-4
