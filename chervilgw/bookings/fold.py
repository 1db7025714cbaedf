"""Fold of the log stream ``bookings``: decides which attempt of a digest may run.

The outcome depends only on the records in offset order, so all sidecars agree on it.
Times come from the records and never from a reader's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from chervilgw.bookings.records import Intent, Record, RecordedAnswer, Result
from chervilgw.core.ids import NO_OFFSET, Digest, Offset, RequestId
from chervilgw.core.states import RunState

# Bounds the clock difference of two sidecars plus the time an append is in transit.
CLOCK_MARGIN_MS = 600_000


@dataclass(slots=True)
class DigestEntry:
    """State of one digest.

    ``winner`` is None after a release. ``run`` is None until the winner's result is
    read. ``void_attempts`` will never run.
    """

    time_ms: int
    content: Digest = Digest("")
    winner: RequestId | None = None
    run: RunState | None = None
    answer: RecordedAnswer | None = None
    void_attempts: set[RequestId] = field(default_factory=set)


@dataclass(slots=True)
class BookingState:
    """State of the fold, changed only by the process that owns it."""

    window_ms: int
    offset: Offset = NO_OFFSET
    newest_ms: int = 0
    entries: OrderedDict[Digest, DigestEntry] = field(default_factory=OrderedDict)

    def entry(self, digest: Digest, time_ms: int) -> DigestEntry | None:
        """Return the entry whose window covers an intent of this time, or None.

        Parameters
        ----------
        digest : Digest
        time_ms : int
            Time of the intent.

        Returns
        -------
        Entry or None
        """
        entry = self.entries.get(digest)
        if entry is None or time_ms - entry.time_ms > self.window_ms:
            return None
        return entry


def empty_state(window_s: float) -> BookingState:
    """Return the state before the first record.

    Parameters
    ----------
    window_s : float
        Idempotency window, from intent to intent.

    Returns
    -------
    BookingState
    """
    return BookingState(int(window_s * 1000))


def fold(state: BookingState, offset: Offset, record: Record | None) -> BookingState:
    """Apply one record; an offset that was applied before is ignored.

    Parameters
    ----------
    state : BookingState
        Changed in place: a copy for each record would cost more than the rest.
    offset : Offset
    record : Intent, Result or None
        None stands for a record that could not be read.

    Returns
    -------
    BookingState
        The same object.

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> origin = Incarnation(VmId("e1"), 1)
    >>> first, second = RequestId(origin, 1), RequestId(origin, 2)
    >>> state = empty_state(window_s=3600)
    >>> for offset, attempt in enumerate([first, second]):
    ...     intent = Intent(Digest("d"), Digest("c"), attempt, origin, 1000)
    ...     state = fold(state, Offset(offset), intent)
    >>> state.entry(Digest("d"), 1000).winner == first
    True
    """
    if offset <= state.offset:
        return state
    state.offset = offset
    if isinstance(record, Intent):
        _fold_intent(state, record)
    elif isinstance(record, Result):
        _fold_result(state, record)
    return state


def _fold_intent(state: BookingState, intent: Intent) -> None:
    if intent.time_ms < state.newest_ms - CLOCK_MARGIN_MS:
        # Its digest may already be dropped, so a late intent could win wrongly.
        return
    state.newest_ms = max(state.newest_ms, intent.time_ms)
    entry = state.entry(intent.digest, intent.time_ms)
    if entry is None:
        entry = DigestEntry(intent.time_ms)
        former = state.entries.pop(intent.digest, None)
        if former is not None:
            # A repeated append of the former winner must not win in the new window.
            entry.void_attempts = former.void_attempts | (
                {former.winner} if former.winner else set()
            )
        state.entries[intent.digest] = entry
    if entry.winner is None and intent.attempt not in entry.void_attempts:
        entry.winner, entry.content = intent.attempt, intent.content
        entry.time_ms = intent.time_ms
        entry.run = entry.answer = None
        state.entries.move_to_end(intent.digest)
    _drop_expired(state)


def _fold_result(state: BookingState, result: Result) -> None:
    entry = state.entries.get(result.digest)
    if result.run is RunState.NOT_RUN:
        if entry is None:
            # The intent may still be in transit and be ordered after its withdrawal.
            entry = state.entries[result.digest] = DigestEntry(state.newest_ms)
        if entry.winner == result.attempt and entry.run is None:
            entry.winner = None
        if entry.winner != result.attempt:
            entry.void_attempts.add(result.attempt)
    elif entry is not None and entry.winner == result.attempt and entry.run is None:
        entry.run, entry.answer = result.run, result.answer


def _drop_expired(state: BookingState) -> None:
    """Drop entries whose window covers no intent that can still be folded."""
    limit_ms = state.newest_ms - state.window_ms - 2 * CLOCK_MARGIN_MS
    while state.entries:
        oldest = next(iter(state.entries.values()))
        if oldest.time_ms >= limit_ms:
            return
        state.entries.popitem(last=False)
