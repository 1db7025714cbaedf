"""Gateway task: forwards callers' requests to backend servers and relays the answers.

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

from chervilgw.codec.event_stream import EventOrderError
from chervilgw.core.answers import AnswerKind
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
from chervilgw.forward.drain_policy import RETRY_AFTER_S, make_drain_policy
from chervilgw.forward.events import (
    crash_report_due,
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
from chervilgw.forward.messages import IncomingRequest
from chervilgw.forward.metrics_task import (
    attempt_counted,
    in_progress_counted,
    refusal_counted,
    request_counted,
)
from chervilgw.forward.request_log import (
    log_attempt_failed,
    log_attempt_not_served,
    log_early_refusal,
    log_ended,
)
from chervilgw.forward.retry_budgets import make_retry_budgets
from chervilgw.forward.turn_requester import TurnRequester
from chervilgw.placement.demand_rate import make_demand_rates
from chervilgw.quota.window import QuotaTolerance, make_window_quota
from chervilgw.routing.stream_pace import make_stream_pace
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

# In ticks of 0.1 s. Between reports an entry does not see the load and the quota that
# its peers have used.
REPORT_INTERVAL_TICKS = 2
# Demand is an average over seconds; a request for a model that no engine holds is
# reported at the next tick.
DEMAND_REPORT_INTERVAL_TICKS = 10
CLEANUP_INTERVAL_TICKS = 10
# A process reads its configuration within some tenths of a second after its start, and
# a failed server is replaced or ejected in that time.
TRANSIENT_RETRY_AFTER_S = 0.5
# Answers of plain services are buffered up to this size, so that the request can be
# retried if the answer is cut off; longer ones are relayed. A discarded answer is read
# up to this size, so that its connection can be kept.
MAX_BUFFERED_BODY_BYTES = 1_048_576
# Fraction of the tokens tolerated beyond a customer's limit that may be granted. The
# rest covers the lag of reports between entries and what killed entries had granted,
# which was 15% of a limit after all entries were killed at once.
GRANTED_TOLERANCE_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Identity of this entry, and the bounds of the deployment.

    ``first_start`` is true if no process of the system has run before.
    """

    incarnation: Incarnation
    zone: ZoneId
    bounds: Bounds
    first_start: bool


