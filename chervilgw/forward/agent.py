"""Agent task: runs beside one engine, reads its reports and alone gives it orders.

Entries ask it for reports and tell it which adapters and models they want. A process
that is restarted takes a new number from the store before it gives an order, so that no
order of a former process of this VM passes for a newer one.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from itertools import count

from circuits import Event, handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import Incarnation, ModelName
from chervilgw.core.messages import (
    EngineReport,
    ModelLoadRequest,
    ReportSubscription,
    TurnReleased,
    TurnRequest,
)
from chervilgw.forward.engine_codec import EngineCodec
from chervilgw.forward.events import fence_wanted
from chervilgw.forward.metrics_task import order_counted
from chervilgw.forward.turn_giver import TurnGiver
from chervilgw.placement.engine_orders import (
    Order,
)
from chervilgw.runtime.alarm import alarm_set
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.telemetry import log_event

REPORT_EVERY_S = 0.2
"""The engine's reports are free on its own VM; a change is passed on at once."""
SOON_S = 0.006
"""Next report while an adapter is on its way, which takes 5 to 20 ms."""
PASS_ON_S = 1.0
"""Without a change, a report is passed on this often to show that the engine lives."""
WATCHED_S = 3.0
"""A watch of an entry holds for three of its repeats."""
CALL_TIMEOUT_S = 1.0
"""The engine is on the same VM and answers within a few milliseconds."""


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """Identity of the agent, and the address of the engine beside it."""

    me: Incarnation
    engine: str
    service: str


class report_due(Event):  # noqa: N801
    """Read the engine's report again."""


class Agent(TurnGiver):
    """Agent task; see :func:`make_agent_task`."""

    def __init__(self, options: AgentOptions, codec: EngineCodec, channel):
        super().__init__(channel)
        self._options = options
        self._codec = codec
        self._numbers = count(1)
        self._fence: int | None = None
        self._watchers: dict[str, float] = {}
        self._report_call: str | None = None
        self._order_call: str | None = None
        self._order: Order | None = None
        self._reported_s = float("-inf")
        self._passed_on_s = float("-inf")

    @handler("started", channel="*")
    def _on_started(self, *args):
        self.fire(fence_wanted(self.channel, self._options.me.vm), "store")

    @handler("fence_given")
    def _on_fence(self, fence: int):
        self._fence = fence
        log_event("fence_taken", fence=fence)

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        rule = deployment.services.get(self._options.service)
        engines = [each.engine for each in deployment.services.values() if each.engine]
        if rule is not None and rule.engine is not None:
            self.orders.spec = rule.engine
        elif len(engines) == 1:
            self.orders.spec = engines[0]

    # What entries say.

    @handler("datagram_received")
    def _on_datagram(self, message, sender: str):
        now_s = time.monotonic()
        match message:
            case ReportSubscription():
                self._on_watch(message, now_s)
            case TurnRequest():
                self.on_turn_wanted(message, now_s)
            case TurnReleased():
                self.turns.release(message.turn, now_s)
                self.give_turns(now_s)
            case ModelLoadRequest() if message.server == self.server:
                log_event("model_wanted", model=message.model, unload=message.unload)
                unload = tuple(map(ModelName, message.unload))
                self.orders.request_model(ModelName(message.model), unload, now_s)
                self.go_on(now_s)
                self._pass_on(list(self._watchers), now_s)

    def _on_watch(self, watch: ReportSubscription, now_s: float):
        is_new = watch.address not in self._watchers
        self._watchers[watch.address] = now_s + WATCHED_S
        if watch.started_ms >= self.server_started_ms:
            if watch.server != self.server:
                log_event("engine_known", server=watch.server)
            self.server = ServerId(watch.server)
            self.server_started_ms = watch.started_ms
        if is_new and self.orders.state is not None:
            self._pass_on([watch.address], now_s)

    # The engine.

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if now_s - self._reported_s >= REPORT_EVERY_S:
            self._ask_report()
        if now_s - self._passed_on_s >= PASS_ON_S:
            for address, until_s in list(self._watchers.items()):
                if now_s >= until_s:
                    del self._watchers[address]
            self._pass_on(list(self._watchers), now_s)
        late = self.turns.expire(now_s)
        self.refuse_turns(late, "the caller would not wait for its turn", True)
        self.want_adapters(now_s)
        self.give_turns(now_s)
        self.go_on(now_s)

    @handler("report_due")
    def _on_report_due(self):
        self._ask_report()

    def _ask_report(self):
        if self._report_call is not None:
            return
        self._reported_s = time.monotonic()
        self._report_call = f"report-{next(self._numbers)}"
        self._call(self._report_call, "GET", self._codec.report_path)

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
        if done.call == self._report_call:
            self._report_call = None
            self._on_report(done, now_s)
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
            counted = order_counted(self._order.kind.value, reply.value)
            self.fire(counted, "metrics")
            self._ask_report()

    @handler("call_failed")
    def _on_failed(self, failed):
        if failed.call == self._report_call:
            self._report_call = None
            if self.orders.state is not None:
                log_event("engine_silent", level="warning", detail=failed.detail)
                self._tell_engine_is_down()
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

    def _on_report(self, done, now_s: float):
        if done.status != 200:
            self.orders.on_unreachable()
            return
        try:
            state = self._codec.decode_report(done.body)
        except ChervilError as error:
            log_event("report_malformed", level="warning", detail=str(error))
            return
        if self.orders.on_state(state):
            log_event(
                "engine_changed",
                server=self.server,
                orders=state.orders,
                busy=state.busy,
                draining=state.draining,
                models={name: sorted(each) for name, each in state.adapters.items()},
                near=sorted(state.local_models),
            )
            self._pass_on(list(self._watchers), now_s)
            if state.draining:
                self.refuse_turns(self.turns.clear(), "the engine is leaving", False)
            self.give_turns(now_s)
        if state.adapters_in_transit:
            self.fire(alarm_set(now_s + SOON_S, report_due(), self.channel), "alarm")
        self.go_on(now_s)

    def go_on(self, now_s: float):
        """Give the next order, if there is one and the engine may get it."""
        ready = self._fence is not None and self._order_call is None
        if not ready or self.stopping or not self.is_known():
            return
        order = self.orders.next_order(now_s)
        if order is None:
            return
        self._order = order
        self._order_call = f"order-{next(self._numbers)}"
        body = self._codec.encode_order(order, self._options.me.vm, self._fence)
        headers = self._codec.order_headers(self.server)
        self._call(self._order_call, "POST", self._codec.order_path, headers, body)

    def _pass_on(self, addresses: list[str], now_s: float):
        state = self.orders.state
        if not self.is_known() or not addresses:
            return
        self._passed_on_s = now_s
        offered = self.orders.available_models()
        report = EngineReport(
            self.server,
            self.server_started_ms,
            state.orders,
            state.draining,
            state.busy,
            self.orders.expected_model() or "",
            {name: tuple(sorted(each)) for name, each in offered.items()},
            state.waiting,
            state.running,
            state.used_tokens,
            tuple(sorted(state.local_models)),
        )
        self.fire(datagram_send(report, addresses), "datagrams")

    def _tell_engine_is_down(self):
        if not self.is_known():
            return
        orders = self.orders.state.orders
        report = EngineReport(
            self.server,
            self.server_started_ms,
            orders,
            False,
            False,
            "",
            {},
            0,
            0,
            0,
            responding=False,
        )
        watchers = list(self._watchers)
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
