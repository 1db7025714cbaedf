"""Decides which copies one engine loads, with which permits, and which it unloads."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from chervilgw.configuration.lookups import resolve_model
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import BudgetName, ModelName, VmId
from chervilgw.core.states import CopyState, VmState
from chervilgw.placement.copies import ModelSpec
from chervilgw.placement.memory import ResidentCopy
from chervilgw.quota.budget_names import (
    ADAPTER_STARTS_AT_ONCE,
    STORE_LOADS_AT_ONCE,
    STORE_LOADS_PER_S,
)
from chervilgw.routing.order import rank

# The queue task repeats the names while requests wait for them; older ones expire.
DEMAND_TIMEOUT_S = 10.0
# Three decision intervals, so that one decision on an outdated fleet view does not
# withdraw a load.
LOAD_REQUEST_TIMEOUT_S = 1.5
# A holder with an older report does not prevent a load without a permit. Live servers
# report at least every 2 s; waiting until they count as silent, after 4 s, would leave
# too little time for the load.
MAX_HOLDER_REPORT_AGE_S = 2.5


@dataclass(frozen=True, slots=True)
class CopySpec:
    """Copy of a model or adapter to load; ``base_model`` is None for a model."""

    name: ModelName
    version: str
    size_bytes: int
    base_model: str | None = None

    @property
    def budgets(self) -> tuple[BudgetName, ...]:
        """Return the fleet-wide budgets that a load uses."""
        if self.base_model is not None:
            return (ADAPTER_STARTS_AT_ONCE,)
        return (STORE_LOADS_PER_S, STORE_LOADS_AT_ONCE)


@dataclass(slots=True)
class CopyDemand:
    """Models and adapters that requests wait for, with the time of the last request."""

    last_requested_s: dict[str, float] = field(default_factory=dict)

    def add(self, names: Iterable[str], now_s: float) -> None:
        """Record that requests wait for these names."""
        self.last_requested_s.update(dict.fromkeys(names, now_s))

    def current(self, now_s: float) -> tuple[str, ...]:
        """Drop expired names and return the others."""
        for name, last_requested_s in list(self.last_requested_s.items()):
            if now_s - last_requested_s > DEMAND_TIMEOUT_S:
                del self.last_requested_s[name]
        return tuple(self.last_requested_s)

    def missing(
        self, state: ConfigurationState, resident: Mapping[str, str], now_s: float
    ) -> tuple[str, ...]:
        """Return the copies to load: an adapter only once its model is loaded.

        Parameters
        ----------
        state : ConfigurationState
            Current configuration.
        resident : mapping of str to str
            State of each copy on this server, as of :func:`merge_versions`.
        now_s : float
            Present time.

        Returns
        -------
        tuple of str
        """
        loaded = CopyState.LOADED.value
        missing = []
        for name in self.current(now_s):
            spec = copy_spec(state, name)
            if spec is None or resident.get(name) == loaded:
                self.last_requested_s.pop(name, None)
            elif name not in resident:
                base = spec.base_model
                missing.append(base if base and resident.get(base) != loaded else name)
        return tuple(missing)


@dataclass(slots=True)
class _LoadRequest:
    first_s: float
    last_s: float


@dataclass(slots=True)
class LoadRequests:
    """Loads that placement decisions request, with the first and last request times.

    Each decision repeats the loads that it still needs. A load that was not repeated
    for :data:`LOAD_REQUEST_TIMEOUT_S` is no longer needed, for example because this
    process had just started and did not know yet which server holds the model.
    """

    requests: dict[str, _LoadRequest] = field(default_factory=dict)

    def add(self, name: str, now_s: float) -> None:
        """Record that a decision requests a load."""
        self.requests.setdefault(name, _LoadRequest(now_s, now_s)).last_s = now_s

    def waited_s(self, name: str, now_s: float) -> float:
        """Return how long a load has been requested, failed tries included."""
        request = self.requests.get(name)
        return now_s - request.first_s if request is not None else 0.0

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Remove the loads that are no longer requested, and return their names."""
        old = [
            n
            for n, request in self.requests.items()
            if now_s - request.last_s > LOAD_REQUEST_TIMEOUT_S
        ]
        for name in old:
            del self.requests[name]
        return tuple(old)


def copy_spec(state: ConfigurationState, name: str) -> CopySpec | None:
    """Return the configured copy of a model or adapter, or None.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    name : str
        Model or adapter name.

    Returns
    -------
    CopySpec or None
    """
    resolved = resolve_model(state, name)
    if resolved is None:
        return None
    if resolved.adapter is not None:
        adapter = resolved.adapter
        return CopySpec(
            ModelName(name), adapter.version, adapter.size_bytes, adapter.base_model
        )
    model = resolved.model
    return CopySpec(ModelName(name), model.version, model.size_bytes)


def copies_needed(state: ConfigurationState, target: str) -> tuple[str, ...]:
    """Return the copies that a request needs: the model, and the adapter if any."""
    adapter = state.items[Kind.ADAPTER].get(target)
    if adapter is None:
        return (target,)
    return (adapter.value.base_model, target)


def model_specs(state: ConfigurationState) -> tuple[ModelSpec, ...]:
    """Return all configured models as input for the placement decisions."""
    return tuple(
        ModelSpec(
            ModelName(name),
            item.value.version,
            item.value.size_bytes,
            item.value.pool,
            item.value.min_copies,
        )
        for name, item in sorted(state.items[Kind.MODEL].items())
    )


