"""HTTP server task for requests that are passed on unread: owns the callers' sockets.

It speaks the same events as :mod:`chervilgw.runtime.http_server`, keeps the headers of
a request as they came, and parses with ``h11``, which refuses ambiguous framing.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import Any

import h11
from circuits import BaseComponent, handler

from chervilgw.core.deployment import CallerLimits
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    HttpRequest,
    http_disconnected,
    http_request,
)
from chervilgw.runtime.sockets import DirectServer, detect_silence

LINGER_S = 2.0
"""How long the rest of a refused body is read, so that the caller sees the answer: a
close with unread bytes would reset the connection."""
BODY_STALL_S = 5.0
"""A body of which nothing arrives for this long is given up."""
CALLER_SILENCE_S = 6.0
"""A caller that acknowledges nothing for this long is gone: longer than the longest
pause after which a sound caller gives up its stream."""


class Phase(Enum):
    """What a caller's connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    LINGERING = "lingering"


@dataclass(slots=True)
class _Connection:
    sock: Any
    parser: h11.Connection
    phase: Phase = Phase.IDLE
    since_s: float = 0.0
    exchange: int | None = None
    head: Any = None
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class OpaqueServerOptions:
    """Options of the server task.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    owner : str
        Channel that gets the requests.
    write_refusal : callable
        Turns a refusal into status, headers and body.
    max_connections : int
        Further connections are closed at once.
    """

    host: str
    port: int
    owner: str
    write_refusal: Callable[[Refusal], tuple[int, tuple, bytes]]
    max_connections: int


