"""Base of the gateway task: sends requests to servers and relays their answers."""

from __future__ import annotations

import time
from collections import defaultdict
from http import HTTPStatus

from circuits import Event, handler

from chervilgw.codec.event_stream import EventOrderError
from chervilgw.core.answers import AnswerKind, proves_survival
from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import Incarnation
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.exchange import Exchange, Stage
from chervilgw.forward.metrics_task import attempt_counted
from chervilgw.forward.request_log import log_attempt_failed, log_attempt_not_served
from chervilgw.forward.server_messages import make_server_call
from chervilgw.forward.turn_requester import TurnRequester
from chervilgw.routing.stream_pace import make_stream_pace
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    http_call,
    http_call_cancel,
    http_call_pause,
    http_call_resume,
    http_call_withdraw,
    http_push_data,
    http_push_end,
    http_push_start,
    http_reply,
)

# A process reads its configuration within some tenths of a second after its start, and
# a failed server is replaced or ejected in that time.
TRANSIENT_RETRY_AFTER_S = 0.5
# Answers of plain services are buffered up to this size, so that the request can be
# retried if the answer is cut off; longer ones are relayed. A discarded answer is read
# up to this size, so that its connection can be kept.
MAX_BUFFERED_BODY_BYTES = 1_048_576
# Bound for the buffered and discarded answers of all requests; the answer that exceeds
# it is treated as a long one.
MAX_BUFFERED_BYTES = 4_194_304


class push_due(Event):  # noqa: N801
    """Pass on a part of an answer: event, channel of its server task."""


