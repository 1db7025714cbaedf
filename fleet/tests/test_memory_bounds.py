"""Memory of an entry while callers do not read and servers do not end."""

import contextlib
import os
import socket

import psutil
import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import listed

# What the operators allow an entry at 400 connections.
MOST_BYTES = 120 * 1_048_576
SLOW_READERS = 40
LOAD_S = 5.0


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def peak_bytes(entry):
    status = f"/proc/{entry.program.process.pid}/status"
    with open(status) as lines:
        peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) * 1024


def connect(entry, head):
    host, port = entry.url.removeprefix("http://").rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect((host, int(port)))
    lines = [
        *head,
        "Host: desk.example",
        f"X-Attempt-Id: {os.urandom(8).hex()}",
        "X-Credential: key-a",
        "X-Deadline-Ms: 8000",
    ]
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


def test_callers_that_read_nothing_do_not_fill_the_memory(fleet):
    """Guards against an entry that keeps what its callers do not read.

    Forty callers that read nothing, with servers that send without end, took 270 MB.
    """
    endless = fleet.add_server(name="i-1", endless=True)
    entry = fleet.add_entry()
    wait_for(listed(entry, endless), "the server is known")
    with contextlib.ExitStack() as stack:
        for number in range(SLOW_READERS):
            head = [f"GET /stock/{number} HTTP/1.1"]
            stack.enter_context(connect(entry, head))
            # The stand-in accepts five connections at once.
            wait_for(lambda n=number: len(endless.runs) > n, "it is answered")
        with contextlib.suppress(TimeoutError):
            wait_for(lambda: peak_bytes(entry) > MOST_BYTES, "too much", LOAD_S)
        assert peak_bytes(entry) < MOST_BYTES
        sound = fleet.add_server(name="i-2")
        wait_for(listed(entry, sound), "the sound server is known")
        endless.endless = False
        assert entry.send("/reserve/1").status_code == 200


def test_many_large_bodies_are_refused_before_they_fill_the_memory(fleet):
    """Guards against request bodies of many callers that exceed an entry's memory."""
    fleet.configuration["limits"] = fleet.configuration["limits"] | {
        "max_body_bytes": 4_194_304
    }
    fleet.store.put("keyed.op", "config", fleet.configuration | {"version": 4})
    server = fleet.add_server(name="i-1")
    server.hold.clear()
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    before = psutil.Process(entry.program.process.pid).memory_info().rss
    with contextlib.ExitStack() as stack:
        socks = []
        for number in range(60):
            head = [f"POST /stock/{number} HTTP/1.1", "Content-Length: 4000000"]
            socks.append(stack.enter_context(connect(entry, head)))
            with contextlib.suppress(OSError):
                socks[-1].sendall(b"x" * 4_000_000)
        answered = [sock for sock in socks if _starts_with(sock, b"HTTP/1.1 503")]
        assert peak_bytes(entry) - before < 2 * 120 * 1_048_576
    assert answered
    server.hold.set()


def _starts_with(sock, expected):
    sock.settimeout(0.05)
    with contextlib.suppress(OSError):
        return sock.recv(64).startswith(expected)
    return False
