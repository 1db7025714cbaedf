"""Times of requests are estimated from those that finished before."""

import random

import pytest

from chervilgw.scheduling.service_rate import ServiceRate

FIXED_S, TOKEN_S = 0.1, 0.0001


def measured(sizes, time_of):
    rate = ServiceRate()
    for tokens in sizes:
        rate.finished(tokens, tokens, 0.0, time_of(tokens))
    return rate


def test_a_long_request_is_not_taken_for_as_slow_as_short_ones_by_the_token():
    """Guards against refusals of long requests as too late, where short ones go in.

    A token of a short request takes long: most of its time is the same for all sizes.
    """
    rng = random.Random(1)
    sizes = [rng.choice([20, 50, 100, 400, 1_000]) for _ in range(400)]
    rate = measured(sizes, lambda tokens: FIXED_S + TOKEN_S * tokens)
    for tokens in (20, 1_000, 4_000):
        expected_s = FIXED_S + TOKEN_S * tokens
        assert rate.service_s(tokens) == pytest.approx(expected_s, rel=0.1)


@pytest.mark.parametrize("tokens", [50, 100, 200])
def test_requests_of_one_size_are_taken_as_proportional(tokens):
    rate = measured([100] * 50, lambda size: 2.0)
    assert rate.service_s(tokens) == pytest.approx(2.0 * tokens / 100)


def test_an_estimate_is_never_negative():
    """Guards against an estimate of times that fall with the size."""
    rate = measured([100, 1_000] * 50, lambda size: 100.0 / size)
    assert 0.0 < rate.service_s(1) <= rate.service_s(100_000)


def test_nothing_is_known_before_the_first_request():
    assert ServiceRate().service_s(1_000) == 0.0
