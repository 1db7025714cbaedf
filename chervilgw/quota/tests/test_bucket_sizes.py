"""Debits of all sizes get their part of a bucket that is asked beyond its rate."""

import math
import random

import pytest
from returns.pipeline import is_successful

from chervilgw.quota.bucket import make_bucket

RATE_PER_S, BURST = 10_000.0, 30_000.0
LEAST_OF_ALL = 0.5
"""The operators' bound: the largest tenth of a kind, and the fifth below it, are served
at least half as often as the whole kind."""


def play(offered, seed, seconds=40.0):
    """Return (size, was granted) of debits after the burst is spent, and the tokens."""
    rng, bucket = random.Random(seed), make_bucket(RATE_PER_S, BURST, 0.0)
    mean, spread, now_s, used, played = 700.0, 0.96, 0.0, 0, []
    while (now_s := now_s + rng.expovariate(offered * RATE_PER_S / mean)) < seconds:
        drawn = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        tokens = max(40, min(4_400, int(drawn)))
        debit = bucket.try_debit(tokens, now_s)
        if is_successful(debit):
            bucket.settle(debit.unwrap(), tokens, now_s)
            used += tokens
        if now_s > BURST / RATE_PER_S:
            played.append((tokens, is_successful(debit)))
    return played, used / seconds


def share(played):
    return sum(granted for _, granted in played) / len(played)


@pytest.mark.parametrize("offered", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_large_debits_are_not_starved_by_small_ones(offered, seed):
    """Pattern: a customer sends up to six times its rate, in requests of mixed sizes.

    Guards against large requests that are refused for as long as smaller ones take each
    token as it comes.
    """
    played, used_per_s = play(offered, seed)
    ordered = sorted(played)
    tenth = len(ordered) // 10
    least = LEAST_OF_ALL * share(ordered)
    assert share(ordered[-tenth:]) >= least
    assert share(ordered[-3 * tenth : -tenth]) >= least
    # What is kept free for large debits costs the customer nothing of its rate.
    assert used_per_s >= RATE_PER_S


def test_a_small_debit_waits_no_longer_than_a_refused_large_one_may_return():
    """Guards against tokens that are kept free for a caller that never returns."""
    bucket = make_bucket(100.0, 1_000.0, 0.0, level=300.0)
    assert not is_successful(bucket.try_debit(400, 0.0))
    assert not is_successful(bucket.try_debit(50, 0.1))
    assert is_successful(bucket.try_debit(50, 1.1))
    refused = make_bucket(100.0, 1_000.0, 0.0, level=100.0)
    assert not is_successful(refused.try_debit(900, 0.0))
    # Half of the burst at most is kept free.
    assert is_successful(refused.try_debit(50, 4.1))
