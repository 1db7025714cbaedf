"""Matching of answers to their requests, and detection of incomplete answers."""

import socket
import struct
from errno import ECONNRESET, ETIMEDOUT

import pytest
from circuits import BaseComponent, handler

from chervilgw.runtime.events import HttpCall, http_call, http_call_cancel
from chervilgw.runtime.http_client import HttpClient, make_http_client
from chervilgw.runtime.sockets import DirectServer

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
        self.heads = []

    def call(self, name, body=b"", headers=(("Host", "h"),), stream=False):
        spec = HttpCall(
            name,
            "caller",
            self.address,
            "POST" if body else "GET",
            "/",
            headers,
            body,
            timeout_s=30.0,
            forwarded=True,
            echo_header=("x-id", "own"),
            stream=stream,
        )
        self.fire(http_call(spec), "http-client")

    @handler("call_done")
    def _on_done(self, done):
        self.done.append((done.call, done.body))

    @handler("call_head")
    def _on_head(self, head):
        self.heads.append(head)

    @handler("call_failed")
    def _on_failed(self, failed):
        self.failed.append(failed)


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(10)
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


def test_an_extra_answer_is_not_matched_to_the_next_request(pair):
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


REFUSED = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
STALE = {
    "earlier id": REFUSED + b"X-Id: other\r\n\r\n",
    "no id": REFUSED + b"\r\n",
    "signed, no id": REFUSED + b"X-Server-Seal: 1\r\n\r\n",
    "signed, earlier id": REFUSED + b"X-Server-Seal: 1\r\nX-Id: other\r\n\r\n",
    "429": REFUSED.replace(b"503 No", b"429 No") + b"\r\n",
    "421": REFUSED.replace(b"503 No", b"421 No") + b"\r\n",
}


def reused(listener, caller):
    """Return a connection on which one call has ended and that is kept open."""
    caller.call("c1")
    connection = accept(listener)
    connection.sendall(OWN)
    wait_until(lambda: caller.done)
    return connection


@pytest.mark.parametrize("name", STALE)
def test_repeated_refusal_on_a_kept_connection_is_not_the_answer(pair, name):
    """Guards against "not run" for a request that the server runs."""
    listener, caller = pair
    with reused(listener, caller) as connection:
        caller.call("c2")
        connection.recv(65536)
        connection.sendall(STALE[name])
        connection.sendall(OWN)
        wait_until(lambda: len(caller.done) == 2)
    assert caller.done[1] == ("c2", b"own")


@pytest.mark.parametrize("name", STALE)
def test_repeated_refusal_while_the_body_is_sent_is_not_the_answer(pair, name):
    listener, caller = pair
    with reused(listener, caller) as connection:
        caller.call("c2", body=b"x" * 7_000_000)
        connection.recv(1)
        connection.sendall(STALE[name])
        left = 7_000_000
        while left > 0:
            left -= len(connection.recv(1_048_576))
        connection.sendall(OWN)
        wait_until(lambda: len(caller.done) == 2)
    assert caller.done[1] == ("c2", b"own")


@pytest.mark.parametrize("name", STALE)
def test_repeated_refusal_on_an_idle_connection_closes_it(pair, name):
    listener, caller = pair
    with reused(listener, caller) as connection:
        connection.sendall(STALE[name])
        assert connection.recv(65536) == b""
        caller.call("c2")
        with accept(listener) as second:
            second.sendall(OWN)
            wait_until(lambda: len(caller.done) == 2)


@pytest.mark.parametrize("name", STALE)
def test_refusal_behind_the_answer_is_not_the_next_answer(pair, name):
    listener, caller = pair
    with reused(listener, caller) as connection:
        caller.call("c2")
        connection.recv(65536)
        connection.sendall(OWN + STALE[name])
        wait_until(lambda: len(caller.done) == 2)
        caller.call("c3")
        with accept(listener) as second:
            second.sendall(OWN)
            wait_until(lambda: len(caller.done) == 3)


def test_connection_that_ends_after_a_repeated_refusal_leaves_the_outcome_open(pair):
    """Guards against a retry of what may have run, and against blaming the request."""
    listener, caller = pair
    with reused(listener, caller) as connection:
        caller.call("c2")
        connection.recv(65536)
        connection.sendall(STALE["no id"])
    wait_until(lambda: caller.failed)
    assert caller.failed[0].sent
    assert not caller.failed[0].connection_lost


def test_refusal_without_an_id_on_a_new_connection_is_the_answer(pair):
    """The connection has carried no earlier request to which it could belong."""
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(STALE["no id"])
        wait_until(lambda: caller.done)


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


def test_a_call_whose_connection_is_refused_was_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
    caller = Caller(address)
    with running(make_http_client(), caller):
        caller.call("c1")
        wait_until(lambda: caller.failed)
    assert not caller.failed[0].sent


@pytest.mark.parametrize("keep_alive", [b"timeout=1", b"timeout=0"])
def test_a_connection_that_the_server_closes_soon_is_not_used_again(pair, keep_alive):
    """Guards against a request that races with the server's close of the connection."""
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


def test_the_connection_of_a_cancelled_request_is_reset(pair):
    """Guards against requests that reach a server seconds after their caller left.

    After an ordinary close, the kernel delivered its buffered bytes once an unreachable
    or silent server recovered.
    """
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        caller.fire(http_call_cancel("c1"), "http-client")
        with pytest.raises(ConnectionResetError):
            connection.recv(65536)


