"""Answers and refusals of attempts that did not win their digest."""

from __future__ import annotations

from chervilgw.bookings.fold import DigestEntry
from chervilgw.bookings.outputs import Answer, Refuse
from chervilgw.bookings.records import Booking
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState


def make_log_refusal(retry_after_s: float) -> Refusal:
    """Return the refusal of an attempt that the log did not record."""
    detail = "the log did not record the booking in time"
    return make_refusal(RefusalReason.LOG_UNAVAILABLE, detail, retry_after_s)


def resolve_without_run(booking: Booking, entry: DigestEntry) -> Answer | Refuse:
    """Return the answer or refusal of an attempt that did not win."""
    attempt = booking.attempt
    if attempt in entry.void_attempts:
        detail = "the attempt was already withdrawn"
        return Refuse(attempt, make_refusal(RefusalReason.LOG_UNAVAILABLE, detail))
    if entry.content != booking.content:
        detail = "the idempotency key was used with another request"
        return Refuse(attempt, make_refusal(RefusalReason.CONFLICT, detail))
    if entry.answer is not None:
        return Answer(attempt, entry.answer)
    if entry.run is RunState.UNKNOWN:
        detail = "the outcome of the first request with this key is unknown"
        return Refuse(
            attempt, Refusal(RefusalReason.BACKEND_LOST, RunState.UNKNOWN, detail)
        )
    detail = "the first request with this key has no result yet"
    return Refuse(
        attempt, Refusal(RefusalReason.DUPLICATE_REQUEST, RunState.UNKNOWN, detail, 1.0)
    )
