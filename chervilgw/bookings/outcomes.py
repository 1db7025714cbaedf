"""What an attempt at a booking gets that did not win."""

from __future__ import annotations

from chervilgw.bookings.fold import Entry
from chervilgw.bookings.outputs import Answer, Refuse
from chervilgw.bookings.records import Booking
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState


def log_refusal(retry_after_s: float) -> Refusal:
    """Return the refusal of an attempt that the log did not take."""
    detail = "the log did not record the booking in time"
    return make_refusal(RefusalReason.LOG_UNAVAILABLE, detail, retry_after_s)


def outcome(booking: Booking, entry: Entry) -> Answer | Refuse:
    """Return what an attempt gets that did not win."""
    attempt = booking.attempt
    if attempt in entry.void:
        detail = "the attempt was withdrawn before"
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
