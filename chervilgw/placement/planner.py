"""Which engine should hold which models, from the demand of all entries.

One entry plans at a time: the oldest process of those that hear each other. Two that
plan at once, after a partition, only make moves that were not needed; the agents beside
the engines keep every memory limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from chervilgw.core.deployment import EngineSpec, ServerId
from chervilgw.core.ids import ModelName, ZoneId
from chervilgw.placement.demand_rate import Demand
from chervilgw.placement.engine_load import EngineLoad, make_engine_load

FAR_RATE_PER_S = 0.25
"""A load from the weight store takes 4 to 8 s, blocks its engine's adapters meanwhile
and drives other weights off the VM, so it needs three requests in ten seconds."""
NEAR_WAIT_S = 1.0
"""How long a model in demand waits for an engine that has its weights at hand and is
busy: such loads take 0.8 s."""
SHORT_WAIT_S = 0.3
"""The same for a model in great demand (:data:`GREAT_NEED`)."""
WARM_UP_S = 6.0
"""A planner that has just begun to hear of demand unloads nothing: most models look
idle to it."""
MIN_RATE_PER_S = 0.04
"""A model is loaded for one request, while that is no older than about ten seconds."""
MOVE_GAIN = 1.5
"""A load takes seconds in which its engine serves one model less, so what it serves
must be well above what the unloaded model served."""
MIN_STAY_S = 4.0
"""A model that has just been loaded is not unloaded again before those who asked for it
have come back; models would otherwise drive each other out in turn."""
REPEAT_S = 1.0
"""A wish is not repeated sooner: the engine first reports what it does."""
UNDER_WAY_S = 8.0
"""A wish whose engine is busy counts for this long: the unload before the load waits
for the runs of its model."""
FURTHER_NEED = 3.0
"""Requests in progress beyond what the copies of a model serve, from which a further
copy is worth a load of weights at hand. This and the next three are from trials on
days of high load and quiet days."""
FAR_NEED = 8.0
"""The same for a load from the weight store, which blocks its engine's adapters."""
LASTING_S = 1.0
"""How long a model must be short of copies before one more is loaded from the store: a
burst of customers is over before such a load ends."""
FAR_COST = 4.0
"""Requests in progress that a load from the store must be better by than one of weights
at hand, as it takes some four seconds longer."""
GREAT_NEED = 4.0
"""Requests in progress of a model without any copy from which it does not wait for an
engine that has its weights at hand."""
LOAD_SHARE = 0.8
"""Part of the weight store's rate that is planned for; the rest covers a second planner
after a partition."""
LOAD_WINDOW_S = 5.0
"""Window over which the operators count loads from the weight store."""
LOAD_EXTRA = 1
"""Loads at once beyond the rate, which the operators allow on top."""


@dataclass(frozen=True, slots=True)
class EngineView:
    """What the planner needs to know of an engine.

    ``local_models`` holds models whose weights are on the engine's VM; ``loading`` is
    the model that it loads or is about to load, or an empty string.
    """

    server: ServerId
    zone: ZoneId
    models: frozenset[ModelName]
    loading: str
    busy: bool
    local_models: frozenset[str]
    running: int


@dataclass(frozen=True, slots=True)
class Move:
    """A model to load on an engine, and what to unload there before."""

    server: ServerId
    model: ModelName
    unload: tuple[ModelName, ...]
    from_store: bool


