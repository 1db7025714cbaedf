"""What an entry takes while it leaves, and where it sends the others."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import OpaqueRequest, RouteKind, RouteRule
from chervilgw.core.ids import VmId
from chervilgw.core.states import RunState
from chervilgw.forward.leaving import (
    ACCEPT_S,
    END_MARGIN_S,
    RESTART_S,
    RETRY_S,
    make_leaving,
)
from chervilgw.forward.messages import Admitted

GRACE_S = 8.0
OTHER = VmId("entry-2")
ROUTE = RouteRule(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, 1.5, 0.1, 0, (), 2, False, False, 0.0
)
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 8.0, None, None, None, None, (), None
)
PLAIN = Admitted(REQUEST, ROUTE, "desk", None, 1)
STREAM = Admitted(REQUEST, replace(ROUTE, kind=RouteKind.STREAMING), "llm", None, 1)


def leaving(other_takes=None):
    made = make_leaving(GRACE_S)
    made.begin(0.0)
    if other_takes is not None:
        made.peers.on_report(OTHER, other_takes, ACCEPT_S)
    return made


def test_everything_is_taken_until_the_balancer_has_noticed():
    made = leaving(other_takes=True)
    assert made.takes(STREAM, ACCEPT_S - 0.1)
    assert not made.is_closed(ACCEPT_S - 0.1)
    assert made.is_closed(ACCEPT_S)


def test_the_last_entry_goes_on_with_what_ends_before_it_does():
    """Pattern: entries are restarted two seconds apart, and each is away for seven.

    Guards against three seconds in which all entries refuse all requests.
    """
    made = leaving(other_takes=False)
    assert not made.is_closed(ACCEPT_S + 0.1)
    last_s = GRACE_S - END_MARGIN_S - ROUTE.timeout_s
    assert made.takes(PLAIN, last_s)
    assert not made.takes(PLAIN, last_s + 0.01)


def test_a_stream_that_may_be_cut_is_not_taken():
    """Guards against streams that the end of the process breaks off."""
    assert not leaving(other_takes=False).takes(STREAM, ACCEPT_S + 0.1)


def test_a_shorter_deadline_of_the_caller_counts():
    short = replace(PLAIN, opaque=replace(REQUEST, max_wait_s=0.5))
    made, now_s = leaving(), GRACE_S - END_MARGIN_S - 0.6
    assert made.takes(short, now_s)
    assert not made.takes(PLAIN, now_s)


@pytest.mark.parametrize(
    ("other_takes", "retry_s"),
    [(True, RETRY_S), (None, RETRY_S), (False, GRACE_S - ACCEPT_S + RESTART_S)],
)
def test_callers_are_told_when_an_entry_takes_requests(other_takes, retry_s):
    refusal = leaving(other_takes).refusal(ACCEPT_S)
    assert refusal.retry_after_s == pytest.approx(retry_s)
    assert refusal.run is RunState.NOT_RUN
