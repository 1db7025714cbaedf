"""Which requests a draining entry accepts, and the retry time of the others."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import OpaqueRequest, RouteKind, RouteRule
from chervilgw.core.ids import VmId
from chervilgw.core.states import RunState
from chervilgw.forward.drain_policy import (
    ACCEPT_DURATION_S,
    EXIT_MARGIN_S,
    RESTART_DURATION_S,
    RETRY_AFTER_S,
    make_drain_policy,
)
from chervilgw.forward.messages import AdmittedRequest

GRACE_S = 8.0
PEER = VmId("entry-2")
ROUTE = RouteRule(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, 1.5, 0.1, 0, (), 2, False, False, 0.0
)
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 8.0, None, None, None, None, (), None
)
PLAIN = AdmittedRequest(REQUEST, ROUTE, "desk", None, 1)
STREAM = AdmittedRequest(
    REQUEST, replace(ROUTE, kind=RouteKind.STREAMING), "llm", None, 1
)


def draining(peer_accepts=None):
    made = make_drain_policy(GRACE_S)
    made.begin(0.0)
    if peer_accepts is not None:
        made.peers.on_report(PEER, peer_accepts, ACCEPT_DURATION_S)
    return made


def test_all_requests_are_accepted_until_the_balancer_has_removed_the_entry():
    """Guards against refusals while the balancer still sends requests."""
    made = draining(peer_accepts=True)
    assert made.accepts(STREAM, ACCEPT_DURATION_S - 0.1)
    assert not made.is_closed(ACCEPT_DURATION_S - 0.1)
    assert made.is_closed(ACCEPT_DURATION_S)


def test_last_entry_accepts_requests_that_end_before_it_exits():
    """Guards against three seconds in which all entries refuse all requests.

    Entries restarted two seconds apart are each down for seven seconds.
    """
    made = draining(peer_accepts=False)
    assert not made.is_closed(ACCEPT_DURATION_S + 0.1)
    last_s = GRACE_S - EXIT_MARGIN_S - ROUTE.timeout_s
    assert made.accepts(PLAIN, last_s)
    assert not made.accepts(PLAIN, last_s + 0.01)


def test_stream_that_may_be_cut_off_is_not_accepted():
    """Guards against streams that are cut off when the process exits."""
    assert not draining(peer_accepts=False).accepts(STREAM, ACCEPT_DURATION_S + 0.1)


def test_shorter_deadline_of_the_caller_counts():
    """Guards against refusing requests that end before the process exits."""
    short = replace(PLAIN, opaque=replace(REQUEST, max_wait_s=0.5))
    made, now_s = draining(), GRACE_S - EXIT_MARGIN_S - 0.6
    assert made.accepts(short, now_s)
    assert not made.accepts(PLAIN, now_s)


@pytest.mark.parametrize(
    ("peer_accepts", "retry_s"),
    [
        (True, RETRY_AFTER_S),
        (None, RETRY_AFTER_S),
        (False, GRACE_S - ACCEPT_DURATION_S + RESTART_DURATION_S),
    ],
)
def test_retry_time_is_when_an_entry_accepts_requests(peer_accepts, retry_s):
    """Guards against retries that find all entries down."""
    refusal = draining(peer_accepts).refusal(ACCEPT_DURATION_S)
    assert refusal.retry_after_s == pytest.approx(retry_s)
    assert refusal.run is RunState.NOT_RUN


def test_request_that_waited_is_not_sent_when_its_answer_cannot_end():
    """Guards against requests that are passed on late in the grace time and cut."""
    made = draining()
    end_s = GRACE_S - EXIT_MARGIN_S
    assert made.may_send(answer_s=2.0, now_s=end_s - 2.0)
    assert not made.may_send(answer_s=2.0, now_s=end_s - 1.9)
    assert make_drain_policy(GRACE_S).may_send(answer_s=100.0, now_s=end_s)
