"""A customer within its rate must not be refused because its requests are uneven."""

from chervilgw.quota.tests.spread import (
    Workload,
    make_arrivals,
    refused_fixed,
    refused_ours,
)


def test_uneven_spread_is_refused_at_most_once_in_a_thousand():
    workload = Workload((0.8, 0.15, 0.05), burst=10_000.0, requests=5000)
    arrivals = make_arrivals(workload)
    ours, _ = refused_ours(workload, arrivals)
    fixed = refused_fixed(workload, arrivals, parts=3)
    print(f"refused of {len(arrivals)}: ours {ours}, equal fixed shares {fixed}")
    assert ours <= len(arrivals) / 1000
    # Without moving units the same workload is refused often, so the test has a point.
    assert fixed > len(arrivals) / 20
