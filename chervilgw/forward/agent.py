"""Agent task: runs beside one engine, reads its reports and alone gives it orders.

Entries ask it for reports and tell it which adapters and models they want. A process
that is restarted takes a new number from the store before it gives an order, so that no
order of a former process of this VM passes for a newer one.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from circuits import BaseComponent, Event, handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import Incarnation, ModelName
from chervilgw.core.messages import (
    EngineReport,
    EngineWatch,
    ModelWanted,
    TurnEnded,
    TurnGiven,
    TurnRefused,
    TurnWanted,
)
from chervilgw.core.refusals import Refusal
from chervilgw.forward.events import fence_wanted
from chervilgw.forward.metrics_task import order_counted, turn_counted
from chervilgw.placement.engine_orders import (
    EngineState,
    Order,
    OrderReply,
    make_engine_orders,
)
from chervilgw.runtime.alarm import alarm_set
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.runtime.events import Headers, HttpCall, http_call
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import Turn, make_turn_queue
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


class EngineCodec(Protocol):
    """Translates reports of an engine and orders to it."""

    report_path: str
    order_path: str

    def decode_report(self, body: bytes) -> EngineState:
        """Return a report; raises `ChervilError` if it is malformed."""
        ...

    def encode_order(self, order: Order, holder: str, fence: int) -> bytes:
        """Return the body of an order."""
        ...

    def order_headers(self, server: ServerId) -> Headers:
        """Return the headers of an order to one incarnation."""
        ...

    def decode_reply(self, status: int) -> OrderReply:
        """Return what the engine answered to an order."""
        ...

    def encode_refusal(self, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, headers and body for a refused caller."""
        ...


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """Identity of the agent, and the address of the engine beside it."""

    me: Incarnation
    engine: str
    service: str


class report_due(Event):  # noqa: N801
    """Read the engine's report again."""


