"""Base of the gateway task: requests turns at engines."""

from __future__ import annotations

import time
from itertools import count

from circuits import handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import Incarnation, RequestId
from chervilgw.core.messages import StreamEnded, TurnGranted, TurnReleased
from chervilgw.crashes.suspicion import Ruling
from chervilgw.forward.dispatcher import Dispatcher
from chervilgw.forward.events import agent_send
from chervilgw.forward.exchange import Exchange, Stage
from chervilgw.forward.request_log import log_turn_refused
from chervilgw.forward.server_messages import make_turn_request
from chervilgw.forward.suspect_tracker import SuspectTracker

# A stream does not go on with a turn that was granted longer ago: its engine may have
# been started anew while this process stood still.
MAX_STREAM_TURN_AGE_S = 1.0


class TurnRequester(SuspectTracker):
    """Task that requests turns from the agents of engines.

    Subclasses define ``attempt``, which chooses a server, ``send``, which sends the
    request to the chosen server, and ``can_answer``, which says whether this process
    runs for long enough to relay the answer.
    """

    dispatcher: Dispatcher

    def __init__(self, incarnation: Incarnation, channel):
        super().__init__(incarnation, channel)
        self._by_turn: dict[RequestId, Exchange] = {}
        # Turns whose prompt was read, while the first event of a new stream is awaited.
        self._awaiting_event: dict[RequestId, Exchange] = {}
        self._turn_numbers = count(1)

    def request_turn(
        self, exchange: Exchange, server: ServerId, unread_tokens: int, now_s
    ):
        """Request a turn from the engine's agent, and wait for it."""
        self.leave_queue(exchange, now_s)
        turn = RequestId(self.incarnation, next(self._turn_numbers))
        exchange.request_turn(turn, server, unread_tokens, now_s)
        self._by_turn[exchange.turn] = exchange
        self.fleet.board.on_sent(server, unread_tokens)
        self.begin_work(exchange, is_sent=False)
        self._send_turn_request(exchange, now_s)

    def _send_turn_request(self, exchange: Exchange, now_s: float):
        request = make_turn_request(exchange, self.fleet, now_s)
        self.fire(agent_send(exchange.server, request), "gossip")

    @handler("turn_answered")
    def _on_turn(self, answer):
        exchange = self._by_turn.get(answer.turn)
        now_s = time.monotonic()
        if exchange is None:
            if isinstance(answer, TurnGranted):
                # The caller has left, or the request was sent to another server.
                self._release_turn(answer.turn, ServerId(answer.server))
            return
        if exchange.stage is not Stage.WAITING_FOR_TURN:
            return
        if isinstance(answer, TurnGranted) and not (
            self._is_recent(exchange, answer, now_s) and self._may_send(exchange, now_s)
        ):
            self.leave_queue(exchange, now_s)
            self.attempt(exchange, now_s)
            return
        if isinstance(answer, TurnGranted):
            self.fleet.board.on_ended(exchange.server, exchange.unread_tokens)
            exchange.end_turn_wait(now_s)
            exchange.stream_turn = answer.turn
            self.send(exchange, exchange.server, exchange.unread_tokens, now_s)
            return
        log_turn_refused(exchange, answer)
        exchange.on_turn_refused(answer.retry_after_s, answer.is_busy)
        self.leave_queue(exchange, now_s)
        self.attempt(exchange, now_s)

    def _is_recent(self, exchange: Exchange, granted: TurnGranted, now_s) -> bool:
        """Return whether a turn is recent enough to be used.

        A server may be cold, or was started anew with another software version.
        """
        server = self.fleet.directory.find(exchange.server)
        # The agent counted the wait from the arrival of the request, which was later.
        age_s = now_s - exchange.turn_requested_s - granted.waited_s
        if exchange.binding.version is not None and age_s > MAX_STREAM_TURN_AGE_S:
            return False
        return self.dispatcher.cold.is_turn_usable(server, age_s)

    def _may_send(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether what was decided when the turn was requested still holds.

        The engine may have given notice or asked for a pause since, and a trait of the
        request may have become a suspect.
        """
        ruling = self.rule_on(exchange, now_s).ruling
        is_sound = exchange.on_trial or ruling is Ruling.SEND
        is_sound = is_sound and self.can_answer(exchange, now_s)
        return is_sound and self._accepts(exchange, now_s)

    def _accepts(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether the chosen server may still get the request."""
        server = self.fleet.directory.find(exchange.server)
        is_accepted = self.fleet.accepts(exchange.server, now_s)
        return is_accepted and exchange.binding.admits(server)

    def repeat_turn_request(self, exchange: Exchange, now_s: float):
        """Repeat the request, as a datagram may be lost, or choose another engine."""
        server = self.fleet.directory.find(exchange.server)
        is_silent = self.fleet.fresh_report(server, now_s) is None
        if is_silent or not self._accepts(exchange, now_s):
            self.leave_queue(exchange, now_s)
            self.attempt(exchange, now_s)
        else:
            self._send_turn_request(exchange, now_s)

    def leave_queue(self, exchange: Exchange, now_s: float, was_read: bool = False):
        """Release the turn, or leave the engine's queue, if the request has either.

        ``was_read`` says that the engine has read the prompt.
        """
        if exchange.turn is None:
            return
        if exchange.stage is Stage.WAITING_FOR_TURN:
            self.fleet.board.on_ended(exchange.server, exchange.unread_tokens)
            self.fleet.work.end(exchange.number)
            exchange.end_turn_wait(now_s)
            exchange.unread_tokens = 0
        self._by_turn.pop(exchange.turn, None)
        self._release_turn(exchange.turn, exchange.server, was_read)
        if was_read and _begins_stream(exchange):
            self._awaiting_event[exchange.turn] = exchange
        exchange.turn = None

    def report_begun(self, exchange: Exchange) -> bool:
        """Inform the engine's agent that the engine began the caller's stream.

        Only a whole event counts, as callers get nothing of an incomplete one. Return
        whether a message was sent.
        """
        turn = exchange.stream_turn
        if turn not in self._awaiting_event:
            return False
        if exchange.cutter is None or not exchange.cutter.events:
            return False
        del self._awaiting_event[turn]
        if not self._is_same_start(exchange):
            return False
        attempt = exchange.admitted.opaque.attempt
        released = TurnReleased(turn, exchange.server, True, attempt)
        self.fire(agent_send(exchange.server, released), "gossip")
        return True

    def _is_same_start(self, exchange: Exchange) -> bool:
        """Return whether the server that got the request is still the registered one.

        Else either start may have answered, and their versions may differ.
        """
        server = self.fleet.directory.find(exchange.server)
        return server is None or server.started_ms == exchange.server_started_ms

    def report_stream_end(self, exchange: Exchange, is_done: bool = False):
        """Inform the engine's agent that the request runs no longer at the engine.

        ``is_done`` says that the engine ended the answer.
        """
        whole = is_done and exchange.is_whole_stream
        self.report_begun(exchange)
        self._awaiting_event.pop(exchange.stream_turn, None)
        ended = exchange.end_stream()
        if ended is not None:
            turn, output_tokens, took_s = ended
            message = StreamEnded(turn, exchange.server, output_tokens, took_s, whole)
            self.fire(agent_send(exchange.server, message), "gossip")

    def _release_turn(self, turn: RequestId, server: ServerId, was_read: bool = False):
        self.fire(agent_send(server, TurnReleased(turn, server, was_read)), "gossip")


def _begins_stream(exchange: Exchange) -> bool:
    """Return whether the caller's stream begins at the current server."""
    opaque = exchange.admitted.opaque
    is_new = not opaque.last_event and not exchange.events_before
    return exchange.is_stream and is_new and bool(opaque.attempt)
