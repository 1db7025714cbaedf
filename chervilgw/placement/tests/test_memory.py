"""Tests the memory ledger against a simulated engine that may be overcommitted."""

import pytest
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from chervilgw.core.states import CopyState
from chervilgw.placement.memory import MemoryLedger
from chervilgw.placement.orders import (
    EngineCopy,
    EngineReport,
    Fence,
    Order,
    OrderAnswer,
    OrderKind,
)

CAPACITY = 10
SETTLE_S = 8.0
SIZES = {"a": 6, "b": 6, "c": 4, "d": 7}
NAMES = st.sampled_from(sorted(SIZES))


class FakeEngine:
    """Engine that does not check its memory; a late order always takes effect."""

    def __init__(self, fenced):
        self.fenced = fenced
        self.highest = 0
        self.done = set()
        self.copies = {}

    def fence(self, fencing):
        self.highest = max(self.highest, fencing)

    def start(self, order):
        """Begin an order; return False for one that the engine rejects."""
        if self.fenced and order.fencing_token < self.highest:
            return False
        if order.order_id in self.done:
            return True
        key = (order.name, order.version)
        if order.kind is OrderKind.LOAD:
            if key in self.copies:
                return False
            self.copies[key] = [order.size_bytes, CopyState.LOADING, order.order_id]
        elif key not in self.copies or self.copies[key][1] is not CopyState.LOADED:
            return False
        else:
            self.copies[key][1] = CopyState.UNLOADING
        self.done.add(order.order_id)
        return True

    def finish(self, key):
        if self.copies[key][1] is CopyState.LOADING:
            self.copies[key][1] = CopyState.LOADED
        elif self.copies[key][1] is CopyState.UNLOADING:
            del self.copies[key]

    def finish_all(self):
        for key in list(self.copies):
            self.finish(key)

    def report(self):
        copies = (EngineCopy(*key, *copy) for key, copy in self.copies.items())
        return EngineReport(tuple(copies), self.highest)

    def used(self):
        return sum(copy[0] for copy in self.copies.values())


