"""Callers that were refused during a load do not come back all at once."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from chervilgw.core.ids import ModelName
from chervilgw.routing.retry_times import HONOURED_SHARE, make_retry_times

MODEL, OTHER = ModelName("a"), ModelName("b")


def test_callers_of_a_model_that_loads_come_back_at_the_pace_of_an_engine():
    """Pattern: demand turns to a model that no engine holds; its load takes 4 s.

    Guards against fifty callers that come back in the same tenth of a second, of whom
    the engine serves eight in time.
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


def test_models_do_not_share_places():
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
def test_no_caller_is_told_to_come_back_too_early_or_too_late(steps):
    times, now_s = make_retry_times(), 0.0
    for step_s, ready_in_s, left_s in steps:
        now_s += step_s
        after_s = times.retry_after_s(MODEL, ready_in_s, 0.1, left_s, now_s)
        assert after_s >= ready_in_s - 1e-9
        assert after_s <= max(ready_in_s, left_s * HONOURED_SHARE) + 1e-9
        times.drop_past(now_s)