@dataclass(slots=True)
class Planner:
    """Plans moves; see :func:`make_planner`."""

    _loaded_s: dict[tuple[ServerId, ModelName], float] = field(default_factory=dict)
    _asked: dict[ServerId, tuple[Move, float]] = field(default_factory=dict)
    _loads_s: deque = field(default_factory=deque)
    _was_loading: dict[ServerId, str] = field(default_factory=dict)
    _missing_s: dict[ModelName, float] = field(default_factory=dict)
    _short_s: dict[ModelName, float] = field(default_factory=dict)
    _began_s: float | None = None

    def plan(
        self,
        spec: EngineSpec,
        engines: Sequence[EngineView],
        demand: Mapping[ModelName, Demand],
        now_s: float,
    ) -> list[Move]:
        """Return the moves to ask for now.

        Parameters
        ----------
        spec : EngineSpec
            Capacity and models of the service.
        engines : sequence of EngineView
            Engines that report and are not leaving.
        demand : mapping of ModelName to Demand
            Demand of all entries together.
        now_s : float
            Monotonic time in seconds.
        """
        if self._began_s is None:
            self._began_s = now_s
        self._observe(engines, now_s)
        load = make_engine_load(self._expected(engines), demand)
        free = [each for each in engines if self._is_free(each)]
        self._note_needs(demand, load, now_s)
        moves = []
        for model in _by_need(spec, demand, load, len(engines)):
            # Where an engine has the weights on its VM, a load takes a fifth of the
            # time, and the next such load soon ends if the engine is busy. A load from
            # the store would also drive other weights off its engine's disk.
            usable = [each for each in free if model in each.local_models]
            if self._may_be_far(model, engines, demand, load, now_s):
                usable = free
            move = self._best_move(spec, model, usable, load, now_s)
            if move is None:
                continue
            if move.from_store and not self._may_load(spec, now_s):
                continue
            if move.from_store and demand[model].per_s < FAR_RATE_PER_S:
                continue
            moves.append(move)
            free = [each for each in free if each.server != move.server]
            load.move(move.server, model, move.unload)
            self._asked[move.server] = (move, now_s)
            if move.from_store:
                self._loads_s.append(now_s)
        return moves

    def _observe(self, engines: Iterable[EngineView], now_s: float) -> None:
        for engine in engines:
            before = self._was_loading.get(engine.server, "")
            if before and before in engine.models:
                self._loaded_s[engine.server, ModelName(before)] = now_s
            self._was_loading[engine.server] = engine.loading
            asked = self._asked.get(engine.server)
            if asked is None:
                continue
            move, asked_s = asked
            is_seen = engine.loading == move.model or move.model in engine.models
            wait_s = UNDER_WAY_S if engine.busy else REPEAT_S
            if is_seen or now_s - asked_s >= wait_s:
                del self._asked[engine.server]

    def _expected(
        self, engines: Iterable[EngineView]
    ) -> dict[ServerId, set[ModelName]]:
        """Return what each engine will hold after the moves asked for."""
        expected = {}
        for engine in engines:
            held = set(engine.models)
            if engine.loading:
                held.add(ModelName(engine.loading))
            asked = self._asked.get(engine.server)
            if asked is not None:
                held.add(asked[0].model)
                held.difference_update(asked[0].unload)
            expected[engine.server] = held
        return expected

    def _is_free(self, engine: EngineView) -> bool:
        is_used = engine.busy or bool(engine.loading)
        return not is_used and engine.server not in self._asked

    def _may_load(self, spec: EngineSpec, now_s: float) -> bool:
        """Return whether the weight store's rate allows one more load."""
        if spec.loads_per_s <= 0:
            return True
        while self._loads_s and now_s - self._loads_s[0] > LOAD_WINDOW_S:
            self._loads_s.popleft()
        limit = LOAD_SHARE * spec.loads_per_s * LOAD_WINDOW_S + LOAD_EXTRA
        return len(self._loads_s) + 1 <= limit

    def _best_move(
        self, spec, model, free, load: EngineLoad, now_s: float
    ) -> Move | None:
        """Return the move that serves most of what a model needs, or None."""
        need = load.need(model)
        best: tuple[tuple[float, int], Move] | None = None
        for engine in free:
            if model in engine.models or engine.loading == model:
                continue
            victims = self._victims(spec, model, engine, load, now_s)
            if victims is None or (victims and self._is_cold(now_s)):
                continue
            loss = sum(load.loss(each) for each in victims)
            room = load.room(engine.server, victims)
            gain = min(need, room) if load.copies(model) else need
            if victims and gain < MOVE_GAIN * loss:
                continue
            far = model not in engine.local_models
            if load.copies(model) and gain < (FAR_NEED if far else FURTHER_NEED):
                continue
            move = Move(engine.server, model, victims, far)
            cost = loss - min(need, room) + (FAR_COST if far else 0.0)
            order = (cost, engine.running)
            if best is None or order < best[0]:
                best = order, move
        return best[1] if best is not None else None

    def _may_be_far(self, model, engines, demand, load, now_s) -> bool:
        """Return whether a model may be loaded where its weights are not at hand."""
        if load.copies(model):
            return now_s - self._short_s.get(model, now_s) >= LASTING_S
        if not any(model in engine.local_models for engine in engines):
            return True
        is_urgent = demand[model].per_s >= FAR_RATE_PER_S
        wait_s = SHORT_WAIT_S if load.need(model) >= GREAT_NEED else NEAR_WAIT_S
        return is_urgent and now_s - self._missing_s.get(model, now_s) >= wait_s

    def _note_needs(
        self, demand: Iterable[ModelName], load: EngineLoad, now_s: float
    ) -> None:
        """Note since when models have had no copy, or too few of them."""
        missing = {model for model in demand if not load.copies(model)}
        short = {
            model
            for model in demand
            if load.copies(model) and load.need(model) >= FAR_NEED
        }
        for since_s, models in ((self._missing_s, missing), (self._short_s, short)):
            for model in since_s.keys() - models:
                del since_s[model]
            for model in models:
                since_s.setdefault(model, now_s)

    def _is_cold(self, now_s: float) -> bool:
        return now_s - self._began_s < WARM_UP_S

    def _victims(
        self, spec, model, engine, load: EngineLoad, now_s: float
    ) -> tuple[ModelName, ...] | None:
        """Return what to unload so that the model fits, or None if it cannot."""
        sizes = spec.models
        if any(held not in sizes for held in engine.models):
            return None
        free_mb = spec.capacity_mb - sum(
            sizes[held].weights_mb for held in engine.models
        )
        # Adapters of all places are left room for, as they come and go meanwhile.
        free_mb -= spec.adapter_slots * max(
            (each.adapter_mb for each in sizes.values()), default=0.0
        )
        needed_mb = sizes[model].weights_mb
        held = sorted(engine.models, key=lambda name: (load.loss(name), name))
        victims = []
        for name in held:
            if free_mb >= needed_mb:
                break
            loaded_s = self._loaded_s.get((engine.server, name), float("-inf"))
            if now_s - loaded_s < MIN_STAY_S:
                continue
            victims.append(name)
            free_mb += sizes[name].weights_mb
        return tuple(victims) if free_mb >= needed_mb else None


def _by_need(
    spec, demand: Mapping[ModelName, Demand], load: EngineLoad, engine_count: int
) -> list[ModelName]:
    """Return models that need another copy, those without any first."""
    needed = []
    for model, known in demand.items():
        if model not in spec.models or known.per_s < MIN_RATE_PER_S:
            continue
        need = load.need(model)
        if need > 0 and load.copies(model) < engine_count:
            needed.append((load.copies(model) > 0, -need, model))
    return [model for _, _, model in sorted(needed)]


def make_planner() -> Planner:
    """Return a planner that has not asked for anything.

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
