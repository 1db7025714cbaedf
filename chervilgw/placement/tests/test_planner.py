"""Moves follow demand without driving out what is in use."""

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
    LASTING_S,
    NEAR_WAIT_S,
    REPEAT_S,
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


def engine(name, held, near="", loading="", busy=False):
    return EngineView(
        name, "z", frozenset(held), loading, busy, frozenset(held) | set(near), 0
    )


def planner():
    made = make_planner()
    made.plan(spec("x"), [], {}, 0.0)
    return made


def moves(made, engines, demand, now_s=LATER_S, models="abcdefgh"):
    rates = {ModelName(m): Demand(*each) for m, each in demand.items()}
    found = made.plan(spec(*models), engines, rates, now_s)
    return [(move.server, move.model, move.unload) for move in found]


def test_a_model_goes_where_its_weights_are_at_hand():
    """A load from the store takes five times as long and drives weights off a disk."""
    engines = [engine("e1", "abc"), engine("e2", "def", near="g")]
    assert moves(planner(), engines, {"g": (0.1, 0)}) == [("e2", "g", ("d",))]


def test_the_model_with_least_work_makes_way():
    engines = [engine("e1", "abc", near="g")]
    demand = {"a": (0.05, 1.0), "b": (0.02, 0.0), "c": (0.05, 2.0), "g": (0.2, 0)}
    assert moves(planner(), engines, demand) == [("e1", "g", ("b",))]


def test_a_model_in_use_is_not_driven_out_by_a_rare_one():
    engines = [engine("e1", "abc", near="g")]
    demand = {m: (2.0, 3.0) for m in "abc"} | {"g": (0.1, 0)}
    assert moves(planner(), engines, demand) == []


def test_a_spare_copy_makes_way_before_a_last_copy_in_use():
    engines = [engine("e1", "abc", near="g"), engine("e2", "a")]
    demand = {"a": (1.0, 2.0), "b": (1.0, 2.0), "c": (1.0, 2.0), "g": (0.2, 0)}
    assert ("e1", "g", ("a",)) in moves(planner(), engines, demand)


def test_a_busy_model_gets_a_further_copy():
    engines = [engine("e1", "a"), engine("e2", "b", near="a")]
    assert moves(planner(), engines, {"a": (8.0, 15.0)}) == [("e2", "a", ())]


def test_a_wish_counts_as_a_copy_until_the_engine_reports():
    """Guards against one request that moves its model to three engines at once."""
    made = planner()
    engines = [engine("e1", "abc", near="g"), engine("e2", "def", near="g")]
    assert len(moves(made, engines, {"g": (0.1, 0)})) == 1
    assert moves(made, engines, {"g": (0.1, 0)}, LATER_S + 0.1) == []
    assert len(moves(made, engines, {"g": (0.1, 0)}, LATER_S + REPEAT_S)) == 1


def test_nothing_is_unloaded_before_demand_is_known():
    """Guards against a restarted planner to which all models look idle."""
    made = make_planner()
    engines = [engine("e1", "abc", near="g")]
    assert moves(made, engines, {"g": (5.0, 0)}, now_s=0.0) == []
    assert moves(made, engines, {"g": (5.0, 0)}, now_s=WARM_UP_S) != []


def test_a_rare_model_is_not_fetched_from_the_store():
    engines = [engine("e1", "abc")]
    assert moves(planner(), engines, {"g": (0.1, 0)}) == []
    assert moves(planner(), engines, {"g": (0.5, 0)}) != []


def test_urgent_demand_does_not_wait_for_a_busy_engine_for_long():
    made = planner()
    engines = [engine("e1", "abc", near="g", busy=True), engine("e2", "def")]
    assert moves(made, engines, {"g": (4.0, 0)}) == []
    found = moves(made, engines, {"g": (4.0, 0)}, LATER_S + NEAR_WAIT_S)
    assert found == [("e2", "g", ("d",))]


def test_loads_stay_within_the_rate_of_the_store():
    made = planner()
    models = [chr(ord("a") + n) for n in range(20)]
    rates = {ModelName(m): Demand(1.0, 0.0) for m in models}
    limited = spec(*models, capacity_mb=75.0, loads_per_s=1.0)
    begun = []
    for step in range(100):
        now_s = LATER_S + step / 10
        engines = [engine(f"e{n}", "") for n in range(20)]
        for move in made.plan(limited, engines, rates, now_s):
            assert move.from_store
            begun.append(now_s)
    for first in begun:
        assert sum(first <= at_s < first + 5.0 for at_s in begun) <= 1.0 * 5.0 * 1.1 + 3


