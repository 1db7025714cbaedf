"""Gateway task: takes each request from the callers' side to a backend server and back.

It owns the requests in progress, the quota windows and the view of the fleet. The HTTP
tasks on both sides own the sockets.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from circuits import handler
from returns.pipeline import is_successful

from chervilgw.core.deployment import Deployment, OpaqueRequest, ServerId
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import Incarnation, ZoneId
from chervilgw.core.messages import DemandReport, EntryReport
from chervilgw.core.pipeline import make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.crashes.tracker import request_digest
from chervilgw.forward import dispatcher as decisions
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.crash_watch import make_crash_watch
from chervilgw.forward.events import (
    crash_shared,
    demand_report_due,
    entry_drained,
    entry_report_due,
)
from chervilgw.forward.exchange import Exchange, Stage, make_exchange
from chervilgw.forward.filters import (
    authenticate,
    make_quota_filter,
    make_route_filter,
)
from chervilgw.forward.journal import (
    log_attempt_failed,
    log_attempt_not_served,
    log_early_refusal,
    log_ended,
)
from chervilgw.forward.leaving import RETRY_S, make_leaving
from chervilgw.forward.messages import Incoming
from chervilgw.forward.metrics_task import (
    attempt_counted,
    in_progress_counted,
    refusal_counted,
    request_counted,
)
from chervilgw.forward.retry_budgets import make_retry_budgets
from chervilgw.forward.turn_keeper import TurnKeeper
from chervilgw.placement.demand_rate import make_demand_rates
from chervilgw.quota.window import QuotaTolerance, make_window_quota
from chervilgw.routing.table import make_route_table
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    HttpRequest,
    http_call,
    http_call_cancel,
    http_push_data,
    http_push_end,
    http_push_start,
    http_reply,
)
from chervilgw.settings.vm import Bounds
from chervilgw.telemetry import log_event

REPORT_EVERY_TICKS = 2
"""Ticks of 0.1 s between reports to the other entries: the quota and the choice of
servers are as wrong as what happened meanwhile."""
DEMAND_EVERY_TICKS = 10
"""Ticks between reports of demand, an average over seconds; a request for a model that
no engine holds is reported at the next tick."""
SLOW_EVERY_TICKS = 10
"""Ticks between gauges and the clean-up of what is long gone."""
STARTING_RETRY_S = 0.5
"""A process learns its configuration within some tenths of a second of its start, and a
server that broke off is replaced or ejected in that time."""
LONG_BODY_BYTES = 1_048_576
"""Answers of plain services are collected up to this size, so that one that breaks off
can be replaced; longer ones are passed on as they arrive. The rest of an answer that is
not passed on is read up to this size, so that its connection can be kept."""
TOLERATED_TOKENS = 0.25
"""Part of the tokens tolerated beyond a customer's limit that is granted. The rest, and
the tolerated share of the limit, cover the lag of reports between entries and what
killed entries had granted: that was 15% of a limit after all were killed at once."""


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Identity of this entry, and the bounds of the deployment.

    ``first_start`` says that no process of the system has run before.
    """

    me: Incarnation
    zone: ZoneId
    bounds: Bounds
    first_start: bool


