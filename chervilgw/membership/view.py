"""Merges the platform's list, reports, connections and leaving notices."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import VmReport
from chervilgw.core.states import Role, VmState
from chervilgw.membership.known import REFRESH_S, Known, differs, merge_report

GONE_AFTER_S = 5.0
"""A listed VM counts as gone after the list lacked it, and no report of it came, for
this long. The list is eventually consistent: an answer may come from a lagging copy."""

SUPERSEDED_KEPT = 8
"""Earlier incarnations listed per VM, so that restarts do not accumulate."""

SILENT_AFTER_S = 4.0
"""Without a connection, a VM whose newest report is older counts as silent. Reports are
passed on every second, so several in a row were missing."""


@dataclass(frozen=True, slots=True)
class RegisteredVm:
    """One line of the platform's list."""

    vm: VmId
    zone: ZoneId
    address: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class EntryView:
    """One entry in this process's view of the fleet."""

    incarnation: Incarnation
    zone: ZoneId
    address: str
    state: VmState
    connected: bool


@dataclass(frozen=True, slots=True)
class DialTarget:
    """A VM to connect to; ``role`` is None while no report of it has arrived."""

    vm: VmId
    address: str
    role: Role | None


class FleetView:
    """One process's merged view; see the factory."""

    def __init__(self, me: Incarnation):
        self._me = me
        self._known: dict[VmId, Known] = {}
        self._listed: dict[VmId, RegisteredVm] = {}
        self._missing_since_s: dict[VmId, float] = {}
        # VMs whose listed address changed after their newest incarnation was reported.
        self._moved: set[VmId] = set()
        self._leaving: set[Incarnation] = set()
        self._superseded: dict[VmId, set[Incarnation]] = {}
        self._version = 0

    def on_list(self, listed: Iterable[RegisteredVm], now_s: float) -> None:
        """Take an answer of the platform's list."""
        current = {each.vm: each for each in listed}
        for vm in self._listed.keys() - current.keys():
            self._missing_since_s.setdefault(vm, now_s)
        for vm, line in current.items():
            self._missing_since_s.pop(vm, None)
            before, known = self._listed.get(vm), self._known.get(vm)
            if before is None and known is not None:
                before = known.report
            if before is not None and before.address != line.address:
                self._moved.add(vm)
        self._listed = current
        for vm, line in current.items():
            known = self._known.get(vm)
            if line.draining and known is not None:
                self.on_leaving(known.incarnation, now_s)
        self._forget(now_s)

    def on_report(self, report: VmReport, now_s: float) -> None:
        """Take a report: this process's own, a peer's, or one passed on by a peer."""
        vm, incarnation = report.incarnation.vm, report.incarnation
        if report.state is VmState.DRAINING:
            self._leaving.add(incarnation)
        state = VmState.DRAINING if incarnation in self._leaving else VmState.LIVE
        report = replace(report, state=state)
        known = self._known.get(vm)
        if known is None or incarnation.start_ms > known.incarnation.start_ms:
            self._replace(known, report, now_s)
        elif incarnation == known.incarnation:
            self._merge(known, report, now_s)
        else:
            self._supersede(incarnation)

    def on_leaving(self, incarnation: Incarnation, now_s: float) -> None:
        """Take a leaving notice, which outweighs every report of the incarnation."""
        known = self._known.get(incarnation.vm)
        if known and known.incarnation.start_ms > incarnation.start_ms:
            return
        self._leaving.add(incarnation)
        if known is not None and known.incarnation == incarnation:
            leaving = replace(known.report, state=VmState.DRAINING)
            self._merge(known, leaving, now_s, heard=False)

    def on_connected(self, incarnation: Incarnation) -> None:
        """Take note of a working connection to an incarnation."""
        known = self._known.get(incarnation.vm)
        if known is not None and known.incarnation == incarnation:
            known.connected, known.silent = True, False

    def on_silent(self, incarnation: Incarnation) -> None:
        """Take note that the connection to an incarnation was closed or went silent."""
        known = self._known.get(incarnation.vm)
        if known is not None and known.incarnation == incarnation:
            known.connected, known.silent = False, True

    def servers(self, now_s: float) -> tuple[ServerView, ...]:
        """Return the backend servers that are not gone, sorted by VM id."""
        return tuple(
            ServerView(
                known.incarnation,
                known.report.zone,
                known.report.address,
                state,
                known.report.load,
                max(0.0, now_s - known.heard_s),
                known.connected,
            )
            for known, state in self._present(Role.SIDECAR, now_s)
            if known.report.load is not None
        )

    def entries(self, now_s: float) -> tuple[EntryView, ...]:
        """Return the entries that are not gone, sorted by VM id."""
        return tuple(
            EntryView(
                known.incarnation,
                known.report.zone,
                known.report.address,
                state,
                known.connected,
            )
            for known, state in self._present(Role.ENTRY, now_s)
        )

    def dial_targets(self, now_s: float) -> tuple[DialTarget, ...]:
        """Return the other VMs that are not gone, with an address to connect to."""
        targets = {
            vm: DialTarget(vm, line.address, None) for vm, line in self._listed.items()
        }
        for vm, known in self._known.items():
            if self._state(known, now_s) is VmState.GONE:
                continue
            address = known.report.address
            if vm in self._moved and vm in self._listed and not known.connected:
                # Its next incarnation listens there; nobody has heard of it yet.
                address = self._listed[vm].address
            targets[vm] = DialTarget(vm, address, known.report.role)
        targets.pop(self._me.vm, None)
        return tuple(targets[vm] for vm in sorted(targets))

    def live_vms(self, now_s: float) -> frozenset[VmId]:
        """Return the VMs that count for a quorum: on the list, or missing shortly."""
        missing = {vm for vm in self._missing_since_s if not self._is_gone(vm, now_s)}
        return frozenset({self._me.vm, *self._listed, *missing})

    def reached_vms(self) -> frozenset[VmId]:
        """Return the VMs to which this process has a working connection."""
        return frozenset(vm for vm, known in self._known.items() if known.connected)

    def reports(self) -> tuple[VmReport, ...]:
        """Return the newest report of each VM."""
        return tuple(self._known[vm].report for vm in sorted(self._known))

    def reports_since(self, version: int) -> tuple[int, tuple[VmReport, ...]]:
        """Return the current version and the reports that changed after an earlier one.

        The caller keeps, for each peer, the version returned at its last heartbeat.
        This process's own report is always included.
        """
        changed = tuple(
            self._known[vm].report
            for vm in sorted(self._known)
            if self._known[vm].changed_at > version or vm == self._me.vm
        )
        return self._version, changed

    def gone_incarnations(self, now_s: float) -> frozenset[Incarnation]:
        """Return the incarnations that a later one replaced or whose VM is gone.

        Of each VM only the newest few are listed; ``is_gone`` knows all.
        """
        gone = {each for earlier in self._superseded.values() for each in earlier}
        gone.update(
            known.incarnation
            for vm, known in self._known.items()
            if self._is_gone(vm, now_s)
        )
        return frozenset(gone)

    def is_gone(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether an incarnation was replaced or its VM is gone."""
        known = self._known.get(incarnation.vm)
        replaced = known is not None and incarnation < known.incarnation
        return replaced or self._is_gone(incarnation.vm, now_s)

    def _replace(self, known: Known | None, report: VmReport, now_s: float) -> None:
        vm = report.incarnation.vm
        if known is not None:
            self._supersede(known.incarnation)
        self._version += 1
        self._moved.discard(vm)
        self._known[vm] = Known(report, now_s, self._version, now_s)

    def _supersede(self, incarnation: Incarnation) -> None:
        earlier = self._superseded.setdefault(incarnation.vm, set())
        earlier.add(incarnation)
        if len(earlier) > SUPERSEDED_KEPT:
            earlier.remove(min(earlier))
        self._leaving.discard(incarnation)

    def _merge(
        self, known: Known, report: VmReport, now_s: float, heard: bool = True
    ) -> None:
        old, merged = known.report, merge_report(known.report, report)
        if merged == old:
            return
        newer = merged.sequence > old.sequence
        known.report = merged
        if heard and newer:
            known.heard_s = now_s
        if differs(old, merged) or now_s - known.passed_s >= REFRESH_S:
            self._version += 1
            known.changed_at, known.passed_s = self._version, now_s

    def _present(self, role: Role, now_s: float) -> list[tuple[Known, VmState]]:
        states = (
            (self._known[vm], self._state(self._known[vm], now_s))
            for vm in sorted(self._known)
        )
        return [
            (known, state)
            for known, state in states
            if known.report.role is role and state is not VmState.GONE
        ]

    def _state(self, known: Known, now_s: float) -> VmState:
        if self._is_gone(known.incarnation.vm, now_s):
            return VmState.GONE
        if known.report.state is VmState.DRAINING:
            return VmState.DRAINING
        if known.incarnation == self._me or known.connected:
            return VmState.LIVE
        if known.silent or now_s - known.heard_s > SILENT_AFTER_S:
            return VmState.SILENT
        return VmState.LIVE

    def _is_gone(self, vm: VmId, now_s: float) -> bool:
        since_s = self._missing_since_s.get(vm)
        if since_s is None or vm == self._me.vm:
            return False
        known = self._known.get(vm)
        if known is not None:
            since_s = max(since_s, known.heard_s)
        return now_s - since_s > GONE_AFTER_S

    def _forget(self, now_s: float) -> None:
        """Drop a VM an hour after it went, so that replaced VMs do not accumulate."""
        for vm, since_s in list(self._missing_since_s.items()):
            if now_s - since_s > 3_600.0 and self._is_gone(vm, now_s):
                del self._missing_since_s[vm]
                self._known.pop(vm, None)
                self._superseded.pop(vm, None)
                self._leaving = {each for each in self._leaving if each.vm != vm}


def make_fleet_view(me: Incarnation) -> FleetView:
    """Return a view that knows nothing yet.

    Parameters
    ----------
    me : Incarnation
        This process; it never counts as gone or silent.

    Returns
    -------
    FleetView

    Examples
    --------
    >>> view = make_fleet_view(Incarnation(VmId("e1"), 1))
    >>> vm = RegisteredVm(VmId("b1"), ZoneId("z1"), "10.0.0.1:7400")
    >>> view.on_list([vm], now_s=0.0)
    >>> view.servers(0.0), view.dial_targets(0.0)[0].address
    ((), '10.0.0.1:7400')
    """
    return FleetView(me)
