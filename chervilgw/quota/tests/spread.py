"""Poisson arrivals spread over entries, at the share ledger and two baselines."""

from __future__ import annotations

import random
from dataclasses import dataclass

from chervilgw.quota.bucket import make_bucket
from chervilgw.quota.records import Denied
from chervilgw.quota.tests.simulation import Fleet

# Interval of the clock ticks that drive the quota task of an entry.
TICK_S = 0.1

Arrival = tuple[float, int, float]


@dataclass(frozen=True)
class Workload:
    """One customer's requests at three entries, below its rate on average."""

    spread: tuple[float, ...]
    rate_per_s: float = 1000.0
    burst: float = 20_000.0
    mean_tokens: float = 100.0
    utilisation: float = 0.9
    requests: int = 20_000
    seed: int = 7


def make_arrivals(workload: Workload) -> list[Arrival]:
    """Return times, entries and tokens; sizes are uniform around the mean."""
    generator = random.Random(workload.seed)
    per_s = workload.rate_per_s * workload.utilisation / workload.mean_tokens
    arrivals, time_s = [], 10.0
    for _ in range(workload.requests):
        time_s += generator.expovariate(per_s)
        entry = generator.choices(range(len(workload.spread)), workload.spread)[0]
        arrivals.append(
            (time_s, entry, workload.mean_tokens * generator.uniform(0.2, 1.8))
        )
    return arrivals


def count_refused_with_fixed_shares(
    workload: Workload, arrivals: list[Arrival], shares: int
) -> int:
    """Return the refusals of equal fixed shares; one share is a central bucket."""
    units = 1_000_000 // shares
    buckets = [
        make_bucket(workload.rate_per_s, workload.burst, 0.0, units)
        for _ in range(shares)
    ]
    refused = 0
    for time_s, entry, tokens in arrivals:
        bucket = buckets[entry % shares]
        result = bucket.try_debit(tokens, time_s)
        refused += (
            result.map(
                lambda debit,
                bucket=bucket,
                time_s=time_s,
                tokens=tokens: bucket.settle(debit, tokens, time_s)
            ).value_or(None)
            is None
        )
    return refused


def count_refused_with_ledger(
    workload: Workload, arrivals: list[Arrival]
) -> tuple[int, float]:
    """Return the refusals of the share ledger, and its messages per request."""
    fleet = Fleet(workload.seed, {"acme": (workload.rate_per_s, workload.burst)})
    fleet.tick_s = TICK_S
    entries = [fleet.start(f"e{index}") for index in range(len(workload.spread))]
    # The bucket starts empty after a collection and fills within burst / rate.
    warm_up_s = 2 * workload.burst / workload.rate_per_s
    fleet.advance(warm_up_s)
    sent = fleet.messages
    for time_s, entry, tokens in arrivals:
        fleet.advance(max(0.0, time_s + warm_up_s - fleet.now_s))
        fleet.reserve(entries[entry], "acme", tokens)
    fleet.advance(2.0)
    assert len(fleet.results) == len(arrivals)
    denied = sum(isinstance(result, Denied) for result in fleet.results.values())
    excess = fleet.largest_window_excess("acme")
    assert excess <= workload.burst * (1 + 1e-6)
    return denied, (fleet.messages - sent) / len(arrivals)
