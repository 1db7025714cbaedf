"""Work at each engine as it will be after the moves asked for.

Work is counted in requests in progress. The work of a model is divided evenly over the
engines that hold it, as entries choose the engine with the shortest wait.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import ModelName
from chervilgw.placement.demand_rate import Demand

RUNNING_PER_ENGINE = 10.0
"""Requests in progress that one engine serves within the target: at about 6 requests a
second that last 1.7 s each, it reads prompts for less than half of the time."""
REQUEST_S = 1.6
"""How long a request lasts on an engine that is not overloaded; what is refused or not
served yet counts by this."""
LONGEST_REQUEST_S = 2.2
"""The same for a slow model beside other work. Requests that last longer are waiting,
and another engine would serve them in this time."""


@dataclass(slots=True)
class EngineLoad:
    """Work of models and engines; see :func:`make_engine_load`."""

    _held: dict[ServerId, set[ModelName]]
    _holders: defaultdict[ModelName, set[ServerId]]
    _demand: Mapping[ModelName, Demand]

    def copies(self, model: ModelName) -> int:
        """Return how many engines hold a model."""
        return len(self._holders.get(model, ()))

    def work(self, model: ModelName) -> float:
        """Return the requests in progress that a model would have if it were served."""
        known = self._demand.get(model)
        if known is None:
            return 0.0
        running = min(known.running, known.per_s * LONGEST_REQUEST_S)
        return max(running, known.per_s * REQUEST_S)

    def _share(self, model: ModelName) -> float:
        return self.work(model) / max(1, self.copies(model))

    def at_engine(self, server: ServerId, without: Iterable[ModelName] = ()) -> float:
        """Return the work at an engine, some of its models left out."""
        held = self._held.get(server, set()).difference(without)
        return sum(self._share(model) for model in held)

    def room(self, server: ServerId, without: Iterable[ModelName] = ()) -> float:
        """Return the work that an engine can take beside what it keeps."""
        return max(0.0, RUNNING_PER_ENGINE - self.at_engine(server, without))

    def need(self, model: ModelName) -> float:
        """Return the work of a model that its engines do not serve in time.

        Work beyond what an engine serves is shared by its models in proportion.
        """
        if not self.copies(model):
            return self.work(model)
        share, total = self._share(model), 0.0
        for server in self._holders[model]:
            at_engine = self.at_engine(server)
            if at_engine > RUNNING_PER_ENGINE:
                excess = at_engine - RUNNING_PER_ENGINE
                total += excess * share / at_engine
        return total

    def loss(self, model: ModelName) -> float:
        """Return the work that loses its place if one copy goes."""
        served = RUNNING_PER_ENGINE * (self.copies(model) - 1)
        return max(0.0, self.work(model) - served)

    def move(
        self, server: ServerId, model: ModelName, unload: Iterable[ModelName]
    ) -> None:
        """Count a move as done."""
        held = self._held.setdefault(server, set())
        for victim in held.intersection(unload):
            held.discard(victim)
            self._holders[victim].discard(server)
        held.add(model)
        self._holders[model].add(server)


def make_engine_load(
    held: Mapping[ServerId, Iterable[ModelName]], demand: Mapping[ModelName, Demand]
) -> EngineLoad:
    """Return the work of engines that hold these models.

    Parameters
    ----------
    held : mapping of ServerId to iterable of ModelName
        What each engine holds and loads.
    demand : mapping of ModelName to Demand
        Demand of all entries together.

    Examples
    --------
    >>> held = {ServerId("e1"): [ModelName("a"), ModelName("b")], ServerId("e2"): []}
    >>> demand = {ModelName("a"): Demand(9.0, 15.0), ModelName("b"): Demand(3.0, 5.0)}
    >>> load = make_engine_load(held, demand)
    >>> load.at_engine("e1"), load.need("a"), load.room("e2")
    (20.0, 7.5, 10.0)
    >>> load.move("e2", "a", [])
    >>> load.at_engine("e1"), load.at_engine("e2")
    (12.5, 7.5)
    """
    sets = {server: set(models) for server, models in held.items()}
    holders: defaultdict[ModelName, set[ServerId]] = defaultdict(set)
    for server, models in sets.items():
        for model in models:
            holders[model].add(server)
    return EngineLoad(sets, holders, demand)
