"""Loads are asked for as long as a decision needs them, failed attempts included."""

from chervilgw.sidecar.loading import ASK_LASTS_S, LoadAsks


def test_a_refused_load_keeps_its_waiting_time():
    """Guards against another wait for a permit after the store refused a load."""
    asks = LoadAsks()
    for step in range(6):
        asks.add("draft", 10.0 + step * 0.5)
        assert asks.expire(10.0 + step * 0.5) == ()
    assert asks.waited_s("draft", 12.5) == 2.5


def test_a_load_that_no_decision_names_any_more_is_dropped():
    """Guards against permits that a sidecar asked for before it knew the fleet.

    They were repeated for ever and used up the store's rate when a model was lost.
    """
    asks = LoadAsks()
    asks.add("draft", 10.0)
    asks.add("summary", 10.0)
    asks.add("draft", 11.0)
    assert asks.expire(10.0 + ASK_LASTS_S + 0.1) == ("summary",)
    assert asks.waited_s("summary", 20.0) == 0.0
    assert asks.waited_s("draft", 11.6) > ASK_LASTS_S
