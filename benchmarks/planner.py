"""Processor time of one plan at the size of a deployment and of the two-year target.

Run ``python -m benchmarks.planner``. Demand, engines and models are drawn with a fixed
seed; each figure is the least of five, as other work on the machine adds to it.
"""

from __future__ import annotations

import random
import time

from chervilgw.core.deployment import EngineSpec, ModelSpec, ServerId
from chervilgw.core.ids import ModelName, ZoneId
from chervilgw.placement.demand_rate import Demand
from chervilgw.placement.planner import EngineView, make_planner

SEED = 1
HELD = 3
NEAR = 6
CAPACITY_MB = 230_000.0
WEIGHTS_MB = 70_000.0
SIZES = ((9, 39), (23, 96), (100, 160), (600, 640))
"""Engines and models: the users' deployment, the same grown, between, the target."""


def plan_time_s(engine_count: int, model_count: int) -> float:
    """Return the processor time of one plan, in seconds."""
    draw = random.Random(SEED)
    models = [ModelName(f"m{number}") for number in range(model_count)]
    sizes = {
        name: ModelSpec(name, WEIGHTS_MB, 4.0, 0.6, 0.8, 0, 66.0) for name in models
    }
    spec = EngineSpec(64, 100_000, CAPACITY_MB, 8, 2.8, sizes)
    demand = {
        name: Demand(rate, 1.5 * rate)
        for rank, name in enumerate(models, 1)
        for rate in [6.0 * engine_count / rank / 4]
    }
    engines = [
        EngineView(
            ServerId(f"e{number}"),
            ZoneId("z"),
            frozenset(draw.sample(models, HELD)),
            "",
            False,
            frozenset(draw.sample(models, NEAR)),
            draw.randrange(20),
        )
        for number in range(engine_count)
    ]
    best_s = float("inf")
    for _ in range(5):
        planner = make_planner()
        planner.plan(spec, [], {}, 0.0)
        began_s = time.process_time()
        planner.plan(spec, engines, demand, 100.0)
        best_s = min(best_s, time.process_time() - began_s)
    return best_s


if __name__ == "__main__":
    print(f"seed {SEED}")
    for engine_count, model_count in SIZES:
        took_ms = 1000 * plan_time_s(engine_count, model_count)
        print(f"{engine_count} engines, {model_count} models: {took_ms:.1f} ms a plan")
