"""Tests of the backoff after a service refuses connections."""

from chervilgw.sidecar.service_health import (
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
    make_service_health,
)


def test_backoff_grows_to_a_bound_and_ends_with_an_answer():
    """Guards against an unbounded backoff, and one that outlasts the outage."""
    health = make_service_health()
    now_s, backoffs = 0.0, []
    for _ in range(6):
        health.on_refused(now_s)
        began_s = now_s
        while not health.is_available(now_s):
            now_s += 0.01
        backoffs.append(now_s - began_s)
    assert abs(backoffs[0] - MIN_BACKOFF_S) < 0.02
    assert abs(backoffs[-1] - MAX_BACKOFF_S) < 0.02
    assert backoffs == sorted(backoffs)
    health.on_refused(now_s)
    health.on_answer()
    assert health.is_available(now_s)


def test_concurrent_refusals_count_once():
    """Guards against a long backoff after several requests met the same restart."""
    health = make_service_health()
    for _ in range(10):
        health.on_refused(1.0)
    assert health.is_available(1.0 + MIN_BACKOFF_S)
