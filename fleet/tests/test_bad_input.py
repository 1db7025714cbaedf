"""Bad input gets a clear error and harms nobody else."""

import json
import os
import struct
import time

import pytest

from fleet.client import call, open_stream
from fleet.tests.sockets import connect, exchange, read_all

CHAT = "/v1/chat/completions"
LONG = {
    "model": "draft-small",
    "messages": [{"role": "user", "content": "A long letter"}],
    "max_tokens": 120,
}


@pytest.fixture
def bystander(fleet):
    """Check that a stream that runs meanwhile arrives complete."""
    address, key = fleet.entry_addresses()[0], fleet.keys["tenants"]
    stream = open_stream(address, CHAT, LONG, key)
    parts = iter(stream)
    next(parts)
    yield
    for _ in parts:
        pass
    assert stream.error is None
    assert stream.done
    whole = call(address, "POST", CHAT, LONG, key).json()
    assert "".join(stream.text) == whole["choices"][0]["message"]["content"]


def _head(fleet, length, extra=b"") -> bytes:
    key = fleet.keys["surveyors"].encode()
    return (
        b"POST " + CHAT.encode() + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Authorization: Bearer " + key + b"\r\n" + extra + b"Content-Length: "
        b"%d\r\n\r\n" % length
    )


def _status_and_code(answer: bytes) -> tuple[int, str]:
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]["code"]


@pytest.mark.parametrize(
    "body",
    [
        b'{"model": ',
        b"[1, 2]",
        b"\xff\xfe",
        b"[" * 50_000,
        b'{"model": 5, "messages": []}',
        b'{"model": "draft-small", "messages": "text"}',
        b'{"model": "draft-small", "messages": [{"role": "user"}], "max_tokens": "9"}',
        b'{"model": "draft-small", "messages": [{"role": "user", "content": "a"}], '
        b'"max_tokens": -1}',
        b'{"model": "draft-small", "messages": [{"role": "user", "content": "a"}], '
        b'"max_tokens": 1e400}',
    ],
)
def test_bad_json_and_wrong_types(fleet, bystander, body):
    """Guards against internal errors and hanging connections on malformed bodies."""
    address = fleet.entry_addresses()[0]
    answer = exchange(address, _head(fleet, len(body)) + body)
    assert _status_and_code(answer) == (400, "bad_request")


def test_oversize_head_and_body(fleet, bystander):
    """Guards against memory that a caller fills before any check."""
    address = fleet.entry_addresses()[0]
    big_head = _head(fleet, 2, b"X-Big: " + b"a" * 40_000 + b"\r\n")
    assert _status_and_code(exchange(address, big_head))[0] == 431
    answer = exchange(address, _head(fleet, 5_000_000) + b"a" * 100)
    assert _status_and_code(answer) == (413, "body_too_large")


def test_slow_sender_is_answered_and_closed(fleet, bystander):
    """Guards against connections that are held open by a head that never ends."""
    address = fleet.entry_addresses()[0]
    with connect(address, 20) as connection:
        started_s = time.monotonic()
        connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
        answer = read_all(connection)
    assert _status_and_code(answer) == (408, "request_timeout")
    assert 9.0 < time.monotonic() - started_s < 13.0


@pytest.mark.parametrize(
    ("value", "status"), [(b"caf\xe9", 200), (b"\\u1ecc", 400)], ids=["byte", "escape"]
)
def test_odd_header_for_a_service_says_nothing_of_the_service(
    fleet, bystander, value, status
):
    """Guards against callers without an answer, and services taken as out of reach."""
    address, key = fleet.entry_addresses()[0], fleet.keys["surveyors"].encode()
    path = "/services/casework/stock/bed"
    data = (
        b"GET " + path.encode() + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Authorization: Bearer " + key + b"\r\nX-Name: " + value + b"\r\n\r\n"
    )
    for _ in range(5):
        assert exchange(address, data).startswith(b"HTTP/1.1 %d " % status)
        assert call(address, "GET", path, key=key.decode()).status == 200


@pytest.mark.parametrize(
    "data",
    [
        os.urandom(4096),
        struct.pack(">I", 2**31) + b"a" * 1000,
        struct.pack("<I", 2**31) + b"a" * 1000,
        struct.pack(">I", 3) + b"\xc1\xc1\xc1",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x00" * 4096,
    ],
    ids=["random", "oversize", "oversize-le", "bad-msgpack", "http", "zeros"],
)
def test_garbage_on_a_peer_port_is_refused(fleet, bystander, data):
    """Guards against a stranger who stops a process or fills its memory."""
    for vm in fleet.vms.values():
        with connect(vm.daemon.addresses["peer"], 15) as connection:
            connection.sendall(data)
            read_all(connection)  # Ends, because the process closes the connection.
        assert vm.daemon.running
