"""Gateway task: owns the requests in flight, from reservation to settlement."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.configuration.lookups import defaults, lifted_blocks
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.core.ids import Incarnation, ZoneId
from chervilgw.core.messages import Cancel, Refused, Started
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RunState
from chervilgw.entry.account import Abandoned, Unused, Used, settle
from chervilgw.entry.attempts import make_attempts
from chervilgw.entry.inflight import Inflight, Stage, refuse_without_retry_budget
from chervilgw.entry.messages import Priced
from chervilgw.entry.request_metrics import record_first_token, record_refusal
from chervilgw.entry.suspects import make_suspects
from chervilgw.entry.writers import error_reply, make_writer
from chervilgw.keys.authenticate import check_identity
from chervilgw.membership.task import FleetSnapshot
from chervilgw.relay.outputs import (
    Complete,
    Deliver,
    Fail,
    Resume,
    SendCancel,
    SendQuery,
)
from chervilgw.routing.retries import make_retry_budget
from chervilgw.runtime.control_events import (
    crash_seen,
    drained,
    quota_abandon,
    quota_cancel,
    quota_reserve,
    quota_settle,
    quota_started,
)
from chervilgw.runtime.events import HttpPart, http_push_data, peer_send
from chervilgw.telemetry import Metrics, log_event, table

# A cancelled attempt counts as ended after this time without an answer of its sidecar.
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of the gateway task."""

    incarnation: Incarnation
    zone: ZoneId


