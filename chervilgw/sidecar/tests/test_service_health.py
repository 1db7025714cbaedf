"""A service that refuses connections rests for longer each time, and comes back."""

from chervilgw.sidecar.service_health import (
    FIRST_REST_S,
    LAST_REST_S,
    make_service_health,
)


def test_rests_grow_to_a_bound_and_an_answer_ends_them():
    health = make_service_health()
    now_s, rests = 0.0, []
    for _ in range(6):
        health.on_refused(now_s)
        began_s = now_s
        while not health.is_offered(now_s):
            now_s += 0.01
        rests.append(now_s - began_s)
    assert abs(rests[0] - FIRST_REST_S) < 0.02
    assert abs(rests[-1] - LAST_REST_S) < 0.02
    assert rests == sorted(rests)
    health.on_refused(now_s)
    health.on_answer()
    assert health.is_offered(now_s)


def test_refusals_of_one_moment_count_once():
    """Guards against a long rest after several requests met the same restart."""
    health = make_service_health()
    for _ in range(10):
        health.on_refused(1.0)
    assert health.is_offered(1.0 + FIRST_REST_S)
