"""Wrongful refusals of the share ledger and of equal fixed shares, by spread.

Run ``python -m benchmarks.quota_spread [requests] [seed]``. One customer sends 90% of
its rate to three simulated entries 1 ms apart; a central bucket shows what is
unavoidable.
"""

from __future__ import annotations

import sys

from chervilgw.quota.tests.spread import (
    Workload,
    count_refused_with_fixed_shares,
    count_refused_with_ledger,
    make_arrivals,
)

SPREADS = {
    "33/33/33": (1 / 3, 1 / 3, 1 / 3),
    "60/30/10": (0.6, 0.3, 0.1),
    "80/15/5": (0.8, 0.15, 0.05),
}
BURSTS_S = (2, 5, 20)


def main() -> None:
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else 3000
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 7
    print(f"command: python -m benchmarks.quota_spread {requests} {seed}")
    print("refused per 1,000; burst in seconds of the rate; messages per request")
    print("| spread | burst | central bucket | equal fixed shares | ours | messages |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, spread in SPREADS.items():
        for burst_s in BURSTS_S:
            workload = Workload(
                spread, burst=1000.0 * burst_s, requests=requests, seed=seed
            )
            arrivals = make_arrivals(workload)
            ours, messages = count_refused_with_ledger(workload, arrivals)
            central = count_refused_with_fixed_shares(workload, arrivals, 1)
            fixed = count_refused_with_fixed_shares(workload, arrivals, 3)
            figures = [f"{n * 1000 / requests:.1f}" for n in (central, fixed, ours)]
            row = " | ".join([name, f"{burst_s} s", *figures, f"{messages:.1f}"])
            print(f"| {row} |", flush=True)


if __name__ == "__main__":
    main()
