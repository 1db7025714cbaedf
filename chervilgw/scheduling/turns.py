"""Turns at one engine: which waiting request it reads next.

A turn is the right to send one prompt to an engine. An engine reads prompts between the
tokens of running requests, so reading several prompts at once makes every running
stream pause. Its agent therefore grants turns for one prompt, or a few short ones, at a
time; the other requests wait in a fair queue, urgent ones first.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from returns.pipeline import is_successful

from chervilgw.core.ids import ModelName, RequestId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.scheduling.fair_queue import (
    FairQueue,
    QueuedItem,
    QueueLimits,
    RunCheck,
    make_fair_queue,
)
from chervilgw.scheduling.prefill_speed import (
    EngineSpeeds,
    first_event_s,
    make_engine_speeds,
)
from chervilgw.scheduling.stream_budget import (
    Delay,
    StreamBudget,
    make_stream_budget,
)
from chervilgw.scheduling.turn_delays import (
    TurnDelays,
    make_turn_delays,
    model_of,
)

# Prompt tokens that an engine of the default speed may read at once. An event holds
# three tokens, and above about 2,000 prompt tokens the steps between them last longer
# than the 300 ms for which a stream may pause. A faster engine may read more, a slower
# one less.
MAX_READING_TOKENS = 1_900
# Fraction of the free tokens that smaller requests may take ahead of the blocked head
# of the queue. Refused callers come back, so small requests that bypass it gain twice.
BYPASS_FRACTION = 0.25
# The wait is not discounted: a request that would wait longer than its caller does is
# refused on arrival, so that the caller can retry in time.
WAIT_FACTOR = 1.0
# A turn that was not released by then counts as released: reading a prompt takes 70 ms.
TURN_TIMEOUT_S = 0.5
# A request that so many later ones went before is next, in one of every so many turns:
# after a burst many requests are passed over, and most of them are late.
MAX_PASSED_BY = 32
PASSED_OVER_INTERVAL = 16
# Half a second of reading at an engine of the default speed. More late requests do not
# wait: another engine may read them sooner, and their callers come back.
MAX_LATE_TOKENS = 10_000
# About five seconds of reading at one engine.
MAX_QUEUED_TOKENS = 100_000


@dataclass(frozen=True, slots=True)
class Turn:
    """A request for a turn, and the address of the entry that gets the answer."""

    item: QueuedItem
    address: str


@dataclass(frozen=True, slots=True)
class GrantedTurn:
    """A request that may be sent now, and its time in the queue.

    ``passed_by`` counts the requests that arrived later and were granted before it.
    """

    turn: Turn
    waited_s: float
    passed_by: int


@dataclass(frozen=True, slots=True)
class DelayedTurn:
    """A request that waits for the running streams."""

    item: QueuedItem
    delay: Delay


@dataclass(slots=True)
class _Waiting:
    turn: Turn
    requested_s: float
    passed_by: int = 0


@dataclass(slots=True)
class TurnQueue:
    """Turns at one engine; see :func:`make_turn_queue`."""

    _queue: FairQueue
    speeds: EngineSpeeds
    budget: StreamBudget
    # The request that would be read now if running streams allowed it.
    delayed: DelayedTurn | None = None
    # In the order of arrival.
    _waiting: dict[RequestId, _Waiting] = field(default_factory=dict)
    _reading: dict[RequestId, tuple[Turn, float]] = field(default_factory=dict)
    # The head of the queue while it does not fit, and the tokens that may bypass it.
    _blocked_head: QueuedItem | None = None
    _bypass_tokens: float = 0.0
    # Turns since one of a request that too many others went before.
    _turns_since_passed_over: int = 0
    # The request that the engine has read alone since its turn, if any.
    _read_alone: RequestId | None = None
    # A prompt whose turn timed out may still be read, beside those granted by then.
    _no_sample_until_s: float = float("-inf")

    def request(self, turn: Turn, now_s: float) -> Refusal | None:
        """Add a request to the queue; return a refusal if it would not be in time.

        A request that is already waiting or granted stays as it is.
        """
        item = turn.item
        if self.is_waiting(item.request_id):
            return None
        late_in_s = (item.late_after_s or now_s) - now_s
        text = self.budget.refusal(
            item.stream,
            model_of(item),
            item.tokens,
            self._queue.total_tokens,
            late_in_s,
            now_s,
        )
        if text is not None:
            return make_refusal(RefusalReason.QUEUE_FULL, text)
        result = self._queue.push(item, now_s)
        if is_successful(result):
            self._waiting[turn.item.request_id] = _Waiting(turn, now_s)
            return None
        refusal = result.failure()
        if refusal.reason is RefusalReason.DUPLICATE_REQUEST:
            return None
        return refusal

    def is_waiting(self, request_id: RequestId) -> bool:
        """Return whether a request waits for its turn."""
        return request_id in self._waiting

    def is_granted(self, request_id: RequestId) -> bool:
        """Return whether a request holds a turn."""
        return request_id in self._reading

    def grant_turns(
        self, now_s: float, can_run: RunCheck, max_turns: int | None = None
    ) -> list[GrantedTurn]:
        """Grant turns to the requests that may be sent now, and return them.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        can_run : callable
            Whether the engine holds what a request needs.
        max_turns : int or None
            Bound for the number of turns granted now, None for no bound.
        """
        for request_id, (_, granted_s) in list(self._reading.items()):
            if now_s - granted_s > TURN_TIMEOUT_S:
                self._end_reading(request_id, now_s, False)
                self._no_sample_until_s = now_s + TURN_TIMEOUT_S
        granted, self.delayed = [], None
        while max_turns is None or len(granted) < max_turns:
            item = self._pop_next(now_s, can_run)
            if item is None:
                return granted
            granted.append(self._grant(item.request_id, now_s))
        return granted

    def _pop_next(self, now_s: float, can_run: RunCheck) -> QueuedItem | None:
        """Pop the head of the queue, or a smaller request while the head does not fit.

        In an overload there is always a smaller request. Those that bypass the head
        therefore share a fraction of the tokens that were free when it was blocked;
        tokens that are freed later are reserved for the head.
        """
        delays = make_turn_delays(self.budget, self._queue.waiting, now_s)
        head = self._head(now_s, can_run, delays)
        if head is None:
            return self._queue.pop(now_s, can_run)
        if self._fits(head, delays):
            self._blocked_head = None
            return self._queue.pop(now_s, can_run, lambda item: item is head)
        delay = delays.delay(head) if self._has_room(head) else None
        if delay is not None:
            self.delayed = DelayedTurn(head, delay)
        if self._blocked_head is not head:
            self._blocked_head = head
            self._bypass_tokens = BYPASS_FRACTION * self._free_tokens()
        max_tokens = min(self._free_tokens(), self._bypass_tokens)
        item = self._queue.pop(
            now_s,
            can_run,
            lambda item: (
                self._default_tokens(item) <= max_tokens and delays.delay(item) is None
            ),
        )
        if item is not None:
            self._bypass_tokens -= self._default_tokens(item)
        return item

    def _head(
        self, now_s: float, can_run: RunCheck, delays: TurnDelays
    ) -> QueuedItem | None:
        """Return the head of the queue; a blocked request stays the head.

        Requests that bypass it change the order of the customers: a different request
        would become the head and be bypassed in turn. A more urgent request still goes
        first.
        """
        passed_over = self._passed_over(can_run)
        if passed_over is not None:
            return passed_over
        head, blocked = self._queue.peek(now_s, can_run), self._blocked_head
        if blocked is not None and blocked.request_id in self._waiting:
            is_first = head is not None and blocked.urgency <= head.urgency
            if is_first and can_run(blocked):
                return blocked
        if head is None or self._fits(head, delays):
            return head
        # The head must still be in time when the prompts ahead of it have been read.
        return self._queue.peek(self._reading_end_s(now_s), can_run)

    def _passed_over(self, can_run: RunCheck) -> QueuedItem | None:
        """Return the longest waiting request that too many others went before."""
        if self._turns_since_passed_over < PASSED_OVER_INTERVAL:
            return None
        for waiting in self._waiting.values():
            item = waiting.turn.item
            is_passed_over = waiting.passed_by >= MAX_PASSED_BY
            if is_passed_over and item.stream is not None and can_run(item):
                return item
        return None

    def _fits(self, item: QueuedItem, delays: TurnDelays) -> bool:
        return self._has_room(item) and delays.delay(item) is None

    def _has_room(self, item: QueuedItem) -> bool:
        return not self._reading or self._default_tokens(item) <= self._free_tokens()

    def _default_tokens(self, item: QueuedItem) -> float:
        """Return the tokens that the default speed reads in the time of the prompt."""
        return item.tokens / self.speeds.factor(model_of(item))

    def _free_tokens(self) -> float:
        return MAX_READING_TOKENS - self._reading_tokens()

    def _reading_tokens(self) -> float:
        return sum(self._default_tokens(t.item) for t, _ in self._reading.values())

    def _reading_end_s(self, now_s: float) -> float:
        """Return when the engine will have read the current prompts."""
        if not self._reading:
            return now_s
        last_s = max(granted_s for _, granted_s in self._reading.values())
        return max(now_s, last_s + first_event_s(self._reading_tokens()))

    def first_event_s(self, tokens: int, model: ModelName) -> float:
        """Return the time from a granted turn to the first event of a prompt."""
        return first_event_s(tokens, self.speeds.of(model))

    def _grant(self, request_id: RequestId, now_s: float) -> GrantedTurn:
        for other_id, other in self._waiting.items():
            if other_id == request_id:
                break
            other.passed_by += 1
        waiting = self._waiting.pop(request_id)
        self._turns_since_passed_over += 1
        if waiting.passed_by >= MAX_PASSED_BY:
            self._turns_since_passed_over = 0
        is_alone = not self._reading and now_s >= self._no_sample_until_s
        self._read_alone = request_id if is_alone else None
        self._reading[request_id] = (waiting.turn, now_s)
        item = waiting.turn.item
        self.budget.on_granted(
            request_id, model_of(item), item.stream, item.tokens, now_s
        )
        return GrantedTurn(waiting.turn, now_s - waiting.requested_s, waiting.passed_by)

    def release(
        self, request_id: RequestId, now_s: float, was_read: bool = False
    ) -> None:
        """Release the turn of a request.

        Parameters
        ----------
        request_id : RequestId
        now_s : float
            Monotonic time in seconds.
        was_read : bool
            Whether the engine has read the prompt; otherwise it was withdrawn, or the
            release was lost, and its time says nothing of the engine's speed.
        """
        self.budget.on_released(request_id, was_read, now_s)
        self._end_reading(request_id, now_s, was_read)

    def _end_reading(self, request_id: RequestId, now_s: float, was_read: bool) -> None:
        reading = self._reading.pop(request_id, None)
        if reading is not None:
            item, took_s = reading[0].item, now_s - reading[1]
            if was_read and request_id == self._read_alone:
                self.speeds.on_read(model_of(item), item.tokens, took_s)
            self._queue.settle(item, item.tokens, now_s)
        elif self._waiting.pop(request_id, None) is not None:
            self._queue.remove(request_id)

    def expire(self, now_s: float) -> list[Turn]:
        """Remove and return requests that are of no use any more.

        Their callers would have given up, or they are late and others as well: a
        backlog of late requests would fill the queue for those in time.
        """
        self.budget.decoding.expire(now_s)
        expired = self._queue.expire(now_s)
        turns = [self._waiting.pop(item.request_id).turn for item in expired]
        late = [turn for turn in self._turns() if turn.item.yields(now_s)]
        excess = sum(self._default_tokens(turn.item) for turn in late)
        for turn in late:
            if excess <= MAX_LATE_TOKENS:
                break
            excess -= self._default_tokens(turn.item)
            self._queue.remove(turn.item.request_id)
            turns.append(self._waiting.pop(turn.item.request_id).turn)
        return turns

    def _turns(self) -> list[Turn]:
        return [waiting.turn for waiting in self._waiting.values()]

    def waiting(self) -> tuple[QueuedItem, ...]:
        """Return the waiting requests in the order of their arrival."""
        return self._queue.waiting()

    def clear(self) -> list[Turn]:
        """Remove and return all waiting requests, because the engine accepts none."""
        turns = self._turns()
        for turn in turns:
            self._queue.remove(turn.item.request_id)
        self._waiting.clear()
        self._reading.clear()
        self.budget.clear()
        return turns


def make_turn_queue() -> TurnQueue:
    """Return an empty queue.

    Examples
    --------
    >>> from chervilgw.core.ids import CustomerId, Incarnation, VmId
    >>> queue = make_turn_queue()
    >>> first, second = (RequestId(Incarnation(VmId("e"), 1), n) for n in (1, 2))
    >>> for request in (first, second):
    ...     item = QueuedItem(request, CustomerId("a"), "m", 1_400)
    ...     _ = queue.request(Turn(item, "10.0.0.1:7600"), now_s=0.0)
    >>> [t.turn.item.request_id.counter for t in queue.grant_turns(0.0, bool)]
    [1]
    >>> queue.release(first, now_s=0.1)
    >>> [t.turn.item.request_id.counter for t in queue.grant_turns(0.1, bool)]
    [2]
    """
    limits = QueueLimits(
        MAX_QUEUED_TOKENS,
        MAX_QUEUED_TOKENS,
        wait_factor=WAIT_FACTOR,
        service_factor=0.0,
    )
    speeds = make_engine_speeds()
    return TurnQueue(make_fair_queue(limits), speeds, make_stream_budget(speeds))
