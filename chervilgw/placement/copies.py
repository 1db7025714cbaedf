"""Decides which models a sidecar loads and unloads.

Each sidecar decides for the local server, from its view of the fleet. A copy is
unloaded only if a server with an earlier rank holds the model as well. Ranks are the
same in every process, so among all holders the one with the earliest rank never
unloads, however stale the views are: unloading alone cannot remove a model's last copy.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import ModelName, VmId
from chervilgw.core.states import CopyState, VmState
from chervilgw.placement.demand import ModelDemand
from chervilgw.routing.order import preferred_order, rank

NO_DEMAND = ModelDemand()
LOADED = CopyState.LOADED.value
LOADING = CopyState.LOADING.value


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Configuration of a model as far as placement needs it."""

    name: ModelName
    version: str
    size_bytes: int
    pool: str = "default"
    min_copies: int = 1


@dataclass(frozen=True, slots=True)
class CopyLimits:
    """Times and bounds of the decisions.

    ``add_after_s`` and ``remove_after_s`` are how long demand must be high or low. A
    copy of a model without demand costs nothing until its memory is needed, so removal
    is slow. ``settle_s`` is the minimum time between changes of a model on this server.
    ``report_age_s`` bounds the age of a report that an unload relies on. A copy for
    demand is preferably placed on a server with at most ``idle_tokens`` waiting. With
    0, sidecars whose reports of each other differ slightly load the same model at once.
    """

    add_after_s: float = 0.25
    remove_after_s: float = 120.0
    settle_s: float = 5.0
    report_age_s: float = 2.0
    max_copies: int = 8
    idle_tokens: int = 200


@dataclass(frozen=True, slots=True)
class LoadCopy:
    """Load the model on this server."""

    name: ModelName
    version: str


@dataclass(frozen=True, slots=True)
class UnloadCopy:
    """Unload the model from this server."""

    name: ModelName


class _Plan:
    """Working state of one decision, with the memory that is still free per server."""

    def __init__(
        self,
        local_vm: VmId,
        servers: Iterable[ServerView],
        models: Sequence[ModelSpec],
        demand: Mapping[ModelName, ModelDemand],
        limits: CopyLimits,
    ):
        self.local_vm = local_vm
        self.limits = limits
        self.demand = demand
        self.specs = {spec.name: spec for spec in models}
        self.live = [
            server
            for server in servers
            if server.vm == local_vm
            or (server.state is VmState.LIVE and server.connected)
        ]
        self.free = {server.vm: server.load.free_bytes for server in self.live}
        self.evicted: dict[VmId, set[ModelName]] = {s.vm: set() for s in self.live}
        self.loads: list[ModelSpec] = []
        # Indexed once: scanning all servers for each model and each removable copy
        # would make a decision quadratic in the size of the fleet.
        self._copies: dict[str, list[tuple[ServerView, str]]] = {}
        for server in self.live:
            for name, state in server.load.resident.items():
                self._copies.setdefault(name, []).append((server, state))

    def holders(self, name: ModelName, *states: str) -> list[ServerView]:
        """Return live servers that have the model in one of the states."""
        return [s for s, state in self._copies.get(name, ()) if state in states]

    def candidates(self, spec: ModelSpec) -> list[ServerView]:
        """Return live servers of the pool in order that do not have the model."""
        pool = [server for server in self.live if server.is_engine(spec.pool)]
        order = preferred_order(spec.name, pool)
        return [server for server in order if spec.name not in server.load.resident]

    def removable(self, server: ServerView, low_for_s: float) -> list[ModelSpec]:
        """Return copies that may be unloaded from a server, longest unused first.

        Each has a live holder of earlier rank with a recent report. With ``low_for_s``
        above 0, demand must have been low that long, and min_copies must remain.
        """
        found = []
        for name, state in server.load.resident.items():
            spec = self.specs.get(ModelName(name))
            if spec is None or state != LOADED or name in self.evicted[server.vm]:
                continue
            others = [
                other
                for other in self.holders(spec.name, LOADED)
                if other.vm != server.vm and spec.name not in self.evicted[other.vm]
            ]
            earlier = any(
                rank(name, other.vm) < rank(name, server.vm)
                and other.load_age_s <= self.limits.report_age_s
                for other in others
            )
            demand = self.demand.get(spec.name, NO_DEMAND)
            kept = low_for_s > 0.0 and (
                demand.low_for_s < low_for_s or len(others) < spec.min_copies
            )
            if earlier and not kept:
                found.append(spec)
        found.sort(key=lambda s: (-self._low_for_s(s.name), -s.size_bytes, s.name))
        return found

    def _low_for_s(self, name: ModelName) -> float:
        return self.demand.get(name, NO_DEMAND).low_for_s

    def place(self, spec: ModelSpec, servers: list[ServerView], low_for_s: float):
        """Claim memory on the first server where the model fits, evicting if needed."""
        for server in servers:
            if self.free[server.vm] >= spec.size_bytes:
                return self._claim(spec, server, [])
        for server in servers:
            missing = spec.size_bytes - self.free[server.vm]
            to_evict = []
            for copy in self.removable(server, low_for_s):
                if missing > 0:
                    to_evict.append(copy)
                    missing -= copy.size_bytes
            if missing <= 0:
                return self._claim(spec, server, to_evict)
        return None

    def _claim(self, spec: ModelSpec, server: ServerView, to_evict: list[ModelSpec]):
        self.free[server.vm] += sum(copy.size_bytes for copy in to_evict)
        self.free[server.vm] -= spec.size_bytes
        self.evicted[server.vm].update(copy.name for copy in to_evict)
        # A copy that needs an unload first is loaded by a later decision, once the
        # memory is reported as free.
        if (
            server.vm == self.local_vm
            and not to_evict
            and not self.evicted[self.local_vm]
        ):
            self.loads.append(spec)
        return server