class MemoryMachine(RuleBasedStateMachine):
    """Guards against overcommit by lost, late and doubled orders and by restarts."""

    make_ledger = MemoryLedger

    @initialize(fenced=st.booleans())
    def start(self, fenced):
        self.now_s = 0.0
        self.process = 0
        self.engine = FakeEngine(fenced)
        self.network = []  # (order, sent_at_s): may arrive, more than once, or never
        self.fences = []
        self.sent = []
        self.restart()
        self.settle()

    @rule()
    def settle(self):
        """Wait until the ledger is ready, so that most examples issue orders."""
        self.advance(SETTLE_S)
        while self.fences:
            self.engine.fence(self.fences.pop())
        self.read_now()

    @rule()
    def restart(self):
        self.process += 1
        self.reads = []
        self.ledger = self.make_ledger(
            CAPACITY, self.engine.fenced, SETTLE_S, self.process * 1024, self.now_s
        )

    def send(self, order):
        self.network.append((order, self.now_s))
        self.sent.append(order.order_id)

    @rule(name=NAMES, version=st.sampled_from("12"))
    def load(self, name, version):
        result = self.ledger.request_load(name, version, SIZES[name], self.now_s)
        if isinstance(result, Success):
            self.send(result.unwrap())

    @rule(name=NAMES)
    def unload(self, name):
        result = self.ledger.request_unload(name, self.now_s)
        if isinstance(result, Success):
            self.send(result.unwrap())

    @precondition(lambda self: self.network)
    @rule(data=st.data(), repeat=st.booleans(), answered=st.booleans())
    def deliver(self, data, repeat, answered):
        index = data.draw(st.integers(0, len(self.network) - 1))
        order, _ = self.network[index]
        if not repeat:
            del self.network[index]
        accepted = self.engine.start(order)
        if not answered:
            return
        if not accepted:
            self.ledger.on_order_answer(order.order_id, OrderAnswer.REFUSED, self.now_s)
        else:
            key = (order.name, order.version)
            if key in self.engine.copies:
                self.engine.finish(key)
            self.ledger.on_order_answer(order.order_id, OrderAnswer.OK, self.now_s)

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def time_out(self, data):
        """Report as lost an order that may still arrive."""
        order, _ = data.draw(st.sampled_from(self.network))
        self.ledger.on_order_answer(order.order_id, OrderAnswer.LOST, self.now_s)

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def drop(self, data):
        order, _ = self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))
        self.ledger.on_order_answer(order.order_id, OrderAnswer.LOST, self.now_s)

    @precondition(lambda self: self.fences)
    @rule(data=st.data())
    def deliver_fence(self, data):
        index = data.draw(st.integers(0, len(self.fences) - 1))
        self.engine.fence(self.fences.pop(index))

    @rule(first=NAMES, second=NAMES, fault=st.sampled_from(["restart", "lost"]))
    def load_around_fault(self, first, second, fault):
        """Load, delay the order while a fault occurs, and load again."""
        self.load(first, "1")
        if fault == "restart":
            self.restart()
        else:
            for order, _ in self.network:
                self.ledger.on_order_answer(
                    order.order_id, OrderAnswer.LOST, self.now_s
                )
        self.tick()
        self.read_now()
        self.load(second, "2")
        for order, _ in self.network:
            self.engine.start(order)

    @precondition(lambda self: self.engine.copies)
    @rule()
    def engine_works(self):
        self.engine.finish_all()

    @rule(step_s=st.sampled_from([0.5, 2.0, 5.0, 9.0]))
    def advance(self, step_s):
        self.now_s += step_s
        if not self.engine.fenced:
            self.network = [
                (order, sent_s)
                for order, sent_s in self.network
                if sent_s + SETTLE_S > self.now_s
            ]
        self.tick()

    @rule()
    def tick(self):
        for output in self.ledger.tick(self.now_s):
            if isinstance(output, Order):
                self.send(output)
            elif isinstance(output, Fence):
                self.fences.append(output.fencing_token)
            else:
                self.reads.append((self.engine.report(), self.now_s))

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def read_arrives(self, data):
        index = data.draw(st.integers(0, len(self.reads) - 1))
        report, requested_s = self.reads.pop(index)
        self.ledger.on_engine_state(report, requested_s, self.now_s)

    @rule()
    def read_now(self):
        report = self.engine.report()
        self.ledger.on_engine_state(report, self.now_s, self.now_s)

    @invariant()
    def never_overcommitted(self):
        if hasattr(self, "engine"):
            assert self.engine.used() <= CAPACITY, "overcommitted"

    def teardown(self):
        """Once faults stop, a model is loaded after others are unloaded."""
        if not hasattr(self, "engine"):
            return
        self.network, self.fences, self.reads = [], [], []
        for order_id in self.sent:
            self.ledger.on_order_answer(order_id, OrderAnswer.LOST, self.now_s)
        for _ in range(60):
            self.now_s += 2.0
            self.fault_free_step()
            if self.engine.copies.get(("d", "3"), [0, None])[1] is CopyState.LOADED:
                return
        raise AssertionError("the requested model was not loaded")

    def fault_free_step(self):
        for output in self.ledger.tick(self.now_s):
            if isinstance(output, Order):
                self.run_order(output)
            elif isinstance(output, Fence):
                self.engine.fence(output.fencing_token)
            else:
                report = self.engine.report()
                self.ledger.on_engine_state(report, self.now_s, self.now_s)
        self.engine.finish_all()
        for copy in self.ledger.resident():
            if copy.version != "3":
                result = self.ledger.request_unload(copy.name, self.now_s, copy.version)
                result.map(self.run_order)
        self.ledger.request_load("d", "3", SIZES["d"], self.now_s).map(self.run_order)
        self.never_overcommitted()

    def run_order(self, order):
        accepted = self.engine.start(order)
        self.engine.finish_all()
        answer = OrderAnswer.OK if accepted else OrderAnswer.REFUSED
        self.ledger.on_order_answer(order.order_id, answer, self.now_s)


TestMemory = MemoryMachine.TestCase


class FreesOnTimeout(MemoryLedger):
    def on_order_answer(self, order_id, answer, now_s):
        found = self._find_pending(order_id)
        if answer is OrderAnswer.LOST and found:
            self._remove(found[0], now_s)
        else:
            super().on_order_answer(order_id, answer, now_s)


class StartsAtOnce(MemoryLedger):
    def _check_ready(self, report, requested_at_s):
        self._ready = True