class Gateway(TurnRequester):
    """Gateway task; see :func:`make_gateway`."""

    def __init__(self, options: GatewayOptions, codec: FrontCodec, channel):
        super().__init__(options.incarnation, channel)
        bounds, now_s = options.bounds, time.monotonic()
        self._codec = codec
        self._deployment: Deployment | None = None
        self._pipeline = None
        self.dispatcher = decisions.make_dispatcher(self.fleet, codec, options.zone)
        started_s = None if options.first_start else now_s
        tolerance = QuotaTolerance(
            tokens=GRANTED_TOLERANCE_FRACTION * bounds.quota_over_tokens
        )
        self._quota = make_window_quota(bounds.quota_window_s, tolerance, started_s)
        self._retries = make_retry_budgets(bounds)
        self._crashes = make_crash_watch(options.incarnation)
        self._demand = make_demand_rates()
        self._pace = make_stream_pace()
        self._exchanges: dict[int, Exchange] = {}
        self._by_call: dict[str, Exchange] = {}
        self._ticks = 0
        self._drain_policy = make_drain_policy(bounds.grace_s)
        self._demand_report_urgent = False

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
            for exchange in self._exchanges_in(Stage.WAITING_FOR_MODEL):
                # Others wait for another engine or for the next tick.
                if exchange.admitted.opaque.model in report.adapters:
                    self.attempt(exchange, now_s)

    @handler("entry_reported")
    def _on_entry_report(self, report: EntryReport):
        now_s = time.monotonic()
        sender = report.sender
        self._quota.on_report(sender, report.granted, now_s, report.grants_complete)
        for server, started_ms in report.leaving.items():
            self.on_leaving(ServerId(server), started_ms, str(sender.vm), now_s)
        self._drain_policy.peers.on_report(sender.vm, report.accepts_requests, now_s)
        self.fleet.board.on_peer_report(
            sender.vm, report.running, report.unread_tokens, now_s
        )

    @handler("crash_reported")
    def _on_crash_report(self, report):
        self._crashes.on_report(report, time.monotonic())

    def _exchanges_in(self, stage: Stage) -> list[Exchange]:
        return [
            exchange for exchange in self._exchanges.values() if exchange.stage is stage
        ]

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        now_s = time.monotonic()
        closed_refusal = self._admission_closed(now_s)
        if closed_refusal is not None:
            self._refuse_early(http, None, closed_refusal)
            return
        try:
            opaque = self._codec.decode_request(http)
        except ChervilError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            self._refuse_early(http, None, refusal)
            return
        result = self._pipeline(IncomingRequest(opaque, self._deployment), now_s)
        if not is_successful(result):
            self._refuse_early(http, opaque, result.failure())
            return
        admitted = result.unwrap()
        if not self._drain_policy.accepts(admitted, now_s):
            if admitted.customer is not None:
                self._quota.cancel(admitted.customer.customer, admitted.charge)
            self._refuse_early(http, opaque, self._drain_policy.refusal(now_s))
            return
        self._accept(http, admitted, now_s)

    def _admission_closed(self, now_s: float) -> Refusal | None:
        """Return a refusal if this entry accepts no requests now, or None."""
        if self._deployment is None:
            text = "this entry has not read its configuration yet"
            reason = RefusalReason.CONFIGURATION_STALE
            return make_refusal(reason, text, TRANSIENT_RETRY_AFTER_S)
        if self._drain_policy.is_closed(now_s):
            return self._drain_policy.refusal(now_s)
        return None

    def _accept(self, http: HttpRequest, admitted, now_s: float):
        opaque = admitted.opaque
        customer = admitted.customer.customer if admitted.customer else ""
        digest = request_digest(customer, f"{opaque.method} {opaque.target}", http.body)
        stream_s = self._pace.least_s(opaque.output_tokens)
        exchange = make_exchange(
            http.exchange, http.server, admitted, digest, now_s, stream_s
        )
        self._exchanges[http.exchange] = exchange
        entries = self._quota.count_entries(now_s)
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
        """Choose a server, then send, hold or refuse the request."""
        entries = self._quota.count_entries(now_s)
        decision = self.dispatcher.decide(exchange, self._deployment, entries, now_s)
        match decision:
            case decisions.SendNow(server, unread_tokens):
                self.send(exchange, server, unread_tokens, now_s)
            case decisions.RequestTurn(server, unread_tokens):
                self.request_turn(exchange, server, unread_tokens, now_s)
            case decisions.WaitForModel():
                exchange.stage, exchange.server = Stage.WAITING_FOR_MODEL, None
                self._demand_report_urgent = True
            case decisions.WaitForServer():
                exchange.stage, exchange.server = Stage.WAITING_FOR_SERVER, None
            case decisions.Refuse(refusal):
                if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
                    self._demand_report_urgent = True
                self._fail(exchange, refusal, now_s)

    def send(
        self, exchange: Exchange, server: ServerId, unread_tokens: int, now_s: float
    ):
        """Send the request to a server."""
        registered = self.fleet.directory.find(server)
        exchange.begin_attempt(server, registered.started_ms, unread_tokens)
        self._by_call[exchange.call] = exchange
        self.fleet.on_sent(server, exchange.admitted.opaque, unread_tokens, now_s)
        call = self.dispatcher.call(exchange, self.channel, now_s)
        self.fire(http_call(call), "server-client")

    @handler("call_head")
    def _on_head(self, head):
        exchange = self._by_call.get(head.call)
        if exchange is None:
            return
        answer = self._codec.decode_answer(head.status, head.headers)
        exchange.on_head(answer, MAX_BUFFERED_BODY_BYTES)
        self.on_signals(
            exchange.server,
            exchange.server_started_ms,
            answer.signals,
            time.monotonic(),
        )
        if answer.head.from_server and not answer.not_run:
            self.fleet.board.on_answer(exchange.server, answer.status >= 500)
        if exchange.stage is Stage.RELAYING and not exchange.head_forwarded:
            self._forward_head(exchange)

    def _forward_head(self, exchange: Exchange):
        answer, exchange.head_forwarded = exchange.answer, True
        start = HttpPushStart(exchange.number, answer.status, answer.headers)
        self.fire(http_push_start(start), exchange.server_channel)

    @handler("call_data")
    def _on_data(self, parts):
        now_s = time.monotonic()
        forwarded = defaultdict(list)
        for part in parts:
            exchange = self._by_call.get(part.call)
            if exchange is None:
                continue
            self._on_answer_bytes(exchange, now_s)
            try:
                data = exchange.on_data(part.data)
            except EventOrderError as error:
                self._stop_attempt(exchange, now_s)
                self._on_not_served(exchange, str(error), now_s)
                continue
            if exchange.unrelayed_bytes > MAX_BUFFERED_BODY_BYTES:
                data = self._on_long_body(exchange, now_s)
            if data:
                output = HttpPart(exchange.number, data)
                forwarded[exchange.server_channel].append(output)
        for server_channel, outputs in forwarded.items():
            self.fire(http_push_data(outputs), server_channel)

    def _on_long_body(self, exchange: Exchange, now_s: float) -> bytes:
        """Relay a long answer; abort one that is being discarded, as it may not end."""
        if exchange.stage is Stage.BUFFERING:
            self._forward_head(exchange)
            return exchange.start_relaying()
        self._stop_attempt(exchange, now_s)
        self._on_not_served(
            exchange, "a discarded answer exceeded the size limit", now_s
        )
        return b""

    def _on_not_served(self, exchange: Exchange, detail: str, now_s: float):
        self.fire(attempt_counted("not_served"), "metrics")
        exchange.on_not_served()
        log_attempt_not_served(exchange, detail)
        self._retry_or_fail(exchange, detail, now_s)

    def _on_answer_bytes(self, exchange: Exchange, now_s: float):
        exchange.record_bytes(now_s)
        if exchange.unread_tokens:
            self.fleet.board.on_started(exchange.server, exchange.unread_tokens)
            exchange.unread_tokens = 0
        self.leave_queue(exchange, now_s, exchange.stage is Stage.RELAYING)

    @handler("call_done")
    def _on_done(self, done):
        exchange = self._by_call.pop(done.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        self._release_server(exchange, now_s)
        self._crashes.on_completed(exchange.digest)
        if exchange.stage is Stage.DISCARDING:
            detail = f"the server answered {done.status}"
            self._on_not_served(exchange, detail, now_s)
            return
        if exchange.is_cut_off:
            detail = "the stream ended in the middle of an event"
            self._on_not_served(exchange, detail, now_s)
            return
        self.fire(attempt_counted("served"), "metrics")
        if exchange.stage is Stage.BUFFERING:
            reply = HttpReply(exchange.number, *exchange.buffered_answer())
            self.fire(http_reply(reply), exchange.server_channel)
        else:
            self._end_relay(exchange)
            self._record_pace(exchange, now_s)
        self._end(exchange, "answered", now_s)

    def _record_pace(self, exchange: Exchange, now_s: float):
        output_tokens = exchange.admitted.opaque.output_tokens
        if exchange.sends == 1 and exchange.answer.status == 200 and output_tokens:
            self._pace.on_ended(output_tokens, now_s - exchange.first_byte_s)

    def _end_relay(self, exchange: Exchange):
        rest = exchange.cutter.take_partial() if exchange.cutter else b""
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
        self._release_server(exchange, now_s)
        if not failed.sent:
            exchange.may_have_run.discard(server)
            ejected_s = self.fleet.board.on_unreachable(server, now_s)
        elif failed.connection_lost:
            self.fleet.board.on_answer(server, True)
            report = self._crashes.on_connection_broken(
                server, exchange.server_started_ms, exchange.digest, now_s
            )
            self.fire(crash_report_due(report), "gossip")
        self.fire(attempt_counted("failed" if failed.sent else "unreached"), "metrics")
        log_attempt_failed(exchange, failed, ejected_s)
        self._retry_or_fail(exchange, failed.detail, now_s)

    def _retry_or_fail(self, exchange: Exchange, detail: str, now_s: float):
        """Try another server if that is allowed, else refuse the request."""
        if exchange.may_resume() and now_s < exchange.deadline_s:
            never_arrived = not exchange.may_have_run and exchange.answer is None
            service = exchange.admitted.service
            entries = self._quota.count_entries(now_s)
            if never_arrived or self._retries.try_retry(service, entries, now_s):
                if exchange.cutter is not None:
                    exchange.cutter.begin_continuation()
                self.attempt(exchange, now_s)
                return
        reason = RefusalReason.BACKEND_LOST
        if exchange.answer_kind is AnswerKind.REFUSAL:
            reason = RefusalReason.QUEUE_FULL
        refusal = Refusal(reason, exchange.run_state, detail, TRANSIENT_RETRY_AFTER_S)
        self._fail(exchange, refusal, now_s)

    def _release_server(self, exchange: Exchange, now_s: float):
        self.leave_queue(exchange, now_s)
        self.fleet.board.on_ended(exchange.server, exchange.unread_tokens)
        exchange.unread_tokens = 0

    def _fail(self, exchange: Exchange, refusal: Refusal, now_s: float):
        if exchange.head_forwarded:
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
        """Close the connection to the server, so that it stops work on the request."""
        if self._by_call.pop(exchange.call, None) is not None:
            self.fire(http_call_cancel(exchange.call), "server-client")
            self._release_server(exchange, now_s)

    @handler("http_disconnected")
    def _on_gone(self, number: int):
        exchange = self._exchanges.get(number)
        if exchange is not None:
            now_s = time.monotonic()
            self._stop_attempt(exchange, now_s)
            self._end(exchange, "caller_left", now_s)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for exchange in list(self._exchanges.values()):
            if now_s >= exchange.deadline_s:
                self._time_out(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_TURN:
                self.repeat_turn_request(exchange, now_s)
            elif exchange.stage in (Stage.WAITING_FOR_MODEL, Stage.WAITING_FOR_SERVER):
                self.attempt(exchange, now_s)
        self._ticks += 1
        if self._ticks % REPORT_INTERVAL_TICKS == 0:
            self._report(now_s)
        if (
            self._ticks % DEMAND_REPORT_INTERVAL_TICKS == 0
            or self._demand_report_urgent
        ):
            self._demand_report_urgent = False
            self._report_demand(now_s)
        if self._ticks % CLEANUP_INTERVAL_TICKS == 0:
            self.fire(in_progress_counted(len(self._exchanges)), "metrics")
            self.fleet.directory.drop_gone(now_s)
            self.fleet.back_offs.drop_past(now_s)
            self.dispatcher.retry_times.drop_past(now_s)

    def _time_out(self, exchange: Exchange, now_s: float):
        self._stop_attempt(exchange, now_s)
        text = "no answer within the route's timeout or the caller's deadline"
        reason = RefusalReason.DEADLINE_UNREACHABLE
        self._fail(exchange, Refusal(reason, exchange.run_state, text), now_s)

    def _report(self, now_s: float):
        running, unread_tokens = self.fleet.board.report()
        report = EntryReport(
            self.incarnation,
            "",
            self._quota.granted(now_s),
            running,
            unread_tokens,
            self._quota.has_complete_window(now_s),
            self._deployment is not None and self._drain_policy.accepts_all(now_s),
            self.fleet.directory.leaving(now_s),
            draining=self._drain_policy.is_draining,
        )
        self.fire(entry_report_due(report), "gossip")
        self.publish_servers(now_s)

    def _report_demand(self, now_s: float):
        report = DemandReport(
            self.incarnation,
            "",
            self._demand.rates(now_s),
            self._demand.recent_rates(now_s),
            self._running_by_model(),
            self._drain_policy.is_draining,
        )
        self.fire(demand_report_due(report), "gossip")

    def _running_by_model(self) -> dict[str, int]:
        """Return the requests in progress by model, including waiting ones."""
        models = [
            exchange.admitted.opaque.model for exchange in self._exchanges.values()
        ]
        return dict(Counter(model for model in models if model is not None))

    @handler("drain", channel="*")
    def _on_drain(self):
        self._drain_policy.begin(time.monotonic())
        self._check_drained()

    @handler("end_requests")
    def _on_end_requests(self):
        now_s = time.monotonic()
        for exchange in list(self._exchanges.values()):
            self._stop_attempt(exchange, now_s)
            text = "this entry stopped before the answer arrived"
            reason, run = RefusalReason.DRAINING, exchange.run_state
            self._fail(exchange, Refusal(reason, run, text, RETRY_AFTER_S), now_s)

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
