"""Loads are asked for as long as a decision needs them, failed attempts included."""

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, VmState
from chervilgw.sidecar.loading import ASK_LASTS_S, LoadAsks, is_served_elsewhere


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


def test_a_lost_holder_stops_counting_before_it_is_silent():
    """Guards against loads that begin only 4 s after the loss of a model's holder."""

    def served(age_s, state=VmState.LIVE, vm="b2"):
        load = Load(BackendKind.ENGINE, 100, 50, 0, 0, {"draft": "loaded"})
        me = Incarnation(VmId(vm), 1)
        holder = ServerView(me, ZoneId("z"), "", state, load, age_s, False)
        return is_served_elsewhere("draft", [holder], VmId("b1"))

    assert served(2.0)
    assert not served(3.0)
    assert not served(0.1, VmState.SILENT)
    assert not served(0.1, vm="b1")
