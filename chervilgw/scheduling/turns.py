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
from chervilgw.scheduling.fair_queue import (
    FairQueue,
    QueuedItem,
    QueueLimits,
    make_fair_queue,
)

READING_TOKENS = 1_900
"""Prompt tokens that may be read at once. An event holds three tokens, and the steps
between them last longer than the 300 ms that a stream may pause from about 2,000 on."""
TURN_S = 0.5
"""A turn whose end was not reported by then is taken as ended: a prompt takes 70 ms."""
QUEUE_TOKENS = 100_000
"""Prompts that wait at one engine: about five seconds of reading."""


@dataclass(frozen=True, slots=True)
class Turn:
    """A waiting request, and where its entry is told."""

    item: QueuedItem
    address: str


@dataclass(frozen=True, slots=True)
class GivenTurn:
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

    def ask(self, turn: Turn, now_s: float) -> Refusal | None:
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

    def is_given(self, request_id: RequestId) -> bool:
        """Return whether a request has its turn now."""
        return request_id in self._reading

    def next_turns(
        self, now_s: float, can_run: Callable[[QueuedItem], bool]
    ) -> list[GivenTurn]:
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
                self.end(request_id, now_s)
        given = []
        while True:
            item = self._queue.pop(now_s, lambda item: self._fits(item, can_run))
            if item is None:
                return given
            given.append(self._give(item.request_id, now_s))

    def _give(self, request_id: RequestId, now_s: float) -> GivenTurn:
        for other_id, other in self._waiting.items():
            if other_id == request_id:
                break
            other.passed_by += 1
        waiting = self._waiting.pop(request_id)
        self._reading[request_id] = (waiting.turn, now_s)
        return GivenTurn(waiting.turn, now_s - waiting.asked_s, waiting.passed_by)

    def _fits(self, item: QueuedItem, can_run: Callable[[QueuedItem], bool]) -> bool:
        reading = sum(turn.item.tokens for turn, _ in self._reading.values())
        if reading and reading + item.tokens > READING_TOKENS:
            return False
        return can_run(item)

    def end(self, request_id: RequestId, now_s: float) -> None:
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
    ...     _ = queue.ask(Turn(item, "10.0.0.1:7600"), now_s=0.0)
    >>> [each.turn.item.request_id.counter for each in queue.next_turns(0.0, bool)]
    [1]
    >>> queue.end(first, now_s=0.1)
    >>> [each.turn.item.request_id.counter for each in queue.next_turns(0.1, bool)]
    [2]
    """
    limits = QueueLimits(customer_tokens=QUEUE_TOKENS, total_tokens=QUEUE_TOKENS)
    return TurnQueue(make_fair_queue(limits))