def decide_copy_changes(
    local_vm: VmId,
    servers: Iterable[ServerView],
    models: Sequence[ModelSpec],
    demand: Mapping[ModelName, ModelDemand],
    last_changes: Mapping[ModelName, float],
    now_s: float,
    limits: CopyLimits | None = None,
) -> tuple[LoadCopy | UnloadCopy, ...]:
    """Return what this sidecar should load and unload now.

    All sidecars plan the whole fleet by the same rules, and each carries out the
    changes on the local server. Models without a copy come first and may displace any
    copy with an earlier holder; then ``min_copies`` in different zones; then copies for
    high demand, which displace only copies of models whose demand has long been low.

    Parameters
    ----------
    local_vm : VmId
        This server; its entry in ``servers`` must be current.
    servers : iterable of ServerView
        The fleet view, with this server.
    models : sequence of ModelSpec
        All configured models.
    demand : mapping of ModelName to ModelDemand
        From the demand tracker.
    last_changes : mapping of ModelName to float
        Times of this server's last load or unload of each model.
    now_s : float
        Current time in seconds.
    limits : CopyLimits or None
        Defaults if None.

    Returns
    -------
    tuple of LoadCopy or UnloadCopy

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, ZoneId
    >>> from chervilgw.core.messages import Load
    >>> from chervilgw.core.states import BackendKind
    >>> load = Load(BackendKind.ENGINE, 100, 100, 0, 0)
    >>> server = ServerView(
    ...     Incarnation(VmId("b"), 1), ZoneId("z"), "", VmState.LIVE, load, 0.0, True
    ... )
    >>> decide_copy_changes(VmId("b"), [server], [ModelSpec("m", "1", 60)], {}, {}, 0.0)
    (LoadCopy(name='m', version='1'),)
    """
    limits = limits or CopyLimits()
    plan = _Plan(local_vm, servers, models, demand, limits)
    local_server = next((server for server in plan.live if server.vm == local_vm), None)
    if local_server is None or local_server.state is not VmState.LIVE:
        return ()
    largest_first = sorted(models, key=lambda spec: (-spec.size_bytes, spec.name))
    for spec in largest_first:
        if not plan.holders(spec.name, LOADED, LOADING):
            plan.place(spec, plan.candidates(spec), 0.0)
    for spec in largest_first:
        _place_min_copies(plan, spec)
    for spec in sorted(models, key=lambda s: (-_waiting(demand, s), s.name)):
        _place_for_demand(plan, spec)
    unloads = plan.evicted[local_vm] or _spare_copy(plan, local_server)
    settled = {
        name
        for name in plan.specs
        if now_s - last_changes.get(name, float("-inf")) >= limits.settle_s
    }
    # The settle time delays only unloads: a load that a model needs must not wait.
    return tuple(
        [UnloadCopy(name) for name in sorted(unloads) if name in settled]
        + [LoadCopy(spec.name, spec.version) for spec in plan.loads]
    )


def _waiting(demand: Mapping[ModelName, ModelDemand], spec: ModelSpec) -> int:
    return demand.get(spec.name, NO_DEMAND).queue_tokens


def _place_min_copies(plan: _Plan, spec: ModelSpec) -> None:
    present = plan.holders(spec.name, LOADED, LOADING)
    if not present or len(present) >= spec.min_copies:
        return
    zones = {server.zone for server in present}
    candidates = plan.candidates(spec)
    elsewhere = [server for server in candidates if server.zone not in zones]
    plan.place(spec, elsewhere or candidates, plan.limits.settle_s)


def _place_for_demand(plan: _Plan, spec: ModelSpec) -> None:
    demand = plan.demand.get(spec.name, NO_DEMAND)
    if demand.high_for_s < plan.limits.add_after_s:
        return
    present = plan.holders(spec.name, LOADED, LOADING)
    # One copy at a time: a load relieves the queues only once it has ended.
    if not present or plan.holders(spec.name, LOADING):
        return
    if len(present) < plan.limits.max_copies:
        # A copy on a server that has a queue already adds little capacity. The sort is
        # stable, so the preference order is kept within both groups.
        idle_tokens = plan.limits.idle_tokens
        candidates = plan.candidates(spec)
        candidates.sort(key=lambda s: s.load.total_queue_tokens() > idle_tokens)
        plan.place(spec, candidates, plan.limits.remove_after_s)


def _spare_copy(plan: _Plan, local_server: ServerView) -> set[ModelName]:
    """Return a copy to unload so that memory is free for a model lost elsewhere."""
    sizes = [
        s.size_bytes for s in plan.specs.values() if local_server.is_engine(s.pool)
    ]
    if plan.loads or not sizes or plan.free[local_server.vm] >= max(sizes):
        return set()
    spare = plan.removable(local_server, plan.limits.remove_after_s)
    return {spare[0].name} if spare else set()
