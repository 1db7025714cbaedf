"""Fleet view against an oracle: newest incarnation and sequence, draining stays."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load, VmReport
from chervilgw.core.states import BackendKind, Role, VmState
from chervilgw.membership import RegisteredVm, make_fleet_view
from chervilgw.membership.view import GONE_TIMEOUT_S

LOCAL = Incarnation(VmId("e0"), 1)
VMS = st.sampled_from([VmId("b0"), VmId("b1")])
STARTS = st.integers(1, 3)
LOAD = Load(BackendKind.ENGINE, 100, 50, 0, 0)


def report(incarnation, sequence, state=VmState.LIVE, load=LOAD):
    address = f"10.0.0.1:{incarnation.start_ms}"
    return VmReport(
        incarnation, Role.SIDECAR, ZoneId("z"), address, state, sequence, load
    )


class ViewMachine(RuleBasedStateMachine):
    """Two views that exchange ``reports_since``; the oracle records all events."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.view = make_fleet_view(LOCAL)
        self.peer_view = make_fleet_view(Incarnation(VmId("e1"), 1))
        self.version = 0
        self.reported = {}
        self.draining = set()
        self.unregistered_s = {}
        self.registered = set()
        self.last_seen_s = {}

    @rule(vm=VMS, start=STARTS, sequence=st.integers(0, 5), draining=st.booleans())
    def receive_report(self, vm, start, sequence, draining):
        incarnation = Incarnation(vm, start)
        state = VmState.DRAINING if draining else VmState.LIVE
        load = replace(LOAD, running=sequence)
        self.view.on_report(report(incarnation, sequence, state, load), self.now_s)
        before = max(self.reported.get(vm, {}), default=0)
        sequences = self.reported.setdefault(vm, {}).setdefault(start, [])
        if start > before or start == before and sequence > max(sequences, default=-1):
            self.last_seen_s[vm] = self.now_s
        sequences.append(sequence)
        if draining:
            self.draining.add(incarnation)

    @rule(vm=VMS, start=STARTS)
    def receive_draining(self, vm, start):
        self.view.on_draining(Incarnation(vm, start), self.now_s)
        self.draining.add(Incarnation(vm, start))

    @rule(vms=st.sets(VMS))
    def receive_list(self, vms):
        self.view.on_list(
            [RegisteredVm(vm, ZoneId("z"), "x") for vm in vms], self.now_s
        )
        for vm in self.registered - vms:
            self.unregistered_s.setdefault(vm, self.now_s)
        for vm in vms:
            self.unregistered_s.pop(vm, None)
        self.registered = set(vms)

    @rule(step_s=st.sampled_from([0.1, 1.5, 6.0]))
    def wait(self, step_s):
        self.now_s += step_s

    @rule()
    def forward_reports(self):
        self.version, reports = self.view.reports_since(self.version)
        for target in reports:
            self.peer_view.on_report(target, self.now_s)

    def gone(self, vm):
        since_s = self.unregistered_s.get(vm)
        if since_s is None:
            return False
        return self.now_s - max(since_s, self.last_seen_s.get(vm, 0.0)) > GONE_TIMEOUT_S

    @invariant()
    def the_view_matches_the_oracle(self):
        """Guards against an older report or list that overwrites newer state."""
        present = {vm for vm in self.reported if not self.gone(vm)}
        servers = {server.vm: server for server in self.view.servers(self.now_s)}
        assert set(servers) == present
        for vm, server in servers.items():
            newest = Incarnation(vm, max(self.reported[vm]))
            assert server.incarnation == newest
            assert (server.state is VmState.DRAINING) == (newest in self.draining)
            assert server.load.running == max(self.reported[vm][newest.start_ms])

    @invariant()
    def replaced_and_unlisted_incarnations_are_gone(self):
        """Guards against dead incarnations that are taken for running ones."""
        expected = set()
        for vm, starts in self.reported.items():
            newest = max(starts)
            expected |= {Incarnation(vm, s) for s in starts if s < newest}
            if self.gone(vm):
                expected.add(Incarnation(vm, newest))
        assert self.view.gone_incarnations(self.now_s) == expected

    @invariant()
    def forwarding_reaches_the_same_states(self):
        """Guards against a change that ``reports_since`` omits."""
        self.forward_reports()
        expected = {r.incarnation: r.state for r in self.view.reports()}
        assert {r.incarnation: r.state for r in self.peer_view.reports()} == expected


