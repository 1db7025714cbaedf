"""A sidecar's record of recent answers, for look-ups after a lost connection."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from chervilgw.core.ids import RequestId
from chervilgw.core.messages import AttemptQuery, Chunk, End, Message, Refused, Started
from chervilgw.core.states import RefusalReason, RunState

# Rough size of a Python chunk object and of an answer without chunks.
CHUNK_OVERHEAD_BYTES = 200
ANSWER_OVERHEAD_BYTES = 800


@dataclass(slots=True)
class _Answer:
    started: bool = False
    chunks: deque[Chunk] = field(default_factory=deque)
    first_position: int = 0
    bytes: int = ANSWER_OVERHEAD_BYTES
    last: End | Refused | None = None
    ended_s: float = 0.0


def _size(chunk: Chunk) -> int:
    return len(chunk.data) + CHUNK_OVERHEAD_BYTES


class AnswerStore:
    """Answers by attempt. See :func:`make_answer_store`."""

    def __init__(self, limit_bytes: int, keep_s: float) -> None:
        self._limit_bytes = limit_bytes
        self._keep_s = keep_s
        self._running: OrderedDict[RequestId, _Answer] = OrderedDict()
        self._finished: OrderedDict[RequestId, _Answer] = OrderedDict()
        self._bytes = 0

    @property
    def bytes(self) -> int:
        """Return the estimated memory in use."""
        return self._bytes

    def begin(self, request_id: RequestId, position: int = 0) -> bool:
        """Note an attempt on its arrival.

        Parameters
        ----------
        request_id : RequestId
        position : int
            Position at which it resumes an earlier attempt.

        Returns
        -------
        bool
            False if the attempt is known, so its dispatch is a duplicate.
        """
        if request_id in self._running or request_id in self._finished:
            return False
        self._running[request_id] = _Answer(first_position=position)
        self._bytes += ANSWER_OVERHEAD_BYTES
        self._shrink()
        return True

    def record(self, message: Started | Chunk | End | Refused, now_s: float) -> None:
        """Note a message that was sent to the entry, in the order of sending.

        Parameters
        ----------
        message : Started, Chunk, End or Refused
        now_s : float
        """
        answer = self._running.get(message.request_id)
        if answer is None:
            return
        if isinstance(message, Started):
            answer.started = True
        elif isinstance(message, Chunk):
            answer.chunks.append(message)
            answer.bytes += _size(message)
            self._bytes += _size(message)
            self._shrink()
        else:
            answer.last, answer.ended_s = message, now_s
            del self._running[message.request_id]
            self._finished[message.request_id] = answer
            self.tick(now_s)

    def tick(self, now_s: float) -> None:
        """Drop finished answers that are older than the time to keep them.

        Parameters
        ----------
        now_s : float
        """
        while self._finished:
            oldest = next(iter(self._finished.values()))
            if now_s - oldest.ended_s < self._keep_s:
                return
            self._drop_oldest_finished()

    def _drop_oldest_finished(self) -> None:
        _, answer = self._finished.popitem(last=False)
        self._bytes -= answer.bytes

    def _shrink(self) -> None:
        """Drop finished answers first, then the oldest parts of running ones."""
        while self._bytes > self._limit_bytes and self._finished:
            self._drop_oldest_finished()
        if self._bytes <= self._limit_bytes:
            return
        for answer in self._running.values():
            while answer.chunks and self._bytes > self._limit_bytes:
                chunk = answer.chunks.popleft()
                answer.first_position = chunk.position + chunk.count
                answer.bytes -= _size(chunk)
                self._bytes -= _size(chunk)

    def look_up(self, message: AttemptQuery, now_s: float) -> tuple[Message, ...]:
        """Return what to send again; a running attempt goes on after it.

        An attempt that has neither started nor ended is answered with an empty chunk,
        which tells the entry that it is known and waits.

        Parameters
        ----------
        message : AttemptQuery
        now_s : float

        Returns
        -------
        tuple of Message
        """
        self.tick(now_s)
        request_id = message.request_id
        answer = self._running.get(request_id) or self._finished.get(request_id)
        if answer is None:
            return (_unknown(request_id, RunState.UNKNOWN),)
        if isinstance(answer.last, Refused):
            return (answer.last,)
        if message.position < answer.first_position:
            return (_unknown(request_id, RunState.RUN),)
        chunks = [
            chunk
            for chunk in answer.chunks
            if chunk.position + chunk.count > message.position
        ]
        if answer.last is not None:
            return (*chunks, answer.last)
        if answer.started:
            return (Started(request_id), *chunks)
        return (Chunk(request_id, message.position, 0, b""),)


def _unknown(request_id: RequestId, run: RunState) -> Refused:
    return Refused(
        request_id, RefusalReason.BACKEND_LOST, run, "the answer is no longer recorded"
    )


def make_answer_store(limit_bytes: int, keep_s: float) -> AnswerStore:
    """Return an empty store.

    Parameters
    ----------
    limit_bytes : int
        Estimated memory above which the oldest answers are dropped. Attempts that run
        keep a small entry beyond it.
    keep_s : float
        How long a finished answer is kept.

    Returns
    -------
    AnswerStore

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> attempt = RequestId(Incarnation(VmId("e1"), 1), 1)
    >>> store = make_answer_store(1_000_000, keep_s=30)
    >>> store.begin(attempt)
    True
    >>> store.record(Started(attempt), 0.0)
    >>> store.record(Chunk(attempt, 0, 1, b"Hi"), 0.1)
    >>> [type(part).__name__ for part in store.look_up(AttemptQuery(attempt, 0), 0.2)]
    ['Started', 'Chunk']
    """
    return AnswerStore(limit_bytes, keep_s)
