"""Gateway task: takes each request from the callers' side to a backend server and back.

It owns the requests in progress, the quota windows and the view of the fleet. The HTTP
tasks on both sides own the sockets.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.core.deployment import (
    CustomerRule,
    Deployment,
    RegisteredServer,
    ServerId,
)
from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import (
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    ZoneId,
)
from chervilgw.core.messages import EntryReport, TurnEnded, TurnGiven, TurnWanted
from chervilgw.core.pipeline import make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.crashes.tracker import request_digest
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.crash_watch import make_crash_watch
from chervilgw.forward.events import (
    agent_send,
    crash_shared,
    entry_drained,
    entry_report_due,
    servers_known,
)
from chervilgw.forward.exchange import (
    Exchange,
    Stage,
    first_token_limit_s,
    make_exchange,
    urgency_of,
)
from chervilgw.forward.filters import (
    authenticate,
    make_quota_filter,
    make_route_filter,
)
from chervilgw.forward.messages import Incoming, ServerRequest
from chervilgw.forward.metrics_task import (
    attempt_counted,
    in_progress_counted,
    refusal_counted,
    request_counted,
)
from chervilgw.membership.fleet_view import make_fleet_view
from chervilgw.placement.demand_rate import make_demand_rates
from chervilgw.quota.window import make_window_quota
from chervilgw.routing.dispatch import DispatchRequest, ServerChoice, choose_server
from chervilgw.routing.retries import RetryBudget, make_retry_budget
from chervilgw.routing.table import make_route_table
from chervilgw.runtime.events import (
    HttpCall,
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
LEAVING_ACCEPT_S = 2.9
"""An entry that is leaving takes requests for this long: by then the balancer has asked
twice, and what has been taken can end within the grace time."""
LEAVING_RETRY_S = 0.05
"""A retry reaches another entry."""
MODEL_WAIT_SHARE = 0.7
"""Part of a caller's patience that may go to the load of its model; the rest is for the
queue and the prompt."""
PLAN_WAIT_S = 1.0
"""A load that was not begun by then was not planned: other models are needed more."""
LOADED_MARGIN_S = 0.3
"""From the end of a load to the report of it, and a part for callers' clocks."""
CONNECT_TIMEOUT_S = 0.4
"""A connection takes 1 to 6 ms; a lost packet costs a second, so another server is
quicker."""
STARTING_RETRY_S = 0.5
"""A process learns its configuration within some tenths of a second of its start."""
CONNECTION_SHARE = 0.9
"""Part of a server's connections that the entries use together; the rest is for those
that are still closing."""
RETRY_SHARE = 0.6
"""Part of the fleet's retry budget that the entries plan with: they count at other
moments than the operators do."""
LONG_BODY_BYTES = 1_048_576
"""Answers of plain services are collected up to this size, so that one that breaks off
can be replaced; longer ones are passed on as they arrive."""
QUOTA_MARGIN = 1.0


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Identity of this entry, and the bounds of the deployment.

    ``first_start`` says that no process of the system has run before.
    """

    me: Incarnation
    zone: ZoneId
    bounds: Bounds
    first_start: bool


class Gateway(BaseComponent):
    """Gateway task; see :func:`make_gateway`."""

    def __init__(self, options: GatewayOptions, codec: FrontCodec, channel):
        super().__init__(channel=channel)
        self._options = options
        self._codec = codec
        self._deployment: Deployment | None = None
        self._pipeline = None
        self._fleet = make_fleet_view()
        began_s = None if options.first_start else time.monotonic()
        self._quota = make_window_quota(
            options.bounds.quota_window_s, QUOTA_MARGIN, began_s
        )
        self._retries: dict[ServiceName, RetryBudget] = {}
        self._crashes = make_crash_watch(options.me)
        self._demand = make_demand_rates()
        self._exchanges: dict[int, Exchange] = {}
        self._by_call: dict[str, Exchange] = {}
        self._by_turn: dict[RequestId, Exchange] = {}
        self._turn_numbers = count(1)
        self._ticks = 0
        self._draining = False
        self._accept_until_s = float("inf")
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

    @handler("server_listed", channel="*")
    def _on_listed(self, entry: RegisteredServer, offset):
        if self._fleet.directory.on_entry(entry, offset):
            log_event(
                "server_changed",
                server=entry.server,
                state=entry.state,
                address=entry.address,
                models=sorted(entry.adapters),
                offset=offset,
            )

    @handler("server_unlisted", channel="*")
    def _on_unlisted(self, server: ServerId, offset):
        if self._fleet.directory.on_removed(server, offset, time.monotonic()):
            log_event("server_removed", server=server, offset=offset)
            self._fleet.forget(server)

    @handler("servers_listing", channel="*")
    def _on_listing(self, listed, end):
        now_s = time.monotonic()
        for server in self._fleet.directory.on_listing(listed, end, now_s):
            log_event("server_removed", server=server, offset=end)

    @handler("store_lost", channel="*")
    def _on_store_lost(self):
        self._fleet.directory.on_store_lost()

    @handler("store_back", channel="*")
    def _on_store_back(self):
        self._fleet.directory.on_store_back(time.monotonic())

    @handler("engine_reported")
    def _on_engine_report(self, report):
        now_s = time.monotonic()
        if self._fleet.on_report(report, now_s):
            self._check_waiting(now_s)

    @handler("entry_reported")
    def _on_entry_report(self, report: EntryReport):
        now_s = time.monotonic()
        self._quota.on_report(report.sender, report.granted, now_s, report.remembers)
        vm = report.sender.vm
        self._fleet.board.on_peer(vm, report.running, report.unread_tokens, now_s)

    @handler("crash_reported")
    def _on_crash_report(self, report):
        self._crashes.on_report(report, time.monotonic())

    # Requests.

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        now_s = time.monotonic()
        if self._deployment is None:
            text = "this entry has not read its configuration yet"
            refusal = make_refusal(
                RefusalReason.CONFIGURATION_STALE, text, STARTING_RETRY_S
            )
            self._refuse_early(http, "", refusal)
            return
        if now_s >= self._accept_until_s:
            text = "this entry is leaving"
            refusal = make_refusal(RefusalReason.LEAVING, text, LEAVING_RETRY_S)
            self._refuse_early(http, "", refusal)
            return
        try:
            opaque = self._codec.decode_request(http)
        except ChervilError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            self._refuse_early(http, "", refusal)
            return
        result = self._pipeline(Incoming(opaque, self._deployment), now_s)
        if not is_successful(result):
            self._refuse_early(http, opaque.attempt, result.failure())
            return
        admitted = result.unwrap()
        customer = admitted.customer.customer if admitted.customer else ""
        digest = request_digest(customer, f"{opaque.method} {opaque.target}", http.body)
        exchange = make_exchange(http.exchange, http.server, admitted, digest, now_s)
        self._exchanges[http.exchange] = exchange
        self._budget(admitted.service).on_request(now_s)
        if opaque.model is not None:
            self._demand.on_request(opaque.model, now_s)
        blocked = self._crashes.check(digest, now_s)
        if not is_successful(blocked):
            self._fail(exchange, blocked.failure(), now_s)
            return
        self._attempt(exchange, now_s)

    def _refuse_early(self, http: HttpRequest, attempt: str, refusal: Refusal):
        reply = self._codec.encode_refusal(refusal)
        log_event(
            "request_refused",
            request=attempt,
            reason=refusal.reason,
            status=reply[0],
            retry_after_s=refusal.retry_after_s,
            version=self._deployment.version if self._deployment else None,
        )
        self.fire(http_reply(HttpReply(http.exchange, *reply)), http.server)
        self.fire(refusal_counted(refusal.reason.value), "metrics")

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self._retries.get(service)
        if budget is None:
            bounds = self._options.bounds
            entries = self._quota.entries(time.monotonic())
            # A burst and one refill may fall into one window.
            slack = RETRY_SHARE * bounds.retry_slack / entries / 2
            budget = self._retries[service] = make_retry_budget(
                ratio=RETRY_SHARE * bounds.retry_ratio,
                refill_per_s=slack / bounds.retry_window_s,
                burst=max(1.0, slack),
                now_s=time.monotonic(),
            )
        return budget

    def _attempt(self, exchange: Exchange, now_s: float):
        """Choose a server and send the request, or wait for its adapter."""
        admitted = exchange.admitted
        opaque, service = admitted.opaque, admitted.service
        candidates = self._fleet.candidates(
            service,
            opaque,
            exchange.tried | exchange.refused_by,
            self._own_limit(service, now_s),
            now_s,
        )
        request = DispatchRequest(
            self._options.zone,
            opaque.model,
            opaque.prompt_tokens or 0,
            first_token_limit_s(admitted),
        )
        chosen = choose_server(request, candidates)
        if not is_successful(chosen):
            refusal = chosen.failure()
            run = exchange.run_state
            if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
                refusal = self._wait_for_model(exchange, refusal, now_s)
                if refusal is None:
                    return
            if run is not RunState.NOT_RUN:
                refusal = Refusal(refusal.reason, run, refusal.detail)
            self._fail(exchange, refusal, now_s)
            return
        choice: ServerChoice = chosen.unwrap()
        server = self._fleet.directory.find(choice.server)
        if opaque.model is None or self._fleet.report_of(server, now_s) is None:
            self._send(exchange, choice.server, choice.unread_tokens, now_s)
        else:
            self._ask_turn(exchange, choice, now_s)

    def _ask_turn(self, exchange: Exchange, choice: ServerChoice, now_s: float):
        """Wait for the engine's agent, which lets prompts be read one at a time."""
        self._leave_queue(exchange)
        exchange.stage, exchange.server = Stage.WAITING_FOR_TURN, choice.server
        exchange.turn = RequestId(self._options.me, next(self._turn_numbers))
        exchange.unread = choice.unread_tokens
        self._by_turn[exchange.turn] = exchange
        self._fleet.board.on_sent(choice.server, exchange.unread)
        self._repeat_turn(exchange, now_s)

    def _repeat_turn(self, exchange: Exchange, now_s: float):
        admitted = exchange.admitted
        limit_s = first_token_limit_s(admitted)
        customer = admitted.customer
        wanted = TurnWanted(
            exchange.turn,
            "",
            exchange.server,
            admitted.opaque.model,
            admitted.opaque.adapter or "",
            customer.customer if customer else CustomerId(""),
            exchange.unread,
            urgency_of(admitted.rank),
            exchange.started_s + limit_s - now_s,
        )
        self.fire(agent_send(exchange.server, wanted), "gossip")

    @handler("turn_answered")
    def _on_turn(self, answer):
        exchange = self._by_turn.get(answer.turn)
        now_s = time.monotonic()
        if exchange is None:
            if isinstance(answer, TurnGiven):
                # The caller left or the request went elsewhere meanwhile.
                self._end_turn(answer.turn, ServerId(answer.server))
            return
        if exchange.stage is not Stage.WAITING_FOR_TURN:
            return
        if isinstance(answer, TurnGiven):
            self._fleet.board.on_ended(exchange.server, exchange.unread)
            self._send(exchange, exchange.server, exchange.unread, now_s)
            return
        log_event(
            "turn_refused",
            request=exchange.admitted.opaque.attempt,
            server=answer.server,
            detail=answer.detail,
        )
        exchange.refused_by.add(exchange.server)
        self._leave_queue(exchange)
        self._attempt(exchange, now_s)

    def _leave_queue(self, exchange: Exchange):
        """Give up the place in an engine's queue, if the request has one."""
        if exchange.turn is None:
            return
        if exchange.stage is Stage.WAITING_FOR_TURN:
            self._fleet.board.on_ended(exchange.server, exchange.unread)
            exchange.unread = 0
        self._by_turn.pop(exchange.turn, None)
        self._end_turn(exchange.turn, exchange.server)
        exchange.turn = None

    def _end_turn(self, turn: RequestId, server: ServerId):
        self.fire(agent_send(server, TurnEnded(turn, server)), "gossip")

    def _wait_for_model(
        self, exchange: Exchange, refusal: Refusal, now_s: float
    ) -> Refusal | None:
        """Wait for a load that ends while the caller still waits, else refuse."""
        admitted = exchange.admitted
        rule = self._deployment.services.get(admitted.service)
        engine = rule.engine if rule is not None else None
        spec = engine.models.get(admitted.opaque.model) if engine is not None else None
        if spec is None or not exchange.may_send_again():
            return refusal
        outlook = self._fleet.load_outlook(admitted.service, spec, now_s)
        limit_s = MODEL_WAIT_SHARE * first_token_limit_s(admitted)
        since_s = exchange.last_byte_s if exchange.head_passed else exchange.started_s
        waited_s = now_s - since_s
        in_time = waited_s + outlook.ready_in_s <= limit_s
        if in_time and (outlook.under_way or waited_s < PLAN_WAIT_S):
            exchange.stage = Stage.WAITING_FOR_MODEL
            exchange.server = None
            self._report_soon = True
            return None
        retry_s = outlook.ready_in_s + LOADED_MARGIN_S
        return Refusal(refusal.reason, refusal.run, refusal.detail, retry_s)

    def _own_limit(self, service: ServiceName, now_s: float) -> int:
        rule = self._deployment.services.get(service)
        if rule is None:
            return 0
        share = CONNECTION_SHARE * rule.max_connections / self._quota.entries(now_s)
        return max(1, int(share))

    def _check_waiting(self, now_s: float):
        for exchange in list(self._exchanges.values()):
            if exchange.stage is Stage.WAITING_FOR_MODEL:
                self._attempt(exchange, now_s)

    def _send(self, exchange: Exchange, name: ServerId, unread: int, now_s: float):
        opaque, admitted = exchange.admitted.opaque, exchange.admitted
        server = self._fleet.directory.find(name)
        exchange.stage, exchange.server = Stage.SENT, name
        exchange.server_started_ms = server.started_ms
        exchange.sends += 1
        exchange.tried.add(name)
        exchange.may_have_run.add(name)
        exchange.unread = unread
        exchange.answer, exchange.body, exchange.sent_s = None, [], now_s
        exchange.call = f"{exchange.server_channel}-{exchange.number}-{exchange.sends}"
        self._by_call[exchange.call] = exchange
        self._fleet.on_sent(name, opaque, unread, now_s)
        last_event = opaque.last_event
        if exchange.cutter is not None and exchange.cutter.last_id is not None:
            last_event = exchange.cutter.last_id
        customer: CustomerRule | None = admitted.customer
        request = ServerRequest(
            opaque,
            name,
            exchange.give_up_s - now_s,
            customer.customer if customer else None,
            admitted.rank,
            last_event,
        )
        limit_s = max(0.1, exchange.give_up_s - now_s) + 1.0
        call = HttpCall(
            exchange.call,
            self.channel,
            server.address,
            opaque.method,
            opaque.target,
            self._codec.encode_request(request),
            opaque.body,
            timeout_s=limit_s,
            idle_timeout_s=limit_s,
            stream=True,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            forwarded=True,
            echo=self._codec.echo(opaque.attempt),
        )
        self.fire(http_call(call), "server-client")

    # Answers.

    @handler("call_head")
    def _on_head(self, head):
        exchange = self._by_call.get(head.call)
        if exchange is None:
            return
        answer = self._codec.decode_answer(head.status, head.headers)
        exchange.answer = answer
        if answer.not_run:
            exchange.stage = Stage.DISCARDING
            return
        is_error = answer.status >= 500
        if not answer.sealed or answer.encoded:
            # Not an answer of the server's own: what is behind it is unknown.
            exchange.stage = Stage.DISCARDING
            return
        self._fleet.board.on_answer(exchange.server, is_error)
        is_long = (answer.length_bytes or 0) > LONG_BODY_BYTES
        if is_error and self._may_retry(exchange):
            exchange.stage = Stage.DISCARDING
        elif exchange.is_stream or is_long:
            self._begin_relay(exchange)
        else:
            exchange.stage = Stage.BUFFERING

    def _may_retry(self, exchange: Exchange) -> bool:
        return not exchange.head_passed and exchange.may_send_again()

    def _begin_relay(self, exchange: Exchange):
        exchange.stage = Stage.RELAYING
        if exchange.head_passed:
            return
        exchange.head_passed = True
        answer = exchange.answer
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
            self._on_started(exchange, now_s)
            if exchange.stage is Stage.BUFFERING:
                exchange.body.append(part.data)
            elif exchange.stage is Stage.RELAYING:
                data = part.data
                if exchange.cutter is not None:
                    data = exchange.cutter.feed(data)
                if data:
                    passed[exchange.server_channel].append(
                        HttpPart(exchange.number, data)
                    )
        for server_channel, found in passed.items():
            self.fire(http_push_data(found), server_channel)

    def _on_started(self, exchange: Exchange, now_s: float):
        if exchange.first_byte_s is None:
            exchange.first_byte_s = now_s
        else:
            pause_s = now_s - exchange.last_byte_s
            exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
        exchange.last_byte_s = now_s
        if exchange.unread:
            self._fleet.board.on_started(exchange.server, exchange.unread)
            exchange.unread = 0
        self._leave_queue(exchange)

    @handler("call_done")
    def _on_done(self, done):
        exchange = self._by_call.pop(done.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        self._release(exchange)
        self._crashes.on_completed(exchange.digest)
        served = exchange.stage is not Stage.DISCARDING
        result = "served" if served else "not_served"
        self.fire(attempt_counted(result), "metrics")
        match exchange.stage:
            case Stage.DISCARDING:
                self._on_not_served(exchange, now_s)
            case Stage.BUFFERING:
                answer = exchange.answer
                headers = tuple(
                    pair for pair in answer.headers if pair[0] != "Content-Length"
                )
                body = b"".join(exchange.body)
                reply = HttpReply(exchange.number, answer.status, headers, body)
                self.fire(http_reply(reply), exchange.server_channel)
                self._end(exchange, "answered", now_s)
            case Stage.RELAYING:
                rest = exchange.cutter.rest() if exchange.cutter else b""
                if rest:
                    parts = [HttpPart(exchange.number, rest)]
                    self.fire(http_push_data(parts), exchange.server_channel)
                end = http_push_end(exchange.number, True)
                self.fire(end, exchange.server_channel)
                self._end(exchange, "answered", now_s)

    def _on_not_served(self, exchange: Exchange, now_s: float):
        """Go on after an answer that is not passed to the caller."""
        answer = exchange.answer
        if answer.not_run:
            exchange.may_have_run.discard(exchange.server)
        log_event(
            "attempt_not_served",
            request=exchange.admitted.opaque.attempt,
            server=exchange.server,
            status=answer.status,
            not_run=answer.not_run,
        )
        self._again(exchange, f"the server answered {answer.status}", now_s)

    @handler("call_failed")
    def _on_failed(self, failed):
        exchange = self._by_call.pop(failed.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        server = exchange.server
        self._release(exchange)
        if not failed.sent:
            exchange.may_have_run.discard(server)
            ejected_s = self._fleet.board.on_unreachable(server, now_s)
            log_event("server_unreachable", server=server, ejected_s=ejected_s)
        elif failed.broken:
            self._fleet.board.on_answer(server, True)
            report = self._crashes.on_broken(
                server, exchange.server_started_ms, exchange.digest, now_s
            )
            if report is not None:
                self.fire(crash_shared(report), "gossip")
        self.fire(attempt_counted("failed" if failed.sent else "unreached"), "metrics")
        log_event(
            "attempt_failed",
            request=exchange.admitted.opaque.attempt,
            server=server,
            sent=failed.sent,
            head_passed=exchange.head_passed,
            detail=failed.detail,
        )
        self._again(exchange, failed.detail, now_s)

    def _again(self, exchange: Exchange, detail: str, now_s: float):
        """Try another server if that is allowed, else tell the caller."""
        if exchange.may_resume() and now_s < exchange.give_up_s:
            never_arrived = not exchange.may_have_run and exchange.answer is None
            budget = self._budget(exchange.admitted.service)
            if never_arrived or budget.try_retry(1, 0.0, now_s) is not None:
                if exchange.cutter is not None:
                    exchange.cutter.drop_partial()
                self._attempt(exchange, now_s)
                return
        reason = RefusalReason.BACKEND_LOST
        if exchange.answer is not None and exchange.answer.not_run:
            reason = RefusalReason.QUEUE_FULL
        retry_s = STARTING_RETRY_S
        self._fail(
            exchange, Refusal(reason, exchange.run_state, detail, retry_s), now_s
        )

    def _release(self, exchange: Exchange):
        self._leave_queue(exchange)
        self._fleet.board.on_ended(exchange.server, exchange.unread)
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
        if exchange.admitted.customer is not None and not exchange.may_have_run:
            self._quota.cancel(
                exchange.admitted.customer.customer, exchange.admitted.charge
            )
        self._end(exchange, refusal.reason.value, now_s, refusal)

    def _end(self, exchange: Exchange, outcome: str, now_s: float, refusal=None):
        self._leave_queue(exchange)
        exchange.stage = Stage.ENDED
        self._exchanges.pop(exchange.number, None)
        fields = {}
        if refusal is not None:
            fields = {
                "run": refusal.run,
                "detail": refusal.detail,
                "retry_after_s": refusal.retry_after_s,
            }
            self.fire(refusal_counted(refusal.reason.value), "metrics")
        first_s = exchange.first_byte_s
        counted = request_counted(
            exchange.admitted.route.kind.value,
            outcome,
            None if first_s is None else first_s - exchange.started_s,
            exchange.longest_pause_s,
        )
        self.fire(counted, "metrics")
        log_event(
            "request_ended",
            request=exchange.admitted.opaque.attempt,
            route=exchange.admitted.route.name,
            model=exchange.admitted.opaque.model,
            adapter=exchange.admitted.opaque.adapter,
            server=exchange.server,
            outcome=outcome,
            sends=exchange.sends,
            first_byte_s=first_s and round(first_s - exchange.started_s, 4),
            longest_pause_s=round(exchange.longest_pause_s, 4),
            took_s=round(now_s - exchange.started_s, 4),
            **fields,
        )
        self._check_drained()

    @handler("http_gone")
    def _on_gone(self, number: int):
        exchange = self._exchanges.get(number)
        if exchange is None:
            return
        if self._by_call.pop(exchange.call, None) is not None:
            self.fire(http_call_cancel(exchange.call), "server-client")
            self._release(exchange)
        self._end(exchange, "caller_left", time.monotonic())

    # Time.

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for exchange in list(self._exchanges.values()):
            if now_s >= exchange.give_up_s:
                self._time_out(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_TURN:
                self._wait_for_turn(exchange, now_s)
            elif exchange.stage is Stage.WAITING_FOR_MODEL:
                self._attempt(exchange, now_s)
        self._ticks += 1
        if self._ticks % REPORT_EVERY_TICKS == 0 or self._report_soon:
            self._report_soon = False
            self._report(now_s)
        if self._ticks % 10 == 0:
            self.fire(in_progress_counted(len(self._exchanges)), "metrics")
            self._fleet.directory.forget_gone(now_s)

    def _wait_for_turn(self, exchange: Exchange, now_s: float):
        """Ask again, as a datagram may be lost, or choose another engine."""
        server = self._fleet.directory.find(exchange.server)
        if self._fleet.report_of(server, now_s) is None:
            self._leave_queue(exchange)
            self._attempt(exchange, now_s)
        else:
            self._repeat_turn(exchange, now_s)

    def _time_out(self, exchange: Exchange, now_s: float):
        if self._by_call.pop(exchange.call, None) is not None:
            self.fire(http_call_cancel(exchange.call), "server-client")
            self._release(exchange)
        text = "no answer within the time-out of the route or the caller's deadline"
        reason = RefusalReason.DEADLINE_UNREACHABLE
        self._fail(exchange, Refusal(reason, exchange.run_state, text), now_s)

    def _report(self, now_s: float):
        running, unread = self._fleet.board.report()
        rates = self._demand.rates(now_s)
        report = EntryReport(
            self._options.me,
            "",
            self._quota.granted(now_s),
            running,
            unread,
            rates,
            self._running_by_model(),
            self._draining,
            self._quota.remembers(now_s),
        )
        self.fire(entry_report_due(report), "gossip")
        servers = self._fleet.directory.present(now_s)
        self.fire(servers_known(servers), "gossip", "planner")

    def _running_by_model(self) -> dict[str, int]:
        """Return the requests in progress, those that wait for an engine included."""
        models = [
            exchange.admitted.opaque.model for exchange in self._exchanges.values()
        ]
        return dict(Counter(model for model in models if model is not None))

    # The end of the process.

    @handler("drain", channel="*")
    def _on_drain(self):
        self._draining = True
        self._accept_until_s = time.monotonic() + LEAVING_ACCEPT_S
        self._check_drained()

    def _check_drained(self):
        if self._draining and not self._exchanges:
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
