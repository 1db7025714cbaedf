"""Answers that continue for as long as the client keeps the connection open."""

import socket
import threading
from itertools import chain, repeat

import pytest

from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.runtime.http_client import make_http_client

from .running import running, wait_until
from .test_forwarding_client import Caller, accept

# More than a process may hold of one answer; sent quickly over loopback.
LIMIT_BYTES = 64 * 1_048_576
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n"
LATE = (
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
)
CHUNK = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"

ENDLESS = {
    "no answer in the protocol": lambda: repeat(b"\0" * 8_192),
    "a first line": lambda: chain([b"HTTP/1.1 200 "], repeat(b"O" * 8_192)),
    "a head": lambda: chain([HEAD], repeat(b"X-More: more\r\n" * 500)),
    "interim heads": lambda: repeat(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 300),
    "answers to other requests": lambda: repeat(LATE),
    "an answer to another request": lambda: chain(
        [b"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n"], repeat(b"x" * 8_192)
    ),
    "a body in chunks": lambda: chain(
        [HEAD, b"Transfer-Encoding: chunked\r\n\r\n"], repeat(CHUNK)
    ),
    "a body without a length": lambda: chain([HEAD, b"\r\n"], repeat(b"x" * 8_192)),
    "a trailer": lambda: chain(
        [HEAD, b"Transfer-Encoding: chunked\r\n\r\n0\r\n"],
        repeat(b"X-More: more\r\n" * 500),
    ),
}


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = Caller("{}:{}".format(*listener.getsockname()))
        with running(make_http_client(), caller):
            yield listener, caller


def is_closed_while_sending(connection, parts, pause_s=0.0):
    """Send parts up to the limit; return whether the client closed the connection."""
    sent = 0
    try:
        for part in parts:
            connection.sendall(part)
            sent += len(part)
            if sent > LIMIT_BYTES:
                return False
            if pause_s:
                threading.Event().wait(pause_s)
    except OSError:
        return True
    return False


@pytest.mark.parametrize("name", ENDLESS)
def test_an_endless_answer_ends_its_call_with_bounded_bytes(pair, name):
    """Guards against an answer that grows until the process runs out of memory."""
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        assert is_closed_while_sending(connection, ENDLESS[name]())
        wait_until(lambda: caller.failed)
    assert caller.done == []
    assert caller.failed[0].sent


def test_a_collected_answer_that_trickles_ends_in_time(pair):
    """Guards against a report or store call that never ends while bytes arrive."""
    listener, caller = pair
    caller.fire(
        http_call(
            HttpCall(
                "c1",
                "caller",
                caller.address,
                "GET",
                "/",
                timeout_s=0.3,
                idle_timeout_s=0.3,
            )  # fmt: skip
        ),
        "http-client",
    )
    with accept(listener) as connection:
        parts = chain([b"HTTP/1.1 200 OK\r\n\r\n"], repeat(b"x", 60))
        assert is_closed_while_sending(connection, parts, pause_s=0.05)
        wait_until(lambda: caller.failed)


def test_a_late_answer_to_another_request_is_skipped(pair):
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        own = HEAD + b"Content-Length: 3\r\n\r\nown"
        connection.sendall(LATE + own)
        wait_until(lambda: caller.done)
    assert caller.done == [("c1", b"own")]
