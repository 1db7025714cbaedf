"""Fold of the stream ``shares``: members, dead incarnations, newest collection."""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.ids import NO_OFFSET, Incarnation, Offset, VmId
from chervilgw.quota.records import Collect, Dead, Join, Record


class Members:
    """Who may hold units, as of the last record folded.

    ``complete`` is False while records before the start of the log could name members
    that this fold does not know. A claimant that missed a member would take units which
    that member still uses, so only a complete fold may claim.

    Examples
    --------
    >>> first, second = Incarnation(VmId("e1"), 1), Incarnation(VmId("e1"), 2)
    >>> members = Members()
    >>> members.fold(Offset(0), Join(first))
    True
    >>> members.fold(Offset(1), Join(second))
    True
    >>> members.live, members.is_dead(first)
    ((Incarnation(vm='e1', start_ms=2),), True)
    """

    def __init__(self) -> None:
        self.offset = NO_OFFSET
        self.collection_offset = NO_OFFSET
        # Newest death whose units no collection has taken in; newest unplanned death.
        self.death_offset = NO_OFFSET
        self.loss_offset = NO_OFFSET
        self.complete = True
        self._known_from = Offset(0)
        self._joined: set[Incarnation] = set()
        self._dead_up_to: dict[VmId, int] = {}

    @property
    def live(self) -> tuple[Incarnation, ...]:
        """Return the members that are not declared dead, in order."""
        return tuple(sorted(self._joined))

    def is_member(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation has joined and is not declared dead."""
        return incarnation in self._joined

    def is_dead(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is declared dead."""
        highest = self._dead_up_to.get(incarnation.vm)
        return highest is not None and incarnation.start_ms <= highest

    def dead(self) -> frozenset[Incarnation]:
        """Return the latest dead incarnation of each VM; earlier ones are dead too."""
        return frozenset(
            Incarnation(vm, start_ms) for vm, start_ms in self._dead_up_to.items()
        )

    def truncated(self, oldest: Offset) -> None:
        """Note that records before ``oldest`` were dropped before they were read."""
        if oldest > self.offset + 1:
            self.complete = False
            self._known_from = oldest

    def fold(self, offset: Offset, record: Record) -> bool:
        """Apply one record.

        Parameters
        ----------
        offset : Offset
            Offset of the record in the stream.
        record : Record
            The record.

        Returns
        -------
        bool
            False if the offset was folded before.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        if isinstance(record, Join):
            self._join(record.incarnation, offset)
        elif isinstance(record, Dead):
            self._bury([record.incarnation], offset, record.handed_over)
        else:
            self._collect(record, offset)
        return True

    def _collect(self, record: Collect, offset: Offset) -> None:
        for member in record.members:
            self._join(member, offset)
        self._bury(record.dead, offset)
        self.collection_offset = offset
        if record.as_of + 1 >= self._known_from:
            self.complete = True
        if self.is_member(record.claimant):
            self.death_offset = NO_OFFSET

    def _join(self, incarnation: Incarnation, offset: Offset) -> None:
        if self.is_dead(incarnation):
            return
        same_vm = [each for each in self._joined if each.vm == incarnation.vm]
        if any(each.start_ms > incarnation.start_ms for each in same_vm):
            self._bury([incarnation], offset)
            return
        earlier = [each for each in same_vm if each.start_ms < incarnation.start_ms]
        self._bury(earlier, offset)
        self._joined.add(incarnation)

    def _bury(
        self,
        incarnations: Iterable[Incarnation],
        offset: Offset,
        handed_over: bool = False,
    ) -> None:
        for incarnation in incarnations:
            if self.is_dead(incarnation):
                continue
            self._dead_up_to[incarnation.vm] = incarnation.start_ms
            removed = {
                each
                for each in self._joined
                if each.vm == incarnation.vm and each.start_ms <= incarnation.start_ms
            }
            self._joined -= removed
            if not handed_over:
                self.death_offset = offset
                self.loss_offset = offset


def is_gone(incarnation: Incarnation, gone: Iterable[Incarnation]) -> bool:
    """Return whether an incarnation, or a later one of its VM, is listed as gone.

    A process may end before its join record is read, and only the last incarnation of a
    VM may be listed. Without the comparison the one before stays a member for ever.

    Examples
    --------
    >>> first, second = Incarnation(VmId("e1"), 1), Incarnation(VmId("e1"), 2)
    >>> is_gone(first, [second]), is_gone(second, [first])
    (True, False)
    """
    return any(
        each.vm == incarnation.vm and each.start_ms >= incarnation.start_ms
        for each in gone
    )