def test_running_requests_are_averaged_over_entries():
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


def test_rates_follow_customers_who_turn_to_another_model():
    """Pattern: within a second all demand of one model moves to another.

    Guards against a planner that keeps places for the former for ten seconds, while
    the new one counts as rare.
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


def test_single_requests_for_a_rare_model_do_not_look_sudden():
    rates, fleet = make_demand_rates(), make_fleet_demand()
    rates.on_request(ModelName("rare"), 0.0)
    rates.on_request(ModelName("rare"), 0.1)
    known = fleet.update([rates.rates(0.1)], [rates.recent_rates(0.1)], [{}], 0.1)
    assert known["rare"].per_s <= 0.2


def test_a_model_beside_busy_ones_gets_a_copy_on_an_idle_engine():
    """Pattern: one engine holds three models in demand, its neighbours only rare ones.

    Guards against an engine with ten times the work of the others: each of its models
    has less work than one engine serves, but together they have more.
    """
    engines = [engine("e1", "abc"), engine("e2", "def"), engine("e3", "gh")]
    demand = {m: (9.0, 15.0) for m in "abc"} | {m: (0.05, 0.1) for m in "defgh"}
    made, found = planner(), []
    for step in range(15):
        found += moves(made, engines, demand, LATER_S + step / 10)
    assert {server for server, _, _ in found} == {"e2", "e3"}
    assert {model for _, model, _ in found} < set("abc")


def test_requests_that_wait_do_not_count_as_work_for_ever():
    """Guards against a copy on each engine for a model whose queue has grown."""
    engines = [engine("e1", "a"), *(engine(f"e{n}", "") for n in range(2, 9))]
    made, found = planner(), []
    for step in range(20):
        found += moves(made, engines, {"a": (12.0, 120.0)}, LATER_S + step / 10)
    assert 1 <= len(found) <= 2


def test_an_engine_that_was_asked_is_not_asked_for_another_model():
    """Guards against wishes that replace each other before the engine acts on one."""
    made, demand = planner(), {"g": (0.5, 1.0), "h": (0.4, 1.0)}
    assert moves(made, [engine("e1", "ab", near="gh")], demand) == [("e1", "g", ())]
    told = [engine("e1", "ab", near="gh", loading="g")]
    for step in range(1, 30):
        assert moves(made, told, demand, LATER_S + step / 10) == []


def test_each_shortage_must_last_before_a_load_from_the_store():
    """Guards against a second burst that counts as lasting because of the first."""
    engines = [engine("e1", "a"), engine("e2", "")]
    busy, idle = {"a": (15.0, 30.0)}, {"a": (1.0, 1.0)}
    made = planner()
    assert moves(made, engines, busy) == []
    assert moves(made, engines, idle, LATER_S + 0.5) == []
    assert moves(made, engines, busy, LATER_S + 10.0) == []
    assert moves(made, engines, busy, LATER_S + 10.0 + LASTING_S) == [("e2", "a", ())]


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
    """Guards against a plan that fails, or that asks an engine for more than it holds.

    A plan failed when one of its moves took the last copy of a model that came next.
    """
    made, now_s = planner(), LATER_S
    engines = [
        engine(f"e{number}", held, near, loading, busy)
        for number, (held, near, loading, busy) in enumerate(fleet)
    ]
    for demand in demands:
        now_s += step_s
        found = moves(made, engines, demand, now_s, NAMES)
        assert len({server for server, _, _ in found}) == len(found)
        for server, model, unload in found:
            [chosen] = [each for each in engines if each.server == server]
            assert not chosen.busy
            assert model not in chosen.models
            assert chosen.models.issuperset(unload)
            kept = len(chosen.models) - len(unload)
            assert (kept + 1) * SIZE_MB <= 220.0


def test_a_plan_may_take_the_last_copy_of_a_model_that_comes_next():
    """Guards against a plan that failed on a model it had not found missing before."""
    engines = [engine("e1", "abc", near="g"), engine("e2", "def", busy=True)]
    demand = {"a": (20.0, 30.0), "b": (1.0, 1.0), "c": (15.0, 20.0), "g": (20.0, 0.0)}
    assert moves(planner(), engines, demand) == [("e1", "g", ("b",))]
