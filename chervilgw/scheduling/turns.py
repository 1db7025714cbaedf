"""Turns at one engine: which waiting request it reads next.

An engine reads prompts between the tokens of running requests, so several prompts at
once make every running stream pause. Its agent therefore lets one prompt, or a few
short ones, be read at a time; the others wait in a fair queue, urgent ones first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from returns.pipeline import is_successful

from chervilgw.core.ids import RequestId
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason
from chervilgw.routing.dispatch import PREFILL_TOKENS_PER_S
from chervilgw.scheduling.fair_queue import (
    FairQueue,
    QueuedItem,
    QueueLimits,
    make_fair_queue,
)

READING_TOKENS = 1_900
"""Prompt tokens that may be read at once. An event holds three tokens, and the steps
between them last longer than the 300 ms that a stream may pause from about 2,000 on."""
PASSING_SHARE = 0.25
"""Part of the room beside the prompts being read that smaller requests may take ahead
of the next one. Callers come back after a refusal, so what small ones gain by passing
counts twice."""
WAIT_SLACK = 1.0
"""The wait is estimated in full: a request that would wait longer than its caller does
is refused when it comes, so that the caller can return in time."""
TURN_S = 0.5
"""A turn whose end was not reported by then is taken as ended: a prompt takes 70 ms."""
QUEUE_TOKENS = 100_000
"""Prompts that wait at one engine: about five seconds of reading."""
START_S = 0.04
"""From the turn to the first event of an empty prompt, as measured at the engines: the
way there and back and the steps of the event."""


def first_event_s(tokens: int) -> float:
    """Return the time from a turn to the first event, for a prompt in tokens."""
    return START_S + tokens / PREFILL_TOKENS_PER_S


@dataclass(frozen=True, slots=True)
class Turn:
    """A waiting request, and where its entry is told."""

    item: QueuedItem
    address: str


@dataclass(frozen=True, slots=True)
class GrantedTurn:
    """A request that may be sent now, and how it fared in the queue.

    ``passed_by`` counts the requests that arrived later and were sent before it.
    """

    turn: Turn
    waited_s: float
    passed_by: int


@dataclass(slots=True)
class _Waiting:
    turn: Turn
    asked_s: float
    passed_by: int = 0


@dataclass(slots=True)
class TurnQueue:
    """Turns at one engine; see :func:`make_turn_queue`."""

    _queue: FairQueue
    # In the order of arrival.
    _waiting: dict[RequestId, _Waiting] = field(default_factory=dict)
    _reading: dict[RequestId, tuple[Turn, float]] = field(default_factory=dict)
    # The next request while it does not fit, and the tokens that may still pass it.
    _held_up: QueuedItem | None = None
    _passing_tokens: float = 0.0

    def request(self, turn: Turn, now_s: float) -> Refusal | None:
        """Add a request to the queue; return a refusal if it would not be in time.

        A request that is here already is left where it is.
        """
        result = self._queue.push(turn.item, now_s)
        if is_successful(result):
            self._waiting[turn.item.request_id] = _Waiting(turn, now_s)
            return None
        refusal = result.failure()
        if refusal.reason is RefusalReason.DUPLICATE_REQUEST:
            return None
        return refusal

    def is_granted(self, request_id: RequestId) -> bool:
        """Return whether a request has its turn now."""
        return request_id in self._reading

    def grant_turns(
        self, now_s: float, can_run: Callable[[QueuedItem], bool]
    ) -> list[GrantedTurn]:
        """Return the requests that may be sent now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        can_run : callable
            Whether the engine holds what a request needs.
        """
        for request_id, (_, given_s) in list(self._reading.items()):
            if now_s - given_s > TURN_S:
                self.release(request_id, now_s)
        given = []
        while True:
            item = self._take_next(now_s, can_run)
            if item is None:
                return given
            given.append(self._give(item.request_id, now_s))

    def _take_next(
        self, now_s: float, can_run: Callable[[QueuedItem], bool]
    ) -> QueuedItem | None:
        """Take the next request in the order, or a smaller one while it does not fit.

        In an overload there is always a smaller one. What passes a request therefore
        takes a part of the room that was there when it was held up; room that becomes
        free later is kept for it.
        """
        head = self._head(now_s, can_run)
        if head is None:
            return self._queue.pop(now_s, can_run)
        if self._fits(head):
            self._held_up = None
            return self._queue.pop(now_s, can_run, lambda item: item is head)
        if self._held_up is not head:
            self._held_up = head
            self._passing_tokens = PASSING_SHARE * self._room_tokens()
        most = min(self._room_tokens(), self._passing_tokens)
        item = self._queue.pop(now_s, can_run, lambda item: item.tokens <= most)
        if item is not None:
            self._passing_tokens -= item.tokens
        return item

    def _head(
        self, now_s: float, can_run: Callable[[QueuedItem], bool]
    ) -> QueuedItem | None:
        """Return the request that goes next; one that is held up stays the next.

        What passes it moves the customers' places, so that another request would come
        next and be passed anew. A more urgent request still goes first.
        """
        head, held_up = self._queue.peek(now_s, can_run), self._held_up
        if held_up is not None and held_up.request_id in self._waiting:
            is_first = head is not None and held_up.urgency <= head.urgency
            if is_first and can_run(held_up):
                return held_up
        if head is None or self._fits(head):
            return head
        # It has to be in time when there is room for it.
        return self._queue.peek(self._read_by_s(now_s), can_run)

    def _fits(self, item: QueuedItem) -> bool:
        return not self._reading or item.tokens <= self._room_tokens()

    def _room_tokens(self) -> int:
        return READING_TOKENS - self._reading_tokens()

    def _reading_tokens(self) -> int:
        return sum(turn.item.tokens for turn, _ in self._reading.values())

    def _read_by_s(self, now_s: float) -> float:
        """Return when the prompts that are being read will have been read."""
        last_s = max(given_s for _, given_s in self._reading.values())
        return max(now_s, last_s + first_event_s(self._reading_tokens()))

    def _give(self, request_id: RequestId, now_s: float) -> GrantedTurn:
        for other_id, other in self._waiting.items():
            if other_id == request_id:
                break
            other.passed_by += 1
        waiting = self._waiting.pop(request_id)
        self._reading[request_id] = (waiting.turn, now_s)
        return GrantedTurn(waiting.turn, now_s - waiting.asked_s, waiting.passed_by)

    def release(self, request_id: RequestId, now_s: float) -> None:
        """Note that a request was read, or is not wanted any more."""
        reading = self._reading.pop(request_id, None)
        if reading is not None:
            item = reading[0].item
            self._queue.settle(item, item.tokens, now_s)
        elif self._waiting.pop(request_id, None) is not None:
            self._queue.remove(request_id)

    def expire(self, now_s: float) -> list[Turn]:
        """Take out requests that could not be in time any more, and return them."""
        late = self._queue.expire(now_s)
        return [self._waiting.pop(item.request_id).turn for item in late]

    def waiting(self) -> tuple[QueuedItem, ...]:
        """Return the waiting requests in the order of their arrival."""
        return self._queue.waiting()

    def clear(self) -> list[Turn]:
        """Take out all waiting requests, as the engine takes none, and return them."""
        turns = [each.turn for each in self._waiting.values()]
        for turn in turns:
            self._queue.remove(turn.item.request_id)
        self._waiting.clear()
        self._reading.clear()
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
    >>> [each.turn.item.request_id.counter for each in queue.grant_turns(0.0, bool)]
    [1]
    >>> queue.release(first, now_s=0.1)
    >>> [each.turn.item.request_id.counter for each in queue.grant_turns(0.1, bool)]
    [2]
    """
    limits = QueueLimits(
        QUEUE_TOKENS, QUEUE_TOKENS, wait_factor=WAIT_SLACK, service_factor=0.0
    )
    return TurnQueue(make_fair_queue(limits))
