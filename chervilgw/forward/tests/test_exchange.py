"""Retries after a failed attempt, and what of an answer is relayed."""

from dataclasses import replace

import pytest

from chervilgw.codec.event_stream import EventOrderError
from chervilgw.core.deployment import OpaqueRequest, RouteKind, RouteRule
from chervilgw.core.states import RunState
from chervilgw.forward.caller_waits import max_first_token_wait_s
from chervilgw.forward.exchange import (
    MAX_SENDS,
    Stage,
    make_exchange,
)
from chervilgw.forward.messages import AdmittedRequest, ServerAnswer
from chervilgw.routing.request_cost import OutputEstimate

ROUTE = RouteRule(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, 1.5, 0.1, 0, (), 2, False, False, 0.0
)
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 8.0, None, None, None, None, (), None
)
OWN = ServerAnswer(200, (), False, True, False, 10)
NOT_RUN = ServerAnswer(503, (), True, False, False, 0)
EVENTS = ServerAnswer(200, (), False, True, False, None, True)
FAILED = ServerAnswer(500, (), False, True, False, 0)


def exchange(**changes):
    admitted = AdmittedRequest(REQUEST, replace(ROUTE, **changes), "desk", None, 1)
    return make_exchange(1, "http", admitted, ("request/d",), 0.0)


