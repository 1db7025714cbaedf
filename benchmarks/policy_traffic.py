"""Setups and seeded, bursty arrivals for the policy cases."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from chervilgw.core.states import Urgency
from chervilgw.placement.copies import ModelSpec


@dataclass(frozen=True)
class Arrival:
    """One request of a caller; ``used`` of its ``tokens`` are really needed."""

    time_s: float
    customer: str
    model: str
    tokens: int
    used: int
    target_s: float
    entry: int
    pool: str = "default"
    urgency: Urgency = Urgency.INTERACTIVE


@dataclass(frozen=True)
class Setup:
    """Engines, models, rates and faults of a case."""

    pools: dict[str, int]
    zones: int
    models: tuple[ModelSpec, ...]
    slots: int = 8
    token_s: float = 0.01
    load_s: float = 4.0
    capacity: int = 6
    report_s: float = 0.5
    lag_s: float = 0.25
    quota: dict[str, tuple[float, float]] = field(default_factory=dict)
    lost_zone_at_s: float | None = None
    store_loads: int = 10


def make_traffic(
    setup, seed, rates, length_s, wait_s=3.0, tokens=200, surge=None
) -> list[Arrival]:
    """Return bursty arrivals; ``rates`` maps a customer to requests/s.

    A request's target is its full length at the engine's speed plus ``wait_s``. Model
    popularity follows a power law; ``surge`` is (model, from_s, factor).
    """
    rng = random.Random(seed)
    arrivals = []
    names = [spec.name for spec in setup.models]
    pools = {spec.name: spec.pool for spec in setup.models}
    popularity = {n: 1.0 / (1 + i % 13) for i, n in enumerate(names)}
    for customer, rate in sorted(rates.items()):
        time_s = 0.0
        while time_s < length_s:
            # Phases of 2 s at 0.5 to 1.5 times the mean rate.
            phase = random.Random(f"{seed}{customer}{int(time_s / 2)}").uniform(
                0.5, 1.5
            )
            time_s += rng.expovariate(rate * phase)
            asked = max(20, min(4 * tokens, int(rng.expovariate(1.0 / tokens))))
            weights = [popularity[n] for n in names]
            if surge and time_s >= surge[1]:
                weights[names.index(surge[0])] *= surge[2]
            model = rng.choices(names, weights)[0]
            used = max(1, int(asked * rng.uniform(0.5, 1.0)))
            entry = rng.choices(range(3), (80, 15, 5))[0]
            total_s = wait_s + asked * setup.token_s
            arrivals.append(
                Arrival(
                    time_s, customer, model, asked, used, total_s, entry, pools[model]
                )
            )
    return sorted(arrivals, key=lambda a: a.time_s)
