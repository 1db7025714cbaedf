"""State of one caller's request on its way, and what its failures allow."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from chervilgw.codec.event_stream import EventCutter, make_event_cutter
from chervilgw.core.deployment import RouteKind, ServerId
from chervilgw.core.ids import Digest, RequestId
from chervilgw.core.states import RunState, Urgency
from chervilgw.forward.messages import Admitted, ServerAnswer

MAX_SENDS = 4
"""Servers that one request is sent to at most, those that did not run it included."""
ABANDON_GAP_S = 2.0
ABANDON_TARGETS = 4.0
ABANDON_PAUSES = 8.0
"""Callers give a stream up after the longest of these: two seconds, four times the
target, eight times the longest pause."""


class Stage(Enum):
    """How far an exchange is."""

    WAITING_FOR_TURN = "waiting_for_turn"
    WAITING_FOR_MODEL = "waiting_for_model"
    SENT = "sent"
    DISCARDING = "discarding"
    BUFFERING = "buffering"
    RELAYING = "relaying"
    ENDED = "ended"


@dataclass(slots=True)
class Exchange:
    """One request; see :func:`make_exchange`.

    ``tried`` holds the servers that got the request, ``may_have_run`` those of them
    that did not say that they have not run it. ``unread`` is what the current server
    has to read of the prompt, until its first token.
    """

    number: int
    server_channel: str
    admitted: Admitted
    digest: Digest
    started_s: float
    give_up_s: float
    patience_until_s: float
    stage: Stage = Stage.SENT
    server: ServerId | None = None
    server_started_ms: int = 0
    call: str = ""
    sent_s: float = 0.0
    first_byte_s: float | None = None
    last_byte_s: float = 0.0
    longest_pause_s: float = 0.0
    sends: int = 0
    tried: set[ServerId] = field(default_factory=set)
    may_have_run: set[ServerId] = field(default_factory=set)
    unread: int = 0
    answer: ServerAnswer | None = None
    head_passed: bool = False
    body: list[bytes] = field(default_factory=list)
    cutter: EventCutter | None = None
    turn: RequestId | None = None
    has_turn: bool = False
    refused_by: set[ServerId] = field(default_factory=set)

    @property
    def run_state(self) -> RunState:
        """Return what is certain about the request so far."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is passed on as it arrives."""
        return self.admitted.route.kind is RouteKind.STREAMING

    def may_send_again(self) -> bool:
        """Return whether the rules of the route allow another server.

        A request that may have run is sent again only if it may be repeated, and to at
        most the route's number of servers. One that certainly has not run may always
        be, within :data:`MAX_SENDS`.
        """
        if self.sends >= MAX_SENDS:
            return False
        route = self.admitted.route
        if not self.may_have_run:
            return True
        if len(self.may_have_run) >= route.max_attempts:
            return False
        return route.may_repeat

    def may_resume(self) -> bool:
        """Return whether another server may continue the stream that broke off."""
        if not self.head_passed:
            return self.may_send_again()
        cutter = self.cutter
        resumable = cutter is not None and cutter.whole and cutter.last_id is not None
        return resumable and self.may_send_again()


def first_token_limit_s(admitted: Admitted) -> float:
    """Return how long a caller waits for its answer to begin before it gives up."""
    route = admitted.route
    if route.kind is not RouteKind.STREAMING:
        return route.timeout_s
    longest = max(
        ABANDON_GAP_S,
        ABANDON_TARGETS * route.target_s,
        ABANDON_PAUSES * route.max_pause_s,
    )
    return min(longest, route.timeout_s)


def urgency_of(rank: int) -> Urgency:
    """Return the class in an engine's queue for the rank of a request, 0 first."""
    return Urgency(min(max(rank, 0), Urgency.OVERNIGHT))


def make_exchange(
    number: int, server_channel: str, admitted: Admitted, digest: Digest, now_s: float
) -> Exchange:
    """Return the state of a request that has just been admitted.

    Parameters
    ----------
    number : int
        Number of the exchange at its HTTP server task.
    server_channel : str
        Channel of that task.
    admitted : Admitted
    digest : Digest
        Stands for the request in crash reports.
    now_s : float
        Monotonic time.
    """
    opaque, route = admitted.opaque, admitted.route
    patience_s = opaque.patience_s if opaque.patience_s is not None else route.timeout_s
    limit_s = min(patience_s, route.timeout_s)
    is_resumable = route.kind is RouteKind.STREAMING and route.resumable
    cutter = make_event_cutter() if is_resumable else None
    return Exchange(
        number,
        server_channel,
        admitted,
        digest,
        now_s,
        now_s + limit_s,
        now_s + patience_s,
        cutter=cutter,
    )
