"""Runs each request that has an idempotency key at most once."""

from chervilgw.bookings.decisions import Bookings, make_bookings
from chervilgw.bookings.fold import BookingState, empty_state, fold
from chervilgw.bookings.outputs import Answer, Append, Output, Read, Refuse, Run
from chervilgw.bookings.records import (
    Booking,
    Intent,
    RecordedAnswer,
    Result,
    from_value,
    to_value,
)

__all__ = [
    "Answer",
    "Append",
    "Booking",
    "BookingState",
    "Bookings",
    "Intent",
    "Output",
    "Read",
    "RecordedAnswer",
    "Refuse",
    "Result",
    "Run",
    "empty_state",
    "fold",
    "from_value",
    "make_bookings",
    "to_value",
]