class Agent(BaseComponent):
    """Agent task; see :func:`make_agent_task`."""

    def __init__(self, options: AgentOptions, codec: EngineCodec, channel):
        super().__init__(channel=channel)
        self._options = options
        self._codec = codec
        self._orders = make_engine_orders()
        self._turns = make_turn_queue()
        self._numbers = count(1)
        self._fence: int | None = None
        self._server: ServerId | None = None
        self._server_started_ms = 0
        self._watchers: dict[str, float] = {}
        self._report_call: str | None = None
        self._order_call: str | None = None
        self._order: Order | None = None
        self._reported_s = float("-inf")
        self._passed_on_s = float("-inf")
        self._stopping = False

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
            self._orders.spec = rule.engine
        elif len(engines) == 1:
            self._orders.spec = engines[0]

    # What entries say.

    @handler("datagram_received")
    def _on_datagram(self, message, sender: str):
        now_s = time.monotonic()
        match message:
            case EngineWatch():
                self._on_watch(message, now_s)
            case TurnWanted():
                self._on_turn_wanted(message, now_s)
            case TurnEnded():
                self._turns.end(message.turn, now_s)
                self._give_turns(now_s)
            case ModelWanted() if message.server == self._server:
                log_event("model_wanted", model=message.model, unload=message.unload)
                unload = tuple(map(ModelName, message.unload))
                self._orders.want_model(ModelName(message.model), unload, now_s)
                self._go_on(now_s)
                self._pass_on(list(self._watchers), now_s)

    def _on_watch(self, watch: EngineWatch, now_s: float):
        is_new = watch.address not in self._watchers
        self._watchers[watch.address] = now_s + WATCHED_S
        if watch.started_ms >= self._server_started_ms:
            if watch.server != self._server:
                log_event("engine_known", server=watch.server)
            self._server = ServerId(watch.server)
            self._server_started_ms = watch.started_ms
        if is_new and self._orders.state is not None:
            self._pass_on([watch.address], now_s)

    # Turns.

    def _on_turn_wanted(self, wanted: TurnWanted, now_s: float):
        if self._turns.is_given(wanted.turn):
            self._answer(wanted.address, TurnGiven(wanted.turn, wanted.server))
            return
        if wanted.server != self._server or not self._takes(wanted.model):
            detail = "the engine does not hold the model or is leaving"
            refused = TurnRefused(wanted.turn, wanted.server, 0.0, detail)
            self._answer(wanted.address, refused)
            return
        target = f"{wanted.model}/{wanted.adapter}" if wanted.adapter else wanted.model
        item = QueuedItem(
            wanted.turn,
            wanted.customer,
            target,
            wanted.tokens,
            wanted.urgency,
            now_s + wanted.patience_s,
        )
        refusal = self._turns.ask(Turn(item, wanted.address), now_s)
        if refusal is not None:
            retry_s = refusal.retry_after_s or 0.0
            refused = TurnRefused(wanted.turn, wanted.server, retry_s, refusal.detail)
            self._answer(wanted.address, refused)
            return
        self._want_adapters(now_s)
        self._give_turns(now_s)
        self._go_on(now_s)

    def _takes(self, model: str) -> bool:
        state = self._orders.state
        is_open = self._is_known() and not state.draining and not self._stopping
        return is_open and model in self._orders.offered()

    def _want_adapters(self, now_s: float):
        for item in self._turns.waiting():
            model, _, adapter = item.target.partition("/")
            if adapter:
                self._orders.want_adapter(ModelName(model), adapter, now_s)

    def _can_run(self, item: QueuedItem) -> bool:
        model, _, adapter = item.target.partition("/")
        held = self._orders.offered().get(ModelName(model))
        return held is not None and (not adapter or adapter in held)

    def _give_turns(self, now_s: float):
        if not self._is_known():
            return
        for turn in self._turns.next_turns(now_s, self._can_run):
            self._answer(turn.address, TurnGiven(turn.item.request_id, self._server))

    def _refuse_turns(self, turns: list[Turn], detail: str):
        for turn in turns:
            server = self._server or ""
            refused = TurnRefused(turn.item.request_id, server, 0.0, detail)
            self._answer(turn.address, refused)

    def _answer(self, address: str, message):
        result = "given" if isinstance(message, TurnGiven) else "refused"
        self.fire(turn_counted(result), "metrics")
        self.fire(datagram_send(message, [address]), "datagrams")

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
        late = self._turns.expire(now_s)
        self._refuse_turns(late, "the caller would not wait for its turn")
        self._want_adapters(now_s)
        self._give_turns(now_s)
        self._go_on(now_s)

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
                server=self._server,
                kind=self._order.kind,
                model=self._order.model,
                adapter=self._order.adapter,
                expected_orders=self._order.expected_orders,
                reply=reply,
            )
            self._orders.on_reply(reply)
            counted = order_counted(self._order.kind.value, reply.value)
            self.fire(counted, "metrics")
            self._ask_report()

    @handler("call_failed")
    def _on_failed(self, failed):
        if failed.call == self._report_call:
            self._report_call = None
            if self._orders.state is not None:
                log_event("engine_silent", level="warning", detail=failed.detail)
                self._tell_engine_is_down()
            self._orders.on_unreachable()
            self._refuse_turns(self._turns.clear(), "the engine does not answer")
        elif failed.call == self._order_call:
            self._order_call = None
            log_event(
                "order_unanswered",
                level="warning",
                server=self._server,
                kind=self._order.kind,
                model=self._order.model,
                adapter=self._order.adapter,
                detail=failed.detail,
            )

    def _on_report(self, done, now_s: float):
        if done.status != 200:
            self._orders.on_unreachable()
            return
        try:
            state = self._codec.decode_report(done.body)
        except ChervilError as error:
            log_event("report_malformed", level="warning", detail=str(error))
            return
        if self._orders.on_state(state):
            log_event(
                "engine_changed",
                server=self._server,
                orders=state.orders,
                busy=state.busy,
                draining=state.draining,
                models={name: sorted(each) for name, each in state.adapters.items()},
                near=sorted(state.near),
            )
            self._pass_on(list(self._watchers), now_s)
            if state.draining:
                self._refuse_turns(self._turns.clear(), "the engine is leaving")
            self._give_turns(now_s)
        if state.coming:
            self.fire(alarm_set(now_s + SOON_S, report_due(), self.channel), "alarm")
        self._go_on(now_s)

    def _is_known(self) -> bool:
        """Return whether the engine that reports is the one of the platform's list."""
        state = self._orders.state
        if state is None or self._server is None:
            return False
        return state.started_ms in (0, self._server_started_ms)

    def _go_on(self, now_s: float):
        ready = self._fence is not None and self._order_call is None
        if not ready or self._stopping or not self._is_known():
            return
        order = self._orders.next_order(now_s)
        if order is None:
            return
        self._order = order
        self._order_call = f"order-{next(self._numbers)}"
        body = self._codec.encode_order(order, self._options.me.vm, self._fence)
        headers = self._codec.order_headers(self._server)
        self._call(self._order_call, "POST", self._codec.order_path, headers, body)

    def _pass_on(self, addresses: list[str], now_s: float):
        state = self._orders.state
        if not self._is_known() or not addresses:
            return
        self._passed_on_s = now_s
        offered = self._orders.offered()
        report = EngineReport(
            self._server,
            self._server_started_ms,
            state.orders,
            state.draining,
            state.busy,
            self._orders.loading or "",
            {name: tuple(sorted(each)) for name, each in offered.items()},
            state.waiting,
            state.running,
            state.used_tokens,
            tuple(sorted(state.near)),
        )
        self.fire(datagram_send(report, addresses), "datagrams")

    def _tell_engine_is_down(self):
        if not self._is_known():
            return
        orders = self._orders.state.orders
        report = EngineReport(
            self._server,
            self._server_started_ms,
            orders,
            False,
            False,
            "",
            {},
            0,
            0,
            0,
            answers=False,
        )
        watchers = list(self._watchers)
        if watchers:
            self.fire(datagram_send(report, watchers), "datagrams")

    @handler("drain", channel="*")
    def _on_drain(self):
        self._stopping = True


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
