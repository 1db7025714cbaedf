"""Decisions of one sidecar about requests with an idempotency key."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from chervilgw.bookings.fold import BookingState, empty_state, fold
from chervilgw.bookings.outcomes import log_refusal, outcome
from chervilgw.bookings.outputs import Answer, Append, Output, Read, Refuse, Run
from chervilgw.bookings.records import Booking, Intent, Record, RecordedAnswer, Result
from chervilgw.core.ids import Incarnation, Offset, RequestId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState

MAX_BATCH = 500
MAX_WAITING = 5_000
# Larger answers are not worth their place in the log; repeats get "unknown".
MAX_BODY_BYTES = 64 * 1024

# Dispatches that double arrive over one connection, which a silence of 2 s closes.
KEEP_CLOSED_S = 120.0
# Records of other sidecars are read this often when there is no own reason to read.
POLL_S = 1.0


class _State(Enum):
    QUEUED = "queued"
    SENT = "sent"
    RUNNING = "running"


@dataclass(slots=True)
class _Attempt:
    booking: Booking
    since_s: float
    state: _State = _State.QUEUED


@dataclass(frozen=True, slots=True)
class _Release:
    """A refusal that waits until the log holds the release of its digest."""

    refusal: Refusal
    since_s: float


class Bookings:
    """State of one sidecar's bookings. See :func:`make_bookings`.

    An attempt runs only while it is held here, so a restarted sidecar, or one that has
    withdrawn the attempt, never runs it, whatever the log says.
    """

    def __init__(
        self, me: Incarnation, window_s: float, wait_s: float, retry_s: float
    ) -> None:
        self._me = me
        self._wait_s = wait_s
        self._retry_s = retry_s
        self._state = empty_state(window_s)
        self._attempts: dict[RequestId, _Attempt] = {}
        # Attempts whose intent was not read back yet, oldest first.
        self._waiting: dict[RequestId, _Attempt] = {}
        self._closed: OrderedDict[RequestId, float] = OrderedDict()
        self._releases: dict[RequestId, _Release] = {}
        self._queue: deque[Record] = deque()
        self._number = 0
        self._append: Append | None = None
        self._read: Read | None = None
        self._read_wanted = True
        self._append_after_s = self._read_after_s = self._poll_after_s = 0.0

    @property
    def state(self) -> BookingState:
        """Return the fold's state, for reading only."""
        return self._state

    def request(self, booking: Booking, now_s: float) -> list[Output]:
        """Take an attempt; a second dispatch of the same attempt is ignored.

        Parameters
        ----------
        booking : Booking
        now_s : float

        Returns
        -------
        list of Output
        """
        attempt = booking.attempt
        if attempt in self._attempts or attempt in self._closed:
            return []
        entry = self._state.entry(booking.digest, booking.time_ms)
        # A winner without a result may have been released since the last read, so only
        # the log can tell.
        is_known = entry is not None and entry.winner and entry.run is not None
        if is_known or (entry is not None and attempt in entry.void):
            return [self._close(outcome(booking, entry), now_s)]
        if len(self._waiting) >= MAX_WAITING:
            detail = "too many bookings wait for the log"
            refusal = make_refusal(RefusalReason.QUEUE_FULL, detail, self._retry_s)
            return [self._close(Refuse(attempt, refusal), now_s)]
        self._attempts[attempt] = self._waiting[attempt] = _Attempt(booking, now_s)
        self._queue.append(
            Intent(booking.digest, booking.content, attempt, self._me, booking.time_ms)
        )
        return self._work(now_s)

    def on_append_answer(self, append: Append, now_s: float) -> list[Output]:
        """Note that an append took effect.

        Parameters
        ----------
        append : Append
            The output that was carried out; any but the current one is ignored.
        now_s : float

        Returns
        -------
        list of Output
        """
        outputs: list[Output] = []
        if append == self._append:
            self._append = None
            self._read_wanted = True
            outputs = self._end_releases(append.records)
        return outputs + self._work(now_s)

    def _end_releases(self, records: Sequence[Record]) -> list[Output]:
        """Refuse the attempts whose release the log now holds."""
        found = [
            record.attempt
            for record in records
            if isinstance(record, Result) and record.attempt in self._releases
        ]
        return [
            Refuse(attempt, self._releases.pop(attempt).refusal) for attempt in found
        ]

    def on_records(
        self, read: Read, records: Sequence[tuple[Offset, Record | None]], now_s: float
    ) -> list[Output]:
        """Apply records in offset order.

        Parameters
        ----------
        read : Read
            The output that was carried out.
        records : sequence of (Offset, record)
            The records from its start on, without gaps; empty if there are none. None
            stands for a record that cannot be parsed.
        now_s : float

        Returns
        -------
        list of Output
        """
        if read != self._read:
            return []
        self._read = None
        # A read may return the first part only, so it ends with an empty one.
        self._read_wanted = self._read_wanted or bool(records)
        outputs: list[Output] = []
        for offset, record in records:
            self._state = fold(self._state, offset, record)
            if isinstance(record, Intent):
                outputs += self._on_intent(record, now_s)
        return outputs + self._work(now_s)

    def _on_intent(self, intent: Intent, now_s: float) -> list[Output]:
        held = self._waiting.pop(intent.attempt, None)
        if held is None:
            return []
        booking = held.booking
        entry = self._state.entry(booking.digest, booking.time_ms)
        if entry is not None and entry.winner == booking.attempt and entry.run is None:
            held.state = _State.RUNNING
            return [Run(booking.attempt)]
        del self._attempts[booking.attempt]
        if entry is None or entry.winner is None:
            # The fold ignored the intent as too old and does so for its repeats.
            refuse = Refuse(booking.attempt, log_refusal(self._retry_s))
            return [self._close(refuse, now_s)]
        return [self._close(outcome(booking, entry), now_s)]

    def on_log_failed(self, operation: Append | Read, now_s: float) -> list[Output]:
        """Note that an operation failed, or that its answer was lost.

        Parameters
        ----------
        operation : Append or Read
        now_s : float

        Returns
        -------
        list of Output
        """
        if operation == self._read:
            self._read = None
            self._read_wanted = True
            self._read_after_s = now_s + self._retry_s
        elif operation == self._append:
            # The append may have taken effect; a record that doubles changes nothing.
            self._append = None
            self._read_wanted = True
            self._append_after_s = now_s + self._retry_s
            self._queue.extendleft(reversed(operation.records))
        return self._work(now_s)

    def on_finished(
        self, attempt: RequestId, answer: RecordedAnswer, now_s: float
    ) -> list[Output]:
        """Take the service's answer; the caller gets it before it is recorded.

        Parameters
        ----------
        attempt : RequestId
        answer : RecordedAnswer
        now_s : float

        Returns
        -------
        list of Output
        """
        held = self._attempts.get(attempt)
        if held is None or held.state is not _State.RUNNING:
            return []
        del self._attempts[attempt]
        digest = held.booking.digest
        if len(answer.body) > MAX_BODY_BYTES:
            self._queue.append(Result(digest, attempt, RunState.UNKNOWN))
        else:
            self._queue.append(Result(digest, attempt, RunState.RUN, answer))
        return [self._close(Answer(attempt, answer), now_s), *self._work(now_s)]

    def refuse(
        self, attempt: RequestId, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """Refuse an attempt, before or after it won; it does not run from now on.

        An attempt that won and did not run is refused only once the log holds the
        release of its digest. The entry tries another server at once, which would still
        find the digest taken. The wait ends after ``wait_s`` if the log fails.

        Parameters
        ----------
        attempt : RequestId
        refusal : Refusal
            ``NOT_RUN`` releases the digest.
        now_s : float

        Returns
        -------
        list of Output
        """
        held = self._attempts.pop(attempt, None)
        if held is None:
            return []
        self._waiting.pop(attempt, None)
        if held.state is not _State.RUNNING:
            refusal = replace(refusal, run=RunState.NOT_RUN)
        if held.state is not _State.QUEUED:
            # The intent may be in the log, or get there later, and win.
            run = refusal.run
            if run is RunState.RUN:
                run = RunState.UNKNOWN
            self._queue.append(Result(held.booking.digest, attempt, run))
        refuse = self._close(Refuse(attempt, refusal), now_s)
        if held.state is _State.RUNNING and refusal.run is RunState.NOT_RUN:
            self._releases[attempt] = _Release(refusal, now_s)
            return self._work(now_s)
        return [refuse, *self._work(now_s)]

    def tick(self, now_s: float) -> list[Output]:
        """Withdraw attempts that waited too long, and continue failed operations.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Output
        """
        outputs: list[Output] = []
        for attempt, held in list(self._waiting.items()):
            if now_s - held.since_s < self._wait_s:
                break
            outputs += self.refuse(attempt, log_refusal(self._retry_s), now_s)
        for attempt, release in list(self._releases.items()):
            if now_s - release.since_s >= self._wait_s:
                del self._releases[attempt]
                outputs.append(Refuse(attempt, release.refusal))
        while self._closed:
            attempt, closed_s = next(iter(self._closed.items()))
            if now_s - closed_s < KEEP_CLOSED_S:
                break
            del self._closed[attempt]
        if now_s >= self._poll_after_s:
            self._read_wanted = True
        return outputs + self._work(now_s)

    def _close(self, output: Answer | Refuse, now_s: float) -> Output:
        """Note that the attempt was answered, so that it is never taken again."""
        self._closed[output.attempt] = now_s
        return output

    def _work(self, now_s: float) -> list[Output]:
        """Start the next append and the next read, one of each at a time."""
        outputs: list[Output] = []
        if self._append is None and now_s >= self._append_after_s:
            records = self._take_batch()
            if records:
                self._number += 1
                self._append = Append(self._number, records)
                outputs.append(self._append)
        if self._read is None and self._read_wanted and now_s >= self._read_after_s:
            self._number += 1
            self._read = Read(self._number, Offset(self._state.offset + 1))
            self._read_wanted = False
            self._poll_after_s = now_s + POLL_S
            outputs.append(self._read)
        return outputs

    def _take_batch(self) -> tuple[Record, ...]:
        """Return the next records, without intents of withdrawn attempts."""
        records: list[Record] = []
        while self._queue and len(records) < MAX_BATCH:
            record = self._queue.popleft()
            if isinstance(record, Intent):
                held = self._waiting.get(record.attempt)
                if held is None:
                    continue
                held.state = _State.SENT
            records.append(record)
        return tuple(records)


def make_bookings(
    me: Incarnation,
    window_s: float = 86_400.0,
    wait_s: float = 2.0,
    retry_s: float = 0.25,
) -> Bookings:
    """Return the booking decisions of one sidecar process.

    Parameters
    ----------
    me : Incarnation
        This process.
    window_s : float
        Idempotency window. All sidecars of a service use the same one, and the log
        retains records for longer than it by 20 minutes.
    wait_s : float
        How long an attempt waits for the log before it is refused.
    retry_s : float
        Pause after a failed operation.

    Returns
    -------
    Bookings

    Examples
    --------
    >>> from chervilgw.core.ids import Digest, VmId
    >>> me = Incarnation(VmId("b1"), 1)
    >>> bookings = make_bookings(me)
    >>> attempt = RequestId(Incarnation(VmId("e1"), 1), 1)
    >>> booking = Booking(Digest("d"), Digest("c"), attempt, 1000)
    >>> append, read = bookings.request(booking, 0.0)
    >>> bookings.on_records(read, [], 0.0)
    []
    >>> [read] = bookings.on_append_answer(append, 0.1)
    >>> outputs = bookings.on_records(read, [(Offset(0), append.records[0])], 0.1)
    >>> type(outputs[0]).__name__
    'Run'
    """
    return Bookings(me, window_s, wait_s, retry_s)
