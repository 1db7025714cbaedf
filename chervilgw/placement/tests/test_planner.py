"""Tests that moves follow demand without evicting models in use."""

from hypothesis import given
from hypothesis import strategies as st

from chervilgw.core.deployment import EngineSpec, ModelSpec
from chervilgw.core.ids import ModelName
from chervilgw.placement.demand_rate import (
    Demand,
    make_demand_rates,
    make_fleet_demand,
)
from chervilgw.placement.planner import (
    LOCAL_ENGINE_WAIT_S,
    MIN_SHORTAGE_S,
    MOVE_REPEAT_S,
    WARM_UP_S,
    EngineView,
    make_planner,
)

SIZE_MB = 70.0
LATER_S = WARM_UP_S + 100.0


def spec(*models, capacity_mb=220.0, loads_per_s=2.8):
    sizes = {
        ModelName(m): ModelSpec(ModelName(m), SIZE_MB, 4.0, 0.6, 0.8, 0, 0.0)
        for m in models
    }
    return EngineSpec(64, 1000, capacity_mb, 0, loads_per_s, sizes)


def engine(name, held, local="", loading="", busy=False):
    return EngineView(
        name, "z", frozenset(held), loading, busy, frozenset(held) | set(local), 0
    )


def planner():
    made = make_planner()
    made.plan(spec("x"), [], {}, 0.0)
    return made


def moves(made, engines, demand, now_s=LATER_S, models="abcdefgh"):
    rates = {ModelName(m): Demand(*known) for m, known in demand.items()}
    found = made.plan(spec(*models), engines, rates, now_s)
    return [(move.server, move.model, move.unload) for move in found]


def test_a_model_is_loaded_where_its_weights_are_local():
    """Guards against a load from the store, which takes five times as long."""
    engines = [engine("e1", "abc"), engine("e2", "def", local="g")]
    assert moves(planner(), engines, {"g": (0.1, 0)}) == [("e2", "g", ("d",))]


def test_the_model_with_least_work_is_unloaded():
    """Guards against evicting a busier model than necessary."""
    engines = [engine("e1", "abc", local="g")]
    demand = {"a": (0.05, 1.0), "b": (0.02, 0.0), "c": (0.05, 2.0), "g": (0.2, 0)}
    assert moves(planner(), engines, demand) == [("e1", "g", ("b",))]


def test_a_rare_model_does_not_evict_one_in_use():
    """Guards against a move that serves less work than it displaces."""
    engines = [engine("e1", "abc", local="g")]
    demand = {m: (2.0, 3.0) for m in "abc"} | {"g": (0.1, 0)}
    assert moves(planner(), engines, demand) == []


def test_a_spare_copy_is_unloaded_before_a_last_copy_in_use():
    """Guards against evicting the only copy of a model in use."""
    engines = [engine("e1", "abc", local="g"), engine("e2", "a")]
    demand = {"a": (1.0, 2.0), "b": (1.0, 2.0), "c": (1.0, 2.0), "g": (0.2, 0)}
    assert ("e1", "g", ("a",)) in moves(planner(), engines, demand)


def test_a_busy_model_gets_a_further_copy():
    """Guards against a model that stays on one overloaded engine."""
    engines = [engine("e1", "a"), engine("e2", "b", local="a")]
    assert moves(planner(), engines, {"a": (8.0, 15.0)}) == [("e2", "a", ())]


def test_a_requested_move_counts_as_a_copy_until_the_engine_reports():
    """Guards against one request that loads its model on several engines at once."""
    made = planner()
    engines = [engine("e1", "abc", local="g"), engine("e2", "def", local="g")]
    assert len(moves(made, engines, {"g": (0.1, 0)})) == 1
    assert moves(made, engines, {"g": (0.1, 0)}, LATER_S + 0.1) == []
    assert len(moves(made, engines, {"g": (0.1, 0)}, LATER_S + MOVE_REPEAT_S)) == 1


