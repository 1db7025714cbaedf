"""Fleet task: owns the fleet view, sends heartbeats and selects peers to connect to."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.clients.vm_list import make_list_call, parse_list
from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import NO_OFFSET, Incarnation, VmId
from chervilgw.core.messages import DrainNotice, Heartbeat, Load, VmReport
from chervilgw.core.states import Role, VmState
from chervilgw.membership.view import EntryView, make_fleet_view
from chervilgw.runtime.control_events import fleet_changed, peer_heartbeat
from chervilgw.runtime.events import http_call, peer_dial, peer_send, peer_undial
from chervilgw.runtime.links import Peer
from chervilgw.telemetry import log_event

HEARTBEAT_INTERVAL_S = 0.5
LIST_READ_INTERVAL_S = 1.0
MAX_UNECHOED_HEARTBEATS = 20


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The fleet view at one moment.

    ``complete`` means that the list was read and each VM on it has sent a report.
    """

    servers: tuple[ServerView, ...] = ()
    entries: tuple[EntryView, ...] = ()
    live_vms: frozenset[VmId] = frozenset()
    reached_vms: frozenset[VmId] = frozenset()
    gone: frozenset[Incarnation] = frozenset()
    complete: bool = False


@dataclass(slots=True)
class _PeerState:
    peer: Peer
    sequence: int = 0
    sent_s: dict[int, float] = field(default_factory=dict)
    received: int = 0
    reports_version: int = -1


