"""Requests per second for each model and adapter, as exponential averages."""

from __future__ import annotations

import math
from dataclasses import dataclass

from chervilgw.core.ids import ModelName

AVERAGE_S = 4.0
"""Time constant: demand moves to other models within some seconds."""
FORGET_PER_S = 0.01
"""Below this rate a name is dropped from reports."""


@dataclass(slots=True)
class _Rate:
    per_s: float
    at_s: float


class DemandRates:
    """Request rates of one entry; see :func:`make_demand_rates`."""

    def __init__(self, average_s: float):
        self._average_s = average_s
        self._rates: dict[str, _Rate] = {}

    def on_request(self, model: ModelName, adapter: str | None, now_s: float) -> None:
        """Count a request, also one that is refused later."""
        self._count(model, now_s)
        if adapter is not None:
            self._count(f"{model}/{adapter}", now_s)

    def _count(self, name: str, now_s: float) -> None:
        rate = self._rates.setdefault(name, _Rate(0.0, now_s))
        rate.per_s = self._decayed(rate, now_s) + 1.0 / self._average_s
        rate.at_s = now_s

    def _decayed(self, rate: _Rate, now_s: float) -> float:
        return rate.per_s * math.exp((rate.at_s - now_s) / self._average_s)

    def rates(self, now_s: float) -> dict[str, float]:
        """Return the current rates by model, and by ``model/adapter``."""
        found = {}
        for name, rate in list(self._rates.items()):
            per_s = self._decayed(rate, now_s)
            if per_s < FORGET_PER_S:
                del self._rates[name]
            else:
                found[name] = round(per_s, 3)
        return found


def make_demand_rates(average_s: float = AVERAGE_S) -> DemandRates:
    """Return rates without requests.

    Examples
    --------
    >>> rates = make_demand_rates(average_s=4.0)
    >>> rates.on_request(ModelName("m"), None, now_s=0.0)
    >>> rates.rates(now_s=0.0)
    {'m': 0.25}
    """
    return DemandRates(average_s)
