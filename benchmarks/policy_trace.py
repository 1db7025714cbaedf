"""Why the worst-served customer's requests miss: ``python -m benchmarks.policy_trace``.

Each missed request of the worst-served customer within its rate gets one cause, from
samples of all engines between its arrival and the last moment at which a start would
have been in time. Two more runs bound what a policy can reach: one in which loads take
no time, and one in which each engine holds all models of its pool from the start.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import replace

from benchmarks.policy import DEPLOYMENTS, OURS, SEEDS, make_deployment
from benchmarks.policy_fakes import Run

SAMPLE_S = 0.1


class TracedRun(Run):
    """A run that keeps samples of the engines and the requests that missed."""

    def __init__(self, setup, policy, seed):
        super().__init__(setup, policy, seed)
        self.samples = []
        self.missed = []
        self.at(0.0, self.sample)

    def sample(self):
        """Note the copies of each engine and whether it has a free slot."""
        self.at(SAMPLE_S, self.sample)
        state = [
            (dict(e.resident), e.alive and len(e.running) < self.setup.slots)
            for e in self.engines.values()
        ]
        self.samples.append((self.now_s, state))

    def end(self, request_id, result):
        """Keep the requests that did not meet their target."""
        if result != "met" and request_id in self.arrivals:
            self.missed.append(self.arrivals[request_id])
        super().end(request_id, result)

    def cause(self, arrival) -> str:
        """Return why a request missed its target."""
        service_s = arrival.used * self.setup.token_s
        last_s = arrival.time_s + arrival.target_s - service_s
        states = [
            state
            for time_s, engines in self.samples
            if arrival.time_s <= time_s <= last_s
            for state in engines
        ]
        holding = [free for held, free in states if held.get(arrival.model) == "loaded"]
        if any(holding):
            return "waited although a holder had a free slot"
        if any(held.get(arrival.model) == "loading" for held, _ in states):
            return "all holders busy, a copy was loading"
        return "all holders busy, no copy was loading"


def main(seeds=SEEDS) -> None:
    """Print the causes for each deployment and seed."""
    for name in DEPLOYMENTS:
        for seed in seeds:
            setup, arrivals = make_deployment(name, seed)
            run = TracedRun(setup, OURS, seed)
            outcome = run.run(arrivals)
            worst = min("bcde", key=lambda c: outcome.share("met", c))
            missed = [a for a in run.missed if a.customer == worst]
            early = sum(a.time_s < setup.load_s for a in missed)
            instant = Run(replace(setup, load_s=0.0), OURS, seed).run(arrivals)
            spec = [replace(s, min_copies=setup.pools[s.pool]) for s in setup.models]
            full = replace(setup, models=tuple(spec), capacity=len(spec))
            resident = Run(full, OURS, seed).run(arrivals)
            print(
                f"{name} seed {seed}: customer {worst} {outcome.worst('a'):.4f}, "
                f"{len(missed)} missed, {early} of them before {setup.load_s} s; "
                f"loads in no time {instant.worst('a'):.4f}, "
                f"all models resident {resident.worst('a'):.4f}"
            )
            for cause, number in Counter(map(run.cause, missed)).most_common():
                print(f"    {number:3} {cause}")


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SEEDS)