def test_nothing_is_unloaded_before_demand_is_known():
    """Guards against a restarted planner that evicts models because all look idle."""
    made = make_planner()
    engines = [engine("e1", "abc", local="g")]
    assert moves(made, engines, {"g": (5.0, 0)}, now_s=0.0) == []
    assert moves(made, engines, {"g": (5.0, 0)}, now_s=WARM_UP_S) != []


def test_a_rare_model_is_not_loaded_from_the_store():
    """Guards against a slow load for a model with few requests."""
    engines = [engine("e1", "abc")]
    assert moves(planner(), engines, {"g": (0.1, 0)}) == []
    assert moves(planner(), engines, {"g": (0.5, 0)}) != []


def test_wait_for_a_busy_engine_with_local_weights_is_bounded():
    """Guards against requested models that wait for one engine without limit."""
    made = planner()
    engines = [engine("e1", "abc", local="g", busy=True), engine("e2", "def")]
    assert moves(made, engines, {"g": (4.0, 0)}) == []
    found = moves(made, engines, {"g": (4.0, 0)}, LATER_S + LOCAL_ENGINE_WAIT_S)
    assert found == [("e2", "g", ("d",))]


def test_loads_stay_within_the_rate_of_the_store():
    """Guards against more loads than the operators allow in a window."""
    made = planner()
    models = [chr(ord("a") + n) for n in range(20)]
    rates = {ModelName(m): Demand(1.0, 0.0) for m in models}
    limited = spec(*models, capacity_mb=75.0, loads_per_s=1.0)
    started = []
    for step in range(100):
        now_s = LATER_S + step / 10
        engines = [engine(f"e{n}", "") for n in range(20)]
        for move in made.plan(limited, engines, rates, now_s):
            assert move.from_store
            started.append(now_s)
    for first in started:
        assert (
            sum(first <= at_s < first + 5.0 for at_s in started) <= 1.0 * 5.0 * 1.1 + 3
        )


def test_running_requests_are_summed_over_entries_and_averaged():
    """Guards against demand that reflects a single entry or a single report."""
    demand = make_fleet_demand()
    for step in range(100):
        known = demand.update(
            [{"a": 1.0}, {"a": 2.0}],
            [{"a": 0.8}, {"a": 2.3}],
            [{"a": 3}, {"a": 4}],
            step / 10,
        )
    assert known["a"].per_s == 3.0
    assert 6.5 < known["a"].running <= 7.0


def test_rates_follow_customers_who_switch_models():
    """Guards against a planner that keeps copies of a model nobody requests any more.

    All demand moves from one model to another within a second. By the ten-second
    average alone, the old model would still look busy and the new one rare.
    """
    rates, fleet = make_demand_rates(), make_fleet_demand()
    now_s = 0.0
    while now_s < 20.0:
        now_s += 0.1
        rates.on_request(ModelName("old"), now_s)
    until_s = now_s + 2.5
    while now_s < until_s:
        now_s += 0.1
        rates.on_request(ModelName("new"), now_s)
    known = fleet.update([rates.rates(now_s)], [rates.recent_rates(now_s)], [{}], now_s)
    assert known["new"].per_s > 5.0
    assert known["old"].per_s < 4.5


def test_two_requests_for_a_rare_model_do_not_raise_its_rate():
    """Guards against a rate that jumps when two requests happen to be close."""
    rates, fleet = make_demand_rates(), make_fleet_demand()
    rates.on_request(ModelName("rare"), 0.0)
    rates.on_request(ModelName("rare"), 0.1)
    known = fleet.update([rates.rates(0.1)], [rates.recent_rates(0.1)], [{}], 0.1)
    assert known["rare"].per_s <= 0.2


