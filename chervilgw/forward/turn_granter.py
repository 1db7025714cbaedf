"""Base of the agent task: grants turns at its engine."""

from __future__ import annotations

import time

from circuits import BaseComponent, Event, handler

from chervilgw.core.deployment import AttemptId, ServerId
from chervilgw.core.ids import ModelName, RequestId, ServiceName
from chervilgw.core.messages import (
    StreamEnded,
    StreamOriginQuery,
    TurnGranted,
    TurnRefused,
    TurnReleased,
    TurnRequest,
)
from chervilgw.forward.metrics_task import (
    cold_requests_counted,
    turn_counted,
    turn_delay_counted,
)
from chervilgw.forward.request_log import log_turn_answered, log_turn_delayed
from chervilgw.placement.engine_orders import make_engine_orders
from chervilgw.routing.begun_streams import make_begun_streams
from chervilgw.runtime.alarm import alarm_set
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.scheduling.cold_engine import make_cold_engine
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.stream_budget import DelayReason, StreamNeeds
from chervilgw.scheduling.turns import DelayedTurn, GrantedTurn, Turn, make_turn_queue

# From the end of a request's wait to the refusal at its caller: a tick of 0.1 s and the
# way through the entry. A caller that has given up by then does not retry.
REFUSAL_DELAY_S = 0.15
# Half a decode step of an engine: turns that are granted sooner are read no sooner.
MIN_DELAY_S = 0.005
NO_SERVICE = ServiceName("")


class delay_over(Event):  # noqa: N801
    """A request that waited for running streams may be granted its turn."""


class turn_due(Event):  # noqa: N801
    """A cold engine may get its next request."""