class FleetTask(BaseComponent):
    """Fleet task; see :func:`make_fleet_task`."""

    def __init__(self, local: Peer, list_address: str, channel):
        super().__init__(channel=channel)
        self._local = local
        self._list_address = list_address
        self._view = make_fleet_view(local.incarnation)
        self._peers: dict[Incarnation, _PeerState] = {}
        self._dialed: dict[VmId, str] = {}
        self._numbers = count(1)
        self._sequences = count(1)
        self._list_call = ""
        self._list_read = False
        self._malformed_vms: tuple[str, ...] = ()
        self._next_list_s = self._next_heartbeat_s = 0.0
        self._config = (NO_OFFSET, float("-inf"))
        self._ledger_offset = NO_OFFSET
        self._load: Load | None = None
        self._state = VmState.LIVE
        self._update_local_report(time.monotonic())

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if now_s >= self._next_list_s and not self._list_call:
            self._next_list_s = now_s + LIST_READ_INTERVAL_S
            self._list_call = call = f"list-{next(self._numbers)}"
            read = make_list_call(self._list_address, call, self.channel)
            self.fire(http_call(read), "http-client")
        if now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = now_s + HEARTBEAT_INTERVAL_S
            self._send_heartbeats(now_s)

    def _send_heartbeats(self, now_s):
        self._update_local_report(now_s)
        self._publish(now_s)
        # Computed once per version: a search visits every VM, and most peers share one.
        changes = {}
        for state in self._peers.values():
            version = state.reports_version
            if version not in changes:
                changes[version] = self._view.reports_since(version)
            self._send_heartbeat(state, now_s, changes[version])
        if self._local.role is Role.ENTRY:
            self._dial(now_s)

    def _update_local_report(self, now_s):
        local = self._local
        report = VmReport(
            local.incarnation,
            local.role,
            local.zone,
            local.address,
            self._state,
            next(self._sequences),
            self._load,
        )
        self._view.on_report(report, now_s)

    def _send_heartbeat(self, state: _PeerState, now_s, changes):
        state.sequence += 1
        state.sent_s[state.sequence] = now_s
        state.sent_s.pop(state.sequence - MAX_UNECHOED_HEARTBEATS, None)
        state.reports_version, reports = changes
        offset, confirmed_s = self._config
        heartbeat = Heartbeat(
            state.sequence,
            state.received,
            offset,
            self._ledger_offset,
            min(now_s - confirmed_s, 1e9),
            reports,
        )
        self.fire(peer_send(state.peer.incarnation, heartbeat), "links")

    def _dial(self, now_s):
        targets = {}
        for target in self._view.dial_targets(now_s):
            # Of two entries, the one with the lower id opens the connection.
            lower = self._local.incarnation.vm < target.vm
            if target.role is Role.SIDECAR or lower or target.role is None:
                targets[target.vm] = target.address
        for vm, address in targets.items():
            if self._dialed.get(vm) != address:
                self.fire(peer_dial(vm, address), "links")
        for vm in self._dialed.keys() - targets.keys():
            self.fire(peer_undial(vm), "links")
        self._dialed = targets

    def _publish(self, now_s):
        servers, entries = self._view.servers(now_s), self._view.entries(now_s)
        live = self._view.live_vms(now_s)
        known = {s.vm for s in servers} | {e.incarnation.vm for e in entries}
        snapshot = FleetSnapshot(
            servers,
            entries,
            live,
            self._view.reached_vms(),
            self._view.gone_incarnations(now_s),
            self._list_read and live <= known,
        )
        self.fire(fleet_changed(snapshot), "*")

    @handler("call_done")
    def _on_call_done(self, answer):
        if answer.call != self._list_call:
            return
        self._list_call = ""
        result = parse_list(answer)
        if is_successful(result):
            self._list_read = True
            listing = result.unwrap()
            self._log_malformed(listing.malformed)
            self._view.on_list(listing.vms, time.monotonic())

    def _log_malformed(self, malformed: tuple[str, ...]):
        """Log the malformed entries of the list when they change."""
        if malformed != self._malformed_vms:
            self._malformed_vms = malformed
            log_event(
                "vm_entries_ignored",
                level="warning",
                count=len(malformed),
                detail="; ".join(malformed[:5]),
            )

    @handler("call_failed")
    def _on_call_failed(self, failed):
        if failed.call == self._list_call:
            self._list_call = ""

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        now_s = time.monotonic()
        state = self._peers[peer.incarnation] = _PeerState(peer)
        report = VmReport(
            peer.incarnation, peer.role, peer.zone, peer.address, VmState.LIVE, 0
        )
        self._view.on_report(report, now_s)
        self._view.on_connected(peer.incarnation)
        if self._state is VmState.DRAINING:
            notice = DrainNotice(self._local.incarnation)
            self.fire(peer_send(peer.incarnation, notice), "links")
        changes = self._view.reports_since(state.reports_version)
        self._send_heartbeat(state, now_s, changes)
        self._publish(now_s)

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        self._peers.pop(peer.incarnation, None)
        self._view.on_silent(peer.incarnation)
        self._publish(time.monotonic())

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        now_s = time.monotonic()
        for message in messages:
            if isinstance(message, Heartbeat):
                self._on_heartbeat(peer, message, now_s)
            elif isinstance(message, DrainNotice):
                self._view.on_draining(message.incarnation, now_s)
                self._publish(now_s)

    def _on_heartbeat(self, peer, heartbeat, now_s):
        state = self._peers.get(peer.incarnation)
        if state is None:
            return
        state.received = max(state.received, heartbeat.sequence)
        for report in heartbeat.reports:
            self._view.on_report(report, now_s)
            if report.incarnation in self._peers:
                self._view.on_connected(report.incarnation)
        echoed_s = state.sent_s.get(heartbeat.echo)
        for channel in ("config", "dead"):
            self.fire(peer_heartbeat(peer, heartbeat, echoed_s), channel)

    @handler("control_status")
    def _on_control_status(self, offset, confirmed_s):
        self._config = (offset, confirmed_s)

    @handler("ledger_status")
    def _on_ledger_status(self, offset):
        self._ledger_offset = offset

    @handler("load_changed")
    def _on_load(self, load):
        self._load = load

    @handler("drain", channel="*")
    def _on_drain(self):
        if self._state is VmState.DRAINING:
            return
        self._state = VmState.DRAINING
        now_s = time.monotonic()
        self._update_local_report(now_s)
        self._view.on_draining(self._local.incarnation, now_s)
        for state in self._peers.values():
            notice = DrainNotice(self._local.incarnation)
            self.fire(peer_send(state.peer.incarnation, notice), "links")


def make_fleet_task(
    local: Peer, list_address: str, channel: str = "fleet"
) -> FleetTask:
    """Return a fleet task.

    Parameters
    ----------
    local : Peer
        Identity of this process.
    list_address : str
        Address of the platform's list of VMs.
    channel : str
        Channel of the task.

    Returns
    -------
    FleetTask
    """
    return FleetTask(local, list_address, channel)
