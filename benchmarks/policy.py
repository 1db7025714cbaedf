"""Policy cases in virtual time: ``python -m benchmarks.policy [SEED ...]``."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

from benchmarks.policy_fakes import Outcome, Policy, Run
from benchmarks.policy_traffic import Setup, make_traffic
from chervilgw.placement.copies import ModelSpec

RESULTS = Path(__file__).parent / "results"
SEEDS = (20260, 20261, 20262, 20263, 20264)
DEPLOYMENTS = ("Orinrin", "Aarhus")
OURS = Policy("ours")
BEST_FIXED = Policy("least+fifo+fixed", "least_reported", "fifo", "fixed")
ROUND_ROBIN = Policy("robin+fifo+fixed", "round_robin", "fifo", "fixed")
GREEDY = Policy("least+fifo+greedy", "least_reported", "fifo", "greedy")


@dataclass(frozen=True)
class Row:
    """One line of the table."""

    case: str
    measure: str
    policy: str
    value: float
    product: float
    seed: int

    @property
    def command(self) -> str:
        """Return the command that repeats the run."""
        return f"python -m benchmarks.policy {self.seed}"

    def __str__(self):
        ratio = self.product / self.value if self.value else float("nan")
        return (
            f"{self.case:<22} {self.measure:<27} {self.policy:<22} {self.value:>9.4f} "
            f"{self.product:>9.4f} {ratio:>7.3f} {self.seed} {self.command}"
        )


def make_models(count, pool="default", min_copies=1, prefix="m"):
    return tuple(
        ModelSpec(f"{prefix}{i}", "1", 1, pool, min_copies) for i in range(count)
    )


def run_all(setup, policies, arrivals, seed) -> dict[str, Outcome]:
    return {p.name: Run(setup, p, seed).run(arrivals) for p in policies}


def compare(case, outcomes, measures, seed) -> list[Row]:
    """Return rows that compare the first policy with the others."""
    product, *others = outcomes
    return [
        Row(
            case,
            name,
            other,
            measure(outcomes[other]),
            measure(outcomes[product]),
            seed,
        )
        for name, measure in measures.items()
        for other in others
    ]


def case_choice(seed):
    """Return rows on the choice of server, with reports that lag."""
    setup = Setup({"default": 9}, 3, make_models(3, min_copies=6), report_s=1.0)
    rates = dict.fromkeys("abcde", 8.0)
    arrivals = make_traffic(setup, seed, rates, 60.0, wait_s=1.0)
    same = {"queue": "fifo", "placement": "fixed"}
    policies = [
        Policy("ours", **same),
        Policy("round_robin", "round_robin", **same),
        Policy("least_reported", "least_reported", **same),
    ]
    outcomes = run_all(setup, policies, arrivals, seed)
    measures = {"attainment": lambda o: o.share("met")}
    return compare("a choice", outcomes, measures, seed)


def case_order(seed, lost_zone, quota):
    """Return rows on the order of requests while customer a sends 5 times its rate."""
    name = "b order" + (" quota" if quota else "") + (" lost zone" if lost_zone else "")
    rate = 5.0
    # 9 engines serve about 48 requests/s; a zone less leaves 32 for 25 within rate.
    limits = dict.fromkeys("abcde", (rate * 200 * 1.3, 8000.0)) if quota else {}
    setup = Setup(
        {"default": 9},
        3,
        make_models(9, min_copies=3),
        quota=limits,
        lost_zone_at_s=30.0 if lost_zone else None,
    )
    rates = {**dict.fromkeys("bcde", rate), "a": 5 * rate}
    arrivals = make_traffic(setup, seed, rates, 60.0)
    policies = [Policy("ours"), Policy("fifo", queue="fifo")]
    outcomes = run_all(setup, policies, arrivals, seed)
    measures = {
        "worst customer in its rate": lambda o: o.worst(exclude="a"),
        "attainment": lambda o: o.share("met"),
    }
    return compare(name, outcomes, measures, seed)


def second_copy_s(outcome, model, since_s):
    """Return the time until the first further copy, 60 if there is none."""
    times = [t for t, name in outcome.load_times if name == model and t >= since_s]
    return times[0] - since_s if times else 60.0


def case_copies(seed):
    """Return rows on copies while the demand for one model grows tenfold."""
    setup = Setup({"default": 9}, 3, make_models(24, min_copies=1), capacity=5)
    rates = dict.fromkeys("abcde", 5.0)
    arrivals = make_traffic(setup, seed, rates, 90.0, surge=("m4", 30.0, 10.0))
    policies = [
        OURS,
        replace(OURS, name="fixed", placement="fixed"),
        GREEDY,
    ]
    outcomes = run_all(setup, policies, arrivals, seed)
    measures = {
        "attainment": lambda o: o.share("met"),
        "model moves": lambda o: float(o.moves),
        "time to second copy s": lambda o: second_copy_s(o, "m4", 30.0),
    }
    return compare("c copies", outcomes, measures, seed)


def make_deployment(name, seed):
    """Return the setup and the bursty traffic of a deployment.

    Customer a sends 5 times its rate.
    """
    if name == "Orinrin":
        pools, zones, rate = {"drafting": 10, "casework": 3}, 3, 7.0
        models = make_models(30, "drafting", 1) + make_models(10, "casework", 1, "k")
    else:
        pools, zones, rate = {"assistant": 5, "booking": 4}, 4, 5.0
        models = make_models(12, "assistant", 1) + make_models(8, "booking", 1, "k")
    limits = {c: (rate * 200 * 1.3, 8000.0) for c in "abcde"}
    setup = Setup(pools, zones, models, quota=limits, store_loads=10)
    rates = {**dict.fromkeys("bcde", rate), "a": 5 * rate}
    return setup, make_traffic(setup, seed, rates, 90.0)


def case_deployment(name, seed):
    """Return rows on one deployment."""
    setup, arrivals = make_deployment(name, seed)
    policies = [OURS, ROUND_ROBIN, BEST_FIXED, GREEDY]
    outcomes = run_all(setup, policies, arrivals, seed)
    engines = sum(setup.pools.values())
    measures = {
        "attainment/accelerator": lambda o: o.share("met") / engines,
        "worst customer in its rate": lambda o: o.worst(exclude="a"),
        "refusals within rate": lambda o: max(o.share("refused", c) for c in "bcde"),
        "model moves": lambda o: float(o.moves),
    }
    return compare(f"d {name}", outcomes, measures, seed)


def plot(rows: list[Row]) -> None:
    """Write one bar chart for each case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    RESULTS.mkdir(exist_ok=True)
    for case in dict.fromkeys(row.case for row in rows):
        mine = [row for row in rows if row.case == case]
        names = list(dict.fromkeys(row.measure for row in mine))
        figure, all_axes = pyplot.subplots(1, len(names), figsize=(4 * len(names), 4))
        for axes, name in zip(
            [all_axes] if len(names) == 1 else all_axes, names, strict=True
        ):
            shown = [row for row in mine if row.measure == name]
            labels = ["ours"] + [row.policy for row in shown]
            axes.bar(labels, [shown[0].product] + [row.value for row in shown])
            axes.set_title(name, fontsize=9)
            axes.tick_params(axis="x", labelrotation=30, labelsize=7)
        figure.suptitle(f"{case}, seed {mine[0].seed}")
        figure.tight_layout()
        figure.savefig(RESULTS / f"policy_{case.replace(' ', '_')}.png", dpi=80)
        pyplot.close(figure)


def main(seeds=SEEDS) -> None:
    """Run every case, print the table and write the plots of the first seed."""
    began = time.monotonic()
    rows: list[Row] = []
    for seed in seeds:
        rows += case_choice(seed)
        for lost_zone in (False, True):
            for quota in (False, True):
                rows += case_order(seed, lost_zone, quota)
        rows += case_copies(seed)
        for name in DEPLOYMENTS:
            rows += case_deployment(name, seed)
    header = ("case", "measure", "baseline", "value", "ours", "ratio")
    print("{:<22} {:<27} {:<22} {:>9} {:>9} {:>7} seed  command".format(*header))
    for row in rows:
        print(row)
    plot([row for row in rows if row.seed == seeds[0]])
    print(f"{time.monotonic() - began:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SEEDS)
