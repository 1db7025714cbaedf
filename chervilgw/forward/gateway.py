"""Gateway task: admits callers' requests and finds a backend server for each.

It owns the requests in progress, the quota windows and the view of the fleet; its bases
:mod:`chervilgw.forward.answer_relay` and :mod:`chervilgw.forward.entry_reporter` send
them, relay the answers, and report to the other entries. The HTTP tasks on both sides
own the sockets.
"""

from __future__ import annotations

import random
import time

from circuits import handler
from returns.pipeline import is_successful

from chervilgw.core.deployment import Deployment, OpaqueRequest, ServerId
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import ServiceName
from chervilgw.core.messages import EntryReport
from chervilgw.core.pipeline import make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.crashes import request_digest, request_traits
from chervilgw.crashes.suspicion import Ruling
from chervilgw.forward.answer_relay import TRANSIENT_RETRY_AFTER_S
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.decisions import (
    Refuse,
    RequestTurn,
    SendNow,
    WaitForList,
    WaitForModel,
    WaitForServer,
)
from chervilgw.forward.dispatcher import (
    make_dispatcher,
    refuse_blocked,
    refuse_during_trial,
)
from chervilgw.forward.drain_policy import RETRY_AFTER_S
from chervilgw.forward.early_requests import make_early_requests
from chervilgw.forward.entry_reporter import EntryReporter, GatewayOptions
from chervilgw.forward.events import entry_drained, server_list_wanted
from chervilgw.forward.exchange import Exchange, Stage, make_exchange
from chervilgw.forward.filters import (
    authenticate,
    make_quota_filter,
    make_route_filter,
)
from chervilgw.forward.messages import IncomingRequest
from chervilgw.forward.metrics_task import (
    blocked_traits_counted,
    in_progress_counted,
    refusal_counted,
    request_counted,
)
from chervilgw.forward.request_log import (
    log_chosen,
    log_early_refusal,
    log_ended,
)
from chervilgw.forward.retry_budgets import make_retry_budgets
from chervilgw.routing.table import make_route_table
from chervilgw.runtime.events import (
    HttpReply,
    HttpRequest,
    http_push_end,
    http_reply,
)
from chervilgw.telemetry import log_event

# In ticks of 0.1 s.
CLEANUP_INTERVAL_TICKS = 10

_WAITING_STAGES = frozenset(
    {
        Stage.WAITING_FOR_ORIGIN,
        Stage.WAITING_FOR_MODEL,
        Stage.WAITING_FOR_SERVER,
        Stage.WAITING_FOR_TRIAL,
    }
)


