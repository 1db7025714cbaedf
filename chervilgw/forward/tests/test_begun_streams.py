"""What an entry tells an engine's agent of the streams that the engine began."""

from dataclasses import replace

import pytest

from chervilgw.codec.frames import encode
from chervilgw.core.messages import (
    EngineReport,
    StreamOrigin,
    TurnGranted,
    TurnReleased,
    TurnRequest,
)
from chervilgw.forward import events
from chervilgw.forward.tests.test_evacuation import MODEL, Entry
from chervilgw.runtime.events import (
    CallData,
    CallFailed,
    CallHead,
    HttpRequest,
    call_data,
    call_failed,
    call_head,
    http_request,
)

HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("X-Server-Seal", "1"),
    ("X-Attempt-Id", "r"),
    ("Transfer-Encoding", "chunked"),
)
ATTEMPT = "9c41d07be2a35f68"
# With Ethernet's MTU a datagram is not fragmented.
MAX_UNFRAGMENTED_BYTES = 1_400


def make_entry():
    entry = Entry("llm")
    for server in ("i-1", "i-2"):
        report = EngineReport(server, 1, 0, False, False, "", {"m": ()}, 0, 0, 0)
        entry.fire(events.engine_reported(report), "gateway")
    # One version alone has served, so that streams of other attempts go on.
    entry.fire(events.server_list_read(("i-1", "i-2"), 9), "*")
    entry.fire(events.entry_list_read(()), "*")
    return entry


def send_stream(entry, **headers):
    headers = {"host": "h", "x-attempt-id": ATTEMPT} | MODEL | headers
    http = HttpRequest(1, "GET", "/s/1", "", headers, b"")
    entry.fire(http_request(http), "gateway")
    return grant_turn(entry)


def grant_turn(entry):
    requests = [
        (server, message)
        for server, message in entry.sent("agent_send")
        if isinstance(message, TurnRequest)
    ]
    server, request = requests[-1]
    entry.fire(events.turn_answered(TurnGranted(request.turn, server)), "gateway")
    call = entry.sent("http_call")[-1][0].call
    entry.fire(call_head(CallHead(call, 200, HEADERS)), "gateway")
    return server, call


def receive(entry, call, *parts):
    for part in parts:
        entry.fire(call_data([CallData(call, part)]), "gateway")


def break_off(entry, call):
    failed = CallFailed(call, True, "reset", connection_lost=True)
    entry.fire(call_failed(failed), "gateway")


def claims(entry):
    return [
        (server, message.begun_by)
        for server, message in entry.sent("agent_send")
        if isinstance(message, TurnReleased) and message.begun_by
    ]


def test_agent_is_told_of_a_stream_that_began_without_a_turn():
    """Guards against streams of the first second after a start that no agent knows."""
    entry = Entry("llm")
    headers = {"host": "h", "x-attempt-id": ATTEMPT} | MODEL
    entry.fire(http_request(HttpRequest(1, "GET", "/s/1", "", headers, b"")), "gateway")
    call = entry.sent("http_call")[-1][0].call
    entry.fire(call_head(CallHead(call, 200, HEADERS)), "gateway")
    receive(entry, call, b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
    [(_, origin)] = entry.sent("agent_send")
    assert origin == StreamOrigin("llm", ATTEMPT, "")


@pytest.mark.parametrize(
    "parts",
    [
        [b"id: 1\ndata: a\n\n"],
        [b"id: 1\nda", b"ta: a\n\n"],
        [b": wait\n\n", b"id: 1\ndata: a\n\n"],
        [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"],
    ],
)
def test_stream_is_reported_once_at_its_first_whole_event(parts):
    """Guards against streams that no agent knows once their entry is lost."""
    entry = make_entry()
    server, call = send_stream(entry)
    receive(entry, call, *parts)
    assert claims(entry) == [(server, ATTEMPT)]
    break_off(entry, call)
    assert claims(entry) == [(server, ATTEMPT)]


def test_engine_that_delivers_no_whole_event_has_not_begun_the_stream():
    """Guards against a memory of streams of which callers hold nothing."""
    entry = make_entry()
    _, call = send_stream(entry)
    receive(entry, call, b"id: 1\ndata")
    break_off(entry, call)
    assert claims(entry) == []


@pytest.mark.parametrize(
    "headers",
    [{"last-event-id": "4", "resumes": "a"}, {"x-attempt-id": ""}],
    ids=str,
)
def test_stream_that_another_attempt_began_is_not_reported(headers):
    """Guards against claims of engines that only continue a stream."""
    entry = make_entry()
    entry.fire(events.server_list_read(("i-1", "i-2"), 3), "*")
    entry.fire(events.stream_origin_reported("llm", "a", ""), "gateway")
    _, call = send_stream(entry, **headers)
    receive(entry, call, b"id: 5\ndata: a\n\n", b"id: 6\ndata: a\n\n")
    break_off(entry, call)
    assert claims(entry) == []


def test_server_that_was_started_anew_meanwhile_has_not_begun_the_stream():
    """Guards against a version of which either start of a server may be."""
    entry = make_entry()
    server, call = send_stream(entry)
    registered = entry.gateway.fleet.directory.find(server)
    entry.fire(events.server_registered(replace(registered, started_ms=2), 3), "*")
    receive(entry, call, b"id: 1\ndata: a\n\n")
    break_off(entry, call)
    assert claims(entry) == []


def test_requests_that_end_before_an_event_leave_nothing_behind():
    """Guards against memory that grows with the number of failed requests."""
    entry = make_entry()
    _, call = send_stream(entry)
    receive(entry, call, b"id: 1\ndata")
    break_off(entry, call)
    assert entry.gateway._awaiting_event == {}


def test_release_with_an_attempt_fits_into_one_packet():
    entry = make_entry()
    server, call = send_stream(entry)
    receive(entry, call, b"id: 1\ndata: a\n\n")
    _, released = entry.sent("agent_send")[-1]
    assert len(encode(released)) < MAX_UNFRAGMENTED_BYTES
