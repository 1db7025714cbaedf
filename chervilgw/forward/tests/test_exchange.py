"""Retries after a failed attempt, and what of an answer is relayed."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import OpaqueRequest, RouteKind, RouteRule
from chervilgw.core.states import RunState
from chervilgw.forward.exchange import (
    MAX_SENDS,
    Stage,
    make_exchange,
    max_first_token_wait_s,
)
from chervilgw.forward.messages import AdmittedRequest, ServerAnswer

ROUTE = RouteRule(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, 1.5, 0.1, 0, (), 2, False, False, 0.0
)
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 8.0, None, None, None, None, (), None
)
OWN = ServerAnswer(200, (), False, True, False, 10)
NOT_RUN = ServerAnswer(503, (), True, False, False, 0)
FAILED = ServerAnswer(500, (), False, True, False, 0)


def exchange(**changes):
    admitted = AdmittedRequest(REQUEST, replace(ROUTE, **changes), "desk", None, 1)
    return make_exchange(1, "http", admitted, "d", 0.0)


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
    made.on_head(OWN, 1000)
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


def test_deadline_is_the_earlier_of_caller_deadline_and_route_timeout():
    """Guards against requests that outlive their caller or the route's timeout."""
    assert exchange().deadline_s == 1.5
    assert exchange(timeout_s=20.0).deadline_s == 8.0


def test_callers_abandon_streams_after_the_longest_limit():
    """Guards against refusing requests whose callers would still have waited."""
    stream = {"kind": RouteKind.STREAMING, "timeout_s": 15.0}
    assert max_first_token_wait_s(exchange(**stream).admitted) == 2.0
    long = exchange(**stream, target_s=0.6, max_pause_s=0.4).admitted
    assert max_first_token_wait_s(long) == pytest.approx(3.2)