class TurnGranter(BaseComponent):
    """Task that owns the turns at one engine and the engine's state.

    Subclasses define ``send_next_order``, which sends the next order to the engine.
    """

    def __init__(self, channel, service: ServiceName = NO_SERVICE):
        super().__init__(channel=channel)
        self.begun = make_begun_streams(service)
        self.orders = make_engine_orders()
        self.turns = make_turn_queue()
        # Start of the engine at which the requests of ``turns`` wait or were granted.
        self._turns_started_ms = 0
        self.server: ServerId | None = None
        self.server_started_ms = 0
        self.stopping = False
        self._logged_delay: tuple[RequestId, DelayReason] | None = None
        self._delay_over_s = float("-inf")
        now_s = time.monotonic()
        self.cold = make_cold_engine(now_s, time.time() - now_s)
        self._turn_due_s = float("-inf")

    def is_registered(self) -> bool:
        """Return whether the engine that reports is the registered incarnation."""
        state = self.orders.state
        if state is None or self.server is None:
            return False
        return state.started_ms in (0, self.server_started_ms)

    def on_turn_request(self, request: TurnRequest, now_s: float):
        """Queue a request, or refuse it at once if its turn would come too late."""
        # A turn that was granted at a former start is not granted again either.
        if request.started_ms not in (0, self._engine_started_ms()):
            detail = "the engine was started anew and may run another software version"
            self._refuse_elsewhere(request, detail)
            return
        if self.turns.is_granted(request.turn):
            waited_s = self.cold.waited_s(request.turn)
            granted = TurnGranted(request.turn, request.server, waited_s)
            self._send_answer(request.address, granted)
            return
        if request.server != self.server or not self._accepts_model(request.model):
            detail = "the engine does not hold the model or is draining"
            self._refuse_elsewhere(request, detail)
            return
        # A pass over all waiting requests for each repeat would take time that grows
        # with their square; new requests, freed turns and ticks begin one anyway.
        if self.turns.is_waiting(request.turn):
            return
        if self._refuses_while_cold(request, now_s):
            return
        model = ModelName(request.model)
        first_event_s = self.turns.first_event_s(request.tokens, model)
        target = (
            f"{request.model}/{request.adapter}" if request.adapter else request.model
        )
        item = QueuedItem(
            request.turn,
            request.customer,
            target,
            request.tokens,
            request.urgency,
            now_s + request.max_wait_s - first_event_s - REFUSAL_DELAY_S,
            now_s + request.target_remaining_s - first_event_s,
            _stream_needs(request, now_s),
        )
        refusal = self.turns.request(Turn(item, request.address), now_s)
        if refusal is not None:
            retry_s = refusal.retry_after_s or 0.0
            refused = TurnRefused(request.turn, request.server, retry_s, refusal.detail)
            self._refuse(request.address, refused, request.tokens)
            return
        self.request_adapters(now_s)
        self.grant_turns(now_s)
        self.send_next_order(now_s)

    def _engine_started_ms(self) -> int:
        """Return the start of the engine that it reports, else the registered one."""
        state = self.orders.state
        return (state.started_ms if state else 0) or self.server_started_ms

    def _refuse_elsewhere(self, request: TurnRequest, detail: str):
        """Refuse a request that another engine may serve at once."""
        refused = TurnRefused(request.turn, request.server, 0.0, detail, False)
        self._refuse(request.address, refused, request.tokens)

    def refuse_turns_of_former_start(self):
        """Refuse the waiting requests if the engine has been started anew."""
        former_ms, self._turns_started_ms = (
            self._turns_started_ms,
            self._engine_started_ms(),
        )
        if former_ms != self._turns_started_ms:
            self.refuse_turns(self.turns.clear(), "the engine was started anew", False)

    def _refuses_while_cold(self, request: TurnRequest, now_s: float) -> bool:
        """Refuse a request whose turn would come too late at the cold rate."""
        if not self.cold.cold_s(now_s):
            return False
        waiting = self.turns.waiting()
        wait_s = self.cold.queue_wait_s(len(waiting), now_s)
        first_event_s = self.turns.first_event_s(
            request.tokens, ModelName(request.model)
        )
        limit_s = request.max_wait_s - first_event_s
        if wait_s <= limit_s - REFUSAL_DELAY_S:
            return False
        detail = f"the engine is cold, the next free turn comes in {wait_s:.2f} s"
        refused = TurnRefused(request.turn, request.server, wait_s, detail)
        self._refuse(request.address, refused, request.tokens)
        self.fire(cold_requests_counted("refused", 1), "metrics")
        return True

    def _accepts_model(self, model: str) -> bool:
        state = self.orders.state
        is_open = self.is_registered() and not state.draining and not self.stopping
        return is_open and model in self.orders.available_models()

    def request_adapters(self, now_s: float):
        """Request the adapters of the waiting requests."""
        for item in self.turns.waiting():
            model, _, adapter = item.target.partition("/")
            if adapter:
                self.orders.request_adapter(ModelName(model), adapter, now_s)

    def _can_run(self, item: QueuedItem) -> bool:
        model, _, adapter = item.target.partition("/")
        held = self.orders.available_models().get(ModelName(model))
        return held is not None and (not adapter or adapter in held)

    def grant_turns(self, now_s: float):
        """Grant the turns of requests that may be sent now."""
        if not self.is_registered():
            return
        if self.cold.cold_s(now_s):
            self._grant_cold_turn(now_s)
            return
        for granted in self.turns.grant_turns(now_s, self._can_run):
            self._grant(granted, now_s)
        if self.turns.delayed is not None:
            self._on_delayed(self.turns.delayed, now_s)

    def _on_delayed(self, delayed: DelayedTurn, now_s: float):
        """Grant turns again when the delay is over, before the next tick."""
        item, delay = delayed.item, delayed.delay
        if self._logged_delay != (item.request_id, delay.reason):
            self._logged_delay = (item.request_id, delay.reason)
            remaining_s = round(delay.until_s - now_s, 4)
            log_turn_delayed(item, delay.reason, remaining_s, self.turns.budget.running)
            self.fire(turn_delay_counted(delay.reason.value), "metrics")
        due_s = max(delay.until_s, now_s + MIN_DELAY_S)
        if not now_s < self._delay_over_s <= due_s:
            self._delay_over_s = due_s
            self.fire(alarm_set(due_s, delay_over(), self.channel), "alarm")

    @handler("delay_over")
    def _on_delay_over(self):
        self.grant_turns(time.monotonic())

    def on_turn_released(self, released: TurnReleased, now_s: float):
        """Record that the prompt was read or withdrawn, and grant the next turns."""
        self.turns.release(released.turn, now_s, released.was_read)
        if released.begun_by:
            attempt = AttemptId(released.begun_by)
            self.begun.on_begun(released.turn, attempt, now_s)
        elif not released.was_read:
            self.begun.on_ended(released.turn)
        self.grant_turns(now_s)

    def on_origin_query(self, query: StreamOriginQuery):
        """Answer which version began a stream, whatever the engine's state."""
        origin = self.begun.answer(query)
        if origin is not None:
            self.fire(datagram_send(origin, [query.address]), "datagrams")

    def on_stream_ended(self, ended: StreamEnded, now_s: float):
        """Record the end of a stream, and grant the turns that waited for it."""
        self.begun.on_ended(ended.turn)
        self.turns.budget.on_ended(
            ended.turn, ended.output_tokens, ended.took_s, ended.whole
        )
        self.grant_turns(now_s)

    def on_engine_load(self, running: int):
        """Record the requests that the engine reports as running."""
        budget, spec = self.turns.budget, self.orders.spec
        if spec is not None:
            # An engine whose configuration states no slots has one there.
            budget.slots = spec.slots if spec.slots > 1 else 0
            budget.tokens_per_event = spec.tokens_per_event
        budget.on_report(running)

    def _grant_cold_turn(self, now_s: float):
        max_turns = 0 if self.cold.turn_wait_s(now_s) > 0 else 1
        for granted in self.turns.grant_turns(now_s, self._can_run, max_turns):
            self._grant(granted, now_s)
            self.fire(cold_requests_counted("turn", 1), "metrics")
        if self.turns.waiting() and self._turn_due_s <= now_s:
            self._turn_due_s = now_s + self.cold.turn_wait_s(now_s)
            if self._turn_due_s > now_s:
                due = alarm_set(self._turn_due_s, turn_due(), self.channel)
                self.fire(due, "alarm")

    @handler("turn_due")
    def _on_turn_due(self):
        self.grant_turns(time.monotonic())

    def _grant(self, granted: GrantedTurn, now_s: float):
        item = granted.turn.item
        log_turn_answered(
            "given",
            item.request_id,
            item.tokens,
            waited_s=round(granted.waited_s, 4),
            passed_by=granted.passed_by,
        )
        self.fire(turn_counted("given", item.tokens, granted.waited_s), "metrics")
        self.cold.on_granted(item.request_id, granted.waited_s, now_s)
        self.begun.on_granted(item.request_id)
        waited_s = self.cold.waited_s(item.request_id)
        answer = TurnGranted(item.request_id, self.server, waited_s)
        self._send_answer(granted.turn.address, answer)

    def refuse_turns(self, turns: list[Turn], detail: str, is_busy: bool):
        """Refuse requests that were removed from the queue."""
        for turn in turns:
            server = self.server or ""
            request_id = turn.item.request_id
            refused = TurnRefused(request_id, server, 0.0, detail, is_busy)
            self._refuse(turn.address, refused, turn.item.tokens)

    def _refuse(self, address: str, refused: TurnRefused, unread_tokens: int):
        log_turn_answered("refused", refused.turn, unread_tokens, detail=refused.detail)
        self.fire(turn_counted("refused", unread_tokens, None), "metrics")
        self._send_answer(address, refused)

    def _send_answer(self, address: str, answer: TurnGranted | TurnRefused):
        self.fire(datagram_send(answer, [address]), "datagrams")


def _stream_needs(request: TurnRequest, now_s: float) -> StreamNeeds | None:
    """Return what the stream of a request needs, or None if it states neither need."""
    if not request.deadline_remaining_s and not request.max_pause_s:
        return None
    remaining_s = request.deadline_remaining_s
    return StreamNeeds(
        request.output_tokens,
        now_s + remaining_s if remaining_s else 0.0,
        request.max_pause_s,
        request.other_tokens_per_s,
    )
