"""Decisions on one attempt: which server, whether to wait, what to send."""

from __future__ import annotations

from dataclasses import dataclass

from returns.pipeline import is_successful

from chervilgw.core.deployment import Deployment, ModelSpec, ServerId
from chervilgw.core.ids import CustomerId, ServiceName, ZoneId
from chervilgw.core.messages import TurnRequest
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.exchange import Exchange, first_token_limit_s, urgency_of
from chervilgw.forward.messages import ServerRequest
from chervilgw.membership.fleet_view import PLANNING_DELAY_S, FleetView, LoadEstimate
from chervilgw.routing.dispatch import (
    PREFILL_TOKENS_PER_S,
    DispatchRequest,
    ServerChoice,
    choose_server,
    refuse_without_turn,
)
from chervilgw.routing.return_times import RetryTimes, make_retry_times
from chervilgw.runtime.events import HttpCall

MODEL_WAIT_SHARE = 0.85
"""Part of a caller's patience that may go to the load of its model; the rest is for the
queue and the prompt."""
PLAN_WAIT_S = 1.0
"""A load that was not begun by then was not planned: other models are needed more."""
LOADED_MARGIN_S = 0.3
"""From the end of a load to the report of it, and a part for callers' clocks."""
CONNECT_TIMEOUT_S = 0.4
"""A connection takes 1 to 6 ms; a lost packet costs a second, so another server is
quicker."""
CONNECTION_SHARE = 0.9
"""Part of a server's connections that the entries use together; the rest is for those
that are still closing."""
ANSWER_MARGIN_S = 1.0
"""An attempt outlives its deadline by this at the HTTP client; the gateway ends it."""


@dataclass(frozen=True, slots=True)
class SendNow:
    """Send the request to this server."""

    server: ServerId
    unread: int


@dataclass(frozen=True, slots=True)
class AskTurn:
    """Ask the agent beside this engine for the turn of the request."""

    server: ServerId
    unread: int


@dataclass(frozen=True, slots=True)
class HoldForModel:
    """Wait: the model will be loaded while the caller still waits."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell the caller."""

    refusal: Refusal


Decision = SendNow | AskTurn | HoldForModel | GiveUp


