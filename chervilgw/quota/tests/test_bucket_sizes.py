"""A bucket with more demand than its rate must grant debits of all sizes."""

import math
import random

import pytest
from returns.pipeline import is_successful

from chervilgw.quota.bucket import make_bucket

RATE_PER_S, BURST = 10_000.0, 30_000.0
# The operators' bound: the largest tenth of the requests, and the fifth below it, are
# granted at least half as often as all of them.
MIN_SERVED_RATIO = 0.5


def simulate(offered, seed, seconds=40.0):
    """Return (size, was granted) of debits after the burst is spent, and the tokens."""
    rng, bucket = random.Random(seed), make_bucket(RATE_PER_S, BURST, 0.0)
    mean, sigma, now_s, used, results = 700.0, 0.96, 0.0, 0, []
    while (now_s := now_s + rng.expovariate(offered * RATE_PER_S / mean)) < seconds:
        drawn = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        tokens = max(40, min(4_400, int(drawn)))
        debit = bucket.try_debit(tokens, now_s)
        if is_successful(debit):
            bucket.settle(debit.unwrap(), tokens, now_s)
            used += tokens
        if now_s > BURST / RATE_PER_S:
            results.append((tokens, is_successful(debit)))
    return results, used / seconds


def granted_fraction(results):
    return sum(granted for _, granted in results) / len(results)


@pytest.mark.parametrize("offered", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_large_debits_are_not_starved_by_small_ones(offered, seed):
    """Guards against large debits that are refused while small ones take every token.

    A customer sends up to six times its rate, in requests of mixed sizes.
    """
    results, used_per_s = simulate(offered, seed)
    ordered = sorted(results)
    tenth = len(ordered) // 10
    min_fraction = MIN_SERVED_RATIO * granted_fraction(ordered)
    assert granted_fraction(ordered[-tenth:]) >= min_fraction
    assert granted_fraction(ordered[-3 * tenth : -tenth]) >= min_fraction
    # The level reserved for large debits must not reduce the customer's rate.
    assert used_per_s >= RATE_PER_S


def test_level_is_reserved_only_until_the_refused_debit_may_return():
    """Guards against level that stays reserved for a caller that never returns."""
    bucket = make_bucket(100.0, 1_000.0, 0.0, level=300.0)
    assert not is_successful(bucket.try_debit(400, 0.0))
    assert not is_successful(bucket.try_debit(50, 0.1))
    assert is_successful(bucket.try_debit(50, 1.1))
    refused = make_bucket(100.0, 1_000.0, 0.0, level=100.0)
    assert not is_successful(refused.try_debit(900, 0.0))
    # At most half of the burst is reserved.
    assert is_successful(refused.try_debit(50, 4.1))
