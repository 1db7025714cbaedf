"""Availability zones that operators have evacuated, and the version of that set.

A set is known from the operators' log, read in the order of positions, or from another
entry. The end position of the part of the log that it reflects is its version: of two
sets the one with the higher version is in force.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.forward_messages import EvacuatedZones
from chervilgw.core.ids import LogPosition, ZoneId


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A zone that was evacuated, or whose evacuation was revoked."""

    zone: ZoneId
    is_evacuated: bool


@dataclass(slots=True)
class Evacuations:
    """Evacuated zones known to one process; see :func:`make_evacuations`."""

    _positions: dict[ZoneId, LogPosition] = field(default_factory=dict)
    _end: LogPosition = LogPosition(0)

    def __contains__(self, zone: ZoneId) -> bool:
        """Return whether the servers of a zone get no requests."""
        return zone in self._positions

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._positions)

    def on_record(
        self, zone: ZoneId, is_evacuated: bool, position: LogPosition
    ) -> tuple[EvacuationChange, ...]:
        """Apply the next record of the log that concerns a zone.

        Parameters
        ----------
        zone : ZoneId
        is_evacuated : bool
            False if the record revokes the evacuation.
        position : LogPosition
            Position of the record. A record that the set reflects already is ignored.

        Returns
        -------
        tuple of EvacuationChange
        """
        if position < self._end:
            return ()
        self._end = LogPosition(position + 1)
        # A listing may hold records that were appended while it was read.
        if position <= self._positions.get(zone, -1):
            return ()
        was_evacuated = zone in self._positions
        if is_evacuated:
            self._positions[zone] = position
        else:
            self._positions.pop(zone, None)
        if was_evacuated == is_evacuated:
            return ()
        return (EvacuationChange(zone, is_evacuated),)

    def on_set(
        self, positions: Mapping[ZoneId, LogPosition], end: LogPosition
    ) -> tuple[EvacuationChange, ...]:
        """Apply a complete set, from a listing of the log or from another entry.

        Parameters
        ----------
        positions : mapping of ZoneId to LogPosition
            Evacuated zones, and the positions of the records that evacuated them.
        end : LogPosition
            End of the part of the log that the set reflects. A set that reflects no
            more than the present one is ignored.

        Returns
        -------
        tuple of EvacuationChange
        """
        if end <= self._end:
            return ()
        former, self._end = self._positions, end
        self._positions = {zone: at for zone, at in former.items() if at >= end}
        for zone, at in positions.items():
            self._positions[zone] = max(at, self._positions.get(zone, at))
        added = sorted(self._positions.keys() - former.keys())
        removed = sorted(former.keys() - self._positions.keys())
        return (
            *(EvacuationChange(zone, True) for zone in added),
            *(EvacuationChange(zone, False) for zone in removed),
        )

    def report(self) -> EvacuatedZones | None:
        """Return the set for the other entries, or None before one is known."""
        if not self._end:
            return None
        return EvacuatedZones(dict(self._positions), self._end)


def make_evacuations() -> Evacuations:
    """Return the set of a process that has read no record.

    Examples
    --------
    >>> evacuations = make_evacuations()
    >>> evacuations.on_record(ZoneId("a"), True, LogPosition(3))
    (EvacuationChange(zone='a', is_evacuated=True),)
    >>> ZoneId("a") in evacuations
    True
    >>> evacuations.on_set({}, LogPosition(3))
    ()
    >>> evacuations.on_set({}, LogPosition(4))
    ()
    >>> evacuations.on_set({}, LogPosition(5))
    (EvacuationChange(zone='a', is_evacuated=False),)
    """
    return Evacuations()
