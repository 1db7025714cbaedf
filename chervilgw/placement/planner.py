"""Plans which engine should hold which models, from the demand of all entries.

One entry plans at a time: the oldest process of those that receive each other's
messages. Two that plan at once, after a partition, only cause unnecessary moves; the
agents of the engines enforce every memory limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from chervilgw.core.deployment import EngineSpec, ServerId
from chervilgw.core.ids import ModelName, ZoneId
from chervilgw.placement.demand_rate import Demand
from chervilgw.placement.engine_load import (
    EngineLoad,
    engine_capacity,
    make_engine_load,
)
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S

# A load from the weight store takes 4 to 8 s, blocks the engine's adapter loads
# meanwhile and evicts other weights from the VM, so it needs three requests in ten
# seconds.
MIN_STORE_LOAD_RATE_PER_S = 0.25
# How long a requested model waits for a busy engine with local weights: such a load
# takes 0.8 s.
LOCAL_ENGINE_WAIT_S = 1.0
# The same for a model with HIGH_UNMET_DEMAND.
HIGH_DEMAND_WAIT_S = 0.3
# A planner that has just started unloads nothing: most models would look idle to it.
WARM_UP_S = 6.0
# A model is loaded for a single request if it is at most about ten seconds old.
MIN_RATE_PER_S = 0.04
# A load takes seconds in which the engine serves one model less, so the served work
# must exceed that of the unloaded models by this factor.
MIN_GAIN_FACTOR = 1.5
# Minimum time that a loaded model stays, so that the callers that requested it can
# retry; models would otherwise evict each other in turn.
MIN_RESIDENCE_S = 4.0
# Minimum time before a move is repeated: the engine first has to report its progress.
MOVE_REPEAT_S = 1.0
# A move to a busy engine is assumed for this long: the unload before the load waits for
# the running requests of its model.
BUSY_ENGINE_WAIT_S = 8.0
# Unmet requests in progress above which a further copy is loaded from local weights.
MIN_LOCAL_COPY_DEMAND = 3.0
# The same for a load from the weight store, which blocks the engine's adapter loads.
MIN_STORE_COPY_DEMAND = 8.0
# How long a model must be short of copies before one is loaded from the store: a burst
# of requests is over before such a load ends.
MIN_SHORTAGE_S = 1.0
# Requests in progress by which a load from the store must be better than one from local
# weights, as it takes about four seconds longer.
STORE_LOAD_COST = 4.0
# Requests in progress of a model without a copy above which it waits only
# HIGH_DEMAND_WAIT_S for an engine with local weights.
HIGH_UNMET_DEMAND = 4.0
# Fraction of the weight store's rate that is planned for; the rest covers a second
# planner after a partition.
PLANNED_LOAD_FRACTION = 0.8
# Window over which the operators count loads from the weight store.
LOAD_WINDOW_S = 5.0
# Loads at once that the operators allow in addition to the rate.
EXTRA_LOADS = 1


@dataclass(frozen=True, slots=True)
class EngineView:
    """State of an engine as far as the planner needs it.

    ``local_models`` holds models whose weights are on the engine's VM; ``loading`` is
    the model that it loads or is about to load, or an empty string.
    ``prefill_tokens_per_s`` is the speed at which it reads prompts.
    """

    server: ServerId
    zone: ZoneId
    models: frozenset[ModelName]
    loading: str
    busy: bool
    local_models: frozenset[str]
    running: int
    prefill_tokens_per_s: float = DEFAULT_TOKENS_PER_S


@dataclass(frozen=True, slots=True)
class Move:
    """A model to load on an engine, and the models to unload there first."""

    server: ServerId
    model: ModelName
    unload: tuple[ModelName, ...]
    from_store: bool


@dataclass(slots=True)
class Planner:
    """Plans moves; see :func:`make_planner`."""

    _loaded_s: dict[tuple[ServerId, ModelName], float] = field(default_factory=dict)
    _requested: dict[ServerId, tuple[Move, float]] = field(default_factory=dict)
    _loads_s: deque = field(default_factory=deque)
    _last_loading: dict[ServerId, str] = field(default_factory=dict)
    _missing_since_s: dict[ModelName, float] = field(default_factory=dict)
    _short_since_s: dict[ModelName, float] = field(default_factory=dict)
    _started_s: float | None = None
    _adapter_reserve_mb: float = 0.0

    def plan(
        self,
        spec: EngineSpec,
        engines: Sequence[EngineView],
        demand: Mapping[ModelName, Demand],
        now_s: float,
    ) -> list[Move]:
        """Return the moves to request now.

        Parameters
        ----------
        spec : EngineSpec
            Capacity and models of the service.
        engines : sequence of EngineView
            Engines that report and are not draining.
        demand : mapping of ModelName to Demand
            Demand of all entries together.
        now_s : float
            Monotonic time in seconds.
        """
        if self._started_s is None:
            self._started_s = now_s
        self._observe(engines, now_s)
        # Memory for all adapter slots is reserved, as adapters change meanwhile.
        largest_mb = max(
            (size.adapter_mb for size in spec.models.values()), default=0.0
        )
        self._adapter_reserve_mb = spec.adapter_slots * largest_mb
        capacity = {
            engine.server: engine_capacity(engine.prefill_tokens_per_s, spec.slots)
            for engine in engines
        }
        load = make_engine_load(self._expected_models(engines), demand, capacity)
        free = [engine for engine in engines if self._is_free(engine)]
        self._record_shortages(demand, load, now_s)
        moves = []
        for model in _sort_by_unmet_demand(spec, demand, load, len(engines)):
            # A load from local weights takes a fifth of the time of one from the store,
            # so it is worth waiting for a busy engine. A load from the store would also
            # evict other weights from the engine's disk.
            usable = [engine for engine in free if model in engine.local_models]
            if self._may_load_from_store(model, engines, demand, load, now_s):
                usable = free
            move = self._best_move(spec, model, usable, load, now_s)
            if move is None:
                continue
            if move.from_store and not self._store_rate_allows(spec, now_s):
                continue
            if move.from_store and demand[model].per_s < MIN_STORE_LOAD_RATE_PER_S:
                continue
            moves.append(move)
            free = [engine for engine in free if engine.server != move.server]
            load.apply_move(move.server, model, move.unload)
            self._requested[move.server] = (move, now_s)
            if move.from_store:
                self._loads_s.append(now_s)
        return moves

    def _observe(self, engines: Iterable[EngineView], now_s: float) -> None:
        for engine in engines:
            before = self._last_loading.get(engine.server, "")
            if before and before in engine.models:
                self._loaded_s[engine.server, ModelName(before)] = now_s
            self._last_loading[engine.server] = engine.loading
            requested = self._requested.get(engine.server)
            if requested is None:
                continue
            move, requested_s = requested
            is_seen = engine.loading == move.model or move.model in engine.models
            wait_s = BUSY_ENGINE_WAIT_S if engine.busy else MOVE_REPEAT_S
            if is_seen or now_s - requested_s >= wait_s:
                del self._requested[engine.server]

    def _expected_models(
        self, engines: Iterable[EngineView]
    ) -> dict[ServerId, set[ModelName]]:
        """Return what each engine will hold after the requested moves."""
        expected_models = {}
        for engine in engines:
            held = set(engine.models)
            if engine.loading:
                held.add(ModelName(engine.loading))
            requested = self._requested.get(engine.server)
            if requested is not None:
                held.add(requested[0].model)
                held.difference_update(requested[0].unload)
            expected_models[engine.server] = held
        return expected_models

    def _is_free(self, engine: EngineView) -> bool:
        is_used = engine.busy or bool(engine.loading)
        return not is_used and engine.server not in self._requested

    def _store_rate_allows(self, spec: EngineSpec, now_s: float) -> bool:
        """Return whether the weight store's rate allows one more load."""
        if spec.loads_per_s <= 0:
            return True
        while self._loads_s and now_s - self._loads_s[0] > LOAD_WINDOW_S:
            self._loads_s.popleft()
        limit = PLANNED_LOAD_FRACTION * spec.loads_per_s * LOAD_WINDOW_S + EXTRA_LOADS
        return len(self._loads_s) + 1 <= limit

    def _best_move(
        self, spec, model, free, load: EngineLoad, now_s: float
    ) -> Move | None:
        """Return the move that serves most of a model's unmet demand, or None."""
        unmet = load.unmet_demand(model)
        best: tuple[tuple[float, int], Move] | None = None
        for engine in free:
            if model in engine.models or engine.loading == model:
                continue
            to_evict = self._select_evictions(spec, model, engine, load, now_s)
            if to_evict is None or (to_evict and self._is_warming_up(now_s)):
                continue
            displaced = sum(load.displaced_work(name) for name in to_evict)
            headroom = load.headroom(engine.server, to_evict)
            gain = min(unmet, headroom) if load.copies(model) else unmet
            if to_evict and gain < MIN_GAIN_FACTOR * displaced:
                continue
            from_store = model not in engine.local_models
            if load.copies(model) and gain < (
                MIN_STORE_COPY_DEMAND if from_store else MIN_LOCAL_COPY_DEMAND
            ):
                continue
            move = Move(engine.server, model, to_evict, from_store)
            cost = (
                displaced
                - min(unmet, headroom)
                + (STORE_LOAD_COST if from_store else 0.0)
            )
            order = (cost, engine.running)
            if best is None or order < best[0]:
                best = order, move
        return best[1] if best is not None else None

    def _may_load_from_store(self, model, engines, demand, load, now_s) -> bool:
        """Return whether a model may be loaded from the weight store."""
        if load.copies(model):
            return now_s - self._short_since_s.get(model, now_s) >= MIN_SHORTAGE_S
        if not any(model in engine.local_models for engine in engines):
            return True
        is_urgent = demand[model].per_s >= MIN_STORE_LOAD_RATE_PER_S
        wait_s = (
            HIGH_DEMAND_WAIT_S
            if load.unmet_demand(model) >= HIGH_UNMET_DEMAND
            else LOCAL_ENGINE_WAIT_S
        )
        return is_urgent and now_s - self._missing_since_s.get(model, now_s) >= wait_s

    def _record_shortages(
        self, demand: Iterable[ModelName], load: EngineLoad, now_s: float
    ) -> None:
        """Record since when models have had no copy, or too few copies."""
        missing = {model for model in demand if not load.copies(model)}
        short = {
            model
            for model in demand
            if load.copies(model) and load.unmet_demand(model) >= MIN_STORE_COPY_DEMAND
        }
        for since_s, models in (
            (self._missing_since_s, missing),
            (self._short_since_s, short),
        ):
            for model in since_s.keys() - models:
                del since_s[model]
            for model in models:
                since_s.setdefault(model, now_s)

    def _is_warming_up(self, now_s: float) -> bool:
        return now_s - self._started_s < WARM_UP_S

    def _select_evictions(
        self, spec, model, engine, load: EngineLoad, now_s: float
    ) -> tuple[ModelName, ...] | None:
        """Return the models to unload so that the model fits, or None if it cannot."""
        sizes = spec.models
        if any(held not in sizes for held in engine.models):
            return None
        free_mb = spec.capacity_mb - sum(
            sizes[held].weights_mb for held in engine.models
        )
        free_mb -= self._adapter_reserve_mb
        needed_mb = sizes[model].weights_mb
        held = sorted(engine.models, key=lambda name: (load.displaced_work(name), name))
        to_evict = []
        for name in held:
            if free_mb >= needed_mb:
                break
            loaded_s = self._loaded_s.get((engine.server, name), float("-inf"))
            if now_s - loaded_s < MIN_RESIDENCE_S:
                continue
            to_evict.append(name)
            free_mb += sizes[name].weights_mb
        return tuple(to_evict) if free_mb >= needed_mb else None