TestView = ViewMachine.TestCase


def test_unchanged_reports_are_not_forwarded_again():
    """Guards against heartbeats that grow with the fleet instead of with changes."""
    view = make_fleet_view(LOCAL)
    server = Incarnation(VmId("b0"), 1)
    view.on_report(report(server, 1), 0.0)
    version, reports = view.reports_since(0)
    assert len(reports) == 1
    view.on_report(report(server, 2, load=Load(BackendKind.ENGINE, 100, 9, 1, 1)), 0.5)
    assert view.reports_since(version) == (version, ())
    view.on_report(report(server, 3), 1.0)
    assert len(view.reports_since(version)[1]) == 1


def test_draining_notice_before_the_first_report_takes_effect():
    """Guards against requests to a server whose notice arrived before its reports."""
    view = make_fleet_view(LOCAL)
    server = Incarnation(VmId("b0"), 1)
    view.on_draining(server, 0.0)
    for sequence in (1, 2):
        view.on_report(report(server, sequence), 0.0)
        assert view.servers(0.0)[0].state is VmState.DRAINING
    view.on_report(report(Incarnation(VmId("b0"), 2), 1), 0.0)
    assert view.servers(0.0)[0].state is VmState.LIVE


def test_connections_decide_between_live_and_silent():
    """Guards against requests to a server whose connection went silent."""
    view = make_fleet_view(LOCAL)
    server = Incarnation(VmId("b0"), 1)
    view.on_report(report(server, 1), 0.0)
    view.on_connected(server)
    assert view.servers(100.0)[0].state is VmState.LIVE
    assert view.reached_vms() == {"b0"}
    view.on_silent(server)
    assert view.servers(0.0)[0].state is VmState.SILENT
    assert view.reached_vms() == frozenset()


def test_registered_vm_is_dialed_before_its_first_report():
    """Guards against a fleet that cannot form as no process has reported yet."""
    view = make_fleet_view(LOCAL)
    view.on_list(
        [RegisteredVm(VmId(v), ZoneId("z"), f"{v}:1") for v in ("e0", "b0")], 0.0
    )
    assert [target.address for target in view.dial_targets(0.0)] == ["b0:1"]
    assert view.live_vms(0.0) == {"e0", "b0"}


def test_replaced_vm_is_dialed_at_its_newly_registered_address():
    """Guards against a killed VM that is never reached at its next address."""
    view = make_fleet_view(LOCAL)
    old = Incarnation(VmId("b0"), 1)

    def dialed():
        return [target.address for target in view.dial_targets(1.0)]

    view.on_list([RegisteredVm(VmId("b0"), ZoneId("z"), "10.0.0.1:1")], 0.0)
    view.on_report(report(old, 1), 0.0)
    view.on_connected(old)
    for registered in ([], [RegisteredVm(VmId("b0"), ZoneId("z"), "10.0.0.1:2")]):
        view.on_list(registered, 1.0)
        assert dialed() == ["10.0.0.1:1"], "the connection still works"
    view.on_silent(old)
    assert dialed() == ["10.0.0.1:2"]
    # A report of a later incarnation is newer than the list, which lags.
    view.on_report(report(Incarnation(VmId("b0"), 3), 1), 1.0)
    assert dialed() == ["10.0.0.1:3"]


def test_lost_vm_is_dialed_at_its_registered_address():
    """Guards against a VM that restarts at another address and is never dialed."""
    view = make_fleet_view(LOCAL)
    old = Incarnation(VmId("b0"), 1)
    view.on_report(report(old, 1), 0.0)
    view.on_connected(old)
    view.on_list([RegisteredVm(VmId("b0"), ZoneId("z"), "10.0.0.9:7")], 1.0)
    assert [target.address for target in view.dial_targets(1.0)] == ["10.0.0.1:1"]
    view.on_silent(old)
    assert [target.address for target in view.dial_targets(1.0)] == ["10.0.0.9:7"]
    view.on_report(report(Incarnation(VmId("b0"), 2), 1), 2.0)
    assert [target.address for target in view.dial_targets(2.0)] == ["10.0.0.1:2"]
