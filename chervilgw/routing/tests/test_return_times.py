"""Retry times of callers that were refused during a load."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from chervilgw.core.ids import ModelName
from chervilgw.routing.return_times import HONOURED_WAIT_FRACTION, make_retry_times

MODEL, OTHER = ModelName("a"), ModelName("b")


def test_callers_of_a_loading_model_retry_at_the_prefill_rate():
    """Guards against fifty retries within 0.1 s, of which eight are served in time.

    The callers request a model that no engine holds and whose load takes 4 s.
    """
    times, back_s = make_retry_times(), []
    for number in range(40):
        now_s = 0.1 * number
        back_s.append(
            now_s + times.retry_after_s(MODEL, 4.0 - now_s, 0.07, 20.0, now_s)
        )
    gaps = [after - before for before, after in pairwise(back_s)]
    assert back_s[0] == 4.0
    assert min(gaps) > 0.069


def test_retry_times_of_models_are_independent():
    times = make_retry_times()
    first = [times.retry_after_s(MODEL, 1.0, 0.5, 30.0, 0.0) for _ in range(3)]
    assert first == [1.0, 1.5, 2.0]
    assert times.retry_after_s(OTHER, 1.0, 0.5, 30.0, 0.0) == 1.0


@given(
    st.lists(
        st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 9.0), st.floats(0.0, 30.0)),
        max_size=30,
    )
)
def test_no_retry_time_is_too_early_or_too_late(steps):
    """Guards against a retry before the load ends or after the client has given up."""
    times, now_s = make_retry_times(), 0.0
    for step_s, ready_in_s, remaining_s in steps:
        now_s += step_s
        after_s = times.retry_after_s(MODEL, ready_in_s, 0.1, remaining_s, now_s)
        assert after_s >= ready_in_s - 1e-9
        assert after_s <= max(ready_in_s, remaining_s * HONOURED_WAIT_FRACTION) + 1e-9
        times.drop_past(now_s)
