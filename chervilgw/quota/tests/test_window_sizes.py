"""Requests of all sizes get their part of a limit that is asked beyond."""

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
LEAST_OF_ALL = 0.5
"""The operators' bound: the largest tenth of a kind, and the fifth below it, are served
at least half as often as the whole kind."""
LEAST_USED = 0.9
"""Part of its limit that a customer gets at least while it asks for more: what is kept
free for large requests must not cost the customer its rate."""
REPORT_S = 0.2


def arrivals(offered, seed, seconds=40.0):
    rng = random.Random(seed)
    now_s, mean, spread = 0.0, 700.0, 0.96
    while (
        now_s := now_s + rng.expovariate(offered * RULE.rate_per_s / mean)
    ) < seconds:
        tokens = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        yield now_s, max(40, min(4_400, int(tokens))), rng.random()


def play(offered, seed, entries):
    """Return (size, was granted, time) of requests spread over the entries."""
    quotas = [make_window_quota(WINDOW_S) for _ in range(entries)]
    names = [Incarnation(VmId(f"e{number}"), 1) for number in range(entries)]
    reported_s, played = 0.0, []
    for now_s, tokens, place in arrivals(offered, seed):
        if now_s - reported_s >= REPORT_S:
            reported_s = now_s
            for name, quota in zip(names, quotas, strict=True):
                for other in quotas:
                    if other is not quota:
                        other.on_report(name, quota.granted(now_s), now_s)
        quota = quotas[int(place * entries)]
        granted = is_successful(quota.reserve(RULE, tokens, now_s))
        played.append((tokens, granted, now_s))
    return played


def share(played):
    return sum(granted for _, granted, _ in played) / len(played)


@pytest.mark.parametrize("entries", [1, 4])
@pytest.mark.parametrize("offered", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_large_requests_get_their_part_of_a_limit(offered, seed, entries):
    """Pattern: a customer sends up to six times its limit, in requests of mixed sizes.

    Guards against large requests that are refused for as long as smaller ones take what
    is left of the limit.
    """
    played = [each for each in play(offered, seed, entries) if each[2] > WINDOW_S]
    ordered = sorted(played)
    tenth = len(ordered) // 10
    least = LEAST_OF_ALL * share(ordered)
    assert share(ordered[-tenth:]) >= least
    assert share(ordered[-3 * tenth : -tenth]) >= least
    used = sum(tokens for tokens, granted, _ in played if granted)
    seconds = played[-1][2] - played[0][2]
    assert used >= LEAST_USED * RULE.rate_per_s * seconds
