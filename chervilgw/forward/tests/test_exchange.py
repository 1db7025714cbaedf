"""What a failed attempt allows, by what is certain of the request."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import OpaqueRequest, RouteKind, RouteRule
from chervilgw.core.states import RunState
from chervilgw.forward.exchange import (
    MAX_SENDS,
    Stage,
    first_token_limit_s,
    make_exchange,
)
from chervilgw.forward.messages import Admitted, ServerAnswer

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
    admitted = Admitted(REQUEST, replace(ROUTE, **changes), "desk", None, 1)
    return make_exchange(1, "http", admitted, "d", 0.0)


def sent(made, *servers):
    for server in servers:
        made.begin_attempt(server, 1, 0)
    return made


def test_a_booking_that_may_have_run_is_never_sent_again():
    made = sent(exchange(), "x")
    assert not made.may_send_again()
    assert made.run_state is RunState.UNKNOWN


def test_a_booking_that_has_not_run_may_be_sent_elsewhere():
    made = sent(exchange(), "x")
    made.on_head(NOT_RUN, 1000)
    assert made.stage is Stage.DISCARDING
    made.on_not_served()
    assert made.may_send_again()
    assert made.run_state is RunState.NOT_RUN


def test_a_lookup_goes_to_as_many_servers_as_its_route_allows():
    made = sent(exchange(kind=RouteKind.IDEMPOTENT), "x")
    assert made.may_send_again()
    assert not sent(made, "y").may_send_again()


def test_sends_are_bounded_even_if_nothing_runs():
    made = exchange()
    for number in range(MAX_SENDS):
        assert made.may_send_again()
        sent(made, f"s{number}").may_have_run.clear()
    assert not made.may_send_again()


@pytest.mark.parametrize(
    ("kind", "stage"),
    [
        (RouteKind.IDEMPOTENT, Stage.DISCARDING),
        (RouteKind.NON_IDEMPOTENT, Stage.BUFFERING),
    ],
)
def test_a_servers_failure_is_replaced_only_if_another_may_be_asked(kind, stage):
    made = sent(exchange(kind=kind), "x")
    made.on_head(FAILED, 1000)
    assert made.stage is stage


@pytest.mark.parametrize(
    "answer", [replace(OWN, sealed=False), replace(OWN, encoded=True)]
)
def test_what_is_not_the_servers_own_answer_never_reaches_the_caller(answer):
    made = sent(exchange(), "x")
    made.on_head(answer, 1000)
    assert made.on_data(b"bytes") == b""
    assert made.stage is Stage.DISCARDING


def test_a_stream_is_resumed_only_behind_a_whole_event():
    stream = {"kind": RouteKind.STREAMING, "resumable": True}
    made = sent(exchange(**stream), "x")
    made.on_head(OWN, 1000)
    made.head_passed = True
    assert made.on_data(b"id: 1\nda") == b""
    assert not made.may_resume()
    assert made.on_data(b"ta: a\n\nid: 2") == b"id: 1\ndata: a\n\n"
    assert made.may_resume()
    assert made.cutter.last_id == "1"


def test_a_stream_that_may_not_be_resumed_ends():
    made = sent(exchange(kind=RouteKind.STREAMING), "x")
    made.on_head(OWN, 1000)
    made.head_passed = True
    made.on_data(b"id: 1\ndata: a\n\n")
    assert not made.may_resume()


def test_the_shorter_of_deadline_and_timeout_ends_a_request():
    assert exchange().give_up_s == 1.5
    assert exchange(timeout_s=20.0).give_up_s == 8.0


def test_callers_of_streams_leave_after_the_longest_of_their_gaps():
    stream = {"kind": RouteKind.STREAMING, "timeout_s": 15.0}
    assert first_token_limit_s(exchange(**stream).admitted) == 2.0
    long = exchange(**stream, target_s=0.6, max_pause_s=0.4).admitted
    assert first_token_limit_s(long) == pytest.approx(3.2)
