"""Base of the server task of opaque requests: writes answers to the callers' sockets.

Parts of many answers arrive in one event. An answer that cannot be encoded is ended
alone, so that the parts behind it still reach their callers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import h11
from circuits import BaseComponent, handler

from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    connection_dropped,
    http_disconnected,
    http_push_blocked,
    http_push_unblocked,
)
from chervilgw.runtime.memory_totals import DropReason, make_held_bytes
from chervilgw.runtime.opaque_connection import Connection, Phase
from chervilgw.runtime.opaque_messages import (
    AnswerEncodingError,
    encode_end,
    encode_head,
    encode_part,
    encode_reply,
)
from chervilgw.runtime.opaque_options import OpaqueServerOptions
from chervilgw.runtime.request_checks import answer_not_encoded
from chervilgw.runtime.sockets import PAUSE_UNREAD_BYTES, DirectServer
from chervilgw.telemetry import log_event


class OpaqueAnswers(BaseComponent):
    """Task that owns the callers' connections while they are answered.

    Subclasses set ``server`` and read requests. They define ``refuse``, which answers a
    request itself, ``linger`` and ``close_connection``, which end a connection,
    ``proceed``, which reads the next request, and ``on_disconnect``, which forgets a
    connection that is lost.
    """

    server: DirectServer

    def __init__(self, options: OpaqueServerOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._connections: dict[Any, Connection] = {}
        self._by_exchange: dict[int, Connection] = {}
        self._held = make_held_bytes()
        self._draining = False

    @handler("http_reply")
    def _on_reply(self, reply: HttpReply):
        connection = self._by_exchange.get(reply.exchange)
        if connection is None:
            return
        message = (connection.head, reply, self._draining)
        if self._write_answer(connection, encode_reply, *message):
            self._finish(connection)

    @handler("http_push_start")
    def _on_push_start(self, start: HttpPushStart):
        connection = self._by_exchange.get(start.exchange)
        if connection is not None:
            self._write_answer(connection, encode_head, start, self._draining)

    @handler("http_push_data")
    def _on_push_data(self, parts: list[HttpPart]):
        for part in parts:
            connection = self._by_exchange.get(part.exchange)
            if connection is None or not part.data:
                continue
            if self._write_answer(connection, encode_part, part.data):
                self._check_unread(connection)

    def _write_answer(self, connection: Connection, encode: Callable, *message) -> bool:
        """Write a part of an answer; return False if it cannot be encoded.

        Such an answer is ended here, since the parts of other answers may follow in the
        same event.
        """
        has_begun = connection.parser.our_state is h11.SEND_BODY
        try:
            data = encode(connection.parser, *message)
        except AnswerEncodingError as error:
            self._abandon_answer(connection, has_begun, str(error))
            return False
        self.server.write(connection.sock, data)
        return True

    def _abandon_answer(self, connection: Connection, has_begun: bool, detail: str):
        """End an answer that cannot be encoded, with 502 or without its end."""
        exchange = connection.exchange
        log_event("answer_not_encoded", level="warning", detail=detail)
        del self._by_exchange[exchange]
        connection.exchange = None
        if has_begun:
            self.close_connection(connection)
        else:
            self.refuse(connection, answer_not_encoded())
        self.fire(http_disconnected(exchange), self._options.owner)

    def _check_unread(self, connection: Connection):
        """Pause the source of an answer that is not read, and bound all such bytes."""
        unsent = self.server.unsent_bytes(connection.sock)
        if unsent > PAUSE_UNREAD_BYTES and not connection.blocked:
            connection.blocked = True
            if connection.exchange is not None:
                event = http_push_blocked(connection.exchange)
                self.fire(event, self._options.owner)
        while self.server.total_unsent_bytes > self._options.totals.unread_bytes:
            sock = self.server.most_unsent()
            if sock in self._connections:
                self.drop(self._connections[sock], DropReason.UNREAD_ANSWERS)
            else:
                self.server.drop(sock)

    def drop(self, connection: Connection, reason: DropReason):
        """Close the connection that takes the most memory."""
        sock = connection.sock
        log_event(
            "caller_dropped",
            level="warning",
            reason=reason.value,
            unread_bytes=self.server.unsent_bytes(sock),
            held_bytes=self._held.of(sock),
        )
        self.fire(connection_dropped(reason), "metrics")
        self.on_disconnect(sock)
        self.server.drop(sock)

    def on_drained(self, sock):
        """Go on with the answers of a caller that has read most of them."""
        connection = self._connections.get(sock)
        if connection is None or not connection.blocked:
            return
        connection.blocked = False
        if connection.exchange is not None:
            event = http_push_unblocked(connection.exchange)
            self.fire(event, self._options.owner)
        self.proceed(connection)

    @handler("http_push_end")
    def _on_push_end(self, number: int, complete: bool = True):
        connection = self._by_exchange.get(number)
        if connection is None:
            return
        if not complete:
            # Closing before the end of the framing marks the answer as incomplete.
            self.close_connection(connection)
        elif self._write_answer(connection, encode_end):
            self._finish(connection)

    def _finish(self, connection: Connection):
        del self._by_exchange[connection.exchange]
        connection.exchange = None
        connection.end_request()
        self._check_unread(connection)
        if connection.sock not in self._connections:
            return
        if connection.parser.our_state is h11.MUST_CLOSE:
            if connection.must_wait or connection.ahead_bytes:
                # Closing with unread requests would reset the connection.
                self.linger(connection)
            else:
                self.close_connection(connection)
            return
        connection.parser.start_next_cycle()
        connection.phase, connection.waiting_since_s = Phase.IDLE, time.monotonic()
        self.proceed(connection)
