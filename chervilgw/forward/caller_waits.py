"""How long callers wait for an answer, and how urgent their requests are."""

from __future__ import annotations

from chervilgw.core.deployment import RouteKind
from chervilgw.core.states import Urgency
from chervilgw.forward.messages import AdmittedRequest

# Callers abandon a stream after the longest of two seconds, four times the route's
# target and eight times its longest allowed pause.
ABANDON_AFTER_S = 2.0
ABANDON_TARGET_FACTOR = 4.0
ABANDON_PAUSE_FACTOR = 8.0


def max_first_token_wait_s(admitted: AdmittedRequest, stream_s: float = 0.0) -> float:
    """Return how long a first token is of use to a caller, in s.

    Parameters
    ----------
    admitted : AdmittedRequest
    stream_s : float
        How long the stream surely takes after its first event. If the caller states a
        deadline, the stream has to end by then.
    """
    route = admitted.route
    if route.kind is not RouteKind.STREAMING:
        return route.timeout_s
    longest = max(
        ABANDON_AFTER_S,
        ABANDON_TARGET_FACTOR * route.target_s,
        ABANDON_PAUSE_FACTOR * route.max_pause_s,
    )
    return min(longest, route.timeout_s, max_answer_wait_s(admitted) - stream_s)


def max_answer_wait_s(admitted: AdmittedRequest) -> float:
    """Return how long a caller waits for its complete answer at most, in s."""
    max_wait_s, timeout_s = admitted.opaque.max_wait_s, admitted.route.timeout_s
    return timeout_s if max_wait_s is None else min(max_wait_s, timeout_s)


def urgency_of(rank: int) -> Urgency:
    """Return the urgency class at an engine for a rank; 0 is the most urgent."""
    return Urgency(min(max(rank, 0), Urgency.OVERNIGHT))
