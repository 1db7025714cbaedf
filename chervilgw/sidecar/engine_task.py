"""Engine task: owns the memory ledger and sends load and unload orders."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.clients.engine import (
    EngineClientSpec,
    EngineState,
    make_fence_call,
    make_order_call,
    make_state_call,
    parse_order_status,
    parse_state,
)
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.core.ids import CrashId, Incarnation, ModelName
from chervilgw.core.messages import PermitGrant, PermitRequest
from chervilgw.core.states import CopyState, RefusalReason
from chervilgw.membership.task import FleetSnapshot
from chervilgw.placement.copies import LoadCopy, decide_copy_changes
from chervilgw.placement.demand import THRESHOLDS, make_demand_tracker
from chervilgw.placement.memory import MemoryLedger, make_memory_ledger
from chervilgw.placement.orders import Fence, Order, OrderAnswer, ReadState
from chervilgw.runtime.events import http_call, peer_send
from chervilgw.sidecar.accepted import make_accepted_orders
from chervilgw.sidecar.events import (
    EngineView,
    engine_probe_result,
    engine_retire,
    engine_view,
)
from chervilgw.sidecar.loading import (
    CopyDemand,
    CopySpec,
    choose_retirement,
    copy_spec,
    mark_live_connected,
    merge_versions,
    model_specs,
    outdated_copies,
)
from chervilgw.sidecar.permits import PermitOutput, SendToEntry, make_load_permits
from chervilgw.telemetry import log_event

DECISION_INTERVAL_S = 0.5
BUSY_READ_INTERVAL_S = 0.1
FENCING_TOKENS_PER_MS = 1024


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of the engine task.

    Parameters
    ----------
    incarnation : Incarnation
        This process.
    address : str
        Address of the engine.
    fenced : bool
        Whether the engine checks fencing tokens.
    settle_s : float
        Longest time between sending an order and its effect.
    """

    incarnation: Incarnation
    address: str
    fenced: bool
    settle_s: float


