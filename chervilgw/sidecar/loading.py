"""Decisions on one engine's copies: what to load, with which permit, what to evict."""

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

WANT_LASTS_S = 10.0
"""A want is repeated by the runner while requests wait; an old one is dropped."""
ASK_LASTS_S = 1.5
"""Three decisions, so that one with an old view of the fleet changes nothing."""
HOLDER_REPORT_S = 2.5
"""A holder whose newest report is older keeps nobody from loading without a permit.
Reports of live servers arrive at least every 2 s; only after 4 s do they count as
silent, which leaves too little time for the load."""


@dataclass(frozen=True, slots=True)
class CopySpec:
    """What a load needs to know; ``base_model`` is None for a model."""

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
class Wants:
    """Names that requests wait for, with the time of the last mention."""

    since_s: dict[str, float] = field(default_factory=dict)

    def add(self, names: Iterable[str], now_s: float) -> None:
        """Note that requests wait for these names."""
        self.since_s.update(dict.fromkeys(names, now_s))

    def current(self, now_s: float) -> tuple[str, ...]:
        """Return the names that are still wanted."""
        for name, since_s in list(self.since_s.items()):
            if now_s - since_s > WANT_LASTS_S:
                del self.since_s[name]
        return tuple(self.since_s)

    def missing(
        self, state: ConfigurationState, resident: Mapping[str, str], now_s: float
    ) -> tuple[str, ...]:
        """Return what to load for them: an adapter only once its model is loaded.

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
        found = []
        for name in self.current(now_s):
            spec = copy_spec(state, name)
            if spec is None or resident.get(name) == loaded:
                self.since_s.pop(name, None)
            elif name not in resident:
                base = spec.base_model
                found.append(base if base and resident.get(base) != loaded else name)
        return tuple(found)


@dataclass(slots=True)
class _Ask:
    since_s: float
    last_s: float


@dataclass(slots=True)
class LoadAsks:
    """Loads that the decisions ask for, from the first time on until they stop.

    Each decision repeats what it still needs. A load that none of them named for
    :data:`ASK_LASTS_S` is no longer needed, for example as the server that holds the
    model was not known yet when this process started.
    """

    asks: dict[str, _Ask] = field(default_factory=dict)

    def add(self, name: str, now_s: float) -> None:
        """Note that a decision asks for a load."""
        self.asks.setdefault(name, _Ask(now_s, now_s)).last_s = now_s

    def waited_s(self, name: str, now_s: float) -> float:
        """Return how long a load has been asked for, failed attempts included."""
        ask = self.asks.get(name)
        return now_s - ask.since_s if ask is not None else 0.0

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Forget the loads that are no longer asked for, and return their names."""
        old = [n for n, ask in self.asks.items() if now_s - ask.last_s > ASK_LASTS_S]
        for name in old:
            del self.asks[name]
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
    """Return all configured models in the form that the placement uses."""
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


def reachable_servers(
    servers: Iterable[ServerView], me: VmId
) -> tuple[ServerView, ...]:
    """Return the fleet view with live servers marked as connected.

    Sidecars have no links to each other; they know of one another by the reports that
    entries pass on, whose age already decides between live and silent.

    Parameters
    ----------
    servers : iterable of ServerView
        This sidecar's fleet view.
    me : VmId
        This sidecar's VM.

    Returns
    -------
    tuple of ServerView
    """
    return tuple(
        replace(server, connected=True, load_age_s=0.0)
        if server.vm == me
        else replace(server, connected=server.state is VmState.LIVE)
        for server in servers
    )


def choose_eviction(
    state: ConfigurationState,
    copies: Iterable[ResidentCopy],
    servers: Iterable[ServerView],
    me: VmId,
    last_used_s: Mapping[str, float],
    missing_bytes: int,
) -> ResidentCopy | None:
    """Return the copy to unload next to make room for a wanted one, or None.

    Adapters go first, since their cold start takes milliseconds. A model goes only if a
    live server of earlier rank has it loaded, so that its last copy stays.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    copies : iterable of ResidentCopy
        Copies on this server.
    servers : iterable of ServerView
        Fleet view, other servers' copies included.
    me : VmId
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
    unknown = [copy for copy in by_age if copy_spec(state, copy.name) is None]
    spare = [
        copy
        for copy in by_age
        if copy.name in state.items[Kind.MODEL]
        and has_earlier_holder(copy.name, servers, me)
    ]
    candidates = [*unknown, *adapters, *spare]
    if sum(copy.size_bytes for copy in candidates) < missing_bytes:
        return None
    return candidates[0] if candidates else None


def choose_retirement(
    spec: CopySpec,
    state: ConfigurationState,
    copies: Iterable[ResidentCopy],
    servers: Iterable[ServerView],
    me: VmId,
    last_used_s: Mapping[str, float],
    missing_bytes: int,
) -> ModelName | None:
    """Return the name of the copy to retire so that a wanted one fits, or None.

    Without a copy to spare, an old version gives way to the new one of the same model:
    its requests end first, and those that follow wait for the load.

    Parameters
    ----------
    spec : CopySpec
        The wanted copy.
    state, copies, servers, me, last_used_s, missing_bytes
        See :func:`choose_eviction`.

    Returns
    -------
    ModelName or None
    """
    copies = tuple(copies)
    copy = choose_eviction(state, copies, servers, me, last_used_s, missing_bytes)
    if copy is not None:
        return copy.name
    loaded = {copy.name for copy in copies if copy.state is CopyState.LOADED}
    return spec.name if spec.name in loaded else None


def outdated_copies(
    state: ConfigurationState, copies: Iterable[ResidentCopy]
) -> tuple[tuple[ResidentCopy, ...], tuple[ResidentCopy, ...]]:
    """Return the old versions to unload, and those whose new version is to be loaded.

    The configured version is loaded beside an old one, and the old one goes after that.

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
    replaced, waiting = [], []
    for copy in copies:
        spec = copy_spec(state, copy.name)
        # The ledger repeats the order of an unload. Another attempt would only put off
        # the report that is final for it.
        done = copy.state is CopyState.UNLOADING
        if spec is None or copy.version == spec.version or done:
            continue
        if (spec.name, spec.version) in loaded:
            replaced.append(copy)
        elif copy.state is CopyState.LOADED:
            waiting.append(copy)
    return tuple(replaced), tuple(waiting)


def has_earlier_holder(name: str, servers: Iterable[ServerView], me: VmId) -> bool:
    """Return whether a live server that precedes this one has the model loaded."""
    own_rank = rank(name, me)
    return any(
        server.vm != me
        and server.state is VmState.LIVE
        and server.holds(name)
        and rank(name, server.vm) < own_rank
        for server in servers
    )


def is_served_elsewhere(name: str, servers: Iterable[ServerView], me: VmId) -> bool:
    """Return whether another live server with a recent report has the model loaded."""
    return any(
        server.vm != me
        and server.state is VmState.LIVE
        and server.load_age_s <= HOLDER_REPORT_S
        and server.holds(name)
        for server in servers
    )


def merge_versions(copies: Iterable[ResidentCopy]) -> dict[str, str]:
    """Return one state per name: loaded wins over loading, and that over unloading.

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
        known = merged.get(copy.name)
        if known is None or order.index(copy.state) > order.index(known):
            merged[copy.name] = copy.state
    return {name: state.value for name, state in merged.items()}
