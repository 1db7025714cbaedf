"""State of one caller's request on its way, and what its failures allow."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from chervilgw.codec.event_stream import EventCutter, make_event_cutter
from chervilgw.core.deployment import RouteKind, ServerId
from chervilgw.core.ids import Digest, RequestId
from chervilgw.core.states import RunState, Urgency
from chervilgw.forward.messages import Admitted, Headers, ServerAnswer

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
    that did not say that they have not run it. ``turns`` lists all turns that it asked
    for, ``turn_wait_s`` is how long it waited for them in all. ``refused_by`` holds the
    servers that gave none, ``busy_at`` those that could have served the request later.
    ``held_bytes`` counts what came of an answer that is collected or dropped.
    ``unread`` is what the current server has to read of the prompt, until its first
    token.
    """

    number: int
    server_channel: str
    admitted: Admitted
    digest: Digest
    started_s: float
    give_up_s: float
    stage: Stage = Stage.SENT
    server: ServerId | None = None
    server_started_ms: int = 0
    call: str = ""
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
    held_bytes: int = 0
    cutter: EventCutter | None = None
    turn: RequestId | None = None
    turns: list[RequestId] = field(default_factory=list)
    turn_asked_s: float = 0.0
    turn_wait_s: float = 0.0
    refused_by: set[ServerId] = field(default_factory=set)
    busy_at: set[ServerId] = field(default_factory=set)
    retry_after_s: float | None = None

    @property
    def run_state(self) -> RunState:
        """Return what is certain about the request so far."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is passed on as it arrives."""
        return self.admitted.route.kind is RouteKind.STREAMING

    @property
    def first_byte_after_s(self) -> float | None:
        """Return how long the first byte of the answer took, or None without one."""
        if self.first_byte_s is None:
            return None
        return self.first_byte_s - self.started_s

    def ask_turn(
        self, turn: RequestId, server: ServerId, unread: int, now_s: float
    ) -> None:
        """Note that the request waits for its turn at an engine."""
        self.stage, self.server = Stage.WAITING_FOR_TURN, server
        self.turn, self.unread, self.turn_asked_s = turn, unread, now_s
        self.turns.append(turn)

    def end_turn_wait(self, now_s: float) -> None:
        """Note that the request waits no more, with or without a turn."""
        self.turn_wait_s += now_s - self.turn_asked_s

    def begin_attempt(self, server: ServerId, started_ms: int, unread: int) -> None:
        """Note that the request goes to a server."""
        self.stage, self.server, self.server_started_ms = Stage.SENT, server, started_ms
        self.sends += 1
        self.tried.add(server)
        self.may_have_run.add(server)
        self.unread = unread
        self.answer, self.body, self.held_bytes = None, [], 0
        self.call = f"{self.server_channel}-{self.number}-{self.sends}"

    def on_turn_refused(self, retry_after_s: float, is_busy: bool) -> None:
        """Note that an engine's agent does not take the request."""
        self.refused_by.add(self.server)
        if is_busy:
            self.busy_at.add(self.server)
        if retry_after_s > 0:
            known_s = self.retry_after_s
            soonest_s = (
                retry_after_s if known_s is None else min(known_s, retry_after_s)
            )
            self.retry_after_s = soonest_s

    def on_head(self, answer: ServerAnswer, long_body_bytes: int) -> None:
        """Decide what to do with an answer whose head has come."""
        self.answer = answer
        if not answer.is_own:
            # Either nothing has run, or it is not known what is behind the answer.
            self.stage = Stage.DISCARDING
        elif answer.status >= 500 and not self.head_passed and self.may_send_again():
            self.stage = Stage.DISCARDING
        elif self.is_stream or (answer.length_bytes or 0) > long_body_bytes:
            self.stage = Stage.RELAYING
        else:
            self.stage = Stage.BUFFERING

    def on_data(self, data: bytes) -> bytes:
        """Take a part of the answer; return what goes to the caller now."""
        if self.stage is not Stage.RELAYING:
            self.held_bytes += len(data)
            if self.stage is Stage.BUFFERING:
                self.body.append(data)
            return b""
        return data if self.cutter is None else self.cutter.feed(data)

    def pass_on(self) -> bytes:
        """Go over from collecting the answer to passing it on; return what has come."""
        self.stage, self.held_bytes = Stage.RELAYING, 0
        collected, self.body = b"".join(self.body), []
        return self.on_data(collected)

    def on_not_served(self) -> None:
        """Note an answer that is not passed on."""
        if self.answer.not_run:
            self.may_have_run.discard(self.server)

    def whole_answer(self) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer that was collected."""
        headers = tuple(
            pair for pair in self.answer.headers if pair[0] != "Content-Length"
        )
        return self.answer.status, headers, b"".join(self.body)

    def note_bytes(self, now_s: float) -> None:
        """Note when bytes of the answer came."""
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        else:
            pause_s = now_s - self.last_byte_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_byte_s = now_s

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


def answer_limit_s(admitted: Admitted) -> float:
    """Return how long a caller waits for its whole answer at most."""
    max_wait_s, timeout_s = admitted.opaque.max_wait_s, admitted.route.timeout_s
    return timeout_s if max_wait_s is None else min(max_wait_s, timeout_s)


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
    route = admitted.route
    is_resumable = route.kind is RouteKind.STREAMING and route.resumable
    cutter = make_event_cutter() if is_resumable else None
    return Exchange(
        number,
        server_channel,
        admitted,
        digest,
        now_s,
        now_s + answer_limit_s(admitted),
        cutter=cutter,
    )