class Gateway(BaseComponent):
    """Gateway task; see :func:`make_gateway`."""

    def __init__(self, options: GatewayOptions, metrics: Metrics, channel):
        super().__init__(channel=channel)
        self._metrics = metrics
        self._state: ConfigurationState = empty_state()
        self._requests: dict[int, Inflight] = {}
        self._attempts = make_attempts(options.incarnation, options.zone)
        self._retries = make_retry_budget(now_s=time.monotonic())
        self._suspects = make_suspects()
        self._connected: set[Incarnation] = set()
        self._parts: list[HttpPart] = []
        self._closing = self._drained = False

    @handler("request_priced")
    def _on_priced(self, priced: Priced, request_id: str):
        now_s = time.monotonic()
        blocked = self._suspects.check(priced.digest, _wall_ms())
        if not is_successful(blocked):
            record_refusal(self._metrics, blocked.failure())
            reply = error_reply(priced.exchange, request_id, blocked.failure())
            self.fire(reply, "http")
            return
        writer = make_writer(priced, request_id)
        request = Inflight(priced, request_id, writer, now_s)
        request.suspect_of = self._suspects.crashes_of(priced.digest)
        self._requests[priced.exchange] = request
        self._retries.on_request(now_s)
        self._metrics.record(table.REQUESTS, label=priced.budget or "open")
        if priced.budget is None:
            self._start_attempt(request, now_s)
            return
        reserve = (request.token, priced.budget, priced.charge_tokens, self.channel)
        self.fire(quota_reserve(*reserve), "quota")

    def _request_of_token(self, token: str) -> Inflight | None:
        return self._requests.get(int(token.rpartition("/")[2]))

    @handler("quota_granted")
    def _on_granted(self, token, debit):
        request = self._request_of_token(token)
        if request is None:
            self.fire(quota_cancel(debit), "quota")
            return
        request.debit = debit
        self._start_attempt(request, time.monotonic())

    @handler("quota_denied")
    def _on_denied(self, token, refusal):
        request = self._request_of_token(token)
        if request is not None:
            self._fail(request, refusal)

    def _start_attempt(self, request: Inflight, now_s):
        result = self._attempts.route(request, random.random(), now_s)
        if not is_successful(result):
            self._on_no_server(request, result.failure(), now_s)
            return
        routed = result.unwrap()
        if routed.choice.needs_load:
            log_event(
                "attempt_needs_load",
                attempt=str(routed.message.request_id),
                vm=routed.vm,
                target=routed.message.target,
            )
        server = self._attempts.begin(request, routed, now_s)
        self._metrics.record(table.ATTEMPTS)
        self.fire(peer_send(server, routed.message), "links")

    def _on_no_server(self, request: Inflight, refusal: Refusal, now_s):
        if request.wait_for_server(now_s):
            return
        if request.stream is not None and not request.stream.ended:
            self._apply(request, request.stream.give_up(refusal), now_s)
        else:
            self._fail(request, refusal)

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        now_s = time.monotonic()
        for message in messages:
            exchange = self._attempts.exchange_of(message.request_id)
            request = self._requests.get(exchange) if exchange is not None else None
            if request is not None and message.request_id == request.attempt:
                self._on_answer(request, message, now_s)
        self._send_parts()

    def _on_answer(self, request: Inflight, message, now_s):
        if request.stage is Stage.STOPPING:
            self._on_stopped(request, message, now_s)
            return
        if not isinstance(message, Refused) and not request.started:
            self._on_started(request, message)
        if isinstance(message, Refused) and message.crash is not None:
            self._on_crash(request, message, now_s)
        self._apply(request, request.stream.on_message(message, now_s), now_s)

    def _on_started(self, request: Inflight, message):
        if isinstance(message, Started):
            request.started = True
            request.stage = Stage.RUNNING
            if request.debit is not None:
                self.fire(quota_started(request.debit), "quota")

    def _on_crash(self, request: Inflight, message: Refused, now_s):
        self._suspects.on_crash(request, message.crash, _wall_ms())
        blocked = self._suspects.check(request.priced.digest, _wall_ms())
        if not is_successful(blocked):
            cause = blocked.failure()
            self._apply(request, request.stream.give_up(cause), now_s)

    def _apply(self, request: Inflight, outputs, now_s):
        for output in outputs:
            match output:
                case Deliver(data):
                    if request.first_token_s is None:
                        request.first_token_s = now_s
                        record_first_token(self._metrics, request, self._state, now_s)
                        self._fire_all(request.writer.begin())
                    part = request.writer.part(data)
                    if part is not None:
                        self._parts.append(part)
                case SendQuery(message) | SendCancel(message):
                    self.fire(peer_send(request.server, message), "links")
                case Resume():
                    self._resume(request, output, now_s)
                case Complete():
                    self._complete(request, output, now_s)
                case Fail(refusal):
                    self._fail(request, refusal)

    def _resume(self, request: Inflight, resume: Resume, now_s):
        request.resume = resume
        self._attempts.end(request)
        request.excluded.add(request.server.vm)
        refusal = request.check_retry()
        if refusal is None:
            delay_s = self._retries.try_retry(request.attempts, random.random(), now_s)
            if delay_s is not None:
                request.stage = Stage.WAITING_TO_RETRY
                request.retry_at_s = now_s + delay_s
                self._metrics.record(table.RETRIES)
                return
            refusal = refuse_without_retry_budget()
        cause = Refusal(
            refusal.reason, resume.cause.run, resume.cause.detail, refusal.retry_after_s
        )
        self._apply(request, request.stream.give_up(cause), now_s)

    def _complete(self, request: Inflight, answer: Complete, now_s):
        report = self._suspects.on_complete(request, _wall_ms())
        if report is not None:
            self.fire(crash_seen(report), "crashes")
        self._fire_all(request.writer.complete(answer))
        self._end(request, request.used_tokens(answer.prompt_tokens))

    def _fail(self, request: Inflight, refusal: Refusal):
        record_refusal(self._metrics, refusal)
        self._fire_all(request.writer.fail(refusal))
        ran = request.started or refusal.run is not RunState.NOT_RUN
        self._end(request, request.used_tokens(0) if ran else None)

    def _end(self, request: Inflight, used_tokens: int | None):
        """End a request; ``used_tokens`` is None if it certainly did not run."""
        match settle(request, used_tokens):
            case Used(debit, tokens):
                self.fire(quota_settle(debit, tokens), "quota")
                self._metrics.record(table.TOKENS, tokens, request.priced.budget)
            case Unused(debit):
                self.fire(quota_cancel(debit), "quota")
            case Abandoned(token, budget):
                self.fire(quota_abandon(token, budget), "quota")
        self._attempts.end(request)
        del self._requests[request.priced.exchange]
        self._check_drained()

    def _send_parts(self):
        """Send the parts from one read of a peer to their callers in one event."""
        if self._parts:
            parts, self._parts = self._parts, []
            self.fire(http_push_data(parts), "http")

    def _fire_all(self, events):
        self._send_parts()
        for event in events:
            self.fire(event, "http")

    @handler("caller_gone")
    def _on_caller_gone(self, exchange):
        request = self._requests.get(exchange)
        if request is not None:
            self._cancel(request)

    def _cancel(self, request: Inflight):
        if request.stage in (Stage.ATTEMPTING, Stage.RUNNING):
            # The debit is settled when the sidecar confirms the end, so that tokens
            # produced until then are charged.
            request.stage = Stage.STOPPING
            request.stopping_since_s = time.monotonic()
            cancel = Cancel(request.attempt)
            self.fire(peer_send(request.server, cancel), "links")
        elif request.stage is not Stage.STOPPING:
            not_run = request.run_state() is RunState.NOT_RUN
            self._end(request, None if not_run else request.used_tokens(0))

    def _on_stopped(self, request: Inflight, message, now_s):
        request.stream.on_message(message, now_s)
        if isinstance(message, Started):
            self._on_started(request, message)
            request.stage = Stage.STOPPING
        if isinstance(message, Refused) or request.stream.ended:
            not_run = isinstance(message, Refused) and message.run is RunState.NOT_RUN
            never_ran = not_run and not request.started
            self._end(request, None if never_ran else request.used_tokens(0))

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        self._state = state
        self._suspects.configure(defaults(state).crash_block_s, lifted_blocks(state))
        for request in list(self._requests.values()):
            identity = request.priced.identity
            if identity is None or request.stage is Stage.STOPPING:
                continue
            checked = check_identity(state, identity.key_id, identity.customer)
            if not is_successful(checked):
                self._end_withdrawn(request, checked.failure())

    def _end_withdrawn(self, request: Inflight, refusal: Refusal):
        """End a request with a withdrawn key; a sent service call runs to its end."""
        if self._attempts.is_open(request) and request.priced.request is None:
            return
        outcome = Refusal(refusal.reason, request.run_state(), refusal.detail)
        self._fire_all(request.writer.fail(outcome))
        self._cancel(request)

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet: FleetSnapshot):
        now_s = time.monotonic()
        self._attempts.set_fleet(fleet, now_s)
        current = {server.incarnation for server in fleet.servers}
        for request in list(self._requests.values()):
            if not self._attempts.is_open(request):
                continue
            if request.server not in current and request.server not in self._connected:
                self._on_server_lost(request, now_s)
        for report in self._suspects.pop_confirmed(fleet, now_s, _wall_ms()):
            self.fire(crash_seen(report), "crashes")

    def _on_server_lost(self, request: Inflight, now_s):
        if request.stage is Stage.STOPPING:
            self._end(request, request.used_tokens(0))
            return
        self._suspects.on_server_lost(request, now_s)
        detail = "the backend server was lost"
        self._apply(request, request.stream.on_server_lost(detail), now_s)

    @handler("crash_known", channel="*")
    def _on_crash_known(self, report):
        self._suspects.on_crash_report(report, _wall_ms())

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        self._connected.add(peer.incarnation)
        now_s = time.monotonic()
        for request in self._requests_at(peer.incarnation):
            if request.stage is Stage.STOPPING:
                self.fire(peer_send(request.server, Cancel(request.attempt)), "links")
            else:
                outputs = request.stream.on_connection_lost(now_s)
                self._apply(request, outputs, now_s)

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        self._connected.discard(peer.incarnation)
        now_s = time.monotonic()
        for request in self._requests_at(peer.incarnation):
            if request.stage is not Stage.STOPPING:
                request.stream.on_connection_lost(now_s)

    def _requests_at(self, incarnation) -> list[Inflight]:
        return [
            request
            for request in self._requests.values()
            if request.server == incarnation and self._attempts.is_open(request)
        ]

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for request in list(self._requests.values()):
            if request.stage is Stage.WAITING_TO_RETRY:
                if now_s >= request.retry_at_s:
                    self._start_attempt(request, now_s)
            elif request.stage is Stage.STOPPING:
                if now_s >= request.stopping_since_s + STOP_TIMEOUT_S:
                    self._end(request, request.used_tokens(0))
            elif request.stage in (Stage.ATTEMPTING, Stage.RUNNING):
                outputs = request.stream.tick(now_s)
                if any(isinstance(output, Resume) for output in outputs):
                    self._suspects.on_server_lost(request, now_s)
                self._apply(request, outputs, now_s)
        self._metrics.record(table.STREAMS, len(self._requests))

    @handler("front_closed")
    def _on_front_closed(self):
        self._closing = True
        self._check_drained()

    def _check_drained(self):
        if self._closing and not self._requests and not self._drained:
            self._drained = True
            log_event("gateway_drained")
            self.fire(drained("gateway"), "role")


def _wall_ms() -> int:
    return int(time.time() * 1000)


def make_gateway(options: GatewayOptions, metrics, channel="gateway") -> Gateway:
    """Return a gateway task.

    Parameters
    ----------
    options : GatewayOptions
        Identity of this entry.
    metrics : Metrics
        Records requests, attempts, tokens and refusals.
    channel : str
        Channel of the task.

    Returns
    -------
    Gateway
    """
    return Gateway(options, metrics, channel)