class AnswerRelay(TurnRequester):
    """Task that owns the attempts at servers, from the send to the end of the answer.

    Subclasses define ``attempt``, which chooses a server, ``allows_retry``, which says
    whether the retry budget covers one more attempt, ``fail``, which refuses a request,
    and ``end``, which ends it.
    """

    def __init__(self, incarnation: Incarnation, codec: FrontCodec, channel):
        super().__init__(incarnation, channel)
        self.codec = codec
        self.pace = make_stream_pace()
        self._by_call: dict[str, Exchange] = {}
        self._exchanges: dict[int, Exchange] = {}
        self._buffered_bytes = 0
        self._delayed_pushes = 0

    def send(
        self, exchange: Exchange, server: ServerId, unread_tokens: int, now_s: float
    ):
        """Send the request to a server."""
        registered = self.fleet.directory.find(server)
        exchange.begin_attempt(server, registered.started_ms, unread_tokens)
        exchange.binding.on_sent(registered)
        exchange.known_strikes = self.suspicions.strikes(exchange.traits)
        exchange.sent_s = now_s
        self._by_call[exchange.call] = exchange
        self.begin_work(exchange)
        self.fleet.on_sent(server, exchange.admitted.opaque, unread_tokens, now_s)
        call = make_server_call(exchange, self.fleet, self.codec, self.channel, now_s)
        self.fire(http_call(call), "server-client")

    @handler("call_head")
    def _on_head(self, head):
        exchange = self._by_call.get(head.call)
        if exchange is None:
            return
        answer = self.codec.decode_answer(head.status, head.headers)
        exchange.on_head(answer, MAX_BUFFERED_BODY_BYTES)
        self.on_signals(
            exchange.server,
            exchange.server_started_ms,
            answer.signals,
            time.monotonic(),
        )
        self.record_refused(exchange, time.monotonic())
        if exchange.is_refused_by_another_server:
            self.on_disowned(exchange.server, exchange.server_started_ms)
        if answer.status != HTTPStatus.MISDIRECTED_REQUEST:
            # Else another server may have answered at the address.
            self.stopped_runs.on_answered(
                exchange.server, exchange.server_started_ms, exchange.sent_s
            )
        if answer.head.from_server and not answer.not_run:
            self.fleet.board.on_answer(exchange.server, answer.status >= 500)
        registered = self.fleet.directory.find(exchange.server)
        if exchange.stage is not Stage.RELAYING:
            return
        if not exchange.binding.admits(registered):
            self._on_other_version(exchange, time.monotonic())
        elif not exchange.head_forwarded:
            self._forward_head(exchange)

    def _on_other_version(self, exchange: Exchange, now_s: float):
        self.stop_attempt(exchange, now_s)
        detail = "the server was started anew with another software version"
        self._on_not_served(exchange, detail, now_s)

    def _may_relay(self, exchange: Exchange) -> bool:
        """Return whether the answer's server may write to the caller's stream."""
        if exchange.stage is not Stage.RELAYING or exchange.cutter is None:
            return True
        registered = self.fleet.directory.find(exchange.server)
        return exchange.binding.on_bytes(registered)

    def _forward_head(self, exchange: Exchange):
        answer, exchange.head_forwarded = exchange.answer, True
        start = HttpPushStart(exchange.number, answer.status, answer.headers)
        self.fire(http_push_start(start), exchange.server_channel)

    @handler("call_data")
    def _on_data(self, parts):
        now_s = time.monotonic()
        forwarded, is_agent_informed = defaultdict(list), False
        for part in parts:
            exchange = self._by_call.get(part.call)
            if exchange is None:
                continue
            if not self._may_relay(exchange):
                self._on_other_version(exchange, now_s)
                continue
            self._on_answer_bytes(exchange, now_s)
            before = exchange.unrelayed_bytes
            try:
                data = exchange.on_data(part.data)
                self.fleet.work.on_written(exchange.number, exchange.written_tokens)
            except EventOrderError as error:
                self.stop_attempt(exchange, now_s)
                self._on_not_served(exchange, str(error), now_s)
                continue
            self._buffered_bytes += exchange.unrelayed_bytes - before
            if exchange.unrelayed_bytes > before and (
                exchange.unrelayed_bytes > MAX_BUFFERED_BODY_BYTES
                or self._buffered_bytes > MAX_BUFFERED_BYTES
            ):
                data = self._on_long_body(exchange, now_s)
            if data:
                is_origin_sent = self.record_origin(exchange, now_s)
                if self.report_begun(exchange) or is_origin_sent:
                    is_agent_informed = True
                output = HttpPart(exchange.number, data)
                forwarded[exchange.server_channel].append(output)
        for server_channel, outputs in forwarded.items():
            self.push(http_push_data(outputs), server_channel, is_agent_informed)

    def push(self, event: Event, server_channel: str, is_agent_informed: bool = False):
        """Pass on a part or the end of an answer, in order.

        A message to an agent of this moment has to be sent first: a stream that a
        caller has seen begin must not be lost with this process. It takes one event
        more to its socket.
        """
        if is_agent_informed or self._delayed_pushes:
            self._delayed_pushes += 1
            self.fire(push_due(event, server_channel))
        else:
            self.fire(event, server_channel)

    @handler("push_due")
    def _on_push_due(self, push, server_channel):
        self._delayed_pushes -= 1
        self.fire(push, server_channel)

    def _on_long_body(self, exchange: Exchange, now_s: float) -> bytes:
        """Relay a long answer; abort one that is being discarded, as it may not end."""
        if exchange.stage is Stage.BUFFERING:
            self._forward_head(exchange)
            self._buffered_bytes -= exchange.unrelayed_bytes
            return exchange.start_relaying()
        self.stop_attempt(exchange, now_s)
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
        if not exchange.survived and exchange.is_past_beginning(now_s):
            self.on_survived(exchange, now_s)
        if exchange.unread_tokens:
            self.fleet.board.on_started(exchange.server, exchange.unread_tokens)
            exchange.unread_tokens = 0
        self.leave_queue(exchange, now_s, exchange.stage is Stage.RELAYING)

    @handler("http_push_blocked")
    def _on_push_blocked(self, number: int):
        self._set_reading(number, http_call_pause)

    @handler("http_push_unblocked")
    def _on_push_unblocked(self, number: int):
        self._set_reading(number, http_call_resume)

    def _set_reading(self, number: int, event):
        exchange = self._exchanges.get(number)
        if exchange is not None and exchange.call in self._by_call:
            self.fire(event(exchange.call), "server-client")

    @handler("call_done")
    def _on_done(self, done):
        exchange = self._by_call.pop(done.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        if exchange.stage is not Stage.DISCARDING and not exchange.is_cut_off:
            self.record_complete(exchange, now_s)
        self._release_server(exchange, now_s, is_done=True)
        if exchange.stage is Stage.DISCARDING:
            detail = f"the server answered {done.status}"
            self._on_not_served(exchange, detail, now_s)
            return
        if exchange.is_cut_off:
            detail = "the stream ended in the middle of an event"
            if not exchange.has_end:
                self.fleet.board.on_answer(exchange.server, True)
                self.on_server_lost(exchange, now_s)
            if exchange.stage is not Stage.ENDED:
                self._on_not_served(exchange, detail, now_s)
            return
        if exchange.has_end and proves_survival(exchange.answer_kind, done.status):
            self.on_survived(exchange, now_s)
        self.fire(attempt_counted("served"), "metrics")
        if exchange.stage is Stage.BUFFERING:
            reply = HttpReply(exchange.number, *exchange.buffered_answer())
            self.fire(http_reply(reply), exchange.server_channel)
        else:
            self._end_relay(exchange)
            self._record_pace(exchange, now_s)
        self.end(exchange, "answered", now_s)

    def _record_pace(self, exchange: Exchange, now_s: float):
        output_tokens = exchange.admitted.opaque.output_tokens
        if exchange.sends == 1 and exchange.answer.status == 200 and output_tokens:
            self.pace.on_ended(output_tokens, now_s - exchange.first_byte_s)

    def _end_relay(self, exchange: Exchange):
        rest = exchange.cutter.take_partial() if exchange.cutter else b""
        if rest:
            parts = [HttpPart(exchange.number, rest)]
            self.push(http_push_data(parts), exchange.server_channel)
        self.push(http_push_end(exchange.number, True), exchange.server_channel)

    @handler("call_failed")
    def _on_failed(self, failed):
        exchange = self._by_call.pop(failed.call, None)
        if exchange is None:
            return
        now_s = time.monotonic()
        server, ejected_s = exchange.server, None
        self._release_server(exchange, now_s)
        if failed.is_unsendable:
            exchange.may_have_run.discard(server)
            log_attempt_failed(exchange, failed, ejected_s, now_s)
            refusal = make_refusal(RefusalReason.BAD_REQUEST, failed.detail)
            self.fail(exchange, refusal, now_s)
            return
        if not failed.sent:
            exchange.may_have_run.discard(server)
            # A request that was withdrawn says nothing of its server.
            if not self.fleet.directory.is_evacuated(server):
                ejected_s = self.fleet.board.on_unreachable(server, now_s)
        elif failed.connection_lost or failed.is_malformed:
            self.fleet.board.on_answer(server, True)
        self.fire(attempt_counted("failed" if failed.sent else "unreached"), "metrics")
        log_attempt_failed(exchange, failed, ejected_s, now_s)
        if failed.sent and failed.connection_lost and not failed.is_silent:
            self.on_server_lost(exchange, now_s)
        if exchange.stage is not Stage.ENDED:
            self._retry_or_fail(exchange, failed.detail, now_s)

    def _retry_or_fail(self, exchange: Exchange, detail: str, now_s: float):
        """Try another server if that is allowed, else refuse the request."""
        if exchange.may_resume() and now_s < exchange.deadline_s:
            never_arrived = not exchange.may_have_run and exchange.answer is None
            service = exchange.admitted.service
            if never_arrived or self.allows_retry(service, now_s):
                if exchange.cutter is not None:
                    exchange.cutter.begin_continuation()
                    exchange.binding.on_interrupted(now_s)
                self.attempt(exchange, now_s)
                return
        reason = RefusalReason.BACKEND_LOST
        if exchange.answer_kind is AnswerKind.REFUSAL:
            reason = RefusalReason.QUEUE_FULL
        refusal = Refusal(reason, exchange.run_state, detail, TRANSIENT_RETRY_AFTER_S)
        self.fail(exchange, refusal, now_s)

    def _release_server(self, exchange: Exchange, now_s: float, is_done: bool = False):
        self.leave_queue(exchange, now_s)
        self.report_stream_end(exchange, is_done)
        self.fleet.board.on_ended(exchange.server, exchange.unread_tokens)
        self.fleet.work.end(exchange.number)
        exchange.unread_tokens = 0
        self._buffered_bytes -= exchange.unrelayed_bytes
        exchange.unrelayed_bytes = 0

    def on_evacuated(self, now_s: float):
        """Take back the requests that have not reached a server of an evacuated zone.

        A connection that is being opened, or a turn that is granted meanwhile, would
        else take a request there.
        """
        for exchange in list(self._exchanges.values()):
            if not self.fleet.directory.is_evacuated(exchange.server):
                continue
            if exchange.stage is Stage.SENT:
                self.fire(http_call_withdraw(exchange.call), "server-client")
            elif exchange.stage is Stage.WAITING_FOR_TURN:
                self.repeat_turn_request(exchange, now_s)

    def stop_attempt(self, exchange: Exchange, now_s: float):
        """Close the connection to the server, so that it stops work on the request."""
        if self._by_call.pop(exchange.call, None) is not None:
            self.fire(http_call_cancel(exchange.call), "server-client")
            self.on_run_stopped(exchange, now_s)
            self._release_server(exchange, now_s)
