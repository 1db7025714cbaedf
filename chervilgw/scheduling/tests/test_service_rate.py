"""Tests of the service times estimated from finished requests."""

import random

import pytest

from chervilgw.scheduling.service_rate import ServiceRate

FIXED_S, TOKEN_S = 0.1, 0.0001


def measured(sizes, time_of):
    rate = ServiceRate()
    for tokens in sizes:
        rate.record_finished(tokens, tokens, 0.0, time_of(tokens))
    return rate


def test_long_requests_are_not_estimated_by_the_time_per_token_of_short_ones():
    """Guards against refusing long requests as too late by an overestimate.

    Most of the time of a short request does not depend on its size, so its time per
    token is high.
    """
    rng = random.Random(1)
    sizes = [rng.choice([20, 50, 100, 400, 1_000]) for _ in range(400)]
    rate = measured(sizes, lambda tokens: FIXED_S + TOKEN_S * tokens)
    for tokens in (20, 1_000, 4_000):
        expected_s = FIXED_S + TOKEN_S * tokens
        assert rate.service_s(tokens) == pytest.approx(expected_s, rel=0.1)


@pytest.mark.parametrize("tokens", [50, 100, 200])
def test_times_are_proportional_if_all_requests_had_one_size(tokens):
    """Guards against a fit without a slope when all samples have the same size."""
    rate = measured([100] * 50, lambda size: 2.0)
    assert rate.service_s(tokens) == pytest.approx(2.0 * tokens / 100)


def test_an_estimate_is_never_negative():
    """Guards against negative estimates when times fall with the size."""
    rate = measured([100, 1_000] * 50, lambda size: 100.0 / size)
    assert 0.0 < rate.service_s(1) <= rate.service_s(100_000)


def test_service_time_is_zero_before_the_first_request():
    """Guards against refusals that are based on no measurement."""
    assert ServiceRate().service_s(1_000) == 0.0