def test_connection_that_is_reset_after_a_repeated_refusal_blames_no_request(pair):
    """Guards against a request that counts as having crashed its server."""
    listener, caller = pair
    connection = reused(listener, caller)
    caller.call("c2")
    connection.recv(65536)
    connection.sendall(STALE["no id"])
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    wait_until(lambda: caller.failed)
    assert caller.failed[0].sent
    assert not caller.failed[0].connection_lost


def test_endless_keep_alive_time_does_not_hide_an_answer(pair):
    """Guards against a call that never ends because of a number that is too large."""
    listener, caller = pair
    keep_alive = b"\r\nKeep-Alive: timeout=" + b"9" * 5000 + b"\r\n\r\n"
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(OWN.replace(b"\r\n\r\n", keep_alive))
        wait_until(lambda: caller.done)
    assert caller.done == [("c1", b"own")]


def test_connection_that_ended_with_its_answer_is_not_used_again(pair):
    """Guards against a next request that waits on a closed connection.

    It was written to nowhere and timed out without having reached a server.
    """
    listener, caller = pair
    caller.call("first")
    with accept(listener) as connection:
        connection.sendall(UNFRAMED)
    wait_until(lambda: caller.done == [("first", b"half")])
    caller.call("second")
    with accept(listener) as connection:
        connection.sendall(OWN)
        wait_until(lambda: caller.done[1:] == [("second", b"own")])
    assert not caller.failed


@pytest.mark.parametrize("code", [ETIMEDOUT, ECONNRESET])
def test_silent_server_is_told_from_one_that_reset_the_connection(pair, code):
    """Guards against blame for a crash while the network is cut."""
    listener, caller = pair
    caller.call("c1")
    with accept(listener):
        tasks = caller.root.components
        client = next(task for task in tasks if isinstance(task, HttpClient))
        [sock] = client._by_sock
        client._dialer._reset(sock, OSError(code, "lost"))
        wait_until(lambda: caller.failed)
    assert caller.failed[0].connection_lost
    assert caller.failed[0].is_silent is (code == ETIMEDOUT)


def test_write_to_a_closed_connection_is_not_taken_for_sent():
    """Guards against requests and messages that are dropped without a word."""
    server = DirectServer(("127.0.0.1", 0), "closed-test")
    ours, theirs = socket.socketpair()
    theirs.close()
    assert not server.write(ours, b"x")
    ours.close()
    assert not server.is_open(ours)
    assert not server.write(ours, b"x")


WHOLE_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Type: text/plain\r\n\r\n"
CUTS = [5, 12, 15, 17, 23, 26, 40, len(WHOLE_HEAD) - 3, len(WHOLE_HEAD) - 2]


@pytest.mark.parametrize("length", CUTS)
@pytest.mark.parametrize("reset", [False, True])
def test_head_that_stops_is_no_answer(pair, length, reset):
    """Guards against a whole, empty answer made of a head that was cut off."""
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        connection.sendall(WHOLE_HEAD[:length])
        if reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    wait_until(lambda: caller.failed)
    assert not caller.done
    assert caller.failed[0].sent


def test_header_bytes_outside_ascii_are_sent_and_received(pair):
    """Guards against a request that waits for an answer and was never sent."""
    listener, caller = pair
    caller.call("c1", headers=(("Host", "h"), ("X-Name", "\xe9\xff")))
    connection, _ = listener.accept()
    with connection:
        assert b"X-Name: \xe9\xff\r\n" in connection.recv(65536)
        connection.sendall(OWN)
        wait_until(lambda: caller.done)
    assert caller.failed == []


@pytest.mark.parametrize(
    "headers", [(), (("Host", "h"), ("X-Name", "\u1ecc")), (("Host", "h"), ("a b", ""))]
)
def test_request_that_cannot_be_encoded_fails_at_once(pair, headers):
    """Guards against a server that counts as out of reach by a caller's request."""
    listener, caller = pair
    caller.call("c1", headers=headers)
    wait_until(lambda: caller.failed)
    failed = caller.failed[0]
    assert (failed.call, failed.sent, failed.is_unsendable) == ("c1", False, True)
    assert failed.connection_lost is False


NO_ANSWERS = [
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 099 Odd",
    b"HTTP/1.1 199 Odd",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
]


@pytest.mark.parametrize("stream", [False, True], ids=["buffered", "stream"])
@pytest.mark.parametrize("status_line", NO_ANSWERS)
def test_status_that_is_none_is_no_answer(pair, status_line, stream):
    """Guards against failures of a server that its callers get as answers (MIXED)."""
    listener, caller = pair
    caller.call("c1", stream=stream)
    with accept(listener) as connection:
        connection.sendall(OWN.replace(b"HTTP/1.1 200 OK", status_line))
        wait_until(lambda: caller.failed)
    failed = caller.failed[0]
    assert (failed.sent, failed.is_malformed) == (True, True)
    assert (caller.heads, caller.done) == ([], [])


def test_interim_answer_and_statuses_at_the_bounds_are_passed_on(pair):
    listener, caller = pair
    caller.call("c1")
    with accept(listener) as connection:
        final = OWN.replace(b"200 OK", b"599 Odd")
        connection.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n" + final)
        wait_until(lambda: caller.done)
    assert caller.failed == []