def test_models_of_an_overloaded_engine_get_copies_on_idle_engines():
    """Guards against an engine with ten times the work of the others.

    It holds three busy models and the others only rare ones. Each of its models has
    less work than one engine serves, but together they have more.
    """
    engines = [engine("e1", "abc"), engine("e2", "def"), engine("e3", "gh")]
    demand = {m: (9.0, 15.0) for m in "abc"} | {m: (0.05, 0.1) for m in "defgh"}
    made, found = planner(), []
    for step in range(15):
        found += moves(made, engines, demand, LATER_S + step / 10)
    assert {server for server, _, _ in found} == {"e2", "e3"}
    assert {model for _, model, _ in found} < set("abc")


def test_waiting_requests_do_not_count_as_work_without_limit():
    """Guards against a copy on each engine for a model whose queue has grown."""
    engines = [engine("e1", "a"), *(engine(f"e{n}", "") for n in range(2, 9))]
    made, found = planner(), []
    for step in range(20):
        found += moves(made, engines, {"a": (12.0, 120.0)}, LATER_S + step / 10)
    assert 1 <= len(found) <= 2


def test_an_engine_with_a_requested_move_gets_no_other_move():
    """Guards against moves that replace each other before the engine starts one."""
    made, demand = planner(), {"g": (0.5, 1.0), "h": (0.4, 1.0)}
    assert moves(made, [engine("e1", "ab", local="gh")], demand) == [("e1", "g", ())]
    loading = [engine("e1", "ab", local="gh", loading="g")]
    for step in range(1, 30):
        assert moves(made, loading, demand, LATER_S + step / 10) == []


def test_each_shortage_must_last_before_a_load_from_the_store():
    """Guards against adding the duration of one burst to that of a later one."""
    engines = [engine("e1", "a"), engine("e2", "")]
    busy, idle = {"a": (15.0, 30.0)}, {"a": (1.0, 1.0)}
    made = planner()
    assert moves(made, engines, busy) == []
    assert moves(made, engines, idle, LATER_S + 0.5) == []
    assert moves(made, engines, busy, LATER_S + 10.0) == []
    assert moves(made, engines, busy, LATER_S + 10.0 + MIN_SHORTAGE_S) == [
        ("e2", "a", ())
    ]


NAMES = "abcdefghijkl"
FLEETS = st.lists(
    st.tuples(
        st.sets(st.sampled_from(NAMES), max_size=3),
        st.sets(st.sampled_from(NAMES), max_size=6),
        st.sampled_from(["", *NAMES]),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)
DEMANDS = st.dictionaries(
    st.sampled_from(NAMES),
    st.tuples(st.floats(0.0, 30.0), st.floats(0.0, 60.0)),
    max_size=12,
)


@given(FLEETS, st.lists(DEMANDS, min_size=1, max_size=6), st.floats(0.0, 2.0))
def test_each_move_fits_its_engine(fleet, demands, step_s):
    """Guards against a plan that raises, or that exceeds an engine's capacity.

    Planning failed when a move unloaded the last copy of a model that came next.
    """
    made, now_s = planner(), LATER_S
    engines = [
        engine(f"e{number}", held, local, loading, busy)
        for number, (held, local, loading, busy) in enumerate(fleet)
    ]
    for demand in demands:
        now_s += step_s
        found = moves(made, engines, demand, now_s, NAMES)
        assert len({server for server, _, _ in found}) == len(found)
        for server, model, unload in found:
            [chosen] = [view for view in engines if view.server == server]
            assert not chosen.busy
            assert model not in chosen.models
            assert chosen.models.issuperset(unload)
            kept = len(chosen.models) - len(unload)
            assert (kept + 1) * SIZE_MB <= 220.0


def test_a_move_may_unload_the_last_copy_of_a_model_that_comes_next():
    """Guards against a plan that raises for a model whose last copy it just moved."""
    engines = [engine("e1", "abc", local="g"), engine("e2", "def", busy=True)]
    demand = {"a": (20.0, 30.0), "b": (1.0, 1.0), "c": (15.0, 20.0), "g": (20.0, 0.0)}
    assert moves(planner(), engines, demand) == [("e1", "g", ("b",))]
