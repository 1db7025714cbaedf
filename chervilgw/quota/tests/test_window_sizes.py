"""A limit with more demand than it allows must grant requests of all sizes."""

import math
import random

import pytest
from returns.pipeline import is_successful

from chervilgw.core.deployment import CustomerRule
from chervilgw.core.ids import CustomerId, Incarnation, VmId
from chervilgw.quota.window import make_window_quota

WINDOW_S = 8.0
RULE = CustomerRule(CustomerId("a"), None, 10_000.0, 30_000.0, True, 1)
LIMIT_TOKENS = RULE.rate_per_s * WINDOW_S + RULE.burst
# The operators' bound: the largest tenth of the requests, and the fifth below it, are
# granted at least half as often as all of them.
MIN_SERVED_RATIO = 0.5
# Least fraction of its rate that a customer with more demand gets: amounts announced to
# refused callers must not reduce the rate.
MIN_USED_FRACTION = 0.9
REPORT_INTERVAL_S = 0.2


def arrivals(offered, seed, seconds=40.0):
    rng = random.Random(seed)
    now_s, mean, sigma = 0.0, 700.0, 0.96
    while (
        now_s := now_s + rng.expovariate(offered * RULE.rate_per_s / mean)
    ) < seconds:
        tokens = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        yield now_s, max(40, min(4_400, int(tokens))), rng.random()


def simulate(offered, seed, entries):
    """Return (size, was granted, time) of requests spread over the entries."""
    quotas = [make_window_quota(WINDOW_S) for _ in range(entries)]
    names = [Incarnation(VmId(f"e{number}"), 1) for number in range(entries)]
    reported_s, results = 0.0, []
    for now_s, tokens, position in arrivals(offered, seed):
        if now_s - reported_s >= REPORT_INTERVAL_S:
            reported_s = now_s
            for name, quota in zip(names, quotas, strict=True):
                for other in quotas:
                    if other is not quota:
                        other.on_report(name, quota.granted(now_s), now_s)
        quota = quotas[int(position * entries)]
        granted = is_successful(quota.reserve(RULE, tokens, now_s))
        results.append((tokens, granted, now_s))
    return results


def granted_fraction(results):
    return sum(granted for _, granted, _ in results) / len(results)


@pytest.mark.parametrize("entries", [1, 4])
@pytest.mark.parametrize("offered", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_large_requests_are_not_starved_by_small_ones(offered, seed, entries):
    """Guards against large requests that are refused while small ones use the limit.

    A customer sends up to six times its limit, in requests of mixed sizes.
    """
    results = [
        result for result in simulate(offered, seed, entries) if result[2] > WINDOW_S
    ]
    ordered = sorted(results)
    tenth = len(ordered) // 10
    min_fraction = MIN_SERVED_RATIO * granted_fraction(ordered)
    assert granted_fraction(ordered[-tenth:]) >= min_fraction
    assert granted_fraction(ordered[-3 * tenth : -tenth]) >= min_fraction
    used = sum(tokens for tokens, granted, _ in results if granted)
    seconds = results[-1][2] - results[0][2]
    assert used >= MIN_USED_FRACTION * RULE.rate_per_s * seconds
