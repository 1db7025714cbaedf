"""HTTP server task: owns the callers' sockets.

Other tasks send it ``http_reply`` or ``http_push_start``, ``http_push_data`` and
``http_push_end``; it sends them ``http_request`` and ``http_disconnected``.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from http.client import responses
from itertools import count
from typing import Any, Protocol

from circuits import BaseComponent, handler
from circuits.web.http import HTTP

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    HttpRequest,
    connection_dropped,
    http_disconnected,
    http_request,
)
from chervilgw.runtime.http_guard import (
    GuardPhase,
    RequestGuard,
    make_request_guard,
)
from chervilgw.runtime.http_options import HttpServerOptions
from chervilgw.runtime.memory_totals import DropReason, make_held_bytes
from chervilgw.runtime.sockets import PAUSE_UNREAD_BYTES, DirectServer
from chervilgw.telemetry import log_event


class RefusalWriter(Protocol):
    """Encodes a refusal as an HTTP answer."""

    def __call__(self, refusal: Refusal) -> tuple[int, tuple, bytes]:
        """Return status, headers and body."""
        ...


@dataclass(slots=True)
class _Connection:
    guard: RequestGuard
    exchange: int | None = None


@dataclass(slots=True)
class _Exchange:
    request: Any
    response: Any
    sock: Any
    pushing: bool = False
    chunked: bool = False


class HttpServer(BaseComponent):
    """HTTP server task; see :func:`make_http_server`."""

    display_banner = False

    def __init__(self, options: HttpServerOptions, refusal_writer, channel):
        super().__init__(channel=channel)
        self._options = options
        self._write_refusal = refusal_writer
        self._connections: dict[Any, _Connection] = {}
        self._exchanges: dict[int, _Exchange] = {}
        self._exchange_numbers = count(1)
        self._held = make_held_bytes()
        self._draining = False
        self.server = DirectServer(
            (options.host, options.port),
            channel=channel,
            write_limit_bytes=options.write_limit_bytes,
            secure=options.certfile is not None,
            certfile=options.certfile,
            keyfile=options.keyfile,
            on_end=self._on_end,
            on_drained=self._on_drained,
        ).register(self)
        self.http = HTTP(self, channel=channel).register(self)

    @property
    def secure(self):
        """Return whether callers use TLS; the library reads it."""
        return self.server.secure

    @property
    def host(self):
        """Return the address that the server listens on."""
        return self.server.host

    @property
    def port(self):
        """Return the port that the server listens on."""
        return self.server.port

    @property
    def open_exchanges(self) -> int:
        """Return the number of requests without a complete answer."""
        return len(self._exchanges)

    @handler("connect")
    def _on_connect(self, sock, *args):
        # Connections that only wait for their last answer to be read count too.
        if self.server.connections > self._options.max_connections:
            self.server.close(sock)
            return
        guard = make_request_guard(self._options.limits)
        self._connections[sock] = _Connection(guard)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data):
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            return
        refusal = connection.guard.on_data(data, time.monotonic())
        if refusal is not None:
            event.stop()
            self._refuse_connection(sock, refusal)
        elif connection.guard.expects_continue:
            connection.guard.expects_continue = False
            self.server.write(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        if sock in self._connections:
            self._held.put(sock, connection.guard.held_bytes)
        while self._held.total_bytes > self._options.input_limit_bytes:
            self._drop(self._held.largest(), DropReason.HELD_INPUT)
        if sock not in self._connections:
            event.stop()

    def _bound_unread(self, sock):
        """Pause the reading from a caller that does not read, and bound all answers."""
        if self.server.unsent_bytes(sock) > PAUSE_UNREAD_BYTES:
            self.server.pause_reading(sock, watch_end=True)
        while self.server.total_unsent_bytes > self._options.totals.unread_bytes:
            self._drop(self.server.most_unsent(), DropReason.UNREAD_ANSWERS)

    def _on_drained(self, sock):
        if sock in self._connections:
            self.server.resume_reading(sock)

    def _drop(self, sock, reason: DropReason):
        """Close the connection that takes the most memory."""
        log_event(
            "caller_dropped",
            level="warning",
            reason=reason.value,
            unread_bytes=self.server.unsent_bytes(sock),
            held_bytes=self._held.of(sock),
        )
        self.fire(connection_dropped(reason), "metrics")
        self._remove_connection(sock)
        self.server.drop(sock)

    def _on_end(self, sock):
        connection = self._connections.get(sock)
        if connection is not None and connection.exchange is not None:
            # The caller has left; its request is cancelled at once.
            self.server.drop(sock)
        else:
            self.server.close(sock)

    def _refuse_connection(self, sock, refusal: Refusal):
        status, headers, body = self._write_refusal(refusal)
        lines = [f"HTTP/1.1 {status} {responses.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.server.write(sock, "\r\n".join(lines).encode("latin-1") + body)
        self._remove_connection(sock)
        self.server.close(sock)

    @handler("request", priority=10)
    def _on_request(self, event, request, response, *args):
        event.stop()
        # No task uses the library's success and completion events, and tracking them
        # costs time for every event that the request causes.
        event.success = event.complete = False
        event.cause = None
        sock = request.sock
        connection = self._connections.get(sock)
        if connection is None:
            return True
        connection.guard.on_request()
        connection.exchange = exchange = next(self._exchange_numbers)
        self._exchanges[exchange] = _Exchange(request, response, sock)
        message = HttpRequest(
            exchange,
            request.method,
            request.path,
            request.qs,
            {name.lower(): value for name, value in request.headers.items()},
            request.body.read(),
            self.channel,
        )
        if len(message.body) > self._options.limits.max_body_bytes:
            detail = f"the body is over {self._options.limits.max_body_bytes} bytes"
            refusal = make_refusal(RefusalReason.BODY_TOO_LARGE, detail)
            self._on_reply(HttpReply(exchange, *self._write_refusal(refusal)))
            return True
        self.fire(http_request(message), self._options.owner)
        return True

    @handler("httperror", priority=10)
    def _on_httperror(self, event, request, response, code=400, **kwargs):
        event.stop()
        if request.sock in self._connections:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, "malformed HTTP request")
            self._refuse_connection(request.sock, refusal)

    @handler("redirect", priority=10)
    def _on_redirect(self, event, request, response, *args):
        event.stop()
        if request.sock in self._connections:
            refusal = make_refusal(RefusalReason.UNKNOWN_ROUTE, "path is not canonical")
            self._refuse_connection(request.sock, refusal)

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, *args, **kwargs):
        event = kwargs.get("fevent")
        if event is None or event.name != "read" or not event.args:
            return
        if event.args[0] in self._connections:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, "malformed HTTP request")
            self._refuse_connection(event.args[0], refusal)

    @handler("http_reply")
    def _on_reply(self, reply: HttpReply):
        exchange = self._exchanges.pop(reply.exchange, None)
        if exchange is None:
            return
        response = exchange.response
        response.status = reply.status
        for name, value in reply.headers:
            response.headers[name] = value
        response.body = [reply.body]
        response.close = response.close or self._draining
        # Head and body in one write; the library would send two segments.
        response.prepare()
        head = bytes(response) + bytes(response.headers)
        body = b"" if exchange.request.method == "HEAD" else reply.body
        self.server.write(exchange.sock, head + body)
        self._finish(exchange.sock, response.close)

    @handler("http_push_start")
    def _on_push_start(self, start: HttpPushStart):
        exchange = self._exchanges.get(start.exchange)
        if exchange is None:
            return
        response = exchange.response
        response.status = start.status
        for name, value in start.headers:
            response.headers[name] = value
        response.stream = True
        # With an iterator as body the length is unknown, so the library chooses the
        # chunked encoding. It would read a generator body once per 100 ms idle tick.
        response.body = iter(())
        response.close = response.close or self._draining
        response.prepare()
        response.body = []
        exchange.pushing = True
        exchange.chunked = response.chunked
        self.server.write(exchange.sock, bytes(response) + bytes(response.headers))

    @handler("http_push_data")
    def _on_push_data(self, parts: list[HttpPart]):
        for part in parts:
            exchange = self._exchanges.get(part.exchange)
            if exchange is None or not part.data:
                continue
            data = part.data
            if exchange.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self.server.write(exchange.sock, data)
            self._bound_unread(exchange.sock)

    @handler("http_push_end")
    def _on_push_end(self, number: int, complete: bool = True):
        exchange = self._exchanges.pop(number, None)
        if exchange is None:
            return
        if complete and exchange.chunked:
            self.server.write(exchange.sock, b"0\r\n\r\n")
        # The connection of an incomplete body is closed before the last chunk, so that
        # an HTTP client detects the truncation.
        self._finish(exchange.sock, exchange.response.close or not complete)

    def _finish(self, sock, close: bool):
        self.http._clients.pop(sock, None)
        connection = self._connections.get(sock)
        if connection is not None:
            connection.exchange = None
            connection.guard.on_answered()
            self._held.put(sock, 0)
            self._bound_unread(sock)
        if close:
            self.server.close(sock)

    def _remove_connection(self, sock):
        connection = self._connections.pop(sock, None)
        self._held.put(sock, 0)
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)
        if connection is None or connection.exchange is None:
            return
        if self._exchanges.pop(connection.exchange, None) is not None:
            self.fire(http_disconnected(connection.exchange), self._options.owner)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        self._remove_connection(sock)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if paused:
            return
        self.server.drop_stalled(now_s)
        for sock, connection in list(self._connections.items()):
            refusal = connection.guard.check_time(now_s)
            if refusal is not None:
                self._refuse_connection(sock, refusal)

    @handler("http_drain")
    def _on_drain(self):
        self._draining = True

    @handler("http_stop_listening")
    def _on_stop_listening(self):
        self.server.stop_listening()
        for sock, connection in list(self._connections.items()):
            if connection.guard.phase is GuardPhase.IDLE:
                self.server.close(sock)


def make_http_server(options, refusal_writer, channel="http") -> HttpServer:
    """Return an HTTP server task.

    Parameters
    ----------
    options : HttpServerOptions
        Address, limits and owner.
    refusal_writer : RefusalWriter
        Encodes this task's refusals, for example of an oversized body, as answers.
    channel : str
        Channel of the task.

    Returns
    -------
    HttpServer
    """
    return HttpServer(options, refusal_writer, channel)
