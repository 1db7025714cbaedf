"""Agent task: runs on the VM of one engine, and is the only sender of orders to it.

It forwards the engine's reports to the entries that subscribe, and loads the adapters
and models that they request. After a restart it gets a new fencing token from the store
before it sends an order, so that the engine refuses late orders of earlier processes of
this VM.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from itertools import count

from circuits import Event, handler

from chervilgw.core.answers import ServerSignals
from chervilgw.core.deployment import ServerId
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import Incarnation, ModelName, ServiceName, SoftwareVersion
from chervilgw.core.messages import (
    EngineRestarted,
    ModelLoadRequest,
    ReportSubscription,
    StreamEnded,
    StreamOrigin,
    StreamOriginQuery,
    TurnReleased,
    TurnRequest,
)
from chervilgw.forward.engine_codec import EngineCodec
from chervilgw.forward.engine_reports import make_engine_report, make_silence_report
from chervilgw.forward.events import fencing_token_requested
from chervilgw.forward.metrics_task import order_counted
from chervilgw.forward.turn_granter import TurnGranter
from chervilgw.membership.registration import is_registration_of_engine
from chervilgw.membership.restart_notices import make_restart_notices
from chervilgw.placement.engine_orders import (
    Order,
)
from chervilgw.routing.back_off import make_back_offs
from chervilgw.routing.warm_up import ColdSource
from chervilgw.runtime.alarm import alarm_set
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.telemetry import log_event

# Reading a report is cheap on the engine's own VM.
REPORT_INTERVAL_S = 0.2
# Used while an adapter is in transit, which takes 5 to 20 ms.
LOADING_REPORT_INTERVAL_S = 0.006
# An unchanged report is forwarded this often, to show that the engine responds.
MAX_FORWARD_INTERVAL_S = 1.0
# Three times the interval at which entries repeat a subscription.
SUBSCRIPTION_TIMEOUT_S = 3.0
# The engine is on the same VM and answers within a few milliseconds.
CALL_TIMEOUT_S = 1.0
# Names the engine in the record of its pauses; the agent has one engine, whose id it
# learns only with the first subscription.
_OWN_ENGINE = ServerId("own engine")


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """Identity of the agent, and the address and service of its engine."""

    incarnation: Incarnation
    engine: str
    service: str


class report_due(Event):  # noqa: N801
    """Read the engine's report again."""