def test_events_of_a_stream_reduce_the_output_that_is_expected():
    """Guards against the whole output being expected of a server that resumes."""
    made = exchange(kind=RouteKind.STREAMING)
    assert made.expected_output_tokens == 0
    made.estimate = OutputEstimate(30, True, 3)
    made.cutter.feed(b": hello\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    assert (made.written_tokens, made.expected_output_tokens) == (6, 24)
    made.cutter.begin_continuation()
    made.cutter.feed(b"id: 3\ndata: c\n\n")
    assert made.expected_output_tokens == 21


def sent(made, *servers):
    for server in servers:
        made.begin_attempt(server, 1, 0)
    return made


def test_booking_that_may_have_run_is_never_retried():
    """Guards against a second booking."""
    made = sent(exchange(), "x")
    assert not made.may_retry()
    assert made.run_state is RunState.UNKNOWN


def test_booking_that_has_not_run_may_be_retried():
    """Guards against failing a request that another server could have run."""
    made = sent(exchange(), "x")
    made.on_head(NOT_RUN, 1000)
    assert made.stage is Stage.DISCARDING
    made.on_not_served()
    assert made.may_retry()
    assert made.run_state is RunState.NOT_RUN


def test_idempotent_request_is_retried_up_to_the_limit_of_its_route():
    """Guards against more attempts than the route allows."""
    made = sent(exchange(kind=RouteKind.IDEMPOTENT), "x")
    assert made.may_retry()
    assert not sent(made, "y").may_retry()


def test_sends_are_bounded_even_if_nothing_runs():
    """Guards against endless retries when every server refuses."""
    made = exchange()
    for number in range(MAX_SENDS):
        assert made.may_retry()
        sent(made, f"s{number}").may_have_run.clear()
    assert not made.may_retry()


@pytest.mark.parametrize(
    ("kind", "stage"),
    [
        (RouteKind.IDEMPOTENT, Stage.DISCARDING),
        (RouteKind.NON_IDEMPOTENT, Stage.BUFFERING),
    ],
)
def test_server_error_is_discarded_only_if_a_retry_is_allowed(kind, stage):
    """Guards against hiding the error of a request that cannot be repeated."""
    made = sent(exchange(kind=kind), "x")
    made.on_head(FAILED, 1000)
    assert made.stage is stage


@pytest.mark.parametrize(
    "answer", [replace(OWN, sealed=False), replace(OWN, encoded=True)]
)
def test_answer_without_seal_or_with_encoding_is_never_relayed(answer):
    """Guards against relaying answers that the server itself did not send."""
    made = sent(exchange(), "x")
    made.on_head(answer, 1000)
    assert made.on_data(b"bytes") == b""
    assert made.stage is Stage.DISCARDING


def test_stream_is_resumed_only_after_a_complete_event():
    """Guards against a partial event in the middle of a resumed stream."""
    stream = {"kind": RouteKind.STREAMING, "resumable": True}
    made = sent(exchange(**stream), "x")
    made.on_head(replace(OWN, is_event_stream=True), 1000)
    made.head_forwarded = True
    assert made.on_data(b"id: 1\nda") == b""
    assert not made.may_resume()
    assert made.on_data(b"ta: a\n\nid: 2") == b"id: 1\ndata: a\n\n"
    assert made.may_resume()
    assert made.cutter.last_event_id == "1"


def test_stream_of_a_route_without_resumption_is_not_resumed():
    """Guards against repeated events after a retry from the beginning."""
    made = sent(exchange(kind=RouteKind.STREAMING), "x")
    made.on_head(OWN, 1000)
    made.head_forwarded = True
    made.on_data(b"id: 1\ndata: a\n\n")
    assert not made.may_resume()


STREAM = {"kind": RouteKind.STREAMING, "resumable": True, "max_attempts": 3}
EVENTS = ServerAnswer(200, (), False, True, False, None, is_event_stream=True)


def resumed(answer):
    """Return a stream that broke off after event 2, with a second server's answer."""
    made = sent(exchange(**STREAM), "x")
    made.on_head(EVENTS, 1000)
    made.head_forwarded = True
    made.on_data(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    made.cutter.begin_continuation()
    sent(made, "y")
    made.on_head(answer, 1000)
    return made


NO_CONTINUATION = {
    "error": replace(EVENTS, status=500),
    "refusal without proof": replace(EVENTS, status=503),
    "too many requests": replace(EVENTS, status=429),
    "not found": replace(EVENTS, status=404),
    "no event stream": replace(EVENTS, is_event_stream=False),
    "empty": replace(EVENTS, status=204),
    "refusal": NOT_RUN,
    "not signed": replace(EVENTS, sealed=False),
    "encoded": replace(EVENTS, encoded=True),
}


@pytest.mark.parametrize("name", NO_CONTINUATION)
def test_nothing_of_an_error_is_relayed_into_a_stream(name):
    """Guards against the text of an error in the middle of a caller's stream."""
    made = resumed(NO_CONTINUATION[name])
    assert made.stage is Stage.DISCARDING
    assert made.on_data(b'{"error": "no"}\n\n') == b""
    made.on_not_served()
    assert made.may_resume()
    assert made.run_state is RunState.UNKNOWN


def test_continuation_behind_the_last_event_is_relayed():
    made = resumed(EVENTS)
    assert made.stage is Stage.RELAYING
    events = b": alive\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
    assert made.on_data(events) == events
    assert not made.is_cut_off


@pytest.mark.parametrize(
    "events",
    [
        b"id: 1\ndata: a\n\n",
        b"id: 2\ndata: b\n\n",
        b"id: 4\ndata: d\n\n",
        b"id: 3\ndata: c\n\nid: 3\ndata: c\n\n",
        b"id: 3\ndata: c\n\nid: 5\ndata: e\n\n",
        b"data: without an id\n\n",
        b"id: 3\ndata: c\n\nid: x\ndata: d\n\n",
        b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
    ],
)
def test_continuation_that_repeats_or_skips_events_is_refused(events):
    """Guards against events that are missing, come twice or belong to another run."""
    made = resumed(EVENTS)
    with pytest.raises(EventOrderError):
        made.on_data(events)
    # Nothing of it was relayed, so that another server goes on behind event 2.
    assert made.cutter.last_event_id == "2"


def test_stream_after_a_discarded_error_can_still_be_resumed():
    """Guards against a stream that is not split into events after an earlier error."""
    made = sent(exchange(**STREAM), "x")
    made.on_head(replace(EVENTS, status=500, is_event_stream=False), 1000)
    assert made.stage is Stage.DISCARDING
    sent(made, "y")
    made.on_head(EVENTS, 1000)
    made.head_forwarded = True
    made.on_data(b"id: 1\ndata: a\n\nid: 2\nda")
    assert made.may_resume()


@pytest.mark.parametrize("is_framed", [True, False])
def test_continuation_that_ends_inside_an_event_is_not_complete(is_framed):
    made = resumed(replace(EVENTS, framed=is_framed))
    assert made.on_data(b"id: 3\ndata: c\n\nid: 4\nda") == b"id: 3\ndata: c\n\n"
    assert made.is_cut_off


@pytest.mark.parametrize("resumable", [True, False])
def test_stream_without_a_length_that_ends_inside_an_event_is_not_complete(resumable):
    """Guards against a stream that ends as complete before its last event."""
    made = sent(exchange(kind=RouteKind.STREAMING, resumable=resumable), "x")
    made.on_head(replace(EVENTS, framed=False), 1000)
    made.on_data(b"id: 1\ndata: a\n\nid: 2\nda")
    assert made.is_cut_off


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_no_run_is_not_relayed_without_proof(status):
    """Guards against telling a caller "not run" of a request that a server has run."""
    made = sent(exchange(), "x")
    made.on_head(replace(OWN, status=status), 1000)
    made.on_not_served()
    assert made.stage is Stage.DISCARDING
    assert made.run_state is RunState.UNKNOWN
    assert not made.may_retry()


def test_success_that_claims_not_to_have_run_proves_nothing():
    made = sent(exchange(), "x")
    made.on_head(replace(OWN, not_run=True), 1000)
    made.on_not_served()
    assert made.run_state is RunState.UNKNOWN


def test_deadline_is_the_earlier_of_caller_deadline_and_route_timeout():
    """Guards against requests that outlive their caller or the route's timeout."""
    assert exchange().deadline_s == 1.5
    assert exchange(timeout_s=20.0).deadline_s == 8.0


def test_stream_that_ends_after_the_deadline_is_not_waited_for():
    """Guards against requests held, and engines kept at work, for an unfinished stream.

    Pattern: a refused caller comes back with six of its fifteen seconds left, waits
    four seconds for a turn, and its deadline passes two seconds into its stream.
    """
    admitted = exchange(
        kind=RouteKind.STREAMING, timeout_s=15.0, target_s=1.5, max_pause_s=0.25
    ).admitted
    late = replace(admitted, opaque=replace(REQUEST, max_wait_s=6.0))
    assert max_first_token_wait_s(late, stream_s=3.0) == 3.0
    assert max_first_token_wait_s(admitted, stream_s=1.0) == 6.0
    gone = replace(admitted, opaque=replace(REQUEST, max_wait_s=2.0))
    assert max_first_token_wait_s(gone, stream_s=3.0) < 0


def test_callers_abandon_streams_after_the_longest_limit():
    """Guards against refusing requests whose callers would still have waited."""
    stream = {"kind": RouteKind.STREAMING, "timeout_s": 15.0}
    assert max_first_token_wait_s(exchange(**stream).admitted) == 2.0
    long = exchange(**stream, target_s=0.6, max_pause_s=0.4).admitted
    assert max_first_token_wait_s(long) == pytest.approx(3.2)


@pytest.mark.parametrize("framed", [True, False])
def test_stream_without_a_length_and_without_an_event_is_cut_off(framed):
    """Guards against an empty stream, framed as whole, from a server that crashed."""
    made = sent(exchange(kind=RouteKind.STREAMING), "x")
    made.on_head(replace(OWN, is_event_stream=True, framed=framed), 1000)
    assert made.is_cut_off is not framed
    made.record_bytes(0.0)
    made.on_data(b"id: 1\ndata: a\n\n")
    assert not made.is_cut_off


def test_end_of_a_stream_is_reported_once_with_the_tokens_of_its_attempt():
    """Guards against an agent that learns from the events of another engine."""
    made = sent(exchange(kind=RouteKind.STREAMING, max_pause_s=0.3), "x")
    made.tokens_per_event, made.stream_turn = 3, "turn-1"
    made.on_head(EVENTS, 1000)
    for number in (1, 2):
        made.record_bytes(float(number))
        made.on_data(b"id: %d\ndata: a\n\n" % number)
    assert made.end_stream() == ("turn-1", 6, 1.0)
    assert made.end_stream() is None
    made.begin_attempt("y", 1, 0)
    made.stream_turn = "turn-2"
    assert made.end_stream() == ("turn-2", 0, 0.0)


def test_only_a_stream_of_one_server_from_its_beginning_is_whole():
    """Guards against an agent that takes a part of an output for the whole."""
    made = sent(exchange(kind=RouteKind.STREAMING, max_pause_s=0.3), "x")
    assert not made.is_whole_stream
    made.on_head(replace(EVENTS, framed=False), 1000)
    made.record_bytes(0.0)
    made.on_data(b"id: 1\ndata: a\n\n")
    assert made.is_whole_stream
    made.on_data(b"id: 2\nda")
    assert not made.is_whole_stream
    made.begin_attempt("y", 1, 0)
    made.on_head(EVENTS, 1000)
    made.record_bytes(0.0)
    assert not made.is_whole_stream


def test_request_states_its_pause_and_deadline_only_as_a_stream():
    """Guards against new rules for requests that name neither."""
    stream = exchange(kind=RouteKind.STREAMING, max_pause_s=0.3)
    assert (stream.max_pause_s, stream.stream_remaining_s(0.5)) == (0.3, 1.0)
    plain = exchange(max_pause_s=0.3)
    assert (plain.max_pause_s, plain.stream_remaining_s(0.5)) == (0.0, 0.0)


def test_deadline_of_a_caller_alone_states_no_need_of_a_stream():
    """Guards against delays in a deployment that does not configure a pause."""
    admitted = AdmittedRequest(
        replace(REQUEST, max_wait_s=8.0),
        replace(ROUTE, kind=RouteKind.STREAMING, max_pause_s=0.0),
        "desk",
        None,
        1,
    )
    made = make_exchange(1, "http", admitted, (), 0.0)
    assert (made.max_pause_s, made.stream_remaining_s(0.5)) == (0.0, 0.0)