@pytest.mark.parametrize("broken", [FreesOnTimeout, StartsAtOnce])
def test_machine_detects_broken_rule(broken):
    """Guards against a state machine that does not detect a broken ledger."""
    machine = type("Broken", (MemoryMachine,), {"make_ledger": broken})
    limits = settings(
        max_examples=2000,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        verbosity=Verbosity.quiet,
        suppress_health_check=list(HealthCheck),
    )
    with pytest.raises(AssertionError, match="overcommitted"):
        run_state_machine_as_test(machine, settings=limits)


def test_report_of_the_instant_of_a_load_does_not_free_it():
    """Guards against a coarse clock: the report was made just before the load."""
    ledger = MemoryLedger(CAPACITY, False, SETTLE_S, 1, 0.0)
    ledger.on_engine_state(EngineReport(()), SETTLE_S, SETTLE_S)
    order = ledger.request_load("a", "1", 6, SETTLE_S).unwrap()
    ledger.on_order_answer(order.order_id, OrderAnswer.OK, SETTLE_S)
    ledger.on_engine_state(EngineReport(()), SETTLE_S, SETTLE_S + 1)
    assert ledger.free_bytes == CAPACITY - 6


def fenced_ledger():
    """Return a ready ledger of an engine that checks fencing tokens."""
    ledger = MemoryLedger(CAPACITY, True, SETTLE_S, 1, 0.0)
    ledger.on_engine_state(EngineReport((), 1), 0.1, 0.1)
    return ledger


def report_after(ledger, order_id, state, now_s):
    """Apply a report with the copy and the fence that the ledger requested."""
    copies = (EngineCopy("a", "1", 6, state, order_id),)
    fences = [o.fencing_token for o in ledger.tick(now_s) if isinstance(o, Fence)]
    report = EngineReport(copies, max(fences))
    ledger.on_engine_state(report, now_s, now_s)


def test_unload_that_a_fence_rejected_is_ordered_again():
    """Guards against a copy that stays unloading after the engine rejected its order.

    A fence raised for a failed load overtook the unload.
    """
    ledger = fenced_ledger()
    load = ledger.request_load("a", "1", 6, 1.0).unwrap()
    ledger.on_order_answer(load.order_id, OrderAnswer.OK, 1.1)
    unload = ledger.request_unload("a", 2.0).unwrap()
    failed = ledger.request_load("c", "1", 4, 2.0).unwrap()
    ledger.on_order_answer(failed.order_id, OrderAnswer.REFUSED, 2.1)
    report_after(ledger, load.order_id, CopyState.LOADED, 3.0)
    assert ledger.free_bytes == CAPACITY - 6
    again = ledger.request_unload("a", 3.1).unwrap()
    assert again.order_id != unload.order_id
    assert again.fencing_token > unload.fencing_token


def test_load_that_a_fence_rejected_is_repeated_under_a_new_id():
    """Guards against repeating an order id that the engine does not run again."""
    ledger = fenced_ledger()
    load = ledger.request_load("c", "1", 4, 1.0).unwrap()
    failed = ledger.request_load("b", "1", 6, 1.0).unwrap()
    ledger.on_order_answer(failed.order_id, OrderAnswer.REFUSED, 1.1)
    fence = next(o for o in ledger.tick(2.0) if isinstance(o, Fence))
    ledger.on_engine_state(EngineReport((), fence.fencing_token), 2.1, 2.1)
    repeated = [o for o in ledger.tick(3.2) if isinstance(o, Order)]
    assert [(o.name, o.fencing_token) for o in repeated] == [("c", fence.fencing_token)]
    assert repeated[0].order_id != load.order_id
    assert ledger.free_bytes == CAPACITY - 4


def test_abandoned_unload_is_not_attempted_again():
    """Guards against attempts that delay the report that is final for the order."""
    ledger = fenced_ledger()
    load = ledger.request_load("a", "1", 6, 1.0).unwrap()
    ledger.on_order_answer(load.order_id, OrderAnswer.OK, 1.1)
    unload = ledger.request_unload("a", 2.0).unwrap()
    ledger.on_order_answer(unload.order_id, OrderAnswer.REFUSED, 2.1)
    assert not isinstance(ledger.request_unload("a", 2.5), Success)
    report_after(ledger, load.order_id, CopyState.LOADED, 3.0)
    assert isinstance(ledger.request_unload("a", 3.1), Success)
