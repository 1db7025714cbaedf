"""Task that runs the configuration follower and the freshness check."""

from __future__ import annotations

import time
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.clients.log import (
    LogClientSpec,
    Stream,
    make_append_call,
    make_read_call,
    parse_append,
    parse_page,
)
from chervilgw.configuration.freshness import make_freshness
from chervilgw.configuration.outputs import (
    Accepted,
    AppendRecord,
    AppendResult,
    Applied,
    Confirmed,
    PushRecords,
    PushSnapshot,
    QueryPeer,
    ReadLog,
    Rejected,
    Undecided,
    WriteSnapshot,
)
from chervilgw.configuration.source import make_config_follower
from chervilgw.core.ids import Incarnation, VmId
from chervilgw.core.messages import ConfigRecords, ConfigRequest, ConfigSnapshot
from chervilgw.runtime.control_events import (
    config_applied,
    config_decided,
    config_fresh,
    control_status,
)
from chervilgw.runtime.events import http_call, peer_send
from chervilgw.telemetry import log_event

READ_WAIT_MS = 300


class ConfigTask(BaseComponent):
    """Configuration task; see :func:`make_config_task`."""

    def __init__(
        self,
        incarnation: Incarnation,
        log_address: str,
        snapshot_jitter_s: float,
        channel,
    ):
        super().__init__(channel=channel)
        self._incarnation = incarnation
        self._log_spec = LogClientSpec(log_address, channel)
        self._follower = make_config_follower(snapshot_jitter_s)
        self._freshness = make_freshness(incarnation.vm)
        self._peers: dict[VmId, Incarnation] = {}
        self._live_vms: frozenset[VmId] = frozenset()
        self._reached_vms: frozenset[VmId] = frozenset()
        self._call_numbers = count(1)
        self._read_call = ""
        self._appends: dict[str, str] = {}
        self._submitters: dict[str, str] = {}
        self._fresh_until_s = float("-inf")

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if paused:
            self._freshness.on_pause_detected(now_s)
            self._fresh_until_s = float("-inf")
        self._perform(self._follower.tick(now_s))
        self._publish_freshness(now_s)

    @handler("call_done")
    def _on_call_done(self, answer):
        now_s = time.monotonic()
        if answer.call == self._read_call:
            self._on_page(parse_page(answer), now_s)
        elif answer.call in self._appends:
            result = parse_append(answer)
            if is_successful(result):
                self._on_append(answer.call, AppendResult.APPENDED, now_s)
            else:
                self._on_append_error(answer.call, result.failure().may_have_run, now_s)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        now_s = time.monotonic()
        if failed.call == self._read_call:
            self._read_call = ""
            self._perform(self._follower.on_log_failed(now_s))
        elif failed.call in self._appends:
            self._on_append_error(failed.call, failed.sent, now_s)

    def _on_page(self, result, now_s):
        self._read_call = ""
        if is_successful(result):
            page = result.unwrap()
            records = [(offset, record) for offset, _, record in page.records]
            outputs = self._follower.on_log_records(
                page.oldest_offset, page.next_offset, records, now_s
            )
        elif hasattr(result.failure(), "oldest_offset"):
            oldest = result.failure().oldest_offset
            outputs = self._follower.on_log_records(oldest, oldest, [], now_s)
        else:
            outputs = self._follower.on_log_failed(now_s)
        self._perform(outputs)
        self._publish_freshness(now_s)

    def _on_append_error(self, call, may_have_run, now_s):
        result = AppendResult.UNKNOWN if may_have_run else AppendResult.REFUSED
        self._on_append(call, result, now_s)

    def _on_append(self, call, result, now_s):
        change_id = self._appends.pop(call)
        if change_id:
            outputs = self._follower.on_append_result(change_id, result, now_s)
            self._perform(outputs)

    @handler("config_submit")
    def _on_submit(self, change, reply_to):
        self._submitters[change.change_id] = reply_to
        self._perform(self._follower.submit(change, time.monotonic()))

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        self._peers[peer.incarnation.vm] = peer.incarnation

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        vm = peer.incarnation.vm
        if self._peers.get(vm) == peer.incarnation:
            del self._peers[vm]
            self._follower.on_peer_lost(vm)
            self._freshness.on_peer_lost(vm)

    @handler("peer_heartbeat")
    def _on_heartbeat(self, peer, heartbeat, echoed_s):
        now_s = time.monotonic()
        vm, offset = peer.incarnation.vm, heartbeat.config_offset
        if echoed_s is not None:
            age_s = heartbeat.config_age_s
            self._freshness.on_peer_heartbeat(
                vm, offset, age_s, now_s, echoed_s=echoed_s
            )
        self._perform(self._follower.on_peer_offset(vm, offset, now_s))
        self._publish_freshness(now_s)

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        now_s = time.monotonic()
        vm = peer.incarnation.vm
        for message in messages:
            if isinstance(message, ConfigRequest):
                outputs = self._follower.on_peer_request(vm, message.offset)
            elif isinstance(message, ConfigRecords):
                outputs = self._follower.on_peer_records(
                    message.after, message.records, now_s
                )
            elif isinstance(message, ConfigSnapshot):
                outputs = self._follower.on_peer_snapshot(message.snapshot, now_s)
            else:
                continue
            self._perform(outputs)
        self._publish_freshness(now_s)

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        self._live_vms, self._reached_vms = fleet.live_vms, fleet.reached_vms

    def _perform(self, outputs):
        for output in outputs:
            self._perform_output(output)

    def _perform_output(self, output):
        match output:
            case ReadLog(offset):
                self._read_call = call = f"config-read-{next(self._call_numbers)}"
                spec, stream = self._log_spec, Stream.CONFIGURATION
                read = make_read_call(spec, call, stream, offset, READ_WAIT_MS)
                self.fire(http_call(read), "http-client")
            case AppendRecord(change_id, record):
                self._append(change_id, record)
            case WriteSnapshot(record):
                self._append("", record)
            case QueryPeer(peer, offset):
                self._send(peer, ConfigRequest(offset))
            case PushRecords(peer, after, records):
                message = ConfigRecords(after, records)
                for vm in list(self._peers) if peer is None else [peer]:
                    self._send(vm, message)
            case PushSnapshot(peer, offset, snapshot):
                self._send(peer, ConfigSnapshot(offset, dict(snapshot)))
            case Applied(state):
                self._freshness.on_applied(state.offset)
                self.fire(config_applied(state), "*")
            case Confirmed(requested_s):
                self._freshness.on_log_read(requested_s)
            case Accepted() | Rejected() | Undecided():
                self._report_outcome(output)

    def _append(self, change_id, record):
        call = f"config-append-{next(self._call_numbers)}"
        self._appends[call] = change_id
        append = make_append_call(
            self._log_spec, call, Stream.CONFIGURATION, [dict(record)]
        )
        self.fire(http_call(append), "http-client")

    def _report_outcome(self, outcome):
        reply_to = self._submitters.pop(outcome.change_id, None)
        log_event("config_change_decided", outcome=str(outcome))
        if reply_to is not None:
            self.fire(config_decided(outcome), reply_to)

    def _send(self, vm, message):
        incarnation = self._peers.get(vm)
        if incarnation is not None:
            self.fire(peer_send(incarnation, message), "links")

    def _publish_freshness(self, now_s):
        valid_until_s = self._freshness.valid_until_s(self._live_vms, self._reached_vms)
        if valid_until_s > self._fresh_until_s:
            self._fresh_until_s = valid_until_s
            self.fire(config_fresh(valid_until_s), "*")
        confirmed_s = now_s - self._freshness.age_s(now_s)
        offset = self._follower.state.offset
        self.fire(control_status(offset, confirmed_s), "fleet")


def make_config_task(
    incarnation: Incarnation,
    log_address: str,
    snapshot_jitter_s: float,
    channel: str = "config",
) -> ConfigTask:
    """Return a configuration task.

    Parameters
    ----------
    incarnation : Incarnation
        This process.
    log_address : str
        Address of the append-only log.
    snapshot_jitter_s : float
        Random delay before this process writes a due snapshot.
    channel : str
        Channel of the task.

    Returns
    -------
    ConfigTask
    """
    return ConfigTask(incarnation, log_address, snapshot_jitter_s, channel)
