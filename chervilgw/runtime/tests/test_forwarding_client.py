"""Answers belong to their requests, and cut ones never pass for whole ones."""

import socket
import struct

import pytest
from circuits import BaseComponent, handler

from chervilgw.runtime.events import HttpCall, http_call, http_call_cancel
from chervilgw.runtime.http_client import make_http_client

from .running import running, wait_until

OWN = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nhalf"


class Caller(BaseComponent):
    """Makes calls one after the other and records what comes back."""

    channel = "caller"

    def __init__(self, address):
        super().__init__()
        self.address = address
        self.done = []
        self.failed = []

    def call(self, name):
        spec = HttpCall(
            name,
            "caller",
            self.address,
            "GET",
            "/",
            (("Host", "h"),),
            forwarded=True,
            echo_header=("x-id", "own"),
        )
        self.fire(http_call(spec), "http-client")

    @handler("call_done")
    def _on_done(self, done):
        self.done.append((done.call, done.body))

    @handler("call_failed")
    def _on_failed(self, failed):
        self.failed.append(failed)


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = Caller("{}:{}".format(*listener.getsockname()))
        with running(make_http_client(), caller):
            yield listener, caller


def accept(listener):
    connection, _ = listener.accept()
    connection.settimeout(10)
    connection.recv(65536)
    return connection


def test_an_answer_to_another_request_is_skipped(pair):
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(OTHER + OWN)
        wait_until(lambda: caller.done)
    assert caller.done == [("c1", b"own")]


def test_an_extra_answer_is_not_taken_for_the_next_one(pair):
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(OWN + OTHER)
        wait_until(lambda: caller.done)
        caller.call("c2")
        # The connection with the extra bytes is not used again.
        with accept(listener) as second:
            second.sendall(OWN)
            wait_until(lambda: len(caller.done) == 2)
    assert caller.done == [("c1", b"own"), ("c2", b"own")]


def test_an_answer_without_length_ends_with_its_connection(pair):
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(UNFRAMED)
    wait_until(lambda: caller.done)
    assert caller.done == [("c1", b"half")]


def test_a_reset_answer_without_length_is_not_complete(pair):
    listener, caller = pair
    caller.call("c1")
    connection = accept(listener)
    connection.sendall(UNFRAMED)
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    wait_until(lambda: caller.failed)
    assert caller.done == []
    assert caller.failed[0].sent
    assert caller.failed[0].connection_lost


def test_a_refused_connection_has_certainly_not_reached_the_server():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
    caller = Caller(address)
    with running(make_http_client(), caller):
        caller.call("c1")
        wait_until(lambda: caller.failed)
    assert not caller.failed[0].sent


@pytest.mark.parametrize("keep_alive", [b"timeout=1", b"timeout=0"])
def test_a_connection_that_the_server_closes_soon_is_not_used_again(pair, keep_alive):
    """Guards against a request that crosses the server's close of the connection."""
    listener, caller = pair
    answer = OWN.replace(b"\r\n\r\n", b"\r\nKeep-Alive: " + keep_alive + b"\r\n\r\n")
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(answer)
        wait_until(lambda: caller.done)
        caller.call("c2")
        with accept(listener) as second:
            second.sendall(OWN)
            wait_until(lambda: len(caller.done) == 2)


def test_a_cancelled_request_is_reset_so_that_held_up_bytes_never_arrive(pair):
    """Guards against requests that reach a server seconds after their caller left.

    A server that was cut off or silent got what the kernel still held after an ordinary
    close.
    """
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        caller.fire(http_call_cancel("c1"), "http-client")
        with pytest.raises(ConnectionResetError):
            connection.recv(65536)