class EngineTask(BaseComponent):
    """Engine task; see :func:`make_engine_task`."""

    def __init__(self, options: EngineOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._spec = EngineClientSpec(options.address, channel)
        self._state: ConfigurationState = empty_state()
        self._fleet = FleetSnapshot()
        self._ledger: MemoryLedger | None = None
        self._ledger_numbers = count(1)
        self._call_numbers = count(1)
        self._capacity_bytes = 0
        self._state_call: tuple[str, float] | None = None
        self._next_read_s = self._next_decide_s = 0.0
        self._order_calls: dict[str, str] = {}
        self._accepted = make_accepted_orders()
        self._copy_demand = CopyDemand()
        self._permits = make_load_permits(options.incarnation)
        self._last_used_s: dict[str, float] = {}
        self._last_changes_s: dict[ModelName, float] = {}
        self._retiring: dict[str, float] = {}
        # Kept after an adapter is deleted from the configuration, so that it can
        # still be unloaded.
        self._adapter_base: dict[str, str | None] = {}
        self._demand = make_demand_tracker(THRESHOLDS)
        self._crash_numbers = count(1)
        self._last_crash: CrashId | None = None
        self._probing = False
        self._draining = False
        self._view = EngineView()

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        self._state = state

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        self._fleet = fleet

    @handler("recent_entry_loss")
    def _on_entry_loss(self, until_s):
        self._permits.on_loss(until_s)

    @handler("drain", channel="*")
    def _on_drain(self):
        self._draining = True

    @handler("engine_load_request")
    def _on_load_request(self, names):
        now_s = time.monotonic()
        self._copy_demand.add(names, now_s)
        self._last_used_s.update(dict.fromkeys(names, now_s))
        self._load_missing_copies(now_s)

    @handler("engine_retired")
    def _on_engine_retired(self, name, idle):
        now_s = time.monotonic()
        if self._retiring.pop(name, None) is None or self._ledger is None or not idle:
            return
        result = self._ledger.request_unload(ModelName(name), now_s)
        if is_successful(result):
            self._last_changes_s[ModelName(name)] = now_s
            self._send_output(result.unwrap(), now_s)
        self._publish()

    @handler("engine_probe")
    def _on_engine_probe(self):
        self._probing = True
        if self._state_call is None:
            self._read_state(time.monotonic())

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        for message in messages:
            if isinstance(message, PermitGrant):
                log_event(
                    "permit_answered",
                    permit=message.permit_id,
                    entry=str(peer.incarnation),
                    granted=message.granted,
                    withheld=message.is_withheld,
                )
                now_s = time.monotonic()
                outputs = self._permits.on_grant(peer.incarnation, message, now_s)
                self._apply_permits(outputs, now_s)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if self._state_call is None and now_s >= self._next_read_s:
            self._read_state(now_s)
        if self._ledger is None:
            return
        for output in self._ledger.tick(now_s):
            self._send_output(output, now_s)
        servers = self._fleet.servers
        outputs = self._permits.tick(self._connected_entries(), servers, now_s)
        self._apply_permits(outputs, now_s)
        if now_s >= self._next_decide_s and self._ledger.ready:
            self._next_decide_s = now_s + DECISION_INTERVAL_S
            self._decide(now_s)
            self._load_missing_copies(now_s)

    def _read_state(self, now_s):
        call = f"engine-state-{next(self._call_numbers)}"
        self._state_call = (call, now_s)
        self.fire(http_call(make_state_call(self._spec, call)), "http-client")

    @handler("call_done")
    def _on_call_done(self, answer):
        now_s = time.monotonic()
        if self._state_call is not None and answer.call == self._state_call[0]:
            requested_s = self._state_call[1]
            self._state_call = None
            result = parse_state(answer)
            if is_successful(result):
                self._on_state(result.unwrap(), requested_s, now_s)
            else:
                self._next_read_s = now_s + DECISION_INTERVAL_S
        elif answer.call in self._order_calls:
            self._on_order_status(self._order_calls.pop(answer.call), answer, now_s)

    def _on_order_status(self, order_id, answer, now_s):
        outcome = parse_order_status(answer.status)
        if outcome is None:
            self._accepted.add(order_id, now_s)
            self._next_read_s = now_s
        else:
            self._answer_order(order_id, outcome, now_s)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        now_s = time.monotonic()
        if self._state_call is not None and failed.call == self._state_call[0]:
            self._state_call = None
            self._next_read_s = now_s + BUSY_READ_INTERVAL_S
            if not failed.sent:
                self._on_engine_down()
        elif failed.call in self._order_calls:
            order_id = self._order_calls.pop(failed.call)
            self._answer_order(order_id, OrderAnswer.LOST, now_s)

    def _answer_order(self, order_id, answer, now_s):
        log_event("order_answered", order=order_id, answer=answer.value)
        if self._ledger is not None:
            self._ledger.on_order_answer(order_id, answer, now_s)

    def _on_state(self, state: EngineState, requested_s, now_s):
        if self._ledger is None:
            self._capacity_bytes = state.capacity_bytes
            self._ledger = self._make_ledger(now_s)
        self._ledger.on_engine_state(state.report, requested_s, now_s)
        pending = self._ledger.pending_orders()
        for ended in self._accepted.observe(state.orders, pending, requested_s):
            self._answer_order(*ended, now_s)
        busy = self._publish()
        self._next_read_s = now_s + (
            BUSY_READ_INTERVAL_S if busy else DECISION_INTERVAL_S
        )
        self._apply_permits(self._permits.release_ended(self._ledger.resident()), now_s)
        if self._probing:
            self._probing = False
            self.fire(engine_probe_result(None), "runs")

    def _make_ledger(self, now_s) -> MemoryLedger:
        first_fencing_token = (
            self._options.incarnation.start_ms * FENCING_TOKENS_PER_MS
            + next(self._ledger_numbers)
        )
        return make_memory_ledger(
            self._capacity_bytes,
            self._options.fenced,
            self._options.settle_s,
            first_fencing_token,
            now_s,
        )

    def _on_engine_down(self):
        """Discard all state: the engine refuses connections, so its memory is lost."""
        if self._ledger is not None:
            self._last_crash = CrashId(
                f"{self._options.incarnation}/{next(self._crash_numbers)}"
            )
            log_event("engine_crashed", level="warning", crash=self._last_crash)
        if self._ledger is not None or self._probing:
            # Without a ledger the engine has not been back since the last crash.
            self.fire(engine_probe_result(self._last_crash), "runs")
        self._probing = False
        self._ledger = None
        self._accepted = make_accepted_orders()
        self._retiring.clear()
        self._apply_permits(self._permits.release_all(), time.monotonic())
        self._publish()

    def _publish(self) -> bool:
        """Send changed copies to the queue task; return whether one is in transit."""
        if self._ledger is None:
            view = EngineView()
        else:
            resident = merge_versions(self._ledger.resident())
            free_bytes = max(0, self._ledger.free_bytes)
            view = EngineView(True, self._capacity_bytes, free_bytes, resident)
        if view != self._view:
            if view.resident != self._view.resident:
                log_event("copies_changed", copies=dict(view.resident))
            self._view = view
            self.fire(engine_view(view), "queue")
        changing = {CopyState.LOADING.value, CopyState.UNLOADING.value}
        return not changing.isdisjoint(view.resident.values())

    def _decide(self, now_s):
        if self._draining:
            return
        local_vm, models = self._options.incarnation.vm, model_specs(self._state)
        servers = mark_live_connected(self._fleet.servers, local_vm)
        demand = self._demand.observe(servers, now_s)
        actions = decide_copy_changes(
            local_vm, servers, models, demand, self._last_changes_s, now_s
        )
        for action in actions:
            if isinstance(action, LoadCopy):
                self._request_permit(action.name, now_s)
            else:
                self._retire(action.name, now_s)
        self._refresh_versions(now_s)

    def _refresh_versions(self, now_s):
        to_unload, to_load = outdated_copies(self._state, self._ledger.resident())
        for copy in to_unload:
            order = self._ledger.request_unload(copy.name, now_s, copy.version)
            if is_successful(order):
                self._send_output(order.unwrap(), now_s)
        for copy in to_load:
            self._request_permit(copy.name, now_s)

    def _load_missing_copies(self, now_s):
        if self._ledger is None or not self._ledger.ready:
            return
        for name in self._copy_demand.missing(self._state, self._view.resident, now_s):
            self._request_permit(name, now_s)

    def _request_permit(self, name, now_s):
        spec = copy_spec(self._state, name)
        if spec is None:
            return
        self._permits.record_request(name, now_s)
        if name in self._permits:
            return
        if spec.size_bytes > self._ledger.free_bytes:
            self._free_memory(spec, now_s)
            return
        outputs = self._permits.request(spec, self._connected_entries(), now_s)
        self._apply_permits(outputs, now_s)

    def _free_memory(self, spec, now_s):
        if self._retiring:
            return
        name = choose_retirement(
            spec,
            self._state,
            self._ledger.resident(),
            self._fleet.servers,
            self._options.incarnation.vm,
            self._last_used_s,
            spec.size_bytes - self._ledger.free_bytes,
        )
        if name is not None:
            self._retire(name, now_s)

    def _retire(self, name, now_s):
        if now_s - self._retiring.get(name, float("-inf")) > DECISION_INTERVAL_S:
            self._retiring[name] = now_s
            self.fire(engine_retire(name), "queue")

    def _connected_entries(self) -> list[Incarnation]:
        return [e.incarnation for e in self._fleet.entries if e.connected]

    def _apply_permits(self, outputs: Iterable[PermitOutput], now_s):
        for output in outputs:
            if isinstance(output, SendToEntry):
                if isinstance(output.message, PermitRequest):
                    log_event(
                        "permit_requested",
                        permit=output.message.permit_id,
                        entry=str(output.to),
                        budgets=output.message.budgets,
                    )
                self.fire(peer_send(output.to, output.message), "links")
            else:
                if not output.permitted:
                    log_event("load_without_permit", model=output.spec.name)
                self._load(output.spec, now_s)

    def _load(self, spec: CopySpec, now_s):
        result = self._ledger.request_load(
            spec.name, spec.version, spec.size_bytes, now_s
        )
        if is_successful(result):
            self._last_changes_s[spec.name] = now_s
            self._send_output(result.unwrap(), now_s)
            self._publish()
            return
        self._apply_permits(self._permits.release(spec.name), now_s)
        if result.failure().reason is RefusalReason.NO_ROOM:
            self._free_memory(spec, now_s)

    def _send_output(self, output: Order | Fence | ReadState, now_s):
        match output:
            case ReadState():
                if self._state_call is None:
                    self._read_state(now_s)
            case Fence():
                call = f"engine-fence-{next(self._call_numbers)}"
                request = make_fence_call(self._spec, call, output)
                self.fire(http_call(request), "http-client")
            case Order():
                self._send_order(output)

    def _send_order(self, order: Order):
        log_event(
            "order_sent", order=order.order_id, kind=order.kind.value, name=order.name
        )
        call = f"engine-order-{next(self._call_numbers)}"
        self._order_calls[call] = order.order_id
        spec = copy_spec(self._state, order.name)
        if spec is not None:
            self._adapter_base[order.name] = spec.base_model
        base_model = self._adapter_base.get(order.name)
        request = make_order_call(self._spec, call, order, base_model)
        self.fire(http_call(request), "http-client")


def make_engine_task(options: EngineOptions, channel: str = "engine") -> EngineTask:
    """Return an engine task.

    Parameters
    ----------
    options : EngineOptions
        The engine and its properties.
    channel : str
        Channel of the task.

    Returns
    -------
    EngineTask
    """
    return EngineTask(options, channel)
