"""Demand for each model: requests per second, and requests in progress."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilgw.core.ids import ModelName

# Time constant of the request rate. Models with a request every ten seconds or so still
# have a rate, and busy models show within a second.
RATE_AVERAGE_S = 10.0
# Time constant of the recent rate, which shows that customers have just switched to a
# model or away from it.
RECENT_AVERAGE_S = 2.0
# How far the recent rate may deviate by chance: two requests in a row.
RECENT_TOLERANCE_PER_S = 1.0
# Recent rates below this, reached three seconds after a request, are not reported.
MIN_RECENT_PER_S = 0.1
# Models below this rate are dropped: the last request was half a minute ago.
MIN_RATE_PER_S = 0.005
# Time constant of the requests in progress, which last one or two seconds each.
RUNNING_AVERAGE_S = 2.0


@dataclass(slots=True)
class _Rate:
    average_s: float
    per_s: float = 0.0
    at_s: float = 0.0

    def add(self, now_s: float) -> None:
        self.per_s = self.at(now_s) + 1.0 / self.average_s
        self.at_s = now_s

    def at(self, now_s: float) -> float:
        return self.per_s * math.exp((self.at_s - now_s) / self.average_s)


class DemandRates:
    """Request rates of one entry; see :func:`make_demand_rates`."""

    def __init__(self, average_s: float):
        self._average_s = average_s
        self._rates: dict[ModelName, tuple[_Rate, _Rate]] = {}

    def on_request(self, model: ModelName, now_s: float) -> None:
        """Record a request, even if it is refused later."""
        if model not in self._rates:
            self._rates[model] = _Rate(self._average_s), _Rate(RECENT_AVERAGE_S)
        for rate in self._rates[model]:
            rate.add(now_s)

    def rates(self, now_s: float) -> dict[ModelName, float]:
        """Return the average rates in requests per second."""
        found = {}
        for model, (average, _) in list(self._rates.items()):
            per_s = average.at(now_s)
            if per_s < MIN_RATE_PER_S:
                del self._rates[model]
            else:
                found[model] = round(per_s, 3)
        return found

    def recent_rates(self, now_s: float) -> dict[ModelName, float]:
        """Return the rates over the last two seconds of models with requests."""
        found = {}
        for model, (_, recent) in self._rates.items():
            per_s = recent.at(now_s)
            if per_s >= MIN_RECENT_PER_S:
                found[model] = round(per_s, 2)
        return found


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of all entries for one model.

    ``running`` is the average number of requests in progress: at the same rate, a slow
    model has more of them and needs more copies.
    """

    per_s: float
    running: float


class FleetDemand:
    """Demand of all entries; see :func:`make_fleet_demand`."""

    def __init__(self):
        self._running: defaultdict[ModelName, float] = defaultdict(float)
        self._updated_s: float | None = None

    def update(
        self,
        rates: Iterable[Mapping[ModelName, float]],
        recent_rates: Iterable[Mapping[ModelName, float]],
        running: Iterable[Mapping[ModelName, int]],
        now_s: float,
    ) -> dict[ModelName, Demand]:
        """Return the demand according to the last report of each entry.

        A rate is the average, limited to a range around that of the last two seconds.

        Parameters
        ----------
        rates : iterable of mapping
            Requests per second by model, one mapping for each entry.
        recent_rates : iterable of mapping
            The same over the last two seconds.
        running : iterable of mapping
            Requests in progress by model, one mapping for each entry.
        now_s : float
            Monotonic time in seconds.
        """
        elapsed_s = now_s - self._updated_s if self._updated_s is not None else 0.0
        decay = math.exp(-elapsed_s / RUNNING_AVERAGE_S)
        self._updated_s = now_s
        sums = _sum(running)
        for model in set(self._running) | set(sums):
            average = decay * self._running[model] + (1 - decay) * sums[model]
            self._running[model] = average
        per_s, recent = _sum(rates), _sum(recent_rates)
        for model in set(per_s) | set(recent):
            least, most = (
                recent[model] - RECENT_TOLERANCE_PER_S,
                recent[model] + RECENT_TOLERANCE_PER_S,
            )
            per_s[model] = min(most, max(least, per_s[model]))
        return {
            model: Demand(per_s[model], self._running[model])
            for model in set(per_s) | set(self._running)
        }


def _sum(
    rates: Iterable[Mapping[ModelName, float]],
) -> defaultdict[ModelName, float]:
    sums: defaultdict[ModelName, float] = defaultdict(float)
    for entry_rates in rates:
        for model, rate in entry_rates.items():
            sums[model] += rate
    return sums


def make_demand_rates(average_s: float = RATE_AVERAGE_S) -> DemandRates:
    """Return rates without requests.

    Examples
    --------
    >>> rates = make_demand_rates(average_s=4.0)
    >>> rates.on_request(ModelName("m"), now_s=0.0)
    >>> rates.rates(now_s=0.0)
    {'m': 0.25}
    """
    return DemandRates(average_s)


def make_fleet_demand() -> FleetDemand:
    """Return the demand of a fleet that has had no requests."""
    return FleetDemand()