@dataclass(slots=True)
class Dispatcher:
    """Decisions of one entry; see :func:`make_dispatcher`."""

    fleet: FleetView
    codec: FrontCodec
    zone: ZoneId
    return_times: RetryTimes

    def decide(
        self, exchange: Exchange, deployment: Deployment, entries: int, now_s: float
    ) -> Decision:
        """Return what to do with a request that is at no server.

        Parameters
        ----------
        exchange : Exchange
        deployment : Deployment
            Configuration in force.
        entries : int
            Entries that share the servers' connections.
        now_s : float
            Monotonic time in seconds.
        """
        admitted = exchange.admitted
        opaque, service = admitted.opaque, admitted.service
        own_limit = _own_limit(deployment, service, entries)
        usable = self.fleet.candidates(
            service, opaque, exchange.tried, own_limit, now_s
        )
        candidates = [s for s in usable if s.server.server not in exchange.refused_by]
        request = DispatchRequest(
            self.zone,
            opaque.model,
            opaque.prompt_tokens or 0,
            first_token_limit_s(admitted),
        )
        chosen = choose_server(request, candidates)
        if is_successful(chosen):
            return self._place(exchange, chosen.unwrap(), now_s)
        refusal = chosen.failure()
        if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
            busy = [each for each in usable if each.server.server in exchange.busy_at]
            if self._is_loaded_in_time(exchange, deployment, bool(busy), now_s):
                return HoldForModel()
            if busy:
                refusal = refuse_without_turn(request, busy)
            else:
                refusal = self._with_load(exchange, deployment, refusal, now_s)
        return self._give_up(exchange, refusal, entries, now_s)

    def _place(self, exchange, choice: ServerChoice, now_s: float) -> Decision:
        server = self.fleet.directory.find(choice.server)
        has_agent = self.fleet.fresh_report(server, now_s) is not None
        if exchange.admitted.opaque.model is not None and has_agent:
            return AskTurn(choice.server, choice.unread_tokens)
        return SendNow(choice.server, choice.unread_tokens)

    def _is_loaded_in_time(
        self, exchange, deployment, is_loaded: bool, now_s: float
    ) -> bool:
        """Return whether to wait for a load of the request's model.

        A model that an engine holds is not planned anew for one request; only a load
        that is under way helps it.
        """
        outlook = self._load_outlook(exchange, deployment, now_s)
        if outlook is None or (is_loaded and not outlook.is_loading):
            return False
        return _is_in_time(exchange, outlook, now_s)

    def _load_outlook(self, exchange, deployment, now_s: float) -> LoadEstimate | None:
        spec = _spec_of(deployment, exchange)
        if spec is None or not exchange.may_send_again():
            return None
        return self.fleet.estimate_load(exchange.admitted.service, spec, now_s)

    def _with_load(self, exchange, deployment, refusal, now_s: float) -> Refusal:
        """Return a refusal that says when the model will be loaded, if it will be."""
        outlook = self._load_outlook(exchange, deployment, now_s)
        if outlook is None:
            return refusal
        # Weights at hand would be loading by now: expect the weight store.
        ready_in_s = _spec_of(deployment, exchange).load_s + PLANNING_DELAY_S
        if outlook.is_loading:
            ready_in_s = outlook.ready_in_s
        return _with_retry(refusal, ready_in_s + LOADED_MARGIN_S)

    def _give_up(self, exchange, refusal, entries: int, now_s: float) -> Decision:
        refusal = self._with_place(exchange, refusal, entries, now_s)
        if exchange.retry_after_s is not None:
            refusal = _with_retry(refusal, exchange.retry_after_s)
        run = exchange.run_state
        if run is not RunState.NOT_RUN:
            refusal = Refusal(refusal.reason, run, refusal.detail)
        return GiveUp(refusal)

    def _with_place(
        self, exchange, refusal: Refusal, entries: int, now_s: float
    ) -> Refusal:
        """Return a refusal that spreads the callers of one model when they return."""
        opaque = exchange.admitted.opaque
        if opaque.model is None or refusal.retry_after_s is None:
            return refusal
        gap_s = entries * (opaque.prompt_tokens or 0) / PREFILL_TOKENS_PER_S
        left_s = exchange.give_up_s - now_s
        retry_s = self.return_times.retry_after_s(
            opaque.model, refusal.retry_after_s, gap_s, left_s, now_s
        )
        return _with_retry(refusal, retry_s)

    def turn_wanted(self, exchange: Exchange, now_s: float) -> TurnRequest:
        """Return the question to the agent of the engine that was chosen."""
        admitted = exchange.admitted
        customer = admitted.customer
        patience_s = exchange.started_s + first_token_limit_s(admitted) - now_s
        target_in_s = exchange.started_s + admitted.route.target_s - now_s
        return TurnRequest(
            exchange.turn,
            "",
            exchange.server,
            admitted.opaque.model,
            admitted.opaque.adapter or "",
            customer.customer if customer else CustomerId(""),
            exchange.unread,
            urgency_of(admitted.rank),
            patience_s,
            target_in_s,
        )

    def call(self, exchange: Exchange, reply_to: str, now_s: float) -> HttpCall:
        """Return the request to the server that was chosen."""
        admitted = exchange.admitted
        opaque, customer = admitted.opaque, admitted.customer
        last_event = opaque.last_event
        if exchange.cutter is not None and exchange.cutter.last_id is not None:
            last_event = exchange.cutter.last_id
        left_s = exchange.give_up_s - now_s
        request = ServerRequest(
            opaque,
            exchange.server,
            left_s,
            customer.customer if customer else None,
            admitted.rank,
            last_event,
        )
        limit_s = max(0.0, left_s) + ANSWER_MARGIN_S
        return HttpCall(
            exchange.call,
            reply_to,
            self.fleet.directory.find(exchange.server).address,
            opaque.method,
            opaque.target,
            self.codec.encode_request(request),
            opaque.body,
            timeout_s=limit_s,
            idle_timeout_s=limit_s,
            stream=True,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            forwarded=True,
            echo=self.codec.echo(opaque.attempt),
        )


def _own_limit(deployment: Deployment, service: ServiceName, entries: int) -> int:
    rule = deployment.services.get(service)
    if rule is None:
        return 0
    return max(1, int(CONNECTION_SHARE * rule.max_connections / entries))


def _spec_of(deployment: Deployment, exchange: Exchange) -> ModelSpec | None:
    rule = deployment.services.get(exchange.admitted.service)
    if rule is None or rule.engine is None:
        return None
    return rule.engine.models.get(exchange.admitted.opaque.model)


def _is_in_time(exchange: Exchange, outlook, now_s: float) -> bool:
    since_s = exchange.last_byte_s if exchange.head_passed else exchange.started_s
    waited_s = now_s - since_s
    limit_s = MODEL_WAIT_SHARE * first_token_limit_s(exchange.admitted)
    in_time = waited_s + outlook.ready_in_s <= limit_s
    return in_time and (outlook.is_loading or waited_s < PLAN_WAIT_S)


def _with_retry(refusal: Refusal, retry_s: float) -> Refusal:
    return Refusal(refusal.reason, refusal.run, refusal.detail, retry_s)


def make_dispatcher(fleet: FleetView, codec: FrontCodec, zone: ZoneId) -> Dispatcher:
    """Return the decisions of an entry in a zone."""
    return Dispatcher(fleet, codec, zone, make_retry_times())
