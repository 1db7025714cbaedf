"""What is known of one VM, and how newer knowledge replaces older."""

from __future__ import annotations

from dataclasses import dataclass, replace

from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import Load, VmReport
from chervilgw.core.states import VmState

REFRESH_S = 1.0
"""A report whose figures alone changed is passed on at most this often."""


@dataclass(slots=True)
class Known:
    """Newest report of a VM with this process's own observations.

    ``changed_at`` is the view's version when the report last changed in a way worth
    passing on; ``passed_s`` is when that was.
    """

    report: VmReport
    heard_s: float
    changed_at: int
    passed_s: float
    connected: bool = False
    silent: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Return the newest incarnation."""
        return self.report.incarnation


def merge_report(old: VmReport, new: VmReport) -> VmReport:
    """Return the report that follows from two of the same incarnation.

    The higher sequence wins, but an incarnation that is leaving stays so.

    Examples
    --------
    >>> from chervilgw.core.states import Role
    >>> me = Incarnation("b1", 1)
    >>> old = VmReport(me, Role.SIDECAR, "z1", "10.0.0.1:1", VmState.DRAINING, 4)
    >>> merge_report(old, replace(old, state=VmState.LIVE, sequence=5)).state
    <VmState.DRAINING: 'leaving'>
    """
    newest = new if new.sequence > old.sequence else old
    leaving = VmState.DRAINING in (old.state, new.state)
    state = VmState.DRAINING if leaving else VmState.LIVE
    return newest if newest.state is state else replace(newest, state=state)


def differs(old: VmReport, new: VmReport) -> bool:
    """Return whether two reports differ in more than figures that always change."""
    return _lasting(old) != _lasting(new)


def _lasting(report: VmReport) -> tuple:
    load: Load | None = report.load
    return (
        report.incarnation,
        report.state,
        report.address,
        report.zone,
        report.role,
        load and (load.resident, load.services, load.pool, load.capacity_bytes),
    )
