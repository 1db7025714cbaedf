"""Availability zones that operators have evacuated, and the version of that set.

A set is known from the operators' log, read in the order of positions, or from another
entry. The end position of the part of the log that it reflects is its version: of two
sets the one with the higher version is in force. After the store came back from a copy,
the log may lack evacuations that are in force; they are retained for a while.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.forward_messages import EvacuatedZones
from chervilgw.core.ids import LogPosition, ZoneId, is_restored_between

# The operators write again what a copy of the store lacks; the platform states no time
# for it. A zone that is out of use for too long costs capacity only.
REWRITE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A zone that was evacuated, or whose evacuation was revoked."""

    zone: ZoneId
    is_evacuated: bool


@dataclass(slots=True)
class Evacuations:
    """Evacuated zones known to one process; see :func:`make_evacuations`.

    ``_retained`` holds the zones whose evacuation the log has not stated since it came
    back from a copy, and until when they count as evacuated. ``_settled`` holds those
    that the log has stated since, or whose time has ended.
    """

    _positions: dict[ZoneId, LogPosition] = field(default_factory=dict)
    _end: LogPosition = LogPosition(0)
    _retained: dict[ZoneId, float] = field(default_factory=dict)
    _settled: set[ZoneId] = field(default_factory=set)

    @property
    def end(self) -> LogPosition:
        """Return the end of the part of the log that the set reflects."""
        return self._end

    def __contains__(self, zone: ZoneId) -> bool:
        """Return whether the servers of a zone get no requests."""
        return zone in self._positions or zone in self._retained

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._zones())

    def on_record(
        self, zone: ZoneId, is_evacuated: bool, position: LogPosition, now_s: float
    ) -> tuple[EvacuationChange, ...]:
        """Apply the next record of the log that concerns a zone.

        Parameters
        ----------
        zone : ZoneId
        is_evacuated : bool
            False if the record revokes the evacuation.
        position : LogPosition
            Position of the record. A record that the set reflects already is ignored.
        now_s : float
            Monotonic time.

        Returns
        -------
        tuple of EvacuationChange
        """
        former = self._zones()
        if not is_restored_between(position, self._end):
            self._retain(position, now_s)
            self._settle(zone)
        if position >= self._end:
            self._end = LogPosition(position + 1)
            # A listing may hold records that were appended while it was read.
            if position > self._positions.get(zone, -1):
                if is_evacuated:
                    self._positions[zone] = position
                else:
                    self._positions.pop(zone, None)
        return self._changes_since(former)

    def on_set(
        self, positions: Mapping[ZoneId, LogPosition], end: LogPosition, now_s: float
    ) -> tuple[EvacuationChange, ...]:
        """Apply a complete set, from a listing of the log or from another entry.

        Parameters
        ----------
        positions : mapping of ZoneId to LogPosition
            Evacuated zones, and the positions of the records that evacuated them.
        end : LogPosition
            End of the part of the log that the set reflects. A set that reflects no
            more than the present one is ignored.
        now_s : float
            Monotonic time.

        Returns
        -------
        tuple of EvacuationChange
        """
        if end <= self._end:
            return ()
        former = self._zones()
        self._retain(end, now_s)
        self._end = end
        self._positions = {
            zone: at for zone, at in self._positions.items() if at >= end
        }
        for zone, at in positions.items():
            self._positions[zone] = max(at, self._positions.get(zone, at))
            self._settle(zone)
        return self._changes_since(former)

    def on_retained(
        self, remaining_s: Mapping[ZoneId, float], end: LogPosition, now_s: float
    ) -> tuple[EvacuationChange, ...]:
        """Apply the zones that another entry retains.

        Each is taken over once, so that entries do not prolong its time for each other.

        Parameters
        ----------
        remaining_s : mapping of ZoneId to float
            For how long each zone still counts as evacuated.
        end : LogPosition
            End of the set that came with them. They concern only the era that it is of.
        now_s : float
            Monotonic time.

        Returns
        -------
        tuple of EvacuationChange
        """
        if is_restored_between(end, self._end):
            return ()
        former = self._zones()
        for zone, seconds in remaining_s.items():
            if zone not in former and zone not in self._settled and seconds > 0:
                self._retained[zone] = now_s + min(seconds, REWRITE_TIMEOUT_S)
        return self._changes_since(former)

    def expire(self, now_s: float) -> tuple[EvacuationChange, ...]:
        """Revoke evacuations that were not written again after a restore."""
        expired = [zone for zone, until_s in self._retained.items() if now_s >= until_s]
        for zone in expired:
            self._settle(zone)
        return tuple(EvacuationChange(zone, False) for zone in sorted(expired))

    def _retain(self, position: LogPosition, now_s: float) -> None:
        """Retain all zones for a while if the log was restored before a position."""
        if is_restored_between(self._end, position):
            until_s = now_s + REWRITE_TIMEOUT_S
            self._retained = dict.fromkeys(self._zones(), until_s)
            self._positions, self._settled = {}, set()

    def _settle(self, zone: ZoneId) -> None:
        self._retained.pop(zone, None)
        self._settled.add(zone)

    def _zones(self) -> set[ZoneId]:
        return self._positions.keys() | self._retained.keys()

    def _changes_since(self, former: set[ZoneId]) -> tuple[EvacuationChange, ...]:
        zones = self._zones()
        return (
            *(EvacuationChange(zone, True) for zone in sorted(zones - former)),
            *(EvacuationChange(zone, False) for zone in sorted(former - zones)),
        )

    def report(self, now_s: float) -> EvacuatedZones | None:
        """Return the set for the other entries, or None before one is known."""
        if not self._end:
            return None
        retained = {
            zone: until_s - now_s
            for zone, until_s in self._retained.items()
            if until_s > now_s
        }
        return EvacuatedZones(dict(self._positions), self._end, retained)


def make_evacuations() -> Evacuations:
    """Return the set of a process that has read no record.

    Examples
    --------
    >>> evacuations = make_evacuations()
    >>> evacuations.on_record(ZoneId("a"), True, LogPosition(3), 0.0)
    (EvacuationChange(zone='a', is_evacuated=True),)
    >>> ZoneId("a") in evacuations
    True
    >>> evacuations.on_set({}, LogPosition(3), 0.0)
    ()
    >>> evacuations.on_set({}, LogPosition(4), 0.0)
    ()
    >>> evacuations.on_set({}, LogPosition(5), 0.0)
    (EvacuationChange(zone='a', is_evacuated=False),)
    """
    return Evacuations()