def _sort_by_unmet_demand(
    spec, demand: Mapping[ModelName, Demand], load: EngineLoad, engine_count: int
) -> list[ModelName]:
    """Return models with unmet demand, those without a copy first."""
    candidates = []
    for model, model_demand in demand.items():
        if model not in spec.models or model_demand.per_s < MIN_RATE_PER_S:
            continue
        unmet = load.unmet_demand(model)
        if unmet > 0 and load.copies(model) < engine_count:
            candidates.append((load.copies(model) > 0, -unmet, model))
    return [model for _, _, model in sorted(candidates)]


def make_planner() -> Planner:
    """Return a planner that has not requested any move.

    Examples
    --------
    >>> from chervilgw.core.deployment import ModelSpec
    >>> size = ModelSpec(ModelName("m"), 60.0, 4.0, 0.6, 0.8, 0, 0.0)
    >>> spec = EngineSpec(64, 1000, 100.0, 0, 2.8, {ModelName("m"): size})
    >>> empty = EngineView("e", "z", frozenset(), "", False, frozenset(), 0)
    >>> demand = {ModelName("m"): Demand(1.0, 0.0)}
    >>> make_planner().plan(spec, [empty], demand, now_s=0.0)
    [Move(server='e', model='m', unload=(), from_store=True)]
    """
    return Planner()
