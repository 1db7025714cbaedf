"""Engine task: owns the memory ledger and gives the engine its orders."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.core.ids import CrashId, Incarnation, ModelName
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.core.states import CopyState, RefusalReason
from chervilgw.membership.task import FleetSnapshot
from chervilgw.placement.copies import LoadCopy, decide
from chervilgw.placement.demand import DemandThresholds, make_demand_tracker
from chervilgw.placement.memory import MemoryLedger, make_memory_ledger
from chervilgw.placement.orders import Fence, Order, OrderAnswer, ReadState
from chervilgw.platform.engine import (
    EngineClientSpec,
    EngineState,
    make_fence_call,
    make_order_call,
    make_state_call,
    parse_state,
)
from chervilgw.runtime.events import http_call, peer_send
from chervilgw.sidecar.events import (
    EngineView,
    engine_retire,
    engine_verdict,
    engine_view,
)
from chervilgw.sidecar.loading import (
    CopySpec,
    LoadAsks,
    Wants,
    choose_eviction,
    copy_spec,
    is_served_elsewhere,
    merge_versions,
    model_specs,
    reachable_servers,
)
from chervilgw.telemetry import log_event

DECIDE_S = 0.5
BUSY_READ_S = 0.1
PERMIT_REPEAT_S = 0.5
PERMIT_WAIT_S = 2.0
"""While the loss of an entry matters, a model that nobody else serves is loaded without
a permit once it was asked for this long: the lost entry may have held the store's
budget, and without the log nothing collects its units. The store refuses what is over
its own limit, and the load is tried again."""
LOST_ORDER_S = 2.0
"""An order that the engine accepted, but does not list this long after, was lost."""
FENCING_PER_MS = 1024
DEMAND = DemandThresholds(high_tokens=4000, low_tokens=400)
"""Tokens that wait per copy: about 4 s and 0.4 s of an engine's work."""


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of the engine task.

    Parameters
    ----------
    me : Incarnation
        This process.
    address : str
        Address of the engine.
    fenced : bool
        Whether the engine checks fencing numbers.
    settle_s : float
        Longest time between sending an order and its taking effect.
    """

    me: Incarnation
    address: str
    fenced: bool
    settle_s: float


@dataclass(slots=True)
class _Permit:
    permit_id: str
    spec: CopySpec
    asked_s: float
    entry: Incarnation | None = None
    granted: bool = False


class EngineTask(BaseComponent):
    """Engine task; see :func:`make_engine_task`."""

    def __init__(self, options: EngineOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._spec = EngineClientSpec(options.address, channel)
        self._state: ConfigurationState = empty_state()
        self._fleet = FleetSnapshot()
        self._ledger: MemoryLedger | None = None
        self._ledgers = count(1)
        self._numbers = count(1)
        self._capacity_bytes = 0
        self._state_call: tuple[str, float] | None = None
        self._next_read_s = self._next_decide_s = 0.0
        self._order_calls: dict[str, str] = {}
        self._accepted_s: dict[str, float] = {}
        self._wants = Wants()
        self._asks = LoadAsks()
        self._permits: dict[str, _Permit] = {}
        self._last_used_s: dict[str, float] = {}
        self._last_changes: dict[ModelName, float] = {}
        self._retiring: dict[str, float] = {}
        # Outlives the configuration item, so that a deleted adapter can be unloaded.
        self._adapter_base: dict[str, str | None] = {}
        self._demand = make_demand_tracker(DEMAND)
        self._crashes = count(1)
        self._crash: CrashId | None = None
        self._loss_until_s = float("-inf")
        self._probing = False
        self._draining = False
        self._view = EngineView()

    # Inputs from other tasks.

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        self._state = state

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        self._fleet = fleet

    @handler("entry_loss_matters")
    def _on_entry_loss(self, until_s):
        self._loss_until_s = until_s

    @handler("drain", channel="*")
    def _on_drain(self):
        self._draining = True

    @handler("engine_want")
    def _on_want(self, names):
        now_s = time.monotonic()
        self._wants.add(names, now_s)
        self._last_used_s.update(dict.fromkeys(names, now_s))
        self._serve_wants(now_s)

    @handler("engine_retired")
    def _on_retired(self, name, idle):
        now_s = time.monotonic()
        if self._retiring.pop(name, None) is None or self._ledger is None or not idle:
            return
        result = self._ledger.want_unload(ModelName(name), now_s)
        if is_successful(result):
            self._last_changes[ModelName(name)] = now_s
            self._send(result.unwrap(), now_s)
        self._publish()

    @handler("engine_probe")
    def _on_probe(self):
        self._probing = True
        if self._state_call is None:
            self._read(time.monotonic())

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        for message in messages:
            if isinstance(message, PermitGrant):
                self._on_grant(peer.incarnation, message, time.monotonic())

    # The engine's state.

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if self._state_call is None and now_s >= self._next_read_s:
            self._read(now_s)
        if self._ledger is None:
            return
        for output in self._ledger.tick(now_s):
            self._send(output, now_s)
        self._repeat_permits(now_s)
        if now_s >= self._next_decide_s and self._ledger.ready:
            self._next_decide_s = now_s + DECIDE_S
            self._decide(now_s)
            self._serve_wants(now_s)

    def _read(self, now_s):
        call = f"engine-state-{next(self._numbers)}"
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
                self._next_read_s = now_s + DECIDE_S
        elif answer.call in self._order_calls:
            self._on_order_status(self._order_calls.pop(answer.call), answer, now_s)

    def _on_order_status(self, order_id, answer, now_s):
        if answer.status == 409:
            self._ledger_answer(order_id, OrderAnswer.REFUSED, now_s)
        elif answer.status == 202:
            # Accepted is not done: the copy's state comes with the next state read.
            self._accepted_s[order_id] = now_s
            self._next_read_s = now_s
        else:
            self._ledger_answer(order_id, OrderAnswer.LOST, now_s)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        now_s = time.monotonic()
        if self._state_call is not None and failed.call == self._state_call[0]:
            self._state_call = None
            self._next_read_s = now_s + BUSY_READ_S
            if not failed.sent:
                self._on_engine_gone()
        elif failed.call in self._order_calls:
            order_id = self._order_calls.pop(failed.call)
            self._ledger_answer(order_id, OrderAnswer.LOST, now_s)

    def _ledger_answer(self, order_id, answer, now_s):
        if self._ledger is not None:
            self._ledger.on_order_answer(order_id, answer, now_s)

    def _on_state(self, state: EngineState, requested_s, now_s):
        if self._ledger is None:
            self._capacity_bytes = state.capacity_bytes
            self._ledger = self._make_ledger(now_s)
        self._ledger.on_engine_state(state.report, requested_s, now_s)
        for order_id, accepted_s in list(self._accepted_s.items()):
            if order_id in state.orders:
                del self._accepted_s[order_id]
                if state.orders[order_id] in ("failed", "refused"):
                    self._ledger_answer(order_id, OrderAnswer.REFUSED, now_s)
            elif requested_s - accepted_s > LOST_ORDER_S:
                del self._accepted_s[order_id]
                self._ledger_answer(order_id, OrderAnswer.LOST, now_s)
        busy = self._publish()
        self._next_read_s = now_s + (BUSY_READ_S if busy else DECIDE_S)
        self._settle_permits()
        if self._probing:
            self._probing = False
            self.fire(engine_verdict(None), "runs")

    def _make_ledger(self, now_s) -> MemoryLedger:
        first_fencing = self._options.me.start_ms * FENCING_PER_MS + next(self._ledgers)
        return make_memory_ledger(
            self._capacity_bytes,
            self._options.fenced,
            self._options.settle_s,
            first_fencing,
            now_s,
        )

    def _on_engine_gone(self):
        """The engine refuses connections: its memory and its requests are gone."""
        if self._ledger is not None:
            self._crash = CrashId(f"{self._options.me}/{next(self._crashes)}")
            log_event("engine_crashed", level="warning", crash=self._crash)
            self.fire(engine_verdict(self._crash), "runs")
        elif self._probing:
            # The same crash as before: the engine has not been back since.
            self.fire(engine_verdict(self._crash), "runs")
        self._probing = False
        self._ledger = None
        self._accepted_s.clear()
        self._retiring.clear()
        for permit in list(self._permits.values()):
            self._release(permit)
        self._publish()

    def _publish(self) -> bool:
        """Tell the runner of the copies; return whether one is changing."""
        if self._ledger is None:
            view = EngineView()
        else:
            resident = merge_versions(self._ledger.resident())
            free_bytes = max(0, self._ledger.free_bytes)
            view = EngineView(True, self._capacity_bytes, free_bytes, resident)
        if view != self._view:
            self._view = view
            self.fire(engine_view(view), "queue")
        changing = {CopyState.LOADING.value, CopyState.UNLOADING.value}
        return not changing.isdisjoint(view.resident.values())

    # Loads and unloads.

    def _decide(self, now_s):
        if self._draining:
            return
        servers = reachable_servers(self._fleet.servers, self._options.me.vm)
        demand = self._demand.observe(servers, now_s)
        actions = decide(
            self._options.me.vm,
            servers,
            model_specs(self._state),
            demand,
            self._last_changes,
            now_s,
        )
        for action in actions:
            if isinstance(action, LoadCopy):
                self._ask_permit(action.name, now_s)
            else:
                self._retire(action.name, now_s)
        self._refresh_versions(now_s)

    def _refresh_versions(self, now_s):
        """Load the configured version beside an old one, then unload the old one."""
        copies = self._ledger.resident()
        loaded = {
            (copy.name, copy.version)
            for copy in copies
            if copy.state is CopyState.LOADED
        }
        for copy in copies:
            spec = copy_spec(self._state, copy.name)
            if spec is None or copy.version == spec.version:
                continue
            if (spec.name, spec.version) in loaded:
                order = self._ledger.want_unload(copy.name, now_s, copy.version)
                if is_successful(order):
                    self._send(order.unwrap(), now_s)
            elif copy.state is CopyState.LOADED:
                self._ask_permit(copy.name, now_s)

    def _serve_wants(self, now_s):
        if self._ledger is None or not self._ledger.ready:
            return
        for name in self._wants.current(now_s):
            spec = copy_spec(self._state, name)
            if spec is None or self._view.resident.get(name) == CopyState.LOADED.value:
                self._wants.since_s.pop(name, None)
            elif name not in self._view.resident:
                needs_base = spec.base_model and (
                    self._view.resident.get(spec.base_model) != CopyState.LOADED.value
                )
                self._ask_permit(spec.base_model if needs_base else name, now_s)

    def _ask_permit(self, name, now_s):
        spec = copy_spec(self._state, name)
        if spec is None:
            return
        self._asks.add(name, now_s)
        if name in self._permits:
            return
        if spec.size_bytes > self._ledger.free_bytes:
            self._make_room(spec, now_s)
            return
        permit_id = f"{self._options.me}/{next(self._numbers)}"
        permit = self._permits[name] = _Permit(permit_id, spec, now_s)
        self._send_permit(permit, now_s)

    def _make_room(self, spec, now_s):
        """Retire a copy so that a wanted one fits.

        Without a copy to spare, an old version gives way to the new one of the same
        model: its requests end first, and those that follow wait for the load.
        """
        if self._retiring:
            return
        copy = choose_eviction(
            self._state,
            self._ledger.resident(),
            self._fleet.servers,
            self._options.me.vm,
            self._last_used_s,
            spec.size_bytes - self._ledger.free_bytes,
        )
        if copy is not None:
            self._retire(copy.name, now_s)
        elif self._view.resident.get(spec.name) == CopyState.LOADED.value:
            self._retire(spec.name, now_s)

    def _retire(self, name, now_s):
        if now_s - self._retiring.get(name, float("-inf")) > DECIDE_S:
            self._retiring[name] = now_s
            self.fire(engine_retire(name), "queue")

    def _send_permit(self, permit: _Permit, now_s):
        entries = [
            entry.incarnation
            for entry in self._fleet.entries
            if entry.connected and entry.incarnation != permit.entry
        ]
        if entries:
            permit.entry = random.choice(entries)
        permit.asked_s = now_s
        if permit.entry is not None:
            request = PermitRequest(permit.permit_id, permit.spec.budgets)
            self._tell(permit.entry, request)

    def _repeat_permits(self, now_s):
        for name in self._asks.expire(now_s):
            permit = self._permits.get(name)
            if permit is not None and not permit.granted:
                self._release(permit)
        for permit in list(self._permits.values()):
            if permit.granted:
                continue
            if self._must_load(permit, now_s):
                log_event("load_without_permit", model=permit.spec.name)
                self._load(permit, now_s)
            elif now_s - permit.asked_s > 4 * PERMIT_REPEAT_S:
                # The entry may be frozen; another one holds its own part. The request
                # would otherwise wait on there and use up a load of the store's rate.
                if permit.entry is not None:
                    self._tell(permit.entry, PermitRelease(permit.permit_id))
                permit.permit_id = f"{self._options.me}/{next(self._numbers)}"
                self._send_permit(permit, now_s)

    def _on_grant(self, entry: Incarnation, grant: PermitGrant, now_s):
        permit = next(
            (p for p in self._permits.values() if p.permit_id == grant.permit_id), None
        )
        if permit is None or self._ledger is None:
            if grant.granted:
                # The request was repeated at another entry in the meantime.
                self._tell(entry, PermitRelease(grant.permit_id))
            return
        if not grant.granted:
            del self._permits[permit.spec.name]
            return
        if not permit.granted:
            self._load(permit, now_s)

    def _must_load(self, permit: _Permit, now_s) -> bool:
        """Return whether to load without a permit what no other server has."""
        if self._asks.waited_s(permit.spec.name, now_s) <= PERMIT_WAIT_S:
            return False
        if now_s > self._loss_until_s:
            return False
        name, me = permit.spec.name, self._options.me.vm
        return not is_served_elsewhere(name, self._fleet.servers, me)

    def _load(self, permit: _Permit, now_s):
        permit.granted = True
        spec = permit.spec
        result = self._ledger.want_load(spec.name, spec.version, spec.size_bytes, now_s)
        if is_successful(result):
            self._last_changes[spec.name] = now_s
            self._send(result.unwrap(), now_s)
            self._publish()
            return
        self._release(permit)
        if result.failure().reason is RefusalReason.NO_ROOM:
            self._make_room(spec, now_s)

    def _settle_permits(self):
        """Release the permits of loads that have ended."""
        present = {(c.name, c.version): c.state for c in self._ledger.resident()}
        for permit in list(self._permits.values()):
            key = (permit.spec.name, permit.spec.version)
            if permit.granted and present.get(key) is not CopyState.LOADING:
                self._release(permit)

    def _release(self, permit: _Permit):
        self._permits.pop(permit.spec.name, None)
        if permit.entry is not None:
            self._tell(permit.entry, PermitRelease(permit.permit_id))

    def _tell(self, incarnation, message):
        self.fire(peer_send(incarnation, message), "links")

    def _send(self, output: Order | Fence | ReadState, now_s):
        match output:
            case ReadState():
                if self._state_call is None:
                    self._read(now_s)
            case Fence():
                call = f"engine-fence-{next(self._numbers)}"
                request = make_fence_call(self._spec, call, output)
                self.fire(http_call(request), "http-client")
            case Order():
                self._send_order(output)

    def _send_order(self, order: Order):
        call = f"engine-order-{next(self._numbers)}"
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
        The engine and how to treat it.
    channel : str
        Channel of the task.

    Returns
    -------
    EngineTask
    """
    return EngineTask(options, channel)
