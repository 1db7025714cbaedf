"""Tests the decisions of several sidecars with stale views."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, VmState
from chervilgw.placement.copies import (
    CopyLimits,
    LoadCopy,
    ModelSpec,
    UnloadCopy,
    decide_copy_changes,
)
from chervilgw.placement.demand import (
    DemandThresholds,
    ModelDemand,
    make_demand_tracker,
)
from chervilgw.routing.order import preferred_order

CAPACITY = 100
SPECS = [
    ModelSpec(f"m{i}", "1", 20 + 5 * (i % 3), min_copies=1 + i % 2) for i in range(6)
]
HIGH = ModelDemand(1000, high_for_s=100.0)
LOW = ModelDemand(0, low_for_s=100.0)


def make_view(number, resident, state=VmState.LIVE, zones=3, tokens=None, age_s=0.1):
    sizes = {spec.name: spec.size_bytes for spec in SPECS}
    free = CAPACITY - sum(sizes[name] for name in resident)
    load = Load(BackendKind.ENGINE, CAPACITY, free, 0, 0, dict(resident), tokens or {})
    incarnation = Incarnation(VmId(f"b{number}"), 1)
    return ServerView(incarnation, f"z{number % zones}", "", state, load, age_s, True)


class CopiesMachine(RuleBasedStateMachine):
    """Guards against two sidecars unloading the last copies of a model at once."""

    @initialize(count=st.integers(2, 5), data=st.data())
    def start(self, count, data):
        self.actual = [{} for _ in range(count)]
        for spec in SPECS:
            for number in data.draw(st.sets(st.integers(0, count - 1))):
                if self.free(number) >= spec.size_bytes:
                    self.actual[number][spec.name] = "loaded"
        # Each sidecar has a possibly stale copy of the others' reports.
        self.seen = [[dict(r) for r in self.actual] for _ in range(count)]
        self.states = [[VmState.LIVE] * count for _ in range(count)]
        self.served = self.loaded_somewhere()
        self.count = count

    def free(self, number):
        sizes = {spec.name: spec.size_bytes for spec in SPECS}
        return CAPACITY - sum(sizes[name] for name in self.actual[number])

    def loaded_somewhere(self):
        return {n for held in self.actual for n, s in held.items() if s == "loaded"}

    @rule(data=st.data())
    def decide_on_one(self, data):
        local = data.draw(st.integers(0, self.count - 1))
        levels = st.sampled_from([HIGH, LOW, ModelDemand()])
        demand = {spec.name: data.draw(levels) for spec in SPECS}
        self.seen[local][local] = dict(self.actual[local])
        views = [
            make_view(n, self.seen[local][n], self.states[local][n])
            for n in range(self.count)
        ]
        for change in decide_copy_changes(
            VmId(f"b{local}"), views, SPECS, demand, {}, 0.0
        ):
            if isinstance(change, LoadCopy):
                self.actual[local][change.name] = "loading"
                assert self.free(local) >= 0
            else:
                assert self.actual[local][change.name] == "loaded"
                del self.actual[local][change.name]

    @rule(data=st.data())
    def loads_end(self, data):
        number = data.draw(st.integers(0, self.count - 1))
        self.actual[number] = dict.fromkeys(self.actual[number], "loaded")

    @rule(data=st.data())
    def report_arrives(self, data):
        reader = data.draw(st.integers(0, self.count - 1))
        sender = data.draw(st.integers(0, self.count - 1))
        self.seen[reader][sender] = dict(self.actual[sender])

    @rule(data=st.data())
    def view_of_liveness_differs(self, data):
        """A peer that is still running appears silent to one process only."""
        reader = data.draw(st.integers(0, self.count - 1))
        sender = data.draw(st.integers(0, self.count - 1))
        if reader != sender:
            silent = self.states[reader][sender] is VmState.LIVE
            state = VmState.SILENT if silent else VmState.LIVE
            self.states[reader][sender] = state

    @invariant()
    def no_model_loses_its_last_copy(self):
        if hasattr(self, "served"):
            loaded = self.loaded_somewhere()
            assert self.served <= loaded
            self.served = loaded


TestCopies = CopiesMachine.TestCase


def converge(held, lost=(), demand=None, rounds=30, limits=None):
    """Let all sidecars decide in turn on current views until nothing changes."""
    changes = 0
    for _ in range(rounds):
        before = [dict(resident) for resident in held]
        for local in range(len(held)):
            if local in lost:
                continue
            views = [
                make_view(n, r, VmState.GONE if n in lost else VmState.LIVE)
                for n, r in enumerate(held)
            ]
            vm = VmId(f"b{local}")
            for change in decide_copy_changes(
                vm, views, SPECS, demand or {}, {}, 0.0, limits
            ):
                changes += isinstance(change, LoadCopy)
                if isinstance(change, UnloadCopy):
                    del held[local][change.name]
                else:
                    held[local][change.name] = "loaded"
        if held == before:
            break
    return changes


def names_on(held, lost=()):
    return [name for n, r in enumerate(held) if n not in lost for name in r]


def test_empty_fleet_loads_each_model_with_its_copies_in_zones():
    """Guards against a model without a copy, and two copies in one zone."""
    held = [{} for _ in range(6)]
    converge(held)
    for spec in SPECS:
        zones = [n % 3 for n, r in enumerate(held) if spec.name in r]
        assert len(zones) == len(set(zones)) == spec.min_copies
    assert converge(held) == 0


def test_lost_zone_is_replaced_though_demand_copies_fill_memory():
    """Guards against copies for demand that leave no memory for a lost model."""
    held = [{} for _ in range(6)]
    converge(held)
    hot = dict.fromkeys(["m0", "m1", "m2"], HIGH)
    converge(held, demand=hot)
    assert names_on(held).count("m0") > 2
    for zone in range(3):
        after = [dict(resident) for resident in held]
        lost = [n for n in range(6) if n % 3 == zone]
        converge(after, lost=lost, demand=hot)
        assert {spec.name for spec in SPECS} <= set(names_on(after, lost))


def test_last_holder_never_unloads():
    """Guards against unloading a last copy to free memory for another model."""
    held = [{name: "loaded" for name in ("m0", "m1", "m3", "m4")}]
    converge(held, demand={"m2": HIGH})
    assert set(held[0]) == {"m0", "m1", "m3", "m4"}


def test_old_report_does_not_justify_an_unload():
    """Guards against an unload that relies on an old report of another holder."""
    views = [make_view(n, {s.name: "loaded" for s in SPECS[:4]}) for n in range(2)]
    demand = {"m5": HIGH, **dict.fromkeys(["m0", "m1", "m2", "m3"], LOW)}
    fresh = [decide_copy_changes(v.vm, views, SPECS, demand, {}, 0.0) for v in views]
    assert any(isinstance(change, UnloadCopy) for part in fresh for change in part)
    old = [make_view(n, {s.name: "loaded" for s in SPECS[:4]}, age_s=9) for n in (0, 1)]
    for view in old:
        changes = decide_copy_changes(view.vm, old, SPECS, demand, {}, 0.0)
        assert not any(isinstance(change, UnloadCopy) for change in changes)


def test_draining_server_decides_nothing():
    """Guards against loads on a server that is about to stop."""
    view = make_view(0, {}, VmState.DRAINING)
    assert decide_copy_changes(view.vm, [view], SPECS, {}, {}, 0.0, CopyLimits()) == ()


def test_tracker_measures_time_above_threshold():
    """Guards against a copy added for one burst, or for the queue of a gone server."""
    tracker = make_demand_tracker(DemandThresholds(100, 10))
    busy = make_view(0, {"m0": "loaded"}, tokens={"m0": 150})
    tracker.observe([busy], 0.0)
    assert tracker.observe([busy], 5.0)["m0"].high_for_s == 5.0
    second = make_view(1, {"m0": "loaded"})
    assert tracker.observe([busy, second], 6.0)["m0"].high_for_s == 0.0
    calm = make_view(0, {"m0": "loaded"})
    tracker.observe([calm], 7.0)
    gone = make_view(1, {}, VmState.GONE, tokens={"m0": 900})
    assert tracker.observe([calm, gone], 9.0)["m0"].low_for_s == 2.0


def test_backlog_of_the_first_copy_does_not_cause_a_third():
    """Guards against a load that only the backlog of the first holder causes."""
    tracker = make_demand_tracker(DemandThresholds(100, 10, busy_tokens=50))
    first = make_view(0, {"m0": "loaded"}, tokens={"m0": 900})
    for queue, high_for_s in (({}, 0.0), ({"m1": 60}, 0.0), ({"m1": 60}, 1.0)):
        second = make_view(1, {"m0": "loaded"}, tokens=queue)
        start_s = 1.0 if queue else 0.0
        seen = tracker.observe([first, second], start_s + high_for_s)
        assert seen["m0"].high_for_s == high_for_s


def test_demand_copy_goes_to_a_server_without_a_queue():
    """Guards against a further copy on a server that is as busy as the first."""
    order = preferred_order("m0", [make_view(n, {}) for n in range(4)])
    holder, busy, idle = (int(view.vm[1:]) for view in order[:3])
    held = {n: {"m0": "loaded"} if n == holder else {"m1": "loaded"} for n in range(4)}
    views = [
        make_view(n, held[n], tokens={"m1": 500} if n == busy else {}) for n in range(4)
    ]
    specs, demand = [SPECS[0]], {"m0": HIGH}
    chosen = [
        v.vm for v in views if decide_copy_changes(v.vm, views, specs, demand, {}, 0.0)
    ]
    assert chosen == [f"b{idle}"]
