"""HTTP server task for opaque requests: owns the callers' sockets.

Opaque requests are forwarded without reading their bodies. The task uses the events of
:mod:`chervilgw.runtime.http_server`, keeps the headers of a request unchanged, and
parses with ``h11``, which refuses ambiguous framing.
"""

from __future__ import annotations

import time
from itertools import count

import h11
from circuits import handler

from chervilgw.core.deployment import CallerLimits
from chervilgw.core.refusals import Refusal
from chervilgw.runtime.events import http_disconnected, http_request
from chervilgw.runtime.memory_totals import DropReason, input_limit_bytes
from chervilgw.runtime.opaque_answers import OpaqueAnswers
from chervilgw.runtime.opaque_connection import Connection, Phase
from chervilgw.runtime.opaque_messages import make_request
from chervilgw.runtime.opaque_options import OpaqueServerOptions
from chervilgw.runtime.request_checks import (
    body_too_large,
    check_head,
    declared_bytes,
    encode_closing_answer,
    out_of_memory,
    protocol_refusal,
    request_timeout,
)
from chervilgw.runtime.sockets import DirectServer, detect_silence

# A caller that acknowledges nothing for this long is disconnected. Longer than the
# longest pause after which a healthy caller ends its stream.
CALLER_SILENCE_TIMEOUT_S = 6.0

_WAITING_PHASES = frozenset({Phase.ANSWERING, Phase.LINGERING})


