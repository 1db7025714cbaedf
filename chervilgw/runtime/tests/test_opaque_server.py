"""Requests are delivered unchanged, and ambiguous framing is refused."""

import socket

import pytest
from circuits import BaseComponent, handler

from chervilgw.core.deployment import CallerLimits, Deployment
from chervilgw.forward.events import deployment_changed
from chervilgw.platform.requests import encode_refusal
from chervilgw.runtime.clock import make_clock
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    http_push_data,
    http_push_end,
    http_push_start,
    http_reply,
)
from chervilgw.runtime.opaque_server import OpaqueServerOptions, make_opaque_server

from .running import running, wait_until

LIMITS = CallerLimits(500, 1000, 0.3, 0.6)


class Owner(BaseComponent):
    """Records each request and answers it."""

    channel = "owner"

    def __init__(self, answer="reply"):
        super().__init__()
        self._answer = answer
        self.requests = []
        self.gone = []

    @handler("started", channel="*")
    def _on_started(self, *args):
        self.fire(deployment_changed(Deployment(1, (), {}, {}, None, LIMITS)), "*")

    @handler("http_request")
    def _on_request(self, http):
        self.requests.append(http)
        if self._answer == "reply":
            self.fire(http_reply(HttpReply(http.exchange, 200, (), b"ok")), "http")
        elif self._answer in ("whole", "cut"):
            self.fire(http_push_start(HttpPushStart(http.exchange, 200, ())), "http")
            part = HttpPart(http.exchange, b"part")
            self.fire(http_push_data([part]), "http")
            end = http_push_end(http.exchange, self._answer == "whole")
            self.fire(end, "http")

    @handler("http_disconnected")
    def _on_gone(self, number):
        self.gone.append(number)


def serve(answer="reply"):
    options = OpaqueServerOptions("127.0.0.1", 0, "owner", encode_refusal, 10)
    server, owner = make_opaque_server(options), Owner(answer)
    return server, owner, running(make_clock(), server, owner)


def talk(server, *parts, until_closed=False):
    """Send bytes and return what comes back until the end or the closing chunk."""
    address = (server.server.host, server.server.port)
    with socket.create_connection(address) as sock:
        sock.settimeout(5)
        for part in parts:
            sock.sendall(part)
        data = b""
        while True:
            received = sock.recv(65536)
            data += received
            if not received or (not until_closed and data.endswith(b"ok")):
                return data


def test_headers_and_chunked_body_are_kept():
    server, owner, runs = serve()
    with runs:
        talk(
            server,
            b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
    request = owner.requests[0]
    assert (request.method, request.path, request.query) == ("POST", "/a", "b=c")
    assert request.body == b"abcde"
    assert [v for n, v in request.raw_headers if n == "X-A"] == ["1", "2"]


REFUSED = {
    "two framings": (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        400,
    ),
    "no request": (b"nonsense\r\n\r\n", 400),
    "long head": (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 600 + b"\r\n\r\n", 431),
    "endless head": (b"GET / HTTP/1.1\r\nX: " + b"y" * 20_000, 431),
    "long body": (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413),
    "long chunked body": (
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"800\r\n" + b"z" * 0x800 + b"\r\n",
        413,
    ),
    "slow head": (b"GET / HTTP/1.1\r\nHost:", 408),
}


@pytest.mark.parametrize("name", REFUSED)
def test_bad_requests_are_refused_and_the_connection_closed(name):
    data, status = REFUSED[name]
    server, owner, runs = serve()
    with runs:
        answer = talk(server, data, until_closed=True)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"Connection: close" in answer
    assert owner.requests == []


def test_pipelined_requests_are_answered_in_order():
    server, owner, runs = serve()
    with runs:
        address = (server.server.host, server.server.port)
        with socket.create_connection(address) as sock:
            sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 3)
            wait_until(lambda: len(owner.requests) == 3)


@pytest.mark.parametrize(("answer", "ends"), [("whole", True), ("cut", False)])
def test_a_truncated_answer_does_not_look_complete(answer, ends):
    server, owner, runs = serve(answer)
    with runs:
        head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        data = talk(server, head, until_closed=True)
    assert b"part" in data
    assert data.endswith(b"0\r\n\r\n") is ends


def test_an_idle_connection_is_closed_after_its_timeout():
    server, owner, runs = serve()
    with runs:
        assert talk(server, until_closed=True) == b""


def test_a_caller_that_leaves_is_reported():
    server, owner, runs = serve(answer="none")
    with runs:
        address = (server.server.host, server.server.port)
        with socket.create_connection(address) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            wait_until(lambda: owner.requests)
        wait_until(lambda: owner.gone)
    assert owner.gone == [owner.requests[0].exchange]


UNSENDABLE = (("X-Id", "\u1ecc"),)


@pytest.mark.parametrize(
    ("start", "status"),
    [
        (HttpPushStart(0, 200, UNSENDABLE), b"502"),
        (HttpPushStart(0, 200, (("Content-Length", "2"),)), b"200"),
    ],
)
def test_answer_that_cannot_be_encoded_takes_no_parts_from_others(start, status):
    """Guards against events of other streams that are lost in the same batch."""
    server, owner, runs = serve(answer="none")
    with runs:
        address = (server.server.host, server.server.port)
        odd, sound = (socket.create_connection(address, 5) for _ in range(2))
        for sock in (odd, sound):
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            count = 1 if sock is odd else 2
            wait_until(lambda count=count: len(owner.requests) == count)
        first, second = (request.exchange for request in owner.requests)
        odd_start = HttpPushStart(first, start.status, start.headers)
        server.fire(http_push_start(odd_start), "http")
        server.fire(http_push_start(HttpPushStart(second, 200, ())), "http")
        parts = [HttpPart(first, b"part"), HttpPart(second, b"sound part")]
        server.fire(http_push_data(parts), "http")
        server.fire(http_push_end(second), "http")
        received = read_answer(sound, b"0\r\n\r\n")
        refused = read_answer(odd, b"")
        # The owner is told, so that it cancels its call to the server.
        wait_until(lambda: owner.gone == [first])
    assert b"sound part" in received
    assert refused.startswith(b"HTTP/1.1 " + status)
    assert b"part" not in refused.partition(b"\r\n\r\n")[2]


def test_buffered_answer_that_cannot_be_encoded_gets_an_error():
    """Guards against callers that wait for an answer that was lost."""
    server, owner, runs = serve(answer="none")
    with runs:
        address = (server.server.host, server.server.port)
        with socket.create_connection(address, 5) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            wait_until(lambda: owner.requests)
            reply = HttpReply(owner.requests[0].exchange, 200, UNSENDABLE, b"ok")
            server.fire(http_reply(reply), "http")
            answer = read_answer(sock, b"")
    # 502 promises nothing: the server has run the request.
    assert answer.startswith(b"HTTP/1.1 502 ")


def read_answer(sock, end):
    """Return what a connection brings until an ending, or until it is closed."""
    data = b""
    while not (end and data.endswith(end)):
        received = sock.recv(65536)
        if not received:
            return data
        data += received
    return data
