"""State of one caller's request at an entry, and whether it may be retried."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

from chervilgw.codec.event_stream import EventSplitter, make_event_splitter
from chervilgw.core.answers import AnswerKind, classify_answer, proves_survival
from chervilgw.core.deployment import RouteKind, ServerId
from chervilgw.core.ids import CustomerId, RequestId, RequestTrait
from chervilgw.core.states import RunState
from chervilgw.forward.caller_waits import (
    max_answer_wait_s,
    max_first_token_wait_s,
)
from chervilgw.forward.messages import AdmittedRequest, Headers, ServerAnswer
from chervilgw.forward.stream_binding import StreamBinding, make_stream_binding
from chervilgw.routing.request_cost import OutputEstimate, RequestKind, StatedOutput

# Servers that one request is sent to, including those that did not run it.
MAX_SENDS = 4
# A server that a request crashes writes the head of the answer and perhaps the first
# events. Events that still come after this time are past that point.
SURVIVAL_S = 0.25
# Fraction of the caller's wait for a first token that may go to a trial of another
# request; the rest is for the queue and the prompt.
TRIAL_WAIT_FRACTION = 0.6


class Stage(Enum):
    """Progress of an exchange."""

    WAITING_FOR_ORIGIN = "waiting_for_origin"
    WAITING_FOR_TURN = "waiting_for_turn"
    WAITING_FOR_MODEL = "waiting_for_model"
    WAITING_FOR_SERVER = "waiting_for_server"
    WAITING_FOR_TRIAL = "waiting_for_trial"
    SENT = "sent"
    DISCARDING = "discarding"
    BUFFERING = "buffering"
    RELAYING = "relaying"
    ENDED = "ended"


@dataclass(slots=True)
class Exchange:
    """One caller's request; see :func:`make_exchange`.

    ``tried`` holds the servers that got the request, ``may_have_run`` those of them
    that may have run it. ``turns`` lists all requested turns, ``turn_wait_s`` is the
    total wait for them. ``refused_by`` holds the engines that refused a turn,
    ``busy_at`` those of them that could have served the request later.
    ``first_token_wait_s`` is how long the caller waits for the first token.
    ``unrelayed_bytes`` counts the bytes of an answer that is buffered or discarded.
    ``answer_started_s`` and ``answer_reads`` are the time of the first byte at the
    current server and the number of times bytes came from it.
    ``traits`` is what the request has in common with others, ``known_strikes`` the
    strikes of each trait when the request was sent. ``suspects`` are the traits that
    were suspects when a server was last chosen; ``on_trial`` says that it is the only
    request with them that is sent now, ``survived`` that the current server has
    got past the beginning of its answer.
    ``stream_turn`` is the granted turn of the current attempt, until its end is
    reported. ``events_before`` counts the events of earlier attempts, and
    ``other_tokens_per_s`` is the speed of the fastest other engine when one was chosen.
    ``unread_tokens`` is the part of the prompt that the server still has to read; it is
    0 from the first byte of the answer on. ``sent_s`` is when the request was sent to
    the current server, ``estimate`` its expected output if the service has engines.
    ``binding`` holds the software version at which a stream may go on.
    """

    number: int
    server_channel: str
    admitted: AdmittedRequest
    traits: tuple[RequestTrait, ...]
    started_s: float
    deadline_s: float
    first_token_wait_s: float
    stage: Stage = Stage.SENT
    server: ServerId | None = None
    server_started_ms: int = 0
    call: str = ""
    first_byte_s: float | None = None
    last_byte_s: float = 0.0
    longest_pause_s: float = 0.0
    answer_started_s: float | None = None
    answer_reads: int = 0
    known_strikes: tuple[int, ...] = ()
    suspects: tuple[RequestTrait, ...] = ()
    on_trial: bool = False
    survived: bool = False
    sends: int = 0
    tried: set[ServerId] = field(default_factory=set)
    may_have_run: set[ServerId] = field(default_factory=set)
    unread_tokens: int = 0
    answer: ServerAnswer | None = None
    answer_kind: AnswerKind | None = None
    head_forwarded: bool = False
    body: list[bytes] = field(default_factory=list)
    unrelayed_bytes: int = 0
    cutter: EventSplitter | None = None
    turn: RequestId | None = None
    turns: list[RequestId] = field(default_factory=list)
    turn_requested_s: float = 0.0
    turn_wait_s: float = 0.0
    refused_by: set[ServerId] = field(default_factory=set)
    busy_at: set[ServerId] = field(default_factory=set)
    retry_after_s: float | None = None
    sent_s: float = 0.0
    estimate: OutputEstimate | None = None
    stream_turn: RequestId | None = None
    events_before: int = 0
    tokens_per_event: int = 1
    other_tokens_per_s: float = 0.0
    binding: StreamBinding = field(default_factory=make_stream_binding)

    @property
    def expected_output_tokens(self) -> int:
        """Return the output tokens that are still expected.

        Without an estimate it is the stated maximum.
        """
        if self.estimate is None:
            return self.admitted.opaque.output_tokens or 0
        return max(0, self.estimate.tokens - self.written_tokens)

    @property
    def kind(self) -> RequestKind:
        """Return the properties by which the output is compared with others."""
        admitted = self.admitted
        customer = admitted.customer.customer if admitted.customer else CustomerId("")
        return RequestKind(admitted.route.name, customer, admitted.opaque.model)

    @property
    def stated_output(self) -> StatedOutput:
        """Return what the caller says of the output."""
        opaque = self.admitted.opaque
        return StatedOutput(opaque.output_tokens, opaque.hinted_output_tokens)

    @property
    def is_refused_as_busy(self) -> bool:
        """Return whether the server refused the request because it has too many."""
        is_refusal = self.answer_kind is AnswerKind.REFUSAL
        return is_refusal and self.answer.status == HTTPStatus.SERVICE_UNAVAILABLE

    @property
    def is_refused_by_another_server(self) -> bool:
        """Return whether another server has answered at the address.

        An engine answers in the same way if it does not hold the model.
        """
        is_plain = self.admitted.opaque.model is None
        return is_plain and self.answer.status == HTTPStatus.MISDIRECTED_REQUEST

    @property
    def written_tokens(self) -> int:
        """Return the output tokens of the events that have arrived, 0 if unknown."""
        if self.cutter is None or self.estimate is None:
            return 0
        return self.cutter.events * self.estimate.tokens_per_event

    @property
    def max_pause_s(self) -> float:
        """Return the longest pause between events that is on time, 0 if unknown."""
        return self.admitted.route.max_pause_s if self.is_stream else 0.0

    def stream_remaining_s(self, now_s: float) -> float:
        """Return how long the stream may still take, 0 if its route states no pause.

        Callers state deadlines by a header also where the configuration enables no
        budget for streams.
        """
        if not self.max_pause_s:
            return 0.0
        return max(0.0, self.deadline_s - now_s)

    def end_stream(self) -> tuple[RequestId, int, float] | None:
        """Return the turn, output tokens and time of the attempt, None without a turn.

        The turn is returned once.
        """
        turn, self.stream_turn = self.stream_turn, None
        if turn is None:
            return None
        events = self.cutter.events - self.events_before if self.cutter else 0
        took_s = 0.0
        if self.answer_started_s is not None:
            took_s = self.last_byte_s - self.answer_started_s
        return turn, events * self.tokens_per_event, took_s

    @property
    def run_state(self) -> RunState:
        """Return what is certain about whether the request ran."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is relayed as it arrives."""
        return self.admitted.route.kind is RouteKind.STREAMING

    @property
    def is_taken_up(self) -> bool:
        """Return whether the caller holds the first events of the stream already."""
        return self.is_stream and bool(self.admitted.opaque.last_event)

    @property
    def first_byte_after_s(self) -> float | None:
        """Return the time to the first byte of the answer in s, or None without one."""
        if self.first_byte_s is None:
            return None
        return self.first_byte_s - self.started_s

    def request_turn(
        self, turn: RequestId, server: ServerId, unread_tokens: int, now_s: float
    ) -> None:
        """Record that the request waits for a turn at an engine."""
        self.stage, self.server = Stage.WAITING_FOR_TURN, server
        self.turn, self.unread_tokens, self.turn_requested_s = (
            turn,
            unread_tokens,
            now_s,
        )
        self.turns.append(turn)

    def end_turn_wait(self, now_s: float) -> None:
        """Record the end of the wait for a turn, granted or not."""
        self.turn_wait_s += now_s - self.turn_requested_s

    def begin_attempt(
        self, server: ServerId, started_ms: int, unread_tokens: int
    ) -> None:
        """Record that the request is sent to a server."""
        self.stage, self.server, self.server_started_ms = Stage.SENT, server, started_ms
        self.sends += 1
        self.tried.add(server)
        self.may_have_run.add(server)
        self.unread_tokens = unread_tokens
        self.answer, self.answer_kind = None, None
        self.body, self.unrelayed_bytes = [], 0
        self.answer_started_s, self.answer_reads = None, 0
        self.survived = False
        self.events_before = self.cutter.events if self.cutter else 0
        self.call = f"{self.server_channel}-{self.number}-{self.sends}"

    def on_turn_refused(self, retry_after_s: float, is_busy: bool) -> None:
        """Record that an engine's agent refused a turn."""
        self.refused_by.add(self.server)
        if is_busy:
            self.busy_at.add(self.server)
        if retry_after_s > 0:
            earlier_s = self.retry_after_s
            soonest_s = (
                retry_after_s if earlier_s is None else min(earlier_s, retry_after_s)
            )
            self.retry_after_s = soonest_s

    def on_head(self, answer: ServerAnswer, max_buffered_bytes: int) -> None:
        """Decide what to do with an answer when its head has arrived."""
        self.answer = answer
        self.answer_kind = classify_answer(answer.head, self.head_forwarded)
        if self.answer_kind in (AnswerKind.REFUSAL, AnswerKind.UNUSABLE):
            self.stage = Stage.DISCARDING
            return
        is_whole = self.answer_kind is AnswerKind.WHOLE
        if is_whole and answer.status >= 500 and self.may_retry():
            self.stage = Stage.DISCARDING
            return
        if not answer.is_event_stream:
            self.cutter = None
        if self.is_stream or (answer.length_bytes or 0) > max_buffered_bytes:
            self.stage = Stage.RELAYING
        else:
            self.stage = Stage.BUFFERING

    def on_data(self, data: bytes) -> bytes:
        """Process a part of the answer; return the bytes to relay now.

        Raises
        ------
        EventOrderError
            If the answer does not continue the stream behind the last event.
        """
        if self.stage is not Stage.RELAYING:
            self.unrelayed_bytes += len(data)
            if self.stage is Stage.BUFFERING:
                self.body.append(data)
            return b""
        return data if self.cutter is None else self.cutter.feed(data)

    def start_relaying(self) -> bytes:
        """Switch from buffering to relaying; return the bytes to relay now."""
        self.stage, self.unrelayed_bytes = Stage.RELAYING, 0
        collected, self.body = b"".join(self.body), []
        return self.on_data(collected)

    def on_not_served(self) -> None:
        """Record an answer that was discarded."""
        if self.answer_kind is AnswerKind.REFUSAL:
            self.may_have_run.discard(self.server)

    @property
    def is_cut_off(self) -> bool:
        """Return whether an answer that has ended lacks its last event.

        A body without a length ends with its connection, also where its server stopped
        in the middle of an event or before the first one. A continuation holds whole
        events only.
        """
        if self.cutter is None:
            return False
        if not self.answer.framed and not self.answer_reads:
            return True
        ends_inside = self.cutter.ends_inside_event
        is_continuation = self.answer_kind is AnswerKind.CONTINUATION
        return ends_inside and (is_continuation or not self.answer.framed)

    @property
    def is_whole_stream(self) -> bool:
        """Return whether an answer that has ended is a whole stream of one server."""
        if self.answer is None or self.stage is Stage.DISCARDING or self.is_cut_off:
            return False
        is_resumed = self.events_before or self.admitted.opaque.last_event is not None
        return self.answer.status == HTTPStatus.OK and not is_resumed

    def buffered_answer(self) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer that was buffered."""
        headers = tuple(
            pair for pair in self.answer.headers if pair[0] != "Content-Length"
        )
        return self.answer.status, headers, b"".join(self.body)

    def record_bytes(self, now_s: float) -> None:
        """Record that bytes of the answer arrived."""
        if self.answer_started_s is None:
            self.answer_started_s = now_s
        self.answer_reads += 1
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        else:
            pause_s = now_s - self.last_byte_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_byte_s = now_s

    def is_past_beginning(self, now_s: float) -> bool:
        """Return whether the bytes that have just come show that the server lives."""
        if self.stage is not Stage.RELAYING or self.answer_started_s is None:
            return False
        return now_s - self.answer_started_s >= SURVIVAL_S and proves_survival(
            self.answer_kind, self.answer.status
        )

    @property
    def has_end(self) -> bool:
        """Return whether the end of a relayed answer shows that it is whole.

        A stream without a length ends in the same way when its server crashes.
        """
        return self.answer.framed or not self.is_stream

    def may_wait_for_trial(self, now_s: float) -> bool:
        """Return whether to hold the request while another one is tried."""
        since_s = self.last_byte_s if self.head_forwarded else self.started_s
        return now_s - since_s < TRIAL_WAIT_FRACTION * self.first_token_wait_s

    def may_retry(self) -> bool:
        """Return whether the rules of the route allow another server.

        A request that may have run is sent again only if the route allows repeats, and
        to at most ``max_attempts`` servers. One that certainly did not run may always
        be sent again, up to :data:`MAX_SENDS` times in all.
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
        """Return whether another server may continue an interrupted stream."""
        if not self.head_forwarded:
            return self.may_retry()
        if not self.admitted.route.resumable or self.cutter is None:
            return False
        if self.binding.is_uncertain:
            return False
        return self.cutter.can_resume and self.may_retry()


def make_exchange(
    number: int,
    server_channel: str,
    admitted: AdmittedRequest,
    traits: tuple[RequestTrait, ...],
    now_s: float,
    stream_s: float = 0.0,
) -> Exchange:
    """Return the state of a request that has just been admitted.

    Parameters
    ----------
    number : int
        Number of the exchange at its HTTP server task.
    server_channel : str
        Channel of that task.
    admitted : AdmittedRequest
    traits : tuple of RequestTrait
        What the request has in common with others that may crash servers.
    now_s : float
        Monotonic time.
    stream_s : float
        How long the answer surely takes after its first event, in s.
    """
    route = admitted.route
    cutter = make_event_splitter() if route.kind is RouteKind.STREAMING else None
    return Exchange(
        number,
        server_channel,
        admitted,
        traits,
        now_s,
        now_s + max_answer_wait_s(admitted),
        max_first_token_wait_s(admitted, stream_s),
        cutter=cutter,
    )