class OpaqueServer(OpaqueAnswers):
    """HTTP server task; see :func:`make_opaque_server`."""

    def __init__(self, options: OpaqueServerOptions, channel):
        super().__init__(options, channel)
        self._set_limits(CallerLimits())
        self._exchange_numbers = count(1)
        self.server = DirectServer(
            (options.host, options.port),
            channel,
            on_data=self._on_data,
            on_end=self._on_end,
            on_drained=self.on_drained,
            backlog=1024,
        ).register(self)

    @handler("deployment_changed", channel="*")
    def _on_deployment_changed(self, deployment):
        self._set_limits(deployment.limits)

    def _set_limits(self, limits: CallerLimits):
        self._limits = limits
        self._limit_bytes = input_limit_bytes(self._options.totals, limits)

    @handler("connect")
    def _on_connect(self, sock, *args):
        self._get_or_add_connection(sock)

    def _get_or_add_connection(self, sock) -> Connection | None:
        connection = self._connections.get(sock)
        if connection is not None or not self.server.is_serving(sock):
            return connection
        # Connections that only wait for their last answer to be read count too.
        if self.server.connections > self._options.max_connections:
            self.server.close(sock)
            return None
        detect_silence(sock, CALLER_SILENCE_TIMEOUT_S)
        connection = self._connections[sock] = Connection(sock, self._make_parser())
        connection.waiting_since_s = time.monotonic()
        return connection

    def _make_parser(self) -> h11.Connection:
        # The operators' limit bounds the headers; h11 also counts the start line.
        limit_bytes = self._limits.max_header_bytes + 8192
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)

    def _on_data(self, sock, data):
        connection = self._get_or_add_connection(sock)
        if connection is None or connection.phase is Phase.LINGERING:
            return
        connection.parser.receive_data(data)
        self.proceed(connection)

    def proceed(self, connection: Connection):
        """Parse what has been received, and read on unless requests wait."""
        if connection.phase not in _WAITING_PHASES and not connection.blocked:
            self._parse(connection)
        if connection.sock not in self._connections:
            return
        self._held.put(connection.sock, connection.held_bytes)
        if connection.must_wait:
            self.server.pause_reading(connection.sock, watch_end=True)
        else:
            self.server.resume_reading(connection.sock)
        while self._held.total_bytes > self._limit_bytes:
            self.drop(self._connections[self._held.largest()], DropReason.HELD_INPUT)

    def _parse(self, connection: Connection):
        now_s = time.monotonic()
        try:
            while connection.phase is not Phase.ANSWERING:
                event = connection.parser.next_event()
                if event is h11.NEED_DATA:
                    self._on_need_data(connection, now_s)
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if not self._on_parser_event(connection, event, now_s):
                    return
        except h11.RemoteProtocolError as error:
            self.refuse(connection, protocol_refusal(error))

    def _on_need_data(self, connection: Connection, now_s: float):
        started = bool(connection.parser.trailing_data[0])
        if connection.phase is Phase.IDLE and started:
            connection.phase, connection.waiting_since_s = Phase.HEAD, now_s
        elif connection.phase is Phase.BODY:
            connection.waiting_since_s = now_s
            if connection.parser.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.server.write(connection.sock, connection.parser.send(interim))

    def _on_parser_event(self, connection: Connection, event, now_s: float) -> bool:
        """Process a parser event; return whether to continue parsing."""
        if isinstance(event, h11.Request):
            connection.begin_request(event)
            connection.phase, connection.waiting_since_s = Phase.BODY, now_s
            return self._check_head(connection, event)
        if isinstance(event, h11.Data):
            return self._add_to_body(connection, event.data)
        if isinstance(event, h11.EndOfMessage):
            self._deliver(connection)
        return True

    def _add_to_body(self, connection: Connection, data) -> bool:
        if len(connection.body) + len(data) > self._limits.max_body_bytes:
            self.refuse(connection, body_too_large(self._limits))
            return False
        if self._held.total_bytes + len(data) > self._limit_bytes:
            self.refuse(connection, out_of_memory())
            return False
        connection.body += data
        connection.request_bytes += len(data)
        self._held.add(connection.sock, len(data))
        return True

    def _check_head(self, connection: Connection, head) -> bool:
        refusal = check_head(head.headers, self._limits)
        if refusal is None:
            further_bytes = connection.request_bytes + declared_bytes(head.headers)
            if self._held.total_bytes + further_bytes <= self._limit_bytes:
                self._held.add(connection.sock, connection.request_bytes)
                return True
            refusal = out_of_memory()
        self.refuse(connection, refusal)
        return False

    def _deliver(self, connection: Connection):
        connection.phase = Phase.ANSWERING
        connection.exchange = exchange = next(self._exchange_numbers)
        self._by_exchange[exchange] = connection
        message = make_request(
            exchange, connection.head, connection.take_body(), self.channel
        )
        self.fire(http_request(message), self._options.owner)

    def refuse(self, connection: Connection, refusal: Refusal):
        """Answer a request that was not read completely, and linger before closing."""
        status, headers, body = self._options.write_refusal(refusal)
        self.server.write(connection.sock, encode_closing_answer(status, headers, body))
        self.linger(connection)

    def linger(self, connection: Connection):
        """Discard what the caller sends for a while, and then close the connection."""
        connection.phase, connection.waiting_since_s = Phase.LINGERING, time.monotonic()
        connection.end_request()
        # What was received and is not parsed would be kept while the caller lingers.
        connection.parser = self._make_parser()
        self._held.put(connection.sock, 0)
        self.server.resume_reading(connection.sock)

    def _on_end(self, sock):
        connection = self._connections.get(sock)
        if connection is not None and connection.exchange is not None:
            # The caller has left; its request is cancelled at once.
            self.server.drop(sock)
        else:
            self.server.close(sock)

    def close_connection(self, connection: Connection):
        """Send what is queued for the caller, close, and read nothing further."""
        if connection.exchange is not None:
            self._by_exchange.pop(connection.exchange, None)
            connection.exchange = None
        self._connections.pop(connection.sock, None)
        self._held.put(connection.sock, 0)
        self.server.close(connection.sock)
        self.server.pause_reading(connection.sock)

    @handler("disconnect")
    def on_disconnect(self, sock):
        """Forget a connection that is lost, and its request."""
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        self._held.put(sock, 0)
        if connection.exchange is None:
            return
        if self._by_exchange.pop(connection.exchange, None) is not None:
            self.fire(http_disconnected(connection.exchange), self._options.owner)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if paused:
            return
        self.server.drop_stalled(now_s)
        for connection in list(self._connections.values()):
            if connection.is_overdue(self._limits, now_s):
                self._end_overdue(connection)

    def _end_overdue(self, connection: Connection):
        if connection.phase is Phase.HEAD:
            self.refuse(connection, request_timeout("the request head took too long"))
        elif connection.phase is Phase.BODY:
            self.refuse(connection, request_timeout("the request body stalled"))
        else:
            self.close_connection(connection)

    @handler("http_drain")
    def _on_drain(self):
        self._draining = True

    @handler("http_stop_listening")
    def _on_stop_listening(self):
        self.server.stop_listening()
        self._on_close_idle()

    @handler("http_close_idle")
    def _on_close_idle(self):
        for connection in list(self._connections.values()):
            if connection.phase is Phase.IDLE:
                self.close_connection(connection)


def make_opaque_server(options: OpaqueServerOptions, channel="http") -> OpaqueServer:
    """Return an HTTP server task for opaque requests.

    Parameters
    ----------
    options : OpaqueServerOptions
        Address and owner.
    channel : str
        Channel of the task.

    Returns
    -------
    OpaqueServer
    """
    return OpaqueServer(options, channel)
