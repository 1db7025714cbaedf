"""Odd headers of callers and of backend servers, at running entries."""

import os
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import MODEL, listed

ODD_VALUE = "caf\xe9 \xb3"


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def send_raw(entry, path, headers, body=b""):
    """Send a request whose header bytes a client library would refuse."""
    host, _, port = entry.url.removeprefix("http://").rpartition(":")
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Attempt-Id: {os.urandom(8).hex()}",
        "X-Credential: key-a",
        "X-Deadline-Ms: 8000",
        f"Content-Length: {len(body)}",
        *headers,
        "Connection: close",
    ]
    with socket.create_connection((host, int(port)), 20) as sock:
        sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        received = b""
        while part := sock.recv(65536):
            received += part
    return received


def test_odd_header_of_an_answer_takes_nothing_from_other_streams(fleet):
    """Guards against events that are lost beside an answer with an odd header byte."""
    servers = [
        fleet.add_server(
            name=f"i-{number}",
            service="llm",
            models={"m1": []},
            events=30,
            event_pause_s=0.01,
        )
        for number in range(2)
    ]
    servers[0].signals = {"X-Note": ODD_VALUE}
    entry = fleet.add_entry()
    for server in servers:
        wait_for(listed(entry, server), "the engine is known")
    with ThreadPoolExecutor(4) as callers:
        streams = callers.map(
            lambda number: entry.send(f"/draft/{number}", headers=MODEL), range(24)
        )
        bodies = [(stream.status_code, stream.content) for stream in streams]
    events = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 31))
    assert bodies == [(200, events)] * 24
    assert all(server.runs for server in servers)
    assert "handler_failed" not in entry.program.log_text()


def test_odd_header_bytes_of_a_request_and_its_answer_are_passed_on(fleet):
    """Guards against callers that get no answer for one odd header byte."""
    server = fleet.add_server(name="i-1", signals={"X-Note": ODD_VALUE})
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    answer = send_raw(entry, "/reserve/1", [f"X-Name: {ODD_VALUE}"])
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert ODD_VALUE.encode("latin-1") in answer
    assert server.runs[0]["headers"]["x-name"] == ODD_VALUE


def test_request_that_cannot_be_sent_on_says_nothing_of_its_servers(fleet):
    """Guards against a caller whose odd requests take all servers away."""
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    for number in range(5):
        odd = send_raw(entry, f"/stock/{number}", ["Connection: close, host"])
        assert odd.startswith(b"HTTP/1.1 400 ")
        odd = send_raw(entry, f"/stock/{number}", ["Connection: host"])
        assert odd.startswith(b"HTTP/1.1 400 ")
        assert entry.send(f"/reserve/{number}").status_code == 200
    assert len(server.runs) == 5
    assert '"attempt_failed"' not in entry.program.log_text()


def test_customer_whose_name_cannot_be_sent_takes_no_server_from_others(fleet):
    """Guards against servers that count as out of reach by a name in a header."""
    customers = [*fleet.configuration["tenants"], {"name": "a\nb", "api_keys": ["odd"]}]
    configuration = fleet.configuration | {"version": 4, "tenants": customers}
    fleet.store.put("keyed.op", "config", configuration)
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    for number in range(5):
        assert entry.send(f"/stock/{number}", key="odd").status_code == 400
        assert entry.send(f"/reserve/{number}").status_code == 200
    assert len(server.runs) == 5
