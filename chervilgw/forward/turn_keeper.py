"""Base of the gateway task: requests that wait for their turn at an engine."""

from __future__ import annotations

import time
from itertools import count

from circuits import handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import Incarnation, RequestId
from chervilgw.core.messages import TurnGranted, TurnReleased
from chervilgw.forward.dispatcher import Dispatcher
from chervilgw.forward.events import agent_send
from chervilgw.forward.exchange import Exchange, Stage
from chervilgw.forward.fleet_keeper import FleetKeeper
from chervilgw.forward.journal import log_turn_refused


class TurnKeeper(FleetKeeper):
    """Task that asks the agents beside engines for turns.

    The gateway adds :meth:`attempt`, which chooses a server, and :meth:`send`, which
    sends the request to the one that was chosen.
    """

    dispatcher: Dispatcher

    def __init__(self, me: Incarnation, channel):
        super().__init__(channel)
        self.me = me
        self._by_turn: dict[RequestId, Exchange] = {}
        self._turn_numbers = count(1)

    def ask_turn(self, exchange: Exchange, server: ServerId, unread: int, now_s):
        """Wait for the engine's agent, which lets prompts be read one at a time."""
        self.leave_queue(exchange, now_s)
        turn = RequestId(self.me, next(self._turn_numbers))
        exchange.ask_turn(turn, server, unread, now_s)
        self._by_turn[exchange.turn] = exchange
        self.fleet.board.on_sent(server, unread)
        self._repeat_turn(exchange, now_s)

    def _repeat_turn(self, exchange: Exchange, now_s: float):
        wanted = self.dispatcher.turn_wanted(exchange, now_s)
        self.fire(agent_send(exchange.server, wanted), "gossip")

    @handler("turn_answered")
    def _on_turn(self, answer):
        exchange = self._by_turn.get(answer.turn)
        now_s = time.monotonic()
        if exchange is None:
            if isinstance(answer, TurnGranted):
                # The caller left or the request went elsewhere meanwhile.
                self._end_turn(answer.turn, ServerId(answer.server))
            return
        if exchange.stage is not Stage.WAITING_FOR_TURN:
            return
        if isinstance(answer, TurnGranted):
            self.fleet.board.on_ended(exchange.server, exchange.unread)
            exchange.end_turn_wait(now_s)
            self.send(exchange, exchange.server, exchange.unread, now_s)
            return
        log_turn_refused(exchange, answer)
        exchange.on_turn_refused(answer.retry_after_s, answer.is_busy)
        self.leave_queue(exchange, now_s)
        self.attempt(exchange, now_s)

    def wait_for_turn(self, exchange: Exchange, now_s: float):
        """Ask again, as a datagram may be lost, or choose another engine."""
        server = self.fleet.directory.find(exchange.server)
        if self.fleet.fresh_report(server, now_s) is None:
            self.leave_queue(exchange, now_s)
            self.attempt(exchange, now_s)
        else:
            self._repeat_turn(exchange, now_s)

    def leave_queue(self, exchange: Exchange, now_s: float):
        """Give up the place in an engine's queue, if the request has one."""
        if exchange.turn is None:
            return
        if exchange.stage is Stage.WAITING_FOR_TURN:
            self.fleet.board.on_ended(exchange.server, exchange.unread)
            exchange.end_turn_wait(now_s)
            exchange.unread = 0
        self._by_turn.pop(exchange.turn, None)
        self._end_turn(exchange.turn, exchange.server)
        exchange.turn = None

    def _end_turn(self, turn: RequestId, server: ServerId):
        self.fire(agent_send(server, TurnReleased(turn, server)), "gossip")
