"""Tests of the decisions on one engine's copies."""

from dataclasses import replace

import pytest

from chervilgw.configuration.state import Item, empty_state
from chervilgw.configuration.values import VALUE_TYPES, Kind
from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, CopyState, VmState
from chervilgw.placement.memory import ResidentCopy
from chervilgw.sidecar.loading import (
    LOAD_REQUEST_TIMEOUT_S,
    CopyDemand,
    CopySpec,
    LoadRequests,
    choose_retirement,
    is_served_elsewhere,
    outdated_copies,
)

LOCAL_VM = VmId("engine-1")


def configured(kind_values):
    """Return a configuration state with these items."""
    state = empty_state()
    items = {kind: {} for kind in Kind}
    for kind, name, value in kind_values:
        items[kind][name] = Item(VALUE_TYPES[kind].model_validate(value), 1, 0)
    return replace(state, items=items)


STATE = configured(
    [
        (Kind.MODEL, "draft", {"size_bytes": 20, "version": "2"}),
        (Kind.MODEL, "survey", {"size_bytes": 20, "version": "1"}),
        (Kind.ADAPTER, "damp", {"base_model": "draft", "size_bytes": 1}),
    ]
)


def copy(name, version, state):
    return ResidentCopy(name, version, 20, CopyState(state))


OLD, NEW = copy("draft", "1", "loaded"), copy("draft", "2", "loaded")


@pytest.mark.parametrize(
    ("copies", "to_unload", "to_load"),
    [
        ([OLD], 0, 1),
        ([OLD, NEW], 1, 0),
        ([OLD, copy("draft", "2", "loading")], 0, 1),
        ([copy("draft", "1", "loading"), NEW], 1, 0),
        ([copy("draft", "1", "unloading"), NEW], 0, 0),
        ([NEW, copy("survey", "1", "loaded")], 0, 0),
    ],
)
def test_old_version_is_unloaded_after_the_new_one_is_loaded(
    copies, to_unload, to_load
):
    """Guards against a gap in service, and against repeating a pending unload."""
    found = outdated_copies(STATE, copies)
    assert (len(found[0]), len(found[1])) == (to_unload, to_load)


@pytest.mark.parametrize(("held", "retired"), [(OLD, "draft"), (None, None)])
def test_old_version_is_retired_only_for_its_model(held, retired):
    """Guards against unloading the last copy of another model, and a full engine."""
    copies = [copy("survey", "1", "loaded"), *([held] if held else [])]
    spec = CopySpec("draft", "2", 20)
    assert choose_retirement(spec, STATE, copies, [], LOCAL_VM, {}, 20) == retired


def test_requested_adapter_waits_for_its_model():
    """Guards against orders that the engine refuses and demand that never ends."""
    demand = CopyDemand()
    demand.add(["damp", "gone"], 0.0)
    assert demand.missing(STATE, {}, 0.1) == ("draft",)
    assert demand.missing(STATE, {"draft": "loading"}, 0.2) == ("draft",)
    assert demand.missing(STATE, {"draft": "loaded"}, 0.3) == ("damp",)
    assert demand.missing(STATE, {"draft": "loaded", "damp": "loaded"}, 0.4) == ()
    assert demand.current(0.5) == ()


def test_a_refused_load_keeps_its_waiting_time():
    """Guards against a second full wait for a permit after the store refused a load."""
    requests = LoadRequests()
    for step in range(6):
        requests.add("draft", 10.0 + step * 0.5)
        assert requests.expire(10.0 + step * 0.5) == ()
    assert requests.waited_s("draft", 12.5) == 2.5


def test_a_load_that_decisions_stop_requesting_is_dropped():
    """Guards against endless permit requests made before the fleet view was complete.

    They used up the store's rate when a model was lost.
    """
    requests = LoadRequests()
    requests.add("draft", 10.0)
    requests.add("summary", 10.0)
    requests.add("draft", 11.0)
    assert requests.expire(10.0 + LOAD_REQUEST_TIMEOUT_S + 0.1) == ("summary",)
    assert requests.waited_s("summary", 20.0) == 0.0
    assert requests.waited_s("draft", 11.6) > LOAD_REQUEST_TIMEOUT_S


def test_a_lost_holder_stops_counting_before_it_is_silent():
    """Guards against loads that start only 4 s after the loss of a model's holder."""

    def served(age_s, state=VmState.LIVE, vm="b2"):
        load = Load(BackendKind.ENGINE, 100, 50, 0, 0, {"draft": "loaded"})
        incarnation = Incarnation(VmId(vm), 1)
        holder = ServerView(incarnation, ZoneId("z"), "", state, load, age_s, False)
        return is_served_elsewhere("draft", [holder], VmId("b1"))

    assert served(2.0)
    assert not served(3.0)
    assert not served(0.1, VmState.SILENT)
    assert not served(0.1, vm="b1")
