"""Filters that an attempt passes before it is queued at its backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from chervilgw.configuration.freshness import refuse_stale
from chervilgw.configuration.lookups import service_route
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import Digest, Incarnation
from chervilgw.core.messages import Dispatch
from chervilgw.core.pipeline import Filter, make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, RefusalReason
from chervilgw.keys.authenticate import check_identity


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt with what the filters decide on.

    ``check_block`` returns a refusal if the digest crashed backend servers before.
    """

    dispatch: Dispatch
    state: ConfigurationState
    fresh_until_s: float
    dead: frozenset[Incarnation]
    leaving: bool
    check_block: Callable[[Digest], Result[None, Refusal]]


def check_origin(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse attempts of an entry whose share units others may have taken over."""
    origin = arrival.dispatch.request_id.origin
    if is_dead(origin, arrival.dead):
        detail = "the entry that sent the request was declared dead"
        return Failure(make_refusal(RefusalReason.DEAD_ORIGIN, detail))
    return Success(arrival)


def check_leaving(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse new work on a backend server that is leaving."""
    if arrival.leaving:
        detail = "the backend server is leaving"
        return Failure(make_refusal(RefusalReason.DRAINING, detail, 0.0))
    return Success(arrival)


def check_fresh(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse while the configuration is not confirmed, or older than the entry's."""
    behind = arrival.dispatch.config_offset > arrival.state.offset
    if behind or now_s > arrival.fresh_until_s:
        return Failure(refuse_stale())
    return Success(arrival)


def check_key(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Check the key's identity again, on this process's own configuration."""
    dispatch = arrival.dispatch
    if not dispatch.key and is_open(arrival.state, dispatch):
        return Success(arrival)
    checked = check_identity(arrival.state, dispatch.key, dispatch.customer)
    return checked.map(lambda _: arrival)


def check_crashes(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse a request that crashed backend servers."""
    return arrival.check_block(arrival.dispatch.digest).map(lambda _: arrival)


def is_open(state: ConfigurationState, dispatch: Dispatch) -> bool:
    """Return whether the route of a service needs no key.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    dispatch : Dispatch
        The attempt.

    Returns
    -------
    bool
    """
    item = state.items[Kind.SERVICE].get(dispatch.target)
    if dispatch.kind is not BackendKind.SERVICE or item is None:
        return False
    route = service_route(item.value, dispatch.method, dispatch.path)
    return route is not None and route.open


def is_dead(incarnation: Incarnation, dead: frozenset[Incarnation]) -> bool:
    """Return whether an incarnation, or a later one of its VM, was declared dead.

    Parameters
    ----------
    incarnation : Incarnation
        Process that sent a request.
    dead : frozenset of Incarnation
        Latest dead incarnation of each VM; earlier ones are dead too.

    Returns
    -------
    bool

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> dead = frozenset({Incarnation(VmId("e1"), 5)})
    >>> is_dead(Incarnation(VmId("e1"), 4), dead)
    True
    """
    return any(each.vm == incarnation.vm and incarnation <= each for each in dead)


def make_admission() -> Filter[Arrival, Arrival]:
    """Return the pipeline of all filters, in the order of their cost."""
    return make_pipeline(
        check_leaving, check_origin, check_fresh, check_key, check_crashes
    )


def may_wait(result: Result[Arrival, Refusal]) -> bool:
    """Return whether a refused attempt may pass shortly, when newer records arrive."""
    if is_successful(result):
        return False
    return result.failure().reason is RefusalReason.CONFIGURATION_STALE
