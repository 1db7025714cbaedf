"""Merges the platform's list, reports, connections and draining notices."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import VmReport
from chervilgw.core.states import Role, VmState
from chervilgw.membership.known import (
    MIN_FORWARD_INTERVAL_S,
    VmRecord,
    has_state_change,
    merge_report,
)

# A VM is gone once the list has lacked it, and no report of it has come, for this long.
# The list is eventually consistent: an answer may come from a lagging replica.
GONE_TIMEOUT_S = 5.0

# Bounds the earlier incarnations retained per VM over many restarts.
MAX_SUPERSEDED_PER_VM = 8

# An unconnected VM whose newest report is older than this is silent. Reports are
# forwarded every second, so several in a row are missing by then.
REPORT_SILENCE_TIMEOUT_S = 4.0


@dataclass(frozen=True, slots=True)
class RegisteredVm:
    """One VM on the platform's list."""

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
    """A VM to connect to; ``role`` is None until a report of it arrives."""

    vm: VmId
    address: str
    role: Role | None


class FleetView:
    """Merged view of one process; see :func:`make_fleet_view`."""

    def __init__(self, local: Incarnation):
        self._local = local
        self._records: dict[VmId, VmRecord] = {}
        self._registered: dict[VmId, RegisteredVm] = {}
        self._unregistered_since_s: dict[VmId, float] = {}
        # VMs whose address on the list changed after their newest incarnation reported.
        self._readdressed: set[VmId] = set()
        self._draining: set[Incarnation] = set()
        self._superseded: dict[VmId, set[Incarnation]] = {}
        self._version = 0

    def on_list(self, registered: Iterable[RegisteredVm], now_s: float) -> None:
        """Apply an answer of the platform's list."""
        current = {vm.vm: vm for vm in registered}
        for vm in self._registered.keys() - current.keys():
            self._unregistered_since_s.setdefault(vm, now_s)
        for vm, registered_vm in current.items():
            self._unregistered_since_s.pop(vm, None)
            before, record = self._registered.get(vm), self._records.get(vm)
            if before is None and record is not None:
                before = record.report
            if before is not None and before.address != registered_vm.address:
                self._readdressed.add(vm)
        self._registered = current
        for vm, registered_vm in current.items():
            record = self._records.get(vm)
            if registered_vm.draining and record is not None:
                self.on_draining(record.incarnation, now_s)
        self._drop_gone(now_s)

    def on_report(self, report: VmReport, now_s: float) -> None:
        """Apply a report of this process or a peer, or one that a peer forwarded."""
        vm, incarnation = report.incarnation.vm, report.incarnation
        if report.state is VmState.DRAINING:
            self._draining.add(incarnation)
        state = VmState.DRAINING if incarnation in self._draining else VmState.LIVE
        report = replace(report, state=state)
        record = self._records.get(vm)
        if record is None or incarnation.start_ms > record.incarnation.start_ms:
            self._replace(record, report, now_s)
        elif incarnation == record.incarnation:
            self._merge(record, report, now_s)
        else:
            self._supersede(incarnation)

    def on_draining(self, incarnation: Incarnation, now_s: float) -> None:
        """Mark an incarnation as draining, whatever its later reports say."""
        record = self._records.get(incarnation.vm)
        if record and record.incarnation.start_ms > incarnation.start_ms:
            return
        self._draining.add(incarnation)
        if record is not None and record.incarnation == incarnation:
            draining = replace(record.report, state=VmState.DRAINING)
            self._merge(record, draining, now_s, received=False)

    def on_connected(self, incarnation: Incarnation) -> None:
        """Record a working connection to an incarnation."""
        record = self._records.get(incarnation.vm)
        if record is not None and record.incarnation == incarnation:
            record.connected, record.silent = True, False

    def on_silent(self, incarnation: Incarnation) -> None:
        """Record that the connection to an incarnation was closed or went silent."""
        record = self._records.get(incarnation.vm)
        if record is not None and record.incarnation == incarnation:
            record.connected, record.silent = False, True

    def servers(self, now_s: float) -> tuple[ServerView, ...]:
        """Return the backend servers that are not gone, sorted by VM id."""
        return tuple(
            ServerView(
                record.incarnation,
                record.report.zone,
                record.report.address,
                state,
                record.report.load,
                max(0.0, now_s - record.last_seen_s),
                record.connected,
            )
            for record, state in self._present(Role.SIDECAR, now_s)
            if record.report.load is not None
        )

    def entries(self, now_s: float) -> tuple[EntryView, ...]:
        """Return the entries that are not gone, sorted by VM id."""
        return tuple(
            EntryView(
                record.incarnation,
                record.report.zone,
                record.report.address,
                state,
                record.connected,
            )
            for record, state in self._present(Role.ENTRY, now_s)
        )

    def dial_targets(self, now_s: float) -> tuple[DialTarget, ...]:
        """Return the other VMs that are not gone, with an address to connect to."""
        targets = {
            vm: DialTarget(vm, registered_vm.address, None)
            for vm, registered_vm in self._registered.items()
        }
        for vm, record in self._records.items():
            if self._state(record, now_s) is VmState.GONE:
                continue
            address = record.report.address
            if (
                vm in self._readdressed
                and vm in self._registered
                and not record.connected
            ):
                # Its next incarnation listens there, but has sent no report yet.
                address = self._registered[vm].address
            targets[vm] = DialTarget(vm, address, record.report.role)
        targets.pop(self._local.vm, None)
        return tuple(targets[vm] for vm in sorted(targets))

    def live_vms(self, now_s: float) -> frozenset[VmId]:
        """Return the VMs that count for a quorum: registered, or missing briefly."""
        recently_missing = {
            vm for vm in self._unregistered_since_s if not self._is_gone(vm, now_s)
        }
        return frozenset({self._local.vm, *self._registered, *recently_missing})

    def reached_vms(self) -> frozenset[VmId]:
        """Return the VMs to which this process has a working connection."""
        return frozenset(vm for vm, record in self._records.items() if record.connected)

    def reports(self) -> tuple[VmReport, ...]:
        """Return the newest report of each VM."""
        return tuple(self._records[vm].report for vm in sorted(self._records))

    def reports_since(self, version: int) -> tuple[int, tuple[VmReport, ...]]:
        """Return the current version and the reports that changed after ``version``.

        The caller stores, for each peer, the version returned at its last heartbeat.
        The report of this process is always included.
        """
        changed = tuple(
            self._records[vm].report
            for vm in sorted(self._records)
            if self._records[vm].changed_at > version or vm == self._local.vm
        )
        return self._version, changed

    def gone_incarnations(self, now_s: float) -> frozenset[Incarnation]:
        """Return the incarnations that a later one replaced or whose VM is gone.

        Of each VM only the newest few are returned; :meth:`is_gone` covers all.
        """
        gone = {
            incarnation
            for earlier in self._superseded.values()
            for incarnation in earlier
        }
        gone.update(
            record.incarnation
            for vm, record in self._records.items()
            if self._is_gone(vm, now_s)
        )
        return frozenset(gone)

    def is_gone(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether an incarnation was replaced or its VM is gone."""
        record = self._records.get(incarnation.vm)
        replaced = record is not None and incarnation < record.incarnation
        return replaced or self._is_gone(incarnation.vm, now_s)

    def _replace(self, record: VmRecord | None, report: VmReport, now_s: float) -> None:
        vm = report.incarnation.vm
        if record is not None:
            self._supersede(record.incarnation)
        self._version += 1
        self._readdressed.discard(vm)
        self._records[vm] = VmRecord(report, now_s, self._version, now_s)

    def _supersede(self, incarnation: Incarnation) -> None:
        earlier = self._superseded.setdefault(incarnation.vm, set())
        earlier.add(incarnation)
        if len(earlier) > MAX_SUPERSEDED_PER_VM:
            earlier.remove(min(earlier))
        self._draining.discard(incarnation)

    def _merge(
        self, record: VmRecord, report: VmReport, now_s: float, received: bool = True
    ) -> None:
        old, merged = record.report, merge_report(record.report, report)
        if merged == old:
            return
        newer = merged.sequence > old.sequence
        record.report = merged
        if received and newer:
            record.last_seen_s = now_s
        if (
            has_state_change(old, merged)
            or now_s - record.forwarded_s >= MIN_FORWARD_INTERVAL_S
        ):
            self._version += 1
            record.changed_at, record.forwarded_s = self._version, now_s

    def _present(self, role: Role, now_s: float) -> list[tuple[VmRecord, VmState]]:
        states = (
            (self._records[vm], self._state(self._records[vm], now_s))
            for vm in sorted(self._records)
        )
        return [
            (record, state)
            for record, state in states
            if record.report.role is role and state is not VmState.GONE
        ]

    def _state(self, record: VmRecord, now_s: float) -> VmState:
        if self._is_gone(record.incarnation.vm, now_s):
            return VmState.GONE
        if record.report.state is VmState.DRAINING:
            return VmState.DRAINING
        if record.incarnation == self._local or record.connected:
            return VmState.LIVE
        if record.silent or now_s - record.last_seen_s > REPORT_SILENCE_TIMEOUT_S:
            return VmState.SILENT
        return VmState.LIVE

    def _is_gone(self, vm: VmId, now_s: float) -> bool:
        since_s = self._unregistered_since_s.get(vm)
        if since_s is None or vm == self._local.vm:
            return False
        record = self._records.get(vm)
        if record is not None:
            since_s = max(since_s, record.last_seen_s)
        return now_s - since_s > GONE_TIMEOUT_S

    def _drop_gone(self, now_s: float) -> None:
        """Drop VMs missing for an hour, so that replaced VMs do not accumulate."""
        for vm, since_s in list(self._unregistered_since_s.items()):
            if now_s - since_s > 3_600.0 and self._is_gone(vm, now_s):
                del self._unregistered_since_s[vm]
                self._records.pop(vm, None)
                self._superseded.pop(vm, None)
                self._draining = {
                    incarnation
                    for incarnation in self._draining
                    if incarnation.vm != vm
                }


def make_fleet_view(local: Incarnation) -> FleetView:
    """Return an empty view.

    Parameters
    ----------
    local : Incarnation
        This process; it is never gone or silent.

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
    return FleetView(local)
