"""Fold of the stream ``shares``: members, dead incarnations, newest collection."""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.ids import NO_OFFSET, Incarnation, Offset, VmId
from chervilgw.quota.records import Collect, Dead, Join, Record


class Members:
    """Members, which may hold units, as of the last record folded.

    ``complete`` is False while dropped records could name members that this fold lacks.
    A claimant that missed a member would take units which that member still uses, so
    only a complete fold may claim.

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
        # Newest death whose units are not yet collected; newest unplanned death.
        self.death_offset = NO_OFFSET
        self.loss_offset = NO_OFFSET
        self.complete = True
        self._first_known = Offset(0)
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
        highest_ms = self._dead_up_to.get(incarnation.vm)
        return highest_ms is not None and incarnation.start_ms <= highest_ms

    def dead(self) -> frozenset[Incarnation]:
        """Return the latest dead incarnation of each VM; earlier ones are dead too."""
        return frozenset(
            Incarnation(vm, start_ms) for vm, start_ms in self._dead_up_to.items()
        )

    def on_truncated(self, oldest: Offset) -> None:
        """Handle the loss of unread records before ``oldest`` from the log."""
        if oldest > self.offset + 1:
            self.complete = False
            self._first_known = oldest

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
            self._declare_dead([record.incarnation], offset, record.handed_over)
        else:
            self._fold_collection(record, offset)
        return True

    def _fold_collection(self, record: Collect, offset: Offset) -> None:
        for member in record.members:
            self._join(member, offset)
        self._declare_dead(record.dead, offset)
        self.collection_offset = offset
        if record.as_of + 1 >= self._first_known:
            self.complete = True
        if self.is_member(record.claimant):
            self.death_offset = NO_OFFSET

    def _join(self, incarnation: Incarnation, offset: Offset) -> None:
        if self.is_dead(incarnation):
            return
        same_vm = [member for member in self._joined if member.vm == incarnation.vm]
        if any(member.start_ms > incarnation.start_ms for member in same_vm):
            self._declare_dead([incarnation], offset)
            return
        earlier = [
            member for member in same_vm if member.start_ms < incarnation.start_ms
        ]
        self._declare_dead(earlier, offset)
        self._joined.add(incarnation)

    def _declare_dead(
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
                member
                for member in self._joined
                if member.vm == incarnation.vm
                and member.start_ms <= incarnation.start_ms
            }
            self._joined -= removed
            if not handed_over:
                self.death_offset = offset
                self.loss_offset = offset


def is_gone(incarnation: Incarnation, gone: Iterable[Incarnation]) -> bool:
    """Return whether an incarnation, or a later one of its VM, is in ``gone``.

    A process may end before its join record is read, and ``gone`` may hold only the
    last incarnation of a VM; an earlier one would then stay a member for ever.

    Examples
    --------
    >>> first, second = Incarnation(VmId("e1"), 1), Incarnation(VmId("e1"), 2)
    >>> is_gone(first, [second]), is_gone(second, [first])
    (True, False)
    """
    return any(
        gone_incarnation.vm == incarnation.vm
        and gone_incarnation.start_ms >= incarnation.start_ms
        for gone_incarnation in gone
    )
