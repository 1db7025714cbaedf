"""Decisions of one sidecar about requests with an idempotency key."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from chervilgw.bookings.fold import BookingState, empty_state, fold
from chervilgw.bookings.outcomes import make_log_refusal, resolve_without_run
from chervilgw.bookings.outputs import Answer, Append, Output, Read, Refuse, Run
from chervilgw.bookings.records import Booking, Intent, Record, RecordedAnswer, Result
from chervilgw.core.ids import Incarnation, Offset, RequestId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState

MAX_BATCH_RECORDS = 500
MAX_WAITING_ATTEMPTS = 5_000
# Larger answers are not stored in the log; repeated requests get "unknown".
MAX_BODY_BYTES = 64 * 1024

# Duplicates of a dispatch come over one connection, which is closed after 2 s of
# silence.
ANSWERED_RETENTION_S = 120.0
# Interval of reading the records of other sidecars, if there is no other cause.
POLL_INTERVAL_S = 1.0


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
    """A refusal held back until the log holds the release of its digest."""

    refusal: Refusal
    since_s: float


class Bookings:
    """State of one sidecar's bookings; see :func:`make_bookings`.

    An attempt runs only while it is in this state, so a sidecar that restarted or
    withdrew the attempt never runs it, even if it wins in the log.
    """

    def __init__(
        self, local: Incarnation, window_s: float, wait_s: float, retry_s: float
    ) -> None:
        self._local = local
        self._wait_s = wait_s
        self._retry_s = retry_s
        self._state = empty_state(window_s)
        self._attempts: dict[RequestId, _Attempt] = {}
        # Attempts whose intent was not yet read back from the log, oldest first.
        self._waiting: dict[RequestId, _Attempt] = {}
        self._answered: OrderedDict[RequestId, float] = OrderedDict()
        self._releases: dict[RequestId, _Release] = {}
        self._queue: deque[Record] = deque()
        self._number = 0
        self._append: Append | None = None
        self._read: Read | None = None
        self._read_requested = True
        self._append_after_s = self._read_after_s = self._poll_after_s = 0.0

    @property
    def state(self) -> BookingState:
        """Return the fold's state, to be read only."""
        return self._state

    def request(self, booking: Booking, now_s: float) -> list[Output]:
        """Accept an attempt; a second dispatch of the same attempt is ignored.

        Parameters
        ----------
        booking : Booking
        now_s : float

        Returns
        -------
        list of Output
        """
        attempt = booking.attempt
        if attempt in self._attempts or attempt in self._answered:
            return []
        entry = self._state.entry(booking.digest, booking.time_ms)
        # A winner without a result may have been released since the last read, so the
        # log is read first.
        is_known = entry is not None and entry.winner and entry.run is not None
        if is_known or (entry is not None and attempt in entry.void_attempts):
            return [self._mark_answered(resolve_without_run(booking, entry), now_s)]
        if len(self._waiting) >= MAX_WAITING_ATTEMPTS:
            detail = "too many bookings wait for the log"
            refusal = make_refusal(RefusalReason.QUEUE_FULL, detail, self._retry_s)
            return [self._mark_answered(Refuse(attempt, refusal), now_s)]
        self._attempts[attempt] = self._waiting[attempt] = _Attempt(booking, now_s)
        self._queue.append(
            Intent(
                booking.digest, booking.content, attempt, self._local, booking.time_ms
            )
        )
        return self._start_operations(now_s)

    def on_append_answer(self, append: Append, now_s: float) -> list[Output]:
        """Handle an append that took effect.

        Parameters
        ----------
        append : Append
            The append that took effect; ignored unless it is the current one.
        now_s : float

        Returns
        -------
        list of Output
        """
        outputs: list[Output] = []
        if append == self._append:
            self._append = None
            self._read_requested = True
            outputs = self._refuse_released(append.records)
        return outputs + self._start_operations(now_s)

    def _refuse_released(self, records: Sequence[Record]) -> list[Output]:
        """Return the refusals whose releases the log now holds."""
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
            The read that was carried out.
        records : sequence of (Offset, record)
            The records from its start on, without gaps. None stands for a record that
            cannot be parsed.
        now_s : float

        Returns
        -------
        list of Output
        """
        if read != self._read:
            return []
        self._read = None
        # A read may return only the first records, so reading ends at an empty one.
        self._read_requested = self._read_requested or bool(records)
        outputs: list[Output] = []
        for offset, record in records:
            self._state = fold(self._state, offset, record)
            if isinstance(record, Intent):
                outputs += self._on_intent(record, now_s)
        return outputs + self._start_operations(now_s)

    def _on_intent(self, intent: Intent, now_s: float) -> list[Output]:
        pending = self._waiting.pop(intent.attempt, None)
        if pending is None:
            return []
        booking = pending.booking
        entry = self._state.entry(booking.digest, booking.time_ms)
        if entry is not None and entry.winner == booking.attempt and entry.run is None:
            pending.state = _State.RUNNING
            return [Run(booking.attempt)]
        del self._attempts[booking.attempt]
        if entry is None or entry.winner is None:
            # The fold ignores this intent, and repeats of it, as too old.
            refuse = Refuse(booking.attempt, make_log_refusal(self._retry_s))
            return [self._mark_answered(refuse, now_s)]
        return [self._mark_answered(resolve_without_run(booking, entry), now_s)]

    def on_log_failed(self, operation: Append | Read, now_s: float) -> list[Output]:
        """Handle an operation that failed or whose answer was lost.

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
            self._read_requested = True
            self._read_after_s = now_s + self._retry_s
        elif operation == self._append:
            # The append may have taken effect, but folding a record twice is harmless.
            self._append = None
            self._read_requested = True
            self._append_after_s = now_s + self._retry_s
            self._queue.extendleft(reversed(operation.records))
        return self._start_operations(now_s)

    def on_finished(
        self, attempt: RequestId, answer: RecordedAnswer, now_s: float
    ) -> list[Output]:
        """Handle the service's answer; the caller gets it before it is recorded.

        Parameters
        ----------
        attempt : RequestId
        answer : RecordedAnswer
        now_s : float

        Returns
        -------
        list of Output
        """
        pending = self._attempts.get(attempt)
        if pending is None or pending.state is not _State.RUNNING:
            return []
        del self._attempts[attempt]
        digest = pending.booking.digest
        if len(answer.body) > MAX_BODY_BYTES:
            self._queue.append(Result(digest, attempt, RunState.UNKNOWN))
        else:
            self._queue.append(Result(digest, attempt, RunState.RUN, answer))
        return [
            self._mark_answered(Answer(attempt, answer), now_s),
            *self._start_operations(now_s),
        ]

    def refuse(
        self, attempt: RequestId, refusal: Refusal, now_s: float
    ) -> list[Output]:
        """Refuse an attempt, before or after it won, so that it does not run any more.

        An attempt that won and did not run is refused only once the log holds the
        release of its digest, as the entry tries another server at once, where the
        digest must be free. The wait ends after ``wait_s`` if the log fails.

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
        pending = self._attempts.pop(attempt, None)
        if pending is None:
            return []
        self._waiting.pop(attempt, None)
        if pending.state is not _State.RUNNING:
            refusal = replace(refusal, run=RunState.NOT_RUN)
        if pending.state is not _State.QUEUED:
            # The intent may be in the log already, or be appended later, and win.
            run = refusal.run
            if run is RunState.RUN:
                run = RunState.UNKNOWN
            self._queue.append(Result(pending.booking.digest, attempt, run))
        refuse = self._mark_answered(Refuse(attempt, refusal), now_s)
        if pending.state is _State.RUNNING and refusal.run is RunState.NOT_RUN:
            self._releases[attempt] = _Release(refusal, now_s)
            return self._start_operations(now_s)
        return [refuse, *self._start_operations(now_s)]

    def tick(self, now_s: float) -> list[Output]:
        """Withdraw attempts that waited too long, and retry failed operations.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Output
        """
        outputs: list[Output] = []
        for attempt, pending in list(self._waiting.items()):
            if now_s - pending.since_s < self._wait_s:
                break
            outputs += self.refuse(attempt, make_log_refusal(self._retry_s), now_s)
        for attempt, release in list(self._releases.items()):
            if now_s - release.since_s >= self._wait_s:
                del self._releases[attempt]
                outputs.append(Refuse(attempt, release.refusal))
        while self._answered:
            attempt, answered_s = next(iter(self._answered.items()))
            if now_s - answered_s < ANSWERED_RETENTION_S:
                break
            del self._answered[attempt]
        if now_s >= self._poll_after_s:
            self._read_requested = True
        return outputs + self._start_operations(now_s)

    def _mark_answered(self, output: Answer | Refuse, now_s: float) -> Output:
        """Record that the attempt was answered, so that it is never accepted again."""
        self._answered[output.attempt] = now_s
        return output

    def _start_operations(self, now_s: float) -> list[Output]:
        """Return the next append and read, at most one of each being in transit."""
        outputs: list[Output] = []
        if self._append is None and now_s >= self._append_after_s:
            records = self._pop_batch()
            if records:
                self._number += 1
                self._append = Append(self._number, records)
                outputs.append(self._append)
        if self._read is None and self._read_requested and now_s >= self._read_after_s:
            self._number += 1
            self._read = Read(self._number, Offset(self._state.offset + 1))
            self._read_requested = False
            self._poll_after_s = now_s + POLL_INTERVAL_S
            outputs.append(self._read)
        return outputs

    def _pop_batch(self) -> tuple[Record, ...]:
        """Pop the next records, except intents of withdrawn attempts."""
        records: list[Record] = []
        while self._queue and len(records) < MAX_BATCH_RECORDS:
            record = self._queue.popleft()
            if isinstance(record, Intent):
                pending = self._waiting.get(record.attempt)
                if pending is None:
                    continue
                pending.state = _State.SENT
            records.append(record)
        return tuple(records)


def make_bookings(
    local: Incarnation,
    window_s: float = 86_400.0,
    wait_s: float = 2.0,
    retry_s: float = 0.25,
) -> Bookings:
    """Return the booking decisions of one sidecar process.

    Parameters
    ----------
    local : Incarnation
        This process.
    window_s : float
        Idempotency window, the same in all sidecars of a service. The log must retain
        records for 20 minutes longer.
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
    >>> local = Incarnation(VmId("b1"), 1)
    >>> bookings = make_bookings(local)
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
    return Bookings(local, window_s, wait_s, retry_s)
