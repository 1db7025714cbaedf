"""Base of the agent task: gives turns at the engine beside it."""

from __future__ import annotations

from circuits import BaseComponent

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import ModelName
from chervilgw.core.messages import TurnGranted, TurnRefused, TurnRequest
from chervilgw.forward.journal import log_turn_answered
from chervilgw.forward.metrics_task import turn_counted
from chervilgw.placement.engine_orders import make_engine_orders
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import GrantedTurn, Turn, first_event_s, make_turn_queue

REFUSAL_S = 0.15
"""From the end of a request's patience to the refusal at its caller: a tick of 0.1 s
and the way through the entry. A caller that has left by then does not come back."""


class TurnGiver(BaseComponent):
    """Task that owns the turns at one engine and what is known of the engine.

    The agent adds :meth:`go_on`, which gives the next order.
    """

    def __init__(self, channel):
        super().__init__(channel=channel)
        self.orders = make_engine_orders()
        self.turns = make_turn_queue()
        self.server: ServerId | None = None
        self.server_started_ms = 0
        self.stopping = False

    def is_known(self) -> bool:
        """Return whether the engine that reports is the one of the platform's list."""
        state = self.orders.state
        if state is None or self.server is None:
            return False
        return state.started_ms in (0, self.server_started_ms)

    def on_turn_wanted(self, wanted: TurnRequest, now_s: float):
        """Queue a request, or refuse it at once if it would not be in time."""
        if self.turns.is_granted(wanted.turn):
            self._tell(wanted.address, TurnGranted(wanted.turn, wanted.server))
            return
        if wanted.server != self.server or not self._takes(wanted.model):
            detail = "the engine does not hold the model or is leaving"
            refused = TurnRefused(wanted.turn, wanted.server, 0.0, detail, False)
            self._refuse(wanted.address, refused, wanted.tokens)
            return
        target = f"{wanted.model}/{wanted.adapter}" if wanted.adapter else wanted.model
        item = QueuedItem(
            wanted.turn,
            wanted.customer,
            target,
            wanted.tokens,
            wanted.urgency,
            now_s + wanted.max_wait_s - first_event_s(wanted.tokens) - REFUSAL_S,
            now_s + wanted.target_remaining_s - first_event_s(wanted.tokens),
        )
        refusal = self.turns.request(Turn(item, wanted.address), now_s)
        if refusal is not None:
            retry_s = refusal.retry_after_s or 0.0
            refused = TurnRefused(wanted.turn, wanted.server, retry_s, refusal.detail)
            self._refuse(wanted.address, refused, wanted.tokens)
            return
        self.want_adapters(now_s)
        self.give_turns(now_s)
        self.go_on(now_s)

    def _takes(self, model: str) -> bool:
        state = self.orders.state
        is_open = self.is_known() and not state.draining and not self.stopping
        return is_open and model in self.orders.available_models()

    def want_adapters(self, now_s: float):
        """Ask for the adapters of the requests that wait."""
        for item in self.turns.waiting():
            model, _, adapter = item.target.partition("/")
            if adapter:
                self.orders.request_adapter(ModelName(model), adapter, now_s)

    def _can_run(self, item: QueuedItem) -> bool:
        model, _, adapter = item.target.partition("/")
        held = self.orders.available_models().get(ModelName(model))
        return held is not None and (not adapter or adapter in held)

    def give_turns(self, now_s: float):
        """Tell the entries whose requests may be sent now."""
        if not self.is_known():
            return
        for given in self.turns.grant_turns(now_s, self._can_run):
            self._give(given)

    def _give(self, given: GrantedTurn):
        item = given.turn.item
        log_turn_answered(
            "given",
            item.request_id,
            item.tokens,
            waited_s=round(given.waited_s, 4),
            passed_by=given.passed_by,
        )
        self.fire(turn_counted("given", item.tokens, given.waited_s), "metrics")
        self._tell(given.turn.address, TurnGranted(item.request_id, self.server))

    def refuse_turns(self, turns: list[Turn], detail: str, is_busy: bool):
        """Tell the entries of requests that were taken out of the queue."""
        for turn in turns:
            server = self.server or ""
            request_id = turn.item.request_id
            refused = TurnRefused(request_id, server, 0.0, detail, is_busy)
            self._refuse(turn.address, refused, turn.item.tokens)

    def _refuse(self, address: str, refused: TurnRefused, unread_tokens: int):
        log_turn_answered("refused", refused.turn, unread_tokens, detail=refused.detail)
        self.fire(turn_counted("refused", unread_tokens, None), "metrics")
        self._tell(address, refused)

    def _tell(self, address: str, answer: TurnGranted | TurnRefused):
        self.fire(datagram_send(answer, [address]), "datagrams")