def mark_live_connected(
    servers: Iterable[ServerView], local_vm: VmId
) -> tuple[ServerView, ...]:
    """Return the fleet view with live servers marked as connected.

    Sidecars have no links to each other. They get each other's reports through the
    entries, and the report age already decides between live and silent.

    Parameters
    ----------
    servers : iterable of ServerView
        This sidecar's fleet view.
    local_vm : VmId
        This sidecar's VM.

    Returns
    -------
    tuple of ServerView
    """
    return tuple(
        replace(server, connected=True, load_age_s=0.0)
        if server.vm == local_vm
        else replace(server, connected=server.state is VmState.LIVE)
        for server in servers
    )


def choose_eviction(
    state: ConfigurationState,
    copies: Iterable[ResidentCopy],
    servers: Iterable[ServerView],
    local_vm: VmId,
    last_used_s: Mapping[str, float],
    missing_bytes: int,
) -> ResidentCopy | None:
    """Return the eviction candidate that makes room for a requested copy, or None.

    Adapters go before models, since their cold start takes milliseconds. A model goes
    only if a live server of earlier rank has it loaded, so that its last copy stays.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    copies : iterable of ResidentCopy
        Copies on this server.
    servers : iterable of ServerView
        Fleet view, with the copies of each server.
    local_vm : VmId
        This sidecar's VM.
    last_used_s : mapping of str to float
        When a request last used a copy.
    missing_bytes : int
        Memory that has to be freed.

    Returns
    -------
    ResidentCopy or None
    """
    loaded = [copy for copy in copies if copy.state is CopyState.LOADED]
    by_age = sorted(loaded, key=lambda copy: last_used_s.get(copy.name, 0.0))
    adapters = [copy for copy in by_age if copy.name in state.items[Kind.ADAPTER]]
    unconfigured = [copy for copy in by_age if copy_spec(state, copy.name) is None]
    spare = [
        copy
        for copy in by_age
        if copy.name in state.items[Kind.MODEL]
        and has_earlier_holder(copy.name, servers, local_vm)
    ]
    candidates = [*unconfigured, *adapters, *spare]
    if sum(copy.size_bytes for copy in candidates) < missing_bytes:
        return None
    return candidates[0] if candidates else None


def choose_retirement(
    spec: CopySpec,
    state: ConfigurationState,
    copies: Iterable[ResidentCopy],
    servers: Iterable[ServerView],
    local_vm: VmId,
    last_used_s: Mapping[str, float],
    missing_bytes: int,
) -> ModelName | None:
    """Return the name of the copy to retire so that a requested one fits, or None.

    Without an eviction candidate, an old version of the requested model is retired: its
    requests end first, and later ones wait for the load of the new version.

    Parameters
    ----------
    spec : CopySpec
        The requested copy.
    state, copies, servers, local_vm, last_used_s, missing_bytes
        See :func:`choose_eviction`.

    Returns
    -------
    ModelName or None
    """
    copies = tuple(copies)
    copy = choose_eviction(state, copies, servers, local_vm, last_used_s, missing_bytes)
    if copy is not None:
        return copy.name
    loaded = {copy.name for copy in copies if copy.state is CopyState.LOADED}
    return spec.name if spec.name in loaded else None


def outdated_copies(
    state: ConfigurationState, copies: Iterable[ResidentCopy]
) -> tuple[tuple[ResidentCopy, ...], tuple[ResidentCopy, ...]]:
    """Return the old versions to unload, and those whose new version is to be loaded.

    An old version is unloaded only after the configured version is loaded.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    copies : iterable of ResidentCopy
        Copies on this server.

    Returns
    -------
    tuple of (tuple of ResidentCopy, tuple of ResidentCopy)

    Examples
    --------
    >>> from chervilgw.configuration.state import empty_state
    >>> outdated_copies(empty_state(), [ResidentCopy("m", "1", 5, CopyState.LOADED)])
    ((), ())
    """
    copies = tuple(copies)
    loaded = {(c.name, c.version) for c in copies if c.state is CopyState.LOADED}
    to_unload, to_load = [], []
    for copy in copies:
        spec = copy_spec(state, copy.name)
        # The ledger itself repeats an unload order. A second unload would only delay
        # the state report that confirms the first.
        unloading = copy.state is CopyState.UNLOADING
        if spec is None or copy.version == spec.version or unloading:
            continue
        if (spec.name, spec.version) in loaded:
            to_unload.append(copy)
        elif copy.state is CopyState.LOADED:
            to_load.append(copy)
    return tuple(to_unload), tuple(to_load)


def has_earlier_holder(
    name: str, servers: Iterable[ServerView], local_vm: VmId
) -> bool:
    """Return whether a live server of earlier rank has the model loaded."""
    local_rank = rank(name, local_vm)
    return any(
        server.vm != local_vm
        and server.state is VmState.LIVE
        and server.holds(name)
        and rank(name, server.vm) < local_rank
        for server in servers
    )


def is_served_elsewhere(
    name: str, servers: Iterable[ServerView], local_vm: VmId
) -> bool:
    """Return whether another live server with a recent report has the model loaded."""
    return any(
        server.vm != local_vm
        and server.state is VmState.LIVE
        and server.load_age_s <= MAX_HOLDER_REPORT_AGE_S
        and server.holds(name)
        for server in servers
    )


def merge_versions(copies: Iterable[ResidentCopy]) -> dict[str, str]:
    """Return one state per name: loaded before loading before unloading.

    Examples
    --------
    >>> old = ResidentCopy("m", "1", 5, CopyState.LOADED)
    >>> new = ResidentCopy("m", "2", 5, CopyState.LOADING)
    >>> merge_versions([new, old])
    {'m': 'loaded'}
    """
    order = (CopyState.UNLOADING, CopyState.LOADING, CopyState.LOADED)
    merged: dict[str, CopyState] = {}
    for copy in copies:
        merged_state = merged.get(copy.name)
        if merged_state is None or order.index(copy.state) > order.index(merged_state):
            merged[copy.name] = copy.state
    return {name: state.value for name, state in merged.items()}
