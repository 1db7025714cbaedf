"""Times at which one entry may send to a cold server without a turn.

The time axis is divided into slots, one request each, which the entries take by turns
in the order of the hashes of their addresses. As the axis is the wall clock, entries
need not exchange messages: with synchronized clocks the whole fleet sends at an even
rate, also if all entries discover the server at the same moment. An entry whose clock
is wrong uses the slots of others, but not more of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

import xxhash

from chervilgw.core.deployment import ServerId
from chervilgw.settings.vm import Bounds

# An unused slot can be used for this long: requests that wait are looked at every
# 0.1 s. With a longer time, the requests of a burst would use the unused slots of all
# entries at once.
MAX_LATE_S = 0.4
# A turn that was granted longer ago is not used at a service with a cold rate: with
# turns spaced evenly, those of 1.4 s can then arrive within a second. A repeated
# datagram is under way for 0.1 to 0.2 s.
MAX_TURN_AGE_S = 0.4
# After a change of the rate or of the number of entries, no slot is used for this long:
# the change moves all slots, and the entries learn of it 0.2 to 0.4 s apart.
SETTLE_S = 1.0
# Slots are equal if they differ by less than this fraction of their interval.
_ROUNDING_FRACTION = 0.01
# Slots used longer ago than any interval between slots are dropped.
_RETENTION_S = 3600.0


@dataclass(frozen=True, slots=True)
class EntryShare:
    """Position of this entry among all entries, from 0, and their number."""

    rank: int
    entries: int


@dataclass(frozen=True, slots=True)
class ColdBudget:
    """Rate of the requests that all entries together send to a server without turns."""

    per_s: float
    share: EntryShare

    @property
    def interval_s(self) -> float:
        """Return the time between two slots of this entry."""
        return self.share.entries / self.per_s


@dataclass(slots=True)
class _Bookings:
    budget: ColdBudget
    # The first slot that may be used.
    since_s: float
    # Slot of each waiting request.
    slots: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class ColdSlots:
    """Slots of one entry; see :func:`make_cold_slots`."""

    clock_offset_s: float
    _last_slot_s: dict[ServerId, float] = field(default_factory=dict)
    _booked: dict[ServerId, _Bookings] = field(default_factory=dict)

    def wait_s(
        self, server: ServerId, request: int, budget: ColdBudget, now_s: float
    ) -> float:
        """Return in how many seconds a request may be sent, 0 if now.

        Parameters
        ----------
        server : ServerId
        request : int
            Number of the request, which keeps the slot that it has booked.
        budget : ColdBudget
        now_s : float
            Monotonic time.
        """
        slot = self._slot(server, request, budget, now_s)
        return max(0.0, self._slot_s(server, budget, slot) - now_s)

    def take(
        self, server: ServerId, request: int, budget: ColdBudget, now_s: float
    ) -> None:
        """Record that a request for which :meth:`wait_s` returned 0 is sent."""
        slot = self._slot(server, request, budget, now_s)
        self._last_slot_s[server] = self._slot_s(server, budget, slot)
        self.cancel(request)

    def book(
        self, server: ServerId, request: int, budget: ColdBudget, now_s: float
    ) -> None:
        """Reserve the slot of a request that waits for it."""
        slot = self._slot(server, request, budget, now_s)
        self.cancel(request)
        self._bookings(server, budget, now_s).slots[request] = slot

    def is_booked(self, request: int) -> bool:
        """Return whether a request has a slot."""
        return any(request in bookings.slots for bookings in self._booked.values())

    def cancel(self, request: int) -> None:
        """Release the slot of a request that was sent elsewhere, if it has one."""
        for bookings in self._booked.values():
            bookings.slots.pop(request, None)

    def drop_past(self, now_s: float) -> None:
        """Drop slots that are past."""
        for server, slot_s in list(self._last_slot_s.items()):
            if now_s - slot_s > _RETENTION_S:
                del self._last_slot_s[server]
        for server, bookings in list(self._booked.items()):
            self._drop_lapsed(server, bookings, now_s)
            if not bookings.slots and now_s - bookings.since_s > _RETENTION_S:
                del self._booked[server]

    def _slot(
        self, server: ServerId, request: int, budget: ColdBudget, now_s: float
    ) -> int:
        """Return the first slot that the request may use."""
        bookings = self._bookings(server, budget, now_s)
        self._drop_lapsed(server, bookings, now_s)
        slot = self._first_slot(server, bookings, now_s)
        booked = bookings.slots.get(request)
        if booked is not None and booked >= slot:
            return booked
        taken = set(bookings.slots.values())
        while slot in taken:
            slot += 1
        return slot

    def _bookings(
        self, server: ServerId, budget: ColdBudget, now_s: float
    ) -> _Bookings:
        """Return the bookings of a server; those of another rate are void."""
        bookings = self._booked.get(server)
        if bookings is None:
            bookings = self._booked[server] = _Bookings(budget, now_s)
        elif bookings.budget != budget:
            bookings = self._booked[server] = _Bookings(budget, now_s + SETTLE_S)
        return bookings

    def _drop_lapsed(self, server: ServerId, bookings: _Bookings, now_s: float) -> None:
        first = self._first_slot(server, bookings, now_s)
        for request, slot in list(bookings.slots.items()):
            if slot < first:
                del bookings.slots[request]

    def _first_slot(self, server: ServerId, bookings: _Bookings, now_s: float) -> int:
        """Return the first slot that is neither used nor too long ago."""
        budget, interval_s = bookings.budget, bookings.budget.interval_s
        last_s = self._last_slot_s.get(server, float("-inf"))
        after_last_s = last_s + (1 - _ROUNDING_FRACTION) * interval_s
        earliest_s = max(now_s - MAX_LATE_S, after_last_s, bookings.since_s)
        return ceil((earliest_s - self._slot_s(server, budget, 0)) / interval_s)

    def _slot_s(self, server: ServerId, budget: ColdBudget, slot: int) -> float:
        """Return the monotonic time of a slot."""
        interval_s, share = budget.interval_s, budget.share
        # Slots of different servers are at different times.
        server_fraction = xxhash.xxh32_intdigest(server) / 2**32
        phase = slot + share.rank / share.entries + server_fraction
        return phase * interval_s - self.clock_offset_s


def budget_per_s(cold_per_s: float, has_agent: bool, bounds: Bounds) -> float:
    """Return the rate that all entries together may send without turns.

    A slot may be used :data:`MAX_LATE_S` late, so that the requests of 1.4 s can arrive
    within one. The agent of an engine may still grant turns to other entries at the
    cold rate. A turn may be used :data:`MAX_TURN_AGE_S` late, so that the turns of
    1.4 s can arrive within one too; they are subtracted from what the bounds allow.

    Parameters
    ----------
    cold_per_s : float
        Cold rate of the service.
    has_agent : bool
        Whether the server is an engine, whose agent grants turns.
    bounds : Bounds

    Examples
    --------
    >>> budget_per_s(10.0, False, Bounds()), budget_per_s(40.0, True, Bounds())
    (10.0, 5.0)
    """
    allowed = bounds.cold_excess * cold_per_s + bounds.cold_slack - 1
    if has_agent:
        allowed -= (1 + MAX_TURN_AGE_S) * cold_per_s + 1
    # The smallest share keeps a service with strict bounds from standing still.
    return max(0.05 * cold_per_s, min(cold_per_s, allowed / (1 + MAX_LATE_S)))


def make_cold_slots(clock_offset_s: float) -> ColdSlots:
    """Return the slots of an entry.

    Parameters
    ----------
    clock_offset_s : float
        Wall-clock time minus monotonic time at the start of the process, so that later
        steps of the wall clock do not move the slots.

    Examples
    --------
    >>> slots, budget = make_cold_slots(0.0), ColdBudget(4.0, EntryShare(0, 8))
    >>> first_s = slots.wait_s("i-1", 1, budget, now_s=50.0)
    >>> slots.take("i-1", 1, budget, now_s=50.0 + first_s)
    >>> 0 < slots.wait_s("i-1", 2, budget, now_s=50.0 + first_s) <= 2.0
    True
    """
    return ColdSlots(clock_offset_s)