class OpaqueServer(BaseComponent):
    """HTTP server task; see :func:`make_opaque_server`."""

    def __init__(self, options: OpaqueServerOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._limits = CallerLimits()
        self._connections: dict[Any, _Connection] = {}
        self._by_exchange: dict[int, _Connection] = {}
        self._numbers = count(1)
        self._closing = False
        self.server = DirectServer(
            (options.host, options.port), channel, on_data=self._on_data, backlog=1024
        ).register(self)

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._limits = deployment.limits

    # Connections and what arrives on them.

    @handler("connect")
    def _on_connect(self, sock, *args):
        self._connection_of(sock)

    def _connection_of(self, sock) -> _Connection | None:
        connection = self._connections.get(sock)
        if connection is not None or sock.fileno() < 0:
            return connection
        if len(self._connections) >= self._options.max_connections:
            self.server.close(sock)
            return None
        detect_silence(sock, CALLER_SILENCE_S)
        connection = self._connections[sock] = _Connection(sock, self._make_parser())
        connection.since_s = time.monotonic()
        return connection

    def _make_parser(self) -> h11.Connection:
        # The limits of the operators bound the head; h11 counts its start line too.
        limit_bytes = self._limits.max_header_bytes + 8192
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)

    def _on_data(self, sock, data):
        connection = self._connection_of(sock)
        if connection is None or connection.phase is Phase.LINGERING:
            return
        connection.parser.receive_data(data)
        if connection.phase is Phase.ANSWERING:
            return
        self._parse(connection)

    def _parse(self, connection: _Connection):
        now_s = time.monotonic()
        try:
            while connection.phase is not Phase.ANSWERING:
                event = connection.parser.next_event()
                if event is h11.NEED_DATA:
                    self._on_need_data(connection, now_s)
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if not self._on_event(connection, event, now_s):
                    return
        except h11.RemoteProtocolError as error:
            self._refuse(connection, _protocol_refusal(error))

    def _on_need_data(self, connection: _Connection, now_s: float):
        started = bool(connection.parser.trailing_data[0])
        if connection.phase is Phase.IDLE and started:
            connection.phase, connection.since_s = Phase.HEAD, now_s
        elif connection.phase is Phase.BODY:
            connection.since_s = now_s
            if connection.parser.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self.server.write(connection.sock, connection.parser.send(go_on))

    def _on_event(self, connection: _Connection, event, now_s: float) -> bool:
        """Take one event of the parser; False ends the connection's parsing."""
        if isinstance(event, h11.Request):
            connection.head = event
            connection.phase, connection.since_s = Phase.BODY, now_s
            return self._check_head(connection, event)
        if isinstance(event, h11.Data):
            connection.body_bytes += len(event.data)
            if connection.body_bytes > self._limits.max_body_bytes:
                self._refuse(connection, _too_large(self._limits))
                return False
            connection.body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._deliver(connection)
        return True

    def _check_head(self, connection: _Connection, head) -> bool:
        names = [name for name, _ in head.headers]
        size_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size_bytes > self._limits.max_header_bytes:
            detail = f"the headers are over {self._limits.max_header_bytes} bytes"
            refusal = make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail)
        elif b"content-length" in names and b"transfer-encoding" in names:
            # Two framings: another reader of the bytes could find another request.
            detail = "both a length and a transfer encoding"
            refusal = make_refusal(RefusalReason.BAD_REQUEST, detail)
        else:
            length = dict(head.headers).get(b"content-length", b"0")
            if int(length) <= self._limits.max_body_bytes:
                return True
            refusal = _too_large(self._limits)
        self._refuse(connection, refusal)
        return False

    def _deliver(self, connection: _Connection):
        head = connection.head
        connection.phase = Phase.ANSWERING
        connection.exchange = exchange = next(self._numbers)
        self._by_exchange[exchange] = connection
        pairs = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        path, _, query = head.target.decode("latin-1").partition("?")
        message = HttpRequest(
            exchange,
            head.method.decode("latin-1"),
            path,
            query,
            {name.lower(): value for name, value in pairs},
            b"".join(connection.body),
            self.channel,
            pairs,
        )
        connection.body, connection.body_bytes = [], 0
        self.fire(http_request(message), self._options.owner)

    # Answers.

    def _refuse(self, connection: _Connection, refusal: Refusal):
        """Answer a request that was not read to its end, and close."""
        status, headers, body = self._options.write_refusal(refusal)
        lines = [f"HTTP/1.1 {status} Refused"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.server.write(connection.sock, "\r\n".join(lines).encode("latin-1") + body)
        connection.phase, connection.since_s = Phase.LINGERING, time.monotonic()

    @handler("http_reply")
    def _on_reply(self, reply: HttpReply):
        connection = self._by_exchange.get(reply.exchange)
        if connection is None:
            return
        headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
        data = self._send(connection, _response(reply.status, self._final(headers)))
        if connection.head.method != b"HEAD":
            data += self._send(connection, h11.Data(data=reply.body))
        data += self._send(connection, h11.EndOfMessage())
        self.server.write(connection.sock, data)
        self._finish(connection)

    @handler("http_push_start")
    def _on_push_start(self, start: HttpPushStart):
        connection = self._by_exchange.get(start.exchange)
        if connection is not None:
            head = _response(start.status, self._final(start.headers))
            self.server.write(connection.sock, self._send(connection, head))

    @handler("http_push_data")
    def _on_push_data(self, parts: list[HttpPart]):
        for part in parts:
            connection = self._by_exchange.get(part.exchange)
            if connection is not None and part.data:
                data = self._send(connection, h11.Data(data=part.data))
                self.server.write(connection.sock, data)

    @handler("http_push_end")
    def _on_push_end(self, number: int, complete: bool = True):
        connection = self._by_exchange.get(number)
        if connection is None:
            return
        if complete:
            try:
                data = self._send(connection, h11.EndOfMessage())
            except h11.LocalProtocolError:
                # The body is shorter than its length says.
                complete = False
            else:
                self.server.write(connection.sock, data)
        if complete:
            self._finish(connection)
        else:
            # Closed before the end of its framing, the answer does not look complete.
            self._drop(connection)

    def _send(self, connection: _Connection, event) -> bytes:
        return connection.parser.send(event) or b""

    def _final(self, headers):
        if self._closing:
            return [*headers, ("Connection", "close")]
        return headers

    def _finish(self, connection: _Connection):
        del self._by_exchange[connection.exchange]
        connection.exchange = None
        if connection.parser.our_state is h11.MUST_CLOSE:
            self._drop(connection)
            return
        connection.parser.start_next_cycle()
        connection.phase, connection.since_s = Phase.IDLE, time.monotonic()
        self._parse(connection)

    def _drop(self, connection: _Connection):
        if connection.exchange is not None:
            self._by_exchange.pop(connection.exchange, None)
            connection.exchange = None
        self._connections.pop(connection.sock, None)
        self.server.close(connection.sock)

    # Ends and time limits.

    @handler("disconnect")
    def _on_disconnect(self, sock):
        connection = self._connections.pop(sock, None)
        if connection is None or connection.exchange is None:
            return
        if self._by_exchange.pop(connection.exchange, None) is not None:
            self.fire(http_disconnected(connection.exchange), self._options.owner)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if paused:
            return
        for connection in list(self._connections.values()):
            self._check_time(connection, now_s - connection.since_s)

    def _check_time(self, connection: _Connection, waited_s: float):
        limits = self._limits
        if connection.phase is Phase.IDLE and waited_s > limits.idle_timeout_s:
            self._drop(connection)
        elif connection.phase is Phase.HEAD and waited_s > limits.header_timeout_s:
            self._refuse(connection, _slow("the request head took too long"))
        elif connection.phase is Phase.BODY and waited_s > BODY_STALL_S:
            self._refuse(connection, _slow("the request body stopped"))
        elif connection.phase is Phase.LINGERING and waited_s > LINGER_S:
            self._drop(connection)

    @handler("http_drain")
    def _on_drain(self):
        self._closing = True

    @handler("http_stop_listening")
    def _on_stop_listening(self):
        self.server.stop_listening()
        self._on_close_idle()

    @handler("http_close_idle")
    def _on_close_idle(self):
        for connection in list(self._connections.values()):
            if connection.phase is Phase.IDLE:
                self._drop(connection)


def _response(status: int, headers) -> h11.Response:
    return h11.Response(status_code=status, headers=list(headers))


def _too_large(limits: CallerLimits) -> Refusal:
    detail = f"the body is over {limits.max_body_bytes} bytes"
    return make_refusal(RefusalReason.BODY_TOO_LARGE, detail)


def _slow(detail: str) -> Refusal:
    return make_refusal(RefusalReason.REQUEST_TIMEOUT, detail)


def _protocol_refusal(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == 431:
        detail = "the request head is too large"
        return make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail)
    return make_refusal(RefusalReason.BAD_REQUEST, "malformed HTTP request")


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
