"""Expected work at each engine after the requested moves.

Work is measured in requests in progress. The work of a model is divided evenly among
the engines that hold it, as entries choose the engine with the shortest wait.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import ModelName
from chervilgw.placement.demand_rate import Demand
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S

# Requests in progress that an engine of the default speed serves within the target: at
# about 6 requests per second that last 1.7 s each, it reads prompts for less than half
# of the time.
MAX_RUNNING_PER_ENGINE = 10.0
# Fraction of an engine's slots that a plan uses; the rest covers uneven arrivals.
PLANNED_SLOT_FRACTION = 0.7
# Duration of a request on an engine that is not overloaded; the work of refused and
# unserved requests is estimated with it.
TYPICAL_REQUEST_S = 1.6
# Duration of a request to a slow model beside other work. Requests that last longer are
# waiting, and another engine would serve them in this time.
MAX_REQUEST_S = 2.2


@dataclass(slots=True)
class EngineLoad:
    """Work of models and engines; see :func:`make_engine_load`."""

    _held: dict[ServerId, set[ModelName]]
    _holders: defaultdict[ModelName, set[ServerId]]
    _demand: Mapping[ModelName, Demand]
    _capacity: Mapping[ServerId, float]

    def capacity(self, server: ServerId) -> float:
        """Return the requests in progress that an engine serves within the target."""
        return self._capacity.get(server, MAX_RUNNING_PER_ENGINE)

    def copies(self, model: ModelName) -> int:
        """Return how many engines hold a model."""
        return len(self._holders.get(model, ()))

    def work(self, model: ModelName) -> float:
        """Return the requests in progress of a model if all were served."""
        demand = self._demand.get(model)
        if demand is None:
            return 0.0
        running = min(demand.running, demand.per_s * MAX_REQUEST_S)
        return max(running, demand.per_s * TYPICAL_REQUEST_S)

    def _work_per_copy(self, model: ModelName) -> float:
        return self.work(model) / max(1, self.copies(model))

    def engine_work(self, server: ServerId, without: Iterable[ModelName] = ()) -> float:
        """Return the work at an engine except that of the models ``without``."""
        held = self._held.get(server, set()).difference(without)
        return sum(self._work_per_copy(model) for model in held)

    def headroom(self, server: ServerId, without: Iterable[ModelName] = ()) -> float:
        """Return the work that an engine can take beside the models that it keeps."""
        return max(0.0, self.capacity(server) - self.engine_work(server, without))

    def unmet_demand(self, model: ModelName) -> float:
        """Return the work of a model that its engines do not serve in time.

        The excess work of an engine is divided among its models in proportion.
        """
        if not self.copies(model):
            return self.work(model)
        work_per_copy, total = self._work_per_copy(model), 0.0
        for server in self._holders[model]:
            engine_work, capacity = self.engine_work(server), self.capacity(server)
            if engine_work > capacity:
                excess = engine_work - capacity
                total += excess * work_per_copy / engine_work
        return total

    def displaced_work(self, model: ModelName) -> float:
        """Return the work that the remaining copies cannot take if one is unloaded."""
        holders = self._holders.get(model, ())
        # The copy on the engine with the largest capacity counts as the unloaded one.
        capacities = sorted(map(self.capacity, holders))
        return max(0.0, self.work(model) - sum(capacities[:-1]))

    def apply_move(
        self, server: ServerId, model: ModelName, unload: Iterable[ModelName]
    ) -> None:
        """Apply a move to the held models."""
        held = self._held.setdefault(server, set())
        for unloaded in held.intersection(unload):
            held.discard(unloaded)
            self._holders[unloaded].discard(server)
        held.add(model)
        self._holders[model].add(server)


def engine_capacity(prefill_tokens_per_s: float, slots: int) -> float:
    """Return the requests in progress that an engine serves within the target.

    Examples
    --------
    >>> engine_capacity(20_000.0, slots=64), engine_capacity(40_000.0, slots=64)
    (10.0, 20.0)
    >>> engine_capacity(40_000.0, slots=20)
    14.0
    """
    by_speed = MAX_RUNNING_PER_ENGINE * prefill_tokens_per_s / DEFAULT_TOKENS_PER_S
    # An engine with few slots keeps the capacity of the default speed.
    by_slots = max(MAX_RUNNING_PER_ENGINE, PLANNED_SLOT_FRACTION * slots)
    return min(by_speed, by_slots)


def make_engine_load(
    held: Mapping[ServerId, Iterable[ModelName]],
    demand: Mapping[ModelName, Demand],
    capacity: Mapping[ServerId, float] | None = None,
) -> EngineLoad:
    """Return the work of engines that hold these models.

    Parameters
    ----------
    held : mapping of ServerId to iterable of ModelName
        What each engine holds and loads.
    demand : mapping of ModelName to Demand
        Demand of all entries together.
    capacity : mapping of ServerId to float, optional
        Requests in progress that each engine serves within the target; by default
        :data:`MAX_RUNNING_PER_ENGINE`.

    Examples
    --------
    >>> held = {ServerId("e1"): [ModelName("a"), ModelName("b")], ServerId("e2"): []}
    >>> demand = {ModelName("a"): Demand(9.0, 15.0), ModelName("b"): Demand(3.0, 5.0)}
    >>> load = make_engine_load(held, demand)
    >>> load.engine_work("e1"), load.unmet_demand("a"), load.headroom("e2")
    (20.0, 7.5, 10.0)
    >>> load.apply_move("e2", "a", [])
    >>> load.engine_work("e1"), load.engine_work("e2")
    (12.5, 7.5)
    """
    sets = {server: set(models) for server, models in held.items()}
    holders: defaultdict[ModelName, set[ServerId]] = defaultdict(set)
    for server, models in sets.items():
        for model in models:
            holders[model].add(server)
    return EngineLoad(sets, holders, demand, capacity or {})