class Gateway(EntryReporter):
    """Gateway task; see :func:`make_gateway`."""

    def __init__(self, options: GatewayOptions, codec: FrontCodec, channel):
        super().__init__(options, codec, channel)
        bounds = options.bounds
        self._pipeline = None
        cold = self.make_cold_decisions(bounds, options.address)
        self.dispatcher = make_dispatcher(self.fleet, options.zone, cold)
        self._retries = make_retry_budgets(bounds)
        self._ticks = 0
        self._early = make_early_requests()

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment: Deployment):
        self._deployment = deployment
        self._quota.set_rules(deployment.customers.values())
        self._pipeline = make_pipeline(
            make_route_filter(make_route_table(deployment.routes), random.random),
            authenticate,
            make_quota_filter(self._quota),
        )
        now_s = time.monotonic()
        for early in self._early.take_all():
            self._admit(early.http, early.opaque, now_s)

    @handler("engine_reported")
    def _on_engine_report(self, report):
        now_s = time.monotonic()
        if not report.responding and self.fleet.is_current(report):
            ejected_s = self.fleet.board.on_unreachable(ServerId(report.server), now_s)
            log_event("engine_down", server=report.server, ejected_s=ejected_s)
        elif self.fleet.on_report(report, now_s):
            self.on_engine_alive(report, now_s)
            for exchange in self.exchanges_in(Stage.WAITING_FOR_MODEL):
                # Others wait for another engine or for the next tick.
                if exchange.admitted.opaque.model in report.adapters:
                    self.attempt(exchange, now_s)

    @handler("entry_reported")
    def _on_entry_report(self, report: EntryReport):
        now_s = time.monotonic()
        sender = report.sender
        self.on_peer_seen(sender, report.address, now_s)
        self.on_grants(report, now_s)
        for server, started_ms in report.leaving.items():
            self.on_leaving(ServerId(server), started_ms, str(sender.vm), now_s)
        self._drain_policy.peers.on_report(sender.vm, report.accepts_requests, now_s)
        self.fleet.board.on_peer_report(
            sender.vm, report.running, report.unread_tokens, now_s
        )
        self.on_peer_work(report, now_s)

    def exchanges_in(self, stage: Stage) -> list[Exchange]:
        """Return the requests of a stage."""
        return [
            exchange for exchange in self._exchanges.values() if exchange.stage is stage
        ]

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        now_s = time.monotonic()
        if self._deployment is not None and self._drain_policy.is_closed(now_s):
            self._refuse_early(http, None, self._drain_policy.refusal(now_s))
            return
        try:
            opaque = self.codec.decode_request(http)
        except ChervilError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            self._refuse_early(http, None, refusal)
            return
        if self._deployment is not None:
            self._admit(http, opaque, now_s)
        elif self._drain_policy.is_draining or not self._early.hold(
            http, opaque, now_s
        ):
            self._refuse_without_configuration(http, opaque)

    def _refuse_without_configuration(self, http: HttpRequest, opaque: OpaqueRequest):
        text = "this entry has not read its configuration yet"
        reason = RefusalReason.CONFIGURATION_STALE
        refusal = make_refusal(reason, text, TRANSIENT_RETRY_AFTER_S)
        self._refuse_early(http, opaque, refusal)

    def _admit(self, http: HttpRequest, opaque: OpaqueRequest, now_s: float):
        """Pass a request through the filters, and accept or refuse it."""
        if self.is_behind(now_s):
            self._refuse_without_configuration(http, opaque)
            return
        result = self._pipeline(IncomingRequest(opaque, self._deployment), now_s)
        if not is_successful(result):
            self._refuse_early(http, opaque, result.failure())
            return
        admitted = result.unwrap()
        if not self._drain_policy.accepts(admitted, now_s):
            if admitted.customer is not None:
                customer = admitted.customer.customer
                self._quota.cancel(customer, admitted.charge, now_s)
            self._refuse_early(http, opaque, self._drain_policy.refusal(now_s))
            return
        self._accept(http, admitted, now_s)

    def _accept(self, http: HttpRequest, admitted, now_s: float):
        opaque = admitted.opaque
        customer = admitted.customer.customer if admitted.customer else ""
        digest = request_digest(customer, f"{opaque.method} {opaque.target}", http.body)
        traits = request_traits(digest, opaque.shared_parts)
        stream_s = self.pace.least_s(opaque.output_tokens)
        exchange = make_exchange(
            http.exchange, http.server, admitted, traits, now_s, stream_s
        )
        service = self._deployment.services.get(admitted.service)
        if service is not None and service.engine is not None:
            exchange.tokens_per_event = service.engine.tokens_per_event or 1
        self._exchanges[http.exchange] = exchange
        self.estimate_output(exchange, self._deployment)
        entries = self._quota.count_entries(now_s)
        self._retries.on_request(admitted.service, entries, now_s)
        if opaque.model is not None:
            self._demand.on_request(opaque.model, now_s)
        self.attempt(exchange, now_s)

    def _refuse_early(
        self, http: HttpRequest, opaque: OpaqueRequest | None, refusal: Refusal
    ):
        reply = self.codec.encode_refusal(refusal)
        version = self._deployment.version if self._deployment else None
        log_early_refusal(opaque, refusal, reply[0], version)
        self.fire(http_reply(HttpReply(http.exchange, *reply)), http.server)
        prompt_tokens = opaque.prompt_tokens if opaque else None
        counted = refusal_counted(refusal.reason.value, prompt_tokens)
        self.fire(counted, "metrics")

    def attempt(self, exchange: Exchange, now_s: float):
        """Choose a server, then send, hold or refuse the request."""
        self.end_trial(exchange, "not_run", now_s)
        if not self.is_version_settled(exchange, now_s):
            return
        verdict = self.rule_on(exchange, now_s)
        if verdict.ruling is Ruling.REFUSE:
            self.fail(exchange, refuse_blocked(exchange, verdict), now_s)
            return
        if not self.can_answer(exchange, now_s):
            self._refuse_while_draining(exchange, now_s)
            return
        if verdict.ruling is Ruling.WAIT:
            self._wait_for_trial(exchange, now_s)
            return
        exchange.suspects = verdict.suspects
        self._dispatch(exchange, now_s)

    def can_answer(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether an answer that is sent for now ends before this process."""
        admitted = exchange.admitted
        answer_s = self.pace.least_s(admitted.opaque.output_tokens)
        if not exchange.is_stream:
            answer_s = admitted.route.target_s
        return self._drain_policy.may_send(answer_s, now_s)

    def _refuse_while_draining(self, exchange: Exchange, now_s: float):
        refusal = self._drain_policy.refusal(now_s)
        run = exchange.run_state
        refusal = Refusal(refusal.reason, run, refusal.detail, refusal.retry_after_s)
        self.fail(exchange, refusal, now_s)

    def _wait_for_trial(self, exchange: Exchange, now_s: float):
        if exchange.may_wait_for_trial(now_s):
            exchange.stage, exchange.server = Stage.WAITING_FOR_TRIAL, None
        else:
            self.fail(exchange, refuse_during_trial(exchange), now_s)

    def on_blocked(self, blocked: frozenset, now_s: float):
        """Stop the requests with a blocked trait that a server has not survived."""
        for exchange in list(self._exchanges.values()):
            if exchange.survived or blocked.isdisjoint(exchange.traits):
                continue
            self.stop_attempt(exchange, now_s)
            self.leave_queue(exchange, now_s)
            self.attempt(exchange, now_s)

    def _dispatch(self, exchange: Exchange, now_s: float):
        entries = self._quota.count_entries(now_s)
        decision = self.dispatcher.decide(exchange, self._deployment, entries, now_s)
        match decision:
            case SendNow(server, unread_tokens, cost_s):
                log_chosen(exchange, server, unread_tokens, cost_s)
                self.begin_trial(exchange, now_s)
                self.send(exchange, server, unread_tokens, now_s)
            case RequestTurn(server, unread_tokens, cost_s):
                log_chosen(exchange, server, unread_tokens, cost_s)
                self.begin_trial(exchange, now_s)
                self.request_turn(exchange, server, unread_tokens, now_s)
            case WaitForModel():
                exchange.stage, exchange.server = Stage.WAITING_FOR_MODEL, None
                self.is_demand_urgent = True
            case WaitForServer():
                exchange.stage, exchange.server = Stage.WAITING_FOR_SERVER, None
            case WaitForList():
                exchange.stage, exchange.server = Stage.WAITING_FOR_SERVER, None
                self.fire(server_list_wanted(), "store")
            case Refuse(refusal):
                if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
                    self.is_demand_urgent = True
                self.fail(exchange, refusal, now_s)

    def allows_retry(self, service: ServiceName, now_s: float) -> bool:
        """Spend one retry of a service, or return False if its budget is used up."""
        entries = self._quota.count_entries(now_s)
        return self._retries.try_retry(service, entries, now_s)

    def fail(self, exchange: Exchange, refusal: Refusal, now_s: float):
        """Refuse a request, or break off its answer if that has begun."""
        if exchange.head_forwarded:
            end = http_push_end(exchange.number, False)
            self.push(end, exchange.server_channel)
        else:
            reply = self.codec.encode_refusal(refusal)
            message = HttpReply(exchange.number, *reply)
            self.fire(http_reply(message), exchange.server_channel)
        admitted = exchange.admitted
        if admitted.customer is not None and not exchange.may_have_run:
            customer = admitted.customer.customer
            self._quota.cancel(customer, admitted.charge, exchange.started_s)
        prompt_tokens = admitted.opaque.prompt_tokens
        counted = refusal_counted(refusal.reason.value, prompt_tokens)
        self.fire(counted, "metrics")
        self.end(exchange, refusal.reason.value, now_s, refusal)

    def end(self, exchange: Exchange, outcome: str, now_s: float, refusal=None):
        """Count and log the end of a request, and drop it."""
        self.leave_queue(exchange, now_s)
        self.end_trial(exchange, outcome, now_s)
        if outcome != "answered":
            self.record_interrupted(exchange)
        exchange.stage = Stage.ENDED
        self._exchanges.pop(exchange.number, None)
        counted = request_counted(
            exchange.admitted.route.kind.value,
            outcome,
            exchange.admitted.opaque.prompt_tokens,
            exchange.first_byte_after_s,
            exchange.longest_pause_s,
        )
        self.fire(counted, "metrics")
        log_ended(exchange, outcome, now_s, refusal)
        self._check_drained()

    @handler("http_disconnected")
    def _on_gone(self, number: int):
        if self._early.drop(number):
            return
        exchange = self._exchanges.get(number)
        if exchange is not None:
            now_s = time.monotonic()
            self.stop_attempt(exchange, now_s)
            self.end(exchange, "caller_left", now_s)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for early in self._early.take_expired(now_s):
            self._refuse_without_configuration(early.http, early.opaque)
        for exchange in list(self._exchanges.values()):
            if now_s >= exchange.deadline_s:
                self._time_out(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_TURN:
                self.repeat_turn_request(exchange, now_s)
            elif exchange.stage in _WAITING_STAGES:
                self.attempt(exchange, now_s)
        self._ticks += 1
        self.report_due(self._ticks, now_s)
        if self._ticks % CLEANUP_INTERVAL_TICKS == 0:
            self.remind_of_suspicions(now_s)
            blocked = len(self.suspicions.blocked(now_s))
            self.fire(blocked_traits_counted(blocked), "metrics")
            self.fire(in_progress_counted(len(self._exchanges)), "metrics")
            self.fleet.directory.drop_gone(now_s)
            self.fleet.back_offs.drop_past(now_s)
            self.dispatcher.retry_times.drop_past(now_s)

    def _time_out(self, exchange: Exchange, now_s: float):
        self.stop_attempt(exchange, now_s)
        text = "no answer within the route's timeout or the caller's deadline"
        reason = RefusalReason.DEADLINE_UNREACHABLE
        self.fail(exchange, Refusal(reason, exchange.run_state, text), now_s)

    @handler("drain", channel="*")
    def _on_drain(self):
        self._drain_policy.begin(time.monotonic())
        for early in self._early.take_all():
            self._refuse_without_configuration(early.http, early.opaque)
        self._check_drained()

    @handler("end_requests")
    def _on_end_requests(self):
        now_s = time.monotonic()
        for exchange in list(self._exchanges.values()):
            self.stop_attempt(exchange, now_s)
            text = "this entry stopped before the answer arrived"
            reason, run = RefusalReason.DRAINING, exchange.run_state
            self.fail(exchange, Refusal(reason, run, text, RETRY_AFTER_S), now_s)

    def _check_drained(self):
        if self._drain_policy.is_draining and not self._exchanges:
            self.fire(entry_drained(), "*")


def make_gateway(
    options: GatewayOptions, codec: FrontCodec, channel="gateway"
) -> Gateway:
    """Return a gateway task.

    Parameters
    ----------
    options : GatewayOptions
        Identity and bounds.
    codec : FrontCodec
        Encoding of the front end.
    channel : str
        Channel of the task.
    """
    return Gateway(options, codec, channel)