class Gateway(TurnKeeper):
    """Gateway task; see :func:`make_gateway`."""

    def __init__(self, options: GatewayOptions, codec: FrontCodec, channel):
        super().__init__(options.me, channel)
        bounds, now_s = options.bounds, time.monotonic()
        self._codec = codec
        self._deployment: Deployment | None = None
        self._pipeline = None
        self.dispatcher = decisions.make_dispatcher(self.fleet, codec, options.zone)
        began_s = None if options.first_start else now_s
        tolerance = QuotaTolerance(tokens=TOLERATED_TOKENS * bounds.quota_over_tokens)
        self._quota = make_window_quota(bounds.quota_window_s, tolerance, began_s)
        self._retries = make_retry_budgets(bounds)
        self._crashes = make_crash_watch(options.me)
        self._demand = make_demand_rates()
        self._exchanges: dict[int, Exchange] = {}
        self._by_call: dict[str, Exchange] = {}
        self._ticks = 0
        self._leaving = make_leaving(bounds.grace_s)
        self._report_soon = False

    # What the process believes.

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment: Deployment):
        self._deployment = deployment
        self._pipeline = make_pipeline(
            make_route_filter(make_route_table(deployment.routes), random.random),
            authenticate,
            make_quota_filter(self._quota),
        )

    @handler("engine_reported")
    def _on_engine_report(self, report):
        now_s = time.monotonic()
        if not report.responding and self.fleet.is_current(report):
            ejected_s = self.fleet.board.on_unreachable(ServerId(report.server), now_s)
            log_event("engine_down", server=report.server, ejected_s=ejected_s)
        elif self.fleet.on_report(report, now_s):
            for exchange in self._at(Stage.WAITING_FOR_MODEL):
                self.attempt(exchange, now_s)

    @handler("entry_reported")
    def _on_entry_report(self, report: EntryReport):
        now_s = time.monotonic()
        sender = report.sender
        self._quota.on_report(sender, report.granted, now_s, report.grants_complete)
        self._leaving.peers.on_report(sender.vm, report.accepts_requests, now_s)
        self.fleet.board.on_peer_report(
            sender.vm, report.running, report.unread_tokens, now_s
        )

    @handler("crash_reported")
    def _on_crash_report(self, report):
        self._crashes.on_report(report, time.monotonic())

    def _at(self, stage: Stage) -> list[Exchange]:
        return [each for each in self._exchanges.values() if each.stage is stage]

    # Requests.

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        now_s = time.monotonic()
        closed = self._closed(now_s)
        if closed is not None:
            self._refuse_early(http, None, closed)
            return
        try:
            opaque = self._codec.decode_request(http)
        except ChervilError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            self._refuse_early(http, None, refusal)
            return
        result = self._pipeline(Incoming(opaque, self._deployment), now_s)
        if not is_successful(result):
            self._refuse_early(http, opaque, result.failure())
            return
        admitted = result.unwrap()
        if not self._leaving.takes(admitted, now_s):
            if admitted.customer is not None:
                self._quota.cancel(admitted.customer.customer, admitted.charge)
            self._refuse_early(http, opaque, self._leaving.refusal(now_s))
            return
        self._accept(http, admitted, now_s)

    def _closed(self, now_s: float) -> Refusal | None:
        """Return why this entry takes no requests now, or None."""
        if self._deployment is None:
            text = "this entry has not read its configuration yet"
            reason = RefusalReason.CONFIGURATION_STALE
            return make_refusal(reason, text, STARTING_RETRY_S)
        if self._leaving.is_closed(now_s):
            return self._leaving.refusal(now_s)
        return None

    def _accept(self, http: HttpRequest, admitted, now_s: float):
        opaque = admitted.opaque
        customer = admitted.customer.customer if admitted.customer else ""
        digest = request_digest(customer, f"{opaque.method} {opaque.target}", http.body)
        exchange = make_exchange(http.exchange, http.server, admitted, digest, now_s)
        self._exchanges[http.exchange] = exchange
        entries = self._quota.entries(now_s)
        self._retries.on_request(admitted.service, entries, now_s)
        if opaque.model is not None:
            self._demand.on_request(opaque.model, now_s)
        blocked = self._crashes.check(digest, now_s)
        if is_successful(blocked):
            self.attempt(exchange, now_s)
        else:
            self._fail(exchange, blocked.failure(), now_s)

    def _refuse_early(
        self, http: HttpRequest, opaque: OpaqueRequest | None, refusal: Refusal
    ):
        reply = self._codec.encode_refusal(refusal)
        version = self._deployment.version if self._deployment else None
        log_early_refusal(opaque, refusal, reply[0], version)
        self.fire(http_reply(HttpReply(http.exchange, *reply)), http.server)
        prompt_tokens = opaque.prompt_tokens if opaque else None
        counted = refusal_counted(refusal.reason.value, prompt_tokens)
        self.fire(counted, "metrics")

    def attempt(self, exchange: Exchange, now_s: float):
        """Choose a server, and send the request or wait."""
        entries = self._quota.entries(now_s)
        decision = self.dispatcher.decide(exchange, self._deployment, entries, now_s)
        match decision:
            case decisions.SendNow(server, unread):
                self.send(exchange, server, unread, now_s)
            case decisions.AskTurn(server, unread):
                self.ask_turn(exchange, server, unread, now_s)
            case decisions.HoldForModel():
                exchange.stage, exchange.server = Stage.WAITING_FOR_MODEL, None
                self._report_soon = True
            case decisions.GiveUp(refusal):
                if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
                    self._report_soon = True
                self._fail(exchange, refusal, now_s)

    def send(self, exchange: Exchange, server: ServerId, unread: int, now_s: float):
        """Send the request to a server."""
        known = self.fleet.directory.find(server)
        exchange.begin_attempt(server, known.started_ms, unread)
        self._by_call[exchange.call] = exchange
        self.fleet.on_sent(server, exchange.admitted.opaque, unread, now_s)
        call = self.dispatcher.call(exchange, self.channel, now_s)
        self.fire(http_call(call), "server-client")

    # Answers.

    @handler("call_head")
    def _on_head(self, head):
        exchange = self._by_call.get(head.call)
        if exchange is None:
            return
        answer = self._codec.decode_answer(head.status, head.headers)
        exchange.on_head(answer, LONG_BODY_BYTES)
        if answer.is_own:
            self.fleet.board.on_answer(exchange.server, answer.status >= 500)
        if exchange.stage is Stage.RELAYING and not exchange.head_passed:
            self._pass_head(exchange)

    def _pass_head(self, exchange: Exchange):
        answer, exchange.head_passed = exchange.answer, True
        start = HttpPushStart(exchange.number, answer.status, answer.headers)
        self.fire(http_push_start(start), exchange.server_channel)

    @handler("call_data")
    def _on_data(self, parts):
        now_s = time.monotonic()
        passed = defaultdict(list)
        for part in parts:
            exchange = self._by_call.get(part.call)
            if exchange is None:
                continue
            self._on_token(exchange, now_s)
            data = exchange.on_data(part.data)
            if exchange.held_bytes > LONG_BODY_BYTES:
                data = self._on_long_body(exchange, now_s)
            if data:
                found = HttpPart(exchange.number, data)
                passed[exchange.server_channel].append(found)
        for server_channel, found in passed.items():
            self.fire(http_push_data(found), server_channel)

    def _on_long_body(self, exchange: Exchange, now_s: float) -> bytes:
        """Pass a long answer on, or give one up that is dropped and may have no end."""
        if exchange.stage is Stage.BUFFERING:
            self._pass_head(exchange)
            return exchange.pass_on()
        self._stop_attempt(exchange, now_s)
        self._on_not_served(exchange, "the answer is dropped and has no end", now_s)
        return b""

    def _on_not_served(self, exchange: Exchange, detail: str, now_s: float):
        self.fire(attempt_counted("not_served"), "metrics")
        exchange.on_not_served()
        log_attempt_not_served(exchange, detail)
        self._again(exchange, detail, now_s)

    def _on_token(self, exchange: Exchange, now_s: float):
        exchange.note_bytes(now_s)
        if exchange.unread:
            self.fleet.board.on_started(exchange.server, exchange.unread)
            exchange.unread = 0
        self.leave_queue(exchange, now_s)

    @handler("call_done")
    def _on_done(self, done):
        exchange = self._by_call.pop(done.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        self._release(exchange, now_s)
        self._crashes.on_completed(exchange.digest)
        if exchange.stage is Stage.DISCARDING:
            detail = f"the server answered {done.status}"
            self._on_not_served(exchange, detail, now_s)
            return
        self.fire(attempt_counted("served"), "metrics")
        if exchange.stage is Stage.BUFFERING:
            reply = HttpReply(exchange.number, *exchange.whole_answer())
            self.fire(http_reply(reply), exchange.server_channel)
        else:
            self._end_relay(exchange)
        self._end(exchange, "answered", now_s)

    def _end_relay(self, exchange: Exchange):
        rest = exchange.cutter.rest() if exchange.cutter else b""
        if rest:
            parts = [HttpPart(exchange.number, rest)]
            self.fire(http_push_data(parts), exchange.server_channel)
        self.fire(http_push_end(exchange.number, True), exchange.server_channel)

    @handler("call_failed")
    def _on_failed(self, failed):
        exchange = self._by_call.pop(failed.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        server, ejected_s = exchange.server, None
        self._release(exchange, now_s)
        if not failed.sent:
            exchange.may_have_run.discard(server)
            ejected_s = self.fleet.board.on_unreachable(server, now_s)
        elif failed.broken:
            self.fleet.board.on_answer(server, True)
            report = self._crashes.on_broken(
                server, exchange.server_started_ms, exchange.digest, now_s
            )
            self.fire(crash_shared(report), "gossip")
        self.fire(attempt_counted("failed" if failed.sent else "unreached"), "metrics")
        log_attempt_failed(exchange, failed, ejected_s)
        self._again(exchange, failed.detail, now_s)

    def _again(self, exchange: Exchange, detail: str, now_s: float):
        """Try another server if that is allowed, else tell the caller."""
        if exchange.may_resume() and now_s < exchange.give_up_s:
            never_arrived = not exchange.may_have_run and exchange.answer is None
            service = exchange.admitted.service
            entries = self._quota.entries(now_s)
            if never_arrived or self._retries.try_retry(service, entries, now_s):
                if exchange.cutter is not None:
                    exchange.cutter.drop_partial()
                self.attempt(exchange, now_s)
                return
        reason = RefusalReason.BACKEND_LOST
        if exchange.answer is not None and exchange.answer.not_run:
            reason = RefusalReason.QUEUE_FULL
        refusal = Refusal(reason, exchange.run_state, detail, STARTING_RETRY_S)
        self._fail(exchange, refusal, now_s)

    def _release(self, exchange: Exchange, now_s: float):
        self.leave_queue(exchange, now_s)
        self.fleet.board.on_ended(exchange.server, exchange.unread)
        exchange.unread = 0

    # Ends.

    def _fail(self, exchange: Exchange, refusal: Refusal, now_s: float):
        if exchange.head_passed:
            end = http_push_end(exchange.number, False)
            self.fire(end, exchange.server_channel)
        else:
            reply = self._codec.encode_refusal(refusal)
            message = HttpReply(exchange.number, *reply)
            self.fire(http_reply(message), exchange.server_channel)
        admitted = exchange.admitted
        if admitted.customer is not None and not exchange.may_have_run:
            self._quota.cancel(admitted.customer.customer, admitted.charge)
        prompt_tokens = admitted.opaque.prompt_tokens
        counted = refusal_counted(refusal.reason.value, prompt_tokens)
        self.fire(counted, "metrics")
        self._end(exchange, refusal.reason.value, now_s, refusal)

    def _end(self, exchange: Exchange, outcome: str, now_s: float, refusal=None):
        self.leave_queue(exchange, now_s)
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

    def _stop_attempt(self, exchange: Exchange, now_s: float):
        """Close the connection to the server; it stops work on the request."""
        if self._by_call.pop(exchange.call, None) is not None:
            self.fire(http_call_cancel(exchange.call), "server-client")
            self._release(exchange, now_s)

    @handler("http_gone")
    def _on_gone(self, number: int):
        exchange = self._exchanges.get(number)
        if exchange is not None:
            now_s = time.monotonic()
            self._stop_attempt(exchange, now_s)
            self._end(exchange, "caller_left", now_s)

    # Time.

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for exchange in list(self._exchanges.values()):
            if now_s >= exchange.give_up_s:
                self._time_out(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_TURN:
                self.wait_for_turn(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_MODEL:
                self.attempt(exchange, now_s)
        self._ticks += 1
        if self._ticks % REPORT_EVERY_TICKS == 0:
            self._report(now_s)
        if self._ticks % DEMAND_EVERY_TICKS == 0 or self._report_soon:
            self._report_soon = False
            self._report_demand(now_s)
        if self._ticks % SLOW_EVERY_TICKS == 0:
            self.fire(in_progress_counted(len(self._exchanges)), "metrics")
            self.fleet.directory.drop_gone(now_s)
            self.dispatcher.return_times.drop_past(now_s)

    def _time_out(self, exchange: Exchange, now_s: float):
        self._stop_attempt(exchange, now_s)
        text = "no answer within the time-out of the route or the caller's deadline"
        reason = RefusalReason.DEADLINE_UNREACHABLE
        self._fail(exchange, Refusal(reason, exchange.run_state, text), now_s)

    def _report(self, now_s: float):
        running, unread = self.fleet.board.report()
        report = EntryReport(
            self.me,
            "",
            self._quota.granted(now_s),
            running,
            unread,
            self._quota.remembers(now_s),
            self._deployment is not None and self._leaving.takes_all(now_s),
        )
        self.fire(entry_report_due(report), "gossip")
        self.share_servers(now_s)

    def _report_demand(self, now_s: float):
        report = DemandReport(
            self.me,
            "",
            self._demand.rates(now_s),
            self._demand.recent_rates(now_s),
            self._running_by_model(),
            self._leaving.has_begun,
        )
        self.fire(demand_report_due(report), "gossip")

    def _running_by_model(self) -> dict[str, int]:
        """Return the requests in progress, those that wait for an engine included."""
        models = [each.admitted.opaque.model for each in self._exchanges.values()]
        return dict(Counter(model for model in models if model is not None))

    # The end of the process.

    @handler("drain", channel="*")
    def _on_drain(self):
        self._leaving.begin(time.monotonic())
        self._check_drained()

    @handler("end_requests")
    def _on_end_requests(self):
        now_s = time.monotonic()
        for exchange in list(self._exchanges.values()):
            self._stop_attempt(exchange, now_s)
            text = "this entry ended before the answer came"
            reason, run = RefusalReason.DRAINING, exchange.run_state
            self._fail(exchange, Refusal(reason, run, text, RETRY_S), now_s)

    def _check_drained(self):
        if self._leaving.has_begun and not self._exchanges:
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
