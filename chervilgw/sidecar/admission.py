"""Filters that check an attempt before the sidecar queues it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from chervilgw.configuration.freshness import make_stale_refusal
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
    """An attempt and the state that the filters check it against.

    ``check_block`` returns a refusal if the digest is blocked after crashes.
    """

    dispatch: Dispatch
    state: ConfigurationState
    fresh_until_s: float
    dead: frozenset[Incarnation]
    draining: bool
    check_block: Callable[[Digest], Result[None, Refusal]]


def check_origin(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse attempts of a dead entry: peers may have collected its share units."""
    origin = arrival.dispatch.request_id.origin
    if is_dead(origin, arrival.dead):
        detail = "the entry that sent the request was declared dead"
        return Failure(make_refusal(RefusalReason.DEAD_ORIGIN, detail))
    return Success(arrival)


def check_draining(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse new attempts on a draining backend server."""
    if arrival.draining:
        detail = "the backend server is draining"
        return Failure(make_refusal(RefusalReason.DRAINING, detail, 0.0))
    return Success(arrival)


def check_fresh(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse if the configuration is unconfirmed or older than the entry's."""
    behind = arrival.dispatch.config_offset > arrival.state.offset
    if behind or now_s > arrival.fresh_until_s:
        return Failure(make_stale_refusal())
    return Success(arrival)


def check_key(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Check the key's identity against this sidecar's configuration."""
    dispatch = arrival.dispatch
    if not dispatch.key and is_open_route(arrival.state, dispatch):
        return Success(arrival)
    checked = check_identity(arrival.state, dispatch.key, dispatch.customer)
    return checked.map(lambda _: arrival)


def check_crashes(arrival: Arrival, now_s: float) -> Result[Arrival, Refusal]:
    """Refuse a request that is blocked after crashes."""
    return arrival.check_block(arrival.dispatch.digest).map(lambda _: arrival)


def is_open_route(state: ConfigurationState, dispatch: Dispatch) -> bool:
    """Return whether the attempt is for a service route that needs no key.

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
    """Return whether this or a later incarnation of the VM was declared dead.

    Parameters
    ----------
    incarnation : Incarnation
        Process that sent a request.
    dead : frozenset of Incarnation
        Latest dead incarnation of each VM; all earlier ones are dead.

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
    return any(latest.vm == incarnation.vm and incarnation <= latest for latest in dead)


def make_admission() -> Filter[Arrival, Arrival]:
    """Return the pipeline of all admission filters, cheapest first."""
    return make_pipeline(
        check_draining, check_origin, check_fresh, check_key, check_crashes
    )


def is_retryable(result: Result[Arrival, Refusal]) -> bool:
    """Return whether newer configuration records may reverse the refusal."""
    if is_successful(result):
        return False
    return result.failure().reason is RefusalReason.CONFIGURATION_STALE
