"""Answers of faulty servers whose status is none, at a running entry."""

import httpx
import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import MODEL, listed

STATUS_LINES = [
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 199 Odd",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
    b"HTTP/2.0 200 OK",
]


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


@pytest.mark.parametrize("status_line", STATUS_LINES)
def test_odd_status_reaches_no_caller(fleet, status_line):
    """Guards against failures that callers get as a server's answer (MIXED)."""
    desk = fleet.add_server(name="i-1", status_line=status_line)
    engine = fleet.add_server(
        name="i-2", service="llm", models={"m1": []}, status_line=status_line
    )
    entry = fleet.add_entry()
    for server in (desk, engine):
        wait_for(listed(entry, server), "the server is known")
    answers = [
        entry.send("/reserve/1"),
        entry.send("/stock/1"),
        entry.send("/draft/1", headers=MODEL),
    ]
    assert [answer.status_code for answer in answers] == [502] * 3
    assert all("X-Server-Seal" not in answer.headers for answer in answers)
    # Only what may be repeated is tried elsewhere.
    sound = fleet.add_server(name="i-3")
    wait_for(listed(entry, sound), "the sound server is known")
    for number in range(4):
        answer = entry.send(f"/stock/{number}")
        assert (answer.status_code, answer.content) == (200, b"answer of i-3")


def test_odd_status_does_not_continue_a_stream(fleet):
    """Guards against a stream that ends as complete behind a failure."""
    first = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    first.break_after = 2
    entry = fleet.add_entry()
    wait_for(listed(entry, first), "the engine is known")
    second = fleet.add_server(
        name="i-2", service="llm", models={"m1": []}, status_line=b"HTTP/1.1 600 Odd"
    )
    wait_for(listed(entry, second), "the second engine is known")
    with pytest.raises(httpx.RemoteProtocolError):
        for number in range(4):
            answer = entry.send(f"/draft/{number}", headers=MODEL)
            # The second engine answered first, and nothing else could be tried.
            assert answer.status_code == 502
