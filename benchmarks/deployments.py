"""Real processes at the sizes of both deployments, under bursty seeded traffic.

Run with ``python -m benchmarks.deployments``; docs/decisions/placement.md has the
figures. One customer sends five times its rate, the others stay within theirs. All
traffic goes to loopback, for a fixed number of seconds. At the default token time one
copy of each model suffices; with ``--token-ms 60`` the popular ones need a second.
"""

from __future__ import annotations

import argparse
import random
import threading
import time
from collections import defaultdict
from dataclasses import dataclass

from fleet.client import open_stream
from fleet.launcher import Fleet, start_fleet
from fleet.plan import CustomerPlan, FleetPlan, ModelPlan

FLOOD = "flood"
RATE_TOKENS_PER_S = 400.0
TOKENS = 24
TOKEN_MS = 20
FIRST_TOKEN_TARGET_S = 2.0
CUSTOMERS = ("north", "south", "east", "west")


@dataclass(frozen=True)
class Deployment:
    """Size of one deployment."""

    name: str
    zones: tuple[str, ...]
    engines: int
    services: int
    models: int
    adapters: int
    store_loads_per_s: float


ORINRIN = Deployment("Ọrinrin", ("ibadan", "ikeja", "abeokuta"), 10, 3, 40, 100, 3.0)
AARHUS = Deployment("Aarhus", ("north", "south", "east", "west"), 5, 4, 20, 40, 1.0)


@dataclass
class Outcome:
    """What became of one request."""

    customer: str
    within_rate: bool
    first_token_s: float | None
    complete: bool
    code: str


def make_plan(deployment: Deployment, token_ms: int = TOKEN_MS) -> FleetPlan:
    """Return the local fleet that stands for a deployment."""
    models = tuple(
        ModelPlan(f"model-{number}", 10_000_000_000)
        for number in range(deployment.models)
    )
    adapters = tuple(
        (f"adapter-{number}", models[number % len(models)].name)
        for number in range(deployment.adapters)
    )
    customers = (*CUSTOMERS, FLOOD)
    return FleetPlan(
        zones=deployment.zones,
        entries=3,
        engines=deployment.engines,
        services=deployment.services,
        models=models,
        adapters=adapters,
        customers=tuple(
            CustomerPlan(name, RATE_TOKENS_PER_S, int(RATE_TOKENS_PER_S * 10))
            for name in customers
        ),
        engine_options={"token_ms": token_ms, "load_ms": 300},
        store_loads_per_s=deployment.store_loads_per_s,
    )


def arrivals(customer: str, rate_per_s: float, length_s: float, seed: int):
    """Yield Poisson arrival times in phases of 2 s at 0.5 to 1.5 times the rate."""
    source = random.Random(f"{seed}/{customer}")
    time_s = phase_end_s = 0.0
    factor = 1.0
    while time_s < length_s:
        if time_s >= phase_end_s:
            factor, phase_end_s = source.uniform(0.5, 1.5), time_s + 2.0
        time_s += source.expovariate(rate_per_s * factor)
        yield time_s


def send(fleet: Fleet, customer: str, name: str, entry: str, within_rate: bool):
    """Send one streamed request and return its outcome."""
    body = {"model": name, "prompt": f"bundle {name}", "max_tokens": TOKENS}
    begin_s = time.monotonic()
    first_token_s = None
    try:
        stream = open_stream(entry, "/v1/completions", body, fleet.keys[customer])
        for _ in stream:
            if first_token_s is None:
                first_token_s = time.monotonic() - begin_s
    except OSError as error:
        return Outcome(customer, within_rate, None, False, type(error).__name__)
    code = (stream.error or {}).get("code", "")
    return Outcome(customer, within_rate, first_token_s, stream.done, code)


def run_traffic(fleet: Fleet, length_s: float, seed: int) -> list[Outcome]:
    """Send the traffic of all customers and return the outcomes."""
    names = [model.name for model in fleet.plan.models]
    names += [name for name, _ in fleet.plan.adapters]
    popularity = [1.0 / (1 + number) for number in range(len(names))]
    entries = fleet.entry_addresses()
    # A request is charged its prompt, about 10 tokens, and its completion.
    fair_rate_per_s = 0.7 * RATE_TOKENS_PER_S / (TOKENS + 10)
    outcomes: list[Outcome] = []
    threads = []
    begin_s = time.monotonic() + 0.5

    def caller(customer: str, due_s: float, name: str, entry: str) -> None:
        time.sleep(max(0.0, begin_s + due_s - time.monotonic()))
        outcomes.append(send(fleet, customer, name, entry, customer != FLOOD))

    for customer in (*CUSTOMERS, FLOOD):
        source = random.Random(f"{seed}/{customer}/choices")
        rate_per_s = fair_rate_per_s * (5 / 0.7 if customer == FLOOD else 1)
        for due_s in arrivals(customer, rate_per_s, length_s, seed):
            [name] = source.choices(names, popularity)
            [entry] = source.choices(entries, (80, 15, 5))
            arguments = (customer, due_s, name, entry)
            threads.append(threading.Thread(target=caller, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def report(deployment: Deployment, outcomes: list[Outcome], moves: int, seed: int):
    """Print the measures of one run."""
    by_customer = defaultdict(list)
    for outcome in outcomes:
        by_customer[outcome.customer].append(outcome)
    met = {
        customer: sum(
            o.complete and (o.first_token_s or 9e9) <= FIRST_TOKEN_TARGET_S
            for o in listed
        )
        / len(listed)
        for customer, listed in by_customer.items()
    }
    fair = [outcome for outcome in outcomes if outcome.within_rate]
    refused = [o.code for o in fair if not o.complete]
    worst = min(met[customer] for customer in CUSTOMERS)
    attained = sum(o.complete for o in outcomes)
    print(
        f"{deployment.name}: {len(outcomes)} requests, seed {seed}; worst customer "
        f"within its rate {worst:.3f} (goal 0.99); refused within rate "
        f"{len(refused)} of {len(fair)} (goal 1 in 1,000) {sorted(set(refused))}; "
        f"requests served per accelerator {attained / deployment.engines:.1f}; "
        f"model moves {moves}; flooding customer served {met.get(FLOOD, 0):.3f}"
    )


def main() -> None:
    """Run both deployments, or the one that is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20261)
    parser.add_argument("--length-s", type=float, default=20.0)
    parser.add_argument("--token-ms", type=int, default=TOKEN_MS)
    parser.add_argument("--only", choices=[ORINRIN.name, AARHUS.name])
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.length_s:g} s, {options.token_ms} ms a token")
    for deployment in (ORINRIN, AARHUS):
        if options.only not in (None, deployment.name):
            continue
        with start_fleet(make_plan(deployment, options.token_ms)) as fleet:
            fleet.wait_loaded(bound_s=90)
            before = _loads(fleet)
            outcomes = run_traffic(fleet, options.length_s, options.seed)
            report(deployment, outcomes, _loads(fleet) - before, options.seed)


def _loads(fleet: Fleet) -> int:
    from fleet.client import call

    return call(fleet.stand_ins["store"].address, "GET", "/state").json()["started"]


if __name__ == "__main__":
    main()