class Agent(TurnGranter):
    """Agent task; see :func:`make_agent_task`."""

    def __init__(self, options: AgentOptions, codec: EngineCodec, channel):
        super().__init__(channel, ServiceName(options.service))
        self._options = options
        self._codec = codec
        self._call_numbers = count(1)
        self._fencing_token: int | None = None
        self._subscribers: dict[str, float] = {}
        self._report_call: str | None = None
        self._order_call: str | None = None
        self._order: Order | None = None
        self._back_offs = make_back_offs()
        # Incarnation of the engine that gave notice in one of its answers.
        self._leaving_started_ms: int | None = None
        self._restart_notices = make_restart_notices()
        self._report_requested_s = float("-inf")
        self._forwarded_s = float("-inf")

    @handler("started", channel="*")
    def _on_started(self, *args):
        self.fire(
            fencing_token_requested(self.channel, self._options.incarnation.vm), "store"
        )

    @handler("fencing_token_assigned")
    def _on_fencing_token_assigned(self, fencing_token: int):
        self._fencing_token = fencing_token
        log_event("fence_taken", fence=fencing_token)

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        rule = deployment.services.get(self._options.service)
        engines = [
            service.engine for service in deployment.services.values() if service.engine
        ]
        if rule is not None and rule.engine is not None:
            self.orders.spec = rule.engine
        elif len(engines) == 1:
            self.orders.spec = engines[0]
        self.cold.set_rules(deployment.services, self._options.service)

    @handler("datagram_received")
    def _on_datagram(self, message, sender: str):
        now_s = time.monotonic()
        match message:
            case ReportSubscription():
                self._on_subscription(message, now_s)
            case TurnRequest():
                self.on_turn_request(message, now_s)
            case TurnReleased():
                self.on_turn_released(message, now_s)
            case StreamOriginQuery():
                self.on_origin_query(message)
            case StreamOrigin():
                self.begun.on_stated(message, now_s)
            case StreamEnded():
                self.on_stream_ended(message, now_s)
            case ModelLoadRequest() if message.server == self.server:
                log_event("model_wanted", model=message.model, unload=message.unload)
                unload = tuple(map(ModelName, message.unload))
                self.orders.request_model(ModelName(message.model), unload, now_s)
                self.send_next_order(now_s)
                self._forward_report(list(self._subscribers), now_s)

    def _on_subscription(self, subscription: ReportSubscription, now_s: float):
        is_new = subscription.address not in self._subscribers
        self._subscribers[subscription.address] = now_s + SUBSCRIPTION_TIMEOUT_S
        self._restart_notices.on_subscription(
            subscription.address, ServerId(subscription.server), subscription.started_ms
        )
        engine_ms = self.orders.state.started_ms if self.orders.state else 0
        if is_registration_of_engine(
            subscription.started_ms, self.server_started_ms, engine_ms
        ):
            if subscription.server != self.server:
                log_event("engine_known", server=subscription.server)
            self.server = ServerId(subscription.server)
            self.server_started_ms = subscription.started_ms
            version = SoftwareVersion(subscription.software_version)
            self.begun.on_registered(subscription.started_ms, version)
            self.refuse_turns_of_former_start()
            self.cold.on_subscription(subscription, now_s)
        if is_new and self.orders.state is not None:
            self._forward_report([subscription.address], now_s)

    def _log_cold_change(self, now_s: float):
        if self.is_registered() and self.cold.changed(now_s):
            cold_s = self.cold.cold_s(now_s)
            event = "engine_cold" if cold_s else "engine_warm"
            log_event(event, server=self.server, cold_s=round(cold_s, 3))
            self._forward_report(list(self._subscribers), now_s)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._log_cold_change(now_s)
        if now_s - self._report_requested_s >= REPORT_INTERVAL_S:
            self._request_report()
        if now_s - self._forwarded_s >= MAX_FORWARD_INTERVAL_S:
            for address, until_s in list(self._subscribers.items()):
                if now_s >= until_s:
                    del self._subscribers[address]
                    self._restart_notices.drop(address)
            self._forward_report(list(self._subscribers), now_s)
        self._notify_restart(now_s)
        late = self.turns.expire(now_s)
        self.refuse_turns(late, "the turn would come too late", True)
        self.request_adapters(now_s)
        self.grant_turns(now_s)
        self.send_next_order(now_s)

    @handler("report_due")
    def _on_report_due(self):
        self._request_report()

    def _request_report(self):
        now_s = time.monotonic()
        if self._report_call is not None or self._is_paused(now_s):
            return
        self._report_requested_s = now_s
        self._report_call = f"report-{next(self._call_numbers)}"
        self._call(self._report_call, "GET", self._codec.report_path)

    def _is_paused(self, now_s: float) -> bool:
        """Return whether the engine has asked this VM to send nothing for now."""
        started_ms = self.server_started_ms
        return self._back_offs.remaining_s(_OWN_ENGINE, started_ms, now_s) > 0

    def _on_signals(self, signals: ServerSignals, now_s: float):
        """Apply what the engine says of itself beside a report or an order's answer."""
        if signals.retry_after_s is not None:
            pause_s = self._back_offs.on_refused(
                _OWN_ENGINE, self.server_started_ms, signals.retry_after_s, now_s
            )
            log_event("server_pauses", server=self.server, pause_s=round(pause_s, 3))

    def _call(self, call: str, method: str, path: str, headers=(), body=b""):
        spec = HttpCall(
            call,
            self.channel,
            self._options.engine,
            method,
            path,
            headers,
            body,
            timeout_s=CALL_TIMEOUT_S,
            idle_timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CALL_TIMEOUT_S,
        )
        self.fire(http_call(spec), "server-client")

    @handler("call_done")
    def _on_done(self, done):
        now_s = time.monotonic()
        signals = self._codec.decode_signals(done.status, done.headers)
        self._on_signals(signals, now_s)
        if done.call == self._report_call:
            self._report_call = None
            self._on_report(done, signals, now_s)
        elif done.call == self._order_call:
            self._order_call = None
            reply = self._codec.decode_reply(done.status)
            log_event(
                "order_answered",
                server=self.server,
                kind=self._order.kind,
                model=self._order.model,
                adapter=self._order.adapter,
                expected_orders=self._order.expected_orders,
                reply=reply,
            )
            self.orders.on_reply(reply)
            if signals.leaving and self.orders.state is not None:
                self._leaving_started_ms = self.orders.state.started_ms
            counted = order_counted(self._order.kind.value, reply.value)
            self.fire(counted, "metrics")
            self._request_report()

    @handler("call_failed")
    def _on_failed(self, failed):
        if failed.call == self._report_call:
            self._report_call = None
            if self.orders.state is not None:
                log_event("engine_silent", level="warning", detail=failed.detail)
                self._report_engine_down()
            self.orders.on_unreachable()
            self.refuse_turns(self.turns.clear(), "the engine does not answer", False)
        elif failed.call == self._order_call:
            self._order_call = None
            log_event(
                "order_unanswered",
                level="warning",
                server=self.server,
                kind=self._order.kind,
                model=self._order.model,
                adapter=self._order.adapter,
                detail=failed.detail,
            )

    def _on_report(self, done, signals: ServerSignals, now_s: float):
        if done.status != 200:
            self.orders.on_unreachable()
            return
        try:
            state = self._codec.decode_report(done.body)
        except ChervilError as error:
            log_event("report_malformed", level="warning", detail=str(error))
            return
        if signals.leaving or state.started_ms == self._leaving_started_ms:
            self._leaving_started_ms = state.started_ms
            state = replace(state, draining=True)
        self.on_engine_load(state.running)
        started_ms = state.started_ms or self.server_started_ms
        for cold_s in sorted({state.cold_s, signals.cold_s} - {None}):
            self.cold.on_stated(started_ms, ColdSource.REPORT, cold_s, now_s)
        is_changed = self.orders.on_state(state)
        self.refuse_turns_of_former_start()
        if is_changed:
            log_event(
                "engine_changed",
                server=self.server,
                orders=state.orders,
                busy=state.busy,
                draining=state.draining,
                models={
                    name: sorted(adapters) for name, adapters in state.adapters.items()
                },
                near=sorted(state.local_models),
            )
            self._forward_report(list(self._subscribers), now_s)
            if state.draining:
                self.refuse_turns(self.turns.clear(), "the engine is draining", False)
            self.grant_turns(now_s)
        if state.adapters_in_transit:
            self.fire(
                alarm_set(
                    now_s + LOADING_REPORT_INTERVAL_S, report_due(), self.channel
                ),
                "alarm",
            )
        self.send_next_order(now_s)

    def send_next_order(self, now_s: float):
        """Send the next order, unless one is in progress or the process stops."""
        ready = self._fencing_token is not None and self._order_call is None
        if not ready or self.stopping or not self.is_registered():
            return
        if self._is_paused(now_s):
            return
        order = self.orders.next_order(now_s)
        if order is None:
            return
        self._order = order
        self._order_call = f"order-{next(self._call_numbers)}"
        body = self._codec.encode_order(
            order, self._options.incarnation.vm, self._fencing_token
        )
        headers = self._codec.order_headers(self.server)
        self._call(self._order_call, "POST", self._codec.order_path, headers, body)

    def _forward_report(self, addresses: list[str], now_s: float):
        if not self.is_registered() or not addresses:
            return
        self._forwarded_s = now_s
        report = make_engine_report(
            self.server,
            self.server_started_ms,
            self.orders,
            self.turns,
            self.cold.stated_s(now_s),
        )
        self.fire(datagram_send(report, addresses), "datagrams")

    def _notify_restart(self, now_s: float):
        """Tell the entries of an engine that the list does not name yet."""
        state = self.orders.state
        if state is None:
            return
        due = self._restart_notices.take_due(state.started_ms, now_s)
        for address, server in due.items():
            notice = EngineRestarted(server, state.started_ms)
            self.fire(datagram_send(notice, [address]), "datagrams")
        if due:
            log_event("restart_notified", started_ms=state.started_ms, entries=len(due))

    def _report_engine_down(self):
        if not self.is_registered():
            return
        report = make_silence_report(
            self.server, self.server_started_ms, self.orders.state.orders
        )
        watchers = list(self._subscribers)
        if watchers:
            self.fire(datagram_send(report, watchers), "datagrams")

    @handler("drain", channel="*")
    def _on_drain(self):
        self.stopping = True


def make_agent_task(options: AgentOptions, codec: EngineCodec, channel="agent"):
    """Return the agent task of an engine.

    Parameters
    ----------
    options : AgentOptions
        Identity and the engine's address.
    codec : EngineCodec
        Encoding of reports and orders.
    channel : str
        Channel of the task.
    """
    return Agent(options, codec, channel)
