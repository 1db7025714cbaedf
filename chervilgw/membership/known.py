"""Record of one VM, and the merging of its reports."""

from __future__ import annotations

from dataclasses import dataclass, replace

from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import Load, VmReport
from chervilgw.core.states import VmState

# Interval at which a report is forwarded again if only its load figures changed.
MIN_FORWARD_INTERVAL_S = 1.0


@dataclass(slots=True)
class VmRecord:
    """Newest report of a VM, with the observations of this process.

    ``changed_at`` is the view's version at the last change that is forwarded to peers,
    and ``forwarded_s`` the time of that change.
    """

    report: VmReport
    last_seen_s: float
    changed_at: int
    forwarded_s: float
    connected: bool = False
    silent: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Return the newest incarnation."""
        return self.report.incarnation


def merge_report(old: VmReport, new: VmReport) -> VmReport:
    """Merge two reports of the same incarnation.

    The higher sequence wins, but an incarnation that is draining stays so.

    Examples
    --------
    >>> from chervilgw.core.states import Role
    >>> server = Incarnation("b1", 1)
    >>> old = VmReport(server, Role.SIDECAR, "z1", "10.0.0.1:1", VmState.DRAINING, 4)
    >>> merge_report(old, replace(old, state=VmState.LIVE, sequence=5)).state
    <VmState.DRAINING: 'leaving'>
    """
    newest = new if new.sequence > old.sequence else old
    draining = VmState.DRAINING in (old.state, new.state)
    state = VmState.DRAINING if draining else VmState.LIVE
    return newest if newest.state is state else replace(newest, state=state)


def has_state_change(old: VmReport, new: VmReport) -> bool:
    """Return whether two reports differ in more than load figures."""
    return _stable_fields(old) != _stable_fields(new)


def _stable_fields(report: VmReport) -> tuple:
    load: Load | None = report.load
    return (
        report.incarnation,
        report.state,
        report.address,
        report.zone,
        report.role,
        load and (load.resident, load.services, load.pool, load.capacity_bytes),
    )
