"""A customer within its rate must not be refused for an uneven spread of requests."""

import pytest

from chervilgw.quota.tests.spread import (
    Workload,
    count_refused_with_fixed_shares,
    count_refused_with_ledger,
    make_arrivals,
)


def test_uneven_spread_is_refused_at_most_once_in_a_thousand():
    workload = Workload((0.8, 0.15, 0.05), burst=10_000.0, requests=5000)
    arrivals = make_arrivals(workload)
    ledger, _ = count_refused_with_ledger(workload, arrivals)
    fixed = count_refused_with_fixed_shares(workload, arrivals, shares=3)
    print(f"refused of {len(arrivals)}: ledger {ledger}, equal fixed shares {fixed}")
    assert ledger <= len(arrivals) / 1000
    # With fixed shares the same workload is refused often.
    assert fixed > len(arrivals) / 20


@pytest.mark.parametrize("seed", [21, 23])
def test_full_holders_transfer_tokens_at_a_burst_of_five_seconds(seed):
    """Guards against refusals some 100 s after full holders dropped tokens."""
    workload = Workload((0.8, 0.15, 0.05), burst=5000.0, requests=10_000, seed=seed)
    arrivals = make_arrivals(workload)
    ledger, messages = count_refused_with_ledger(workload, arrivals)
    print(f"refused of {len(arrivals)}: {ledger}, {messages:.2f} messages per request")
    assert ledger <= len(arrivals) / 1000
