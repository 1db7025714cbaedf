"""Bookings of the plain service; each arrival runs, so duplicates can be counted."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Any, NewType

BookingId = NewType("BookingId", str)

BOOKING_FAULTS = {
    "crash_before_effect": 0,
    "crash_after_effect": 0,
    "freeze_after_effect": 0,
}


class BookingFault(Enum):
    """What happens to one booking; the values are the fault names."""

    NONE = "none"
    CRASH_BEFORE = "crash_before_effect"
    CRASH_AFTER = "crash_after_effect"
    FREEZE_AFTER = "freeze_after_effect"


class ServiceState:
    """Bookings and stock.

    Parameters
    ----------
    stock : int
        Number of each item before the first booking.

    Examples
    --------
    >>> service = ServiceState(stock=5)
    >>> service.book("b1", {"item": "bed"}), service.book("b1", {"item": "bed"})
    (1, 2)
    >>> service.left("bed"), service.runs()
    (3, {'b1': 2})
    """

    def __init__(self, stock: int) -> None:
        self._stock = stock
        self._booked: Counter[str] = Counter()
        self._runs: Counter[BookingId] = Counter()
        self._bookings: dict[BookingId, dict[str, Any]] = {}

    def book(self, booking_id: BookingId, body: dict[str, Any]) -> int:
        """Run a booking and return how often this id has run."""
        self._booked[body["item"]] += 1
        self._runs[booking_id] += 1
        self._bookings[booking_id] = body
        return self._runs[booking_id]

    def find(self, booking_id: BookingId) -> dict[str, Any] | None:
        """Return the body of a booking."""
        return self._bookings.get(booking_id)

    def left(self, item: str) -> int:
        """Return the stock of an item; negative if it is oversold."""
        return self._stock - self._booked[item]

    def runs(self) -> dict[BookingId, int]:
        """Return how often each booking ran."""
        return dict(self._runs)
