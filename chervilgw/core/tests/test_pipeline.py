"""Tests the composition of filters."""

from returns.result import Failure, Success

from chervilgw.core import make_pipeline, make_refusal
from chervilgw.core.states import RefusalReason


def test_refusal_stops_later_filters():
    """Guards against charging or dispatching a request that was refused."""
    refusal = make_refusal(RefusalReason.NO_KEY, "no key")
    seen = []
    path = make_pipeline(
        lambda message, now_s: Failure(refusal),
        lambda message, now_s: Success(seen.append(message)),
    )
    assert path("request", now_s=0.0) == Failure(refusal)
    assert seen == []
