"""HTTP front of the plain service: ``python -m standins.service``."""

from __future__ import annotations

import itertools
import os
from pathlib import Path

import fire

from standins.faults import make_faults
from standins.http import HttpFront, Routes, serve
from standins.messages import Answer, Call
from standins.service_state import (
    BOOKING_FAULTS,
    BookingFault,
    BookingId,
    ServiceState,
)


class ServiceFront(HttpFront):
    """Task that owns the bookings."""

    def __init__(self, listen: str, state: ServiceState, runs_file: str) -> None:
        super().__init__(listen, make_faults(BOOKING_FAULTS))
        self._state = state
        self._runs_file = runs_file
        self._numbers = itertools.count(1)

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {
            ("POST", "bookings"): self._book,
            ("GET", "bookings/*"): self._find,
            ("GET", "stock/*"): self._stock,
            ("GET", "open/info"): self._info,
            ("GET", "runs"): self._runs,
        }

    def _book(self, call: Call) -> Answer | None:
        given = call.headers.get("x-booking-id") or call.body.get("booking_id")
        booking_id = BookingId(given or f"auto-{os.getpid()}-{next(self._numbers)}")
        if not isinstance(call.body["item"], str):
            raise ValueError("item is not a string")
        fault = self._take_fault()
        if fault is BookingFault.CRASH_BEFORE:
            os._exit(1)
        runs = self._state.book(booking_id, call.body)
        if self._runs_file:
            # A crash loses the counts in memory; the file keeps them for the test.
            with Path(self._runs_file).open("a") as file:
                file.write(booking_id + "\n")
        if fault is BookingFault.CRASH_AFTER:
            os._exit(1)
        if fault is BookingFault.FREEZE_AFTER:
            return None
        return Answer(201, {"booking_id": booking_id, "runs": runs})

    def _take_fault(self) -> BookingFault:
        for name in BOOKING_FAULTS:
            if self.faults.take_one(name):
                return BookingFault(name)
        return BookingFault.NONE

    def _find(self, call: Call, booking_id: str) -> Answer:
        booking = self._state.find(BookingId(booking_id))
        if booking is None:
            return Answer(404, {"error": "no such booking"})
        return Answer(200, {"booking_id": booking_id, "booking": booking})

    def _stock(self, call: Call, item: str) -> Answer:
        return Answer(200, {"item": item, "left": self._state.left(item)})

    def _info(self, call: Call) -> Answer:
        return Answer(200, {"service": "bookings", "open": True})

    def _runs(self, call: Call) -> Answer:
        return Answer(200, self._state.runs())


def main(
    listen: str = "127.0.0.1:0", stock: int = 1_000_000, runs_file: str = ""
) -> None:
    """Run the plain service until SIGTERM or a crash."""
    serve(ServiceFront(listen, ServiceState(stock), runs_file))


if __name__ == "__main__":
    fire.Fire(main)
