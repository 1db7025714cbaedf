"""Tests that orders never exceed an engine's capacity, even if answers are lost."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.deployment import EngineSpec, ModelSpec
from chervilgw.core.ids import ModelName
from chervilgw.placement.engine_orders import (
    EngineState,
    OrderKind,
    OrderReply,
    make_engine_orders,
)

MODELS = ("m1", "m2", "m3", "m4")
ADAPTERS = ("a1", "a2", "a3")
SPEC = EngineSpec(
    64,
    1000,
    150.0,
    2,
    2.8,
    {
        ModelName(m): ModelSpec(ModelName(m), 60.0, 4.0, 0.6, 0.8, 3, 5.0)
        for m in MODELS
    },
)


class Engine:
    """Simulated engine that rejects orders with a wrong expected number."""

    def __init__(self):
        self.held = {}
        self.orders = 0
        self.started_ms = 1

    def carry_out(self, order):
        if order.expected_orders != self.orders:
            return OrderReply.CONFLICT
        if order.adapter is None:
            return self._model(order)
        return self._adapter(order)

    def _model(self, order):
        if order.kind is OrderKind.LOAD:
            if order.model in self.held:
                return OrderReply.ALREADY_DONE
            self.held[order.model] = set()
        else:
            self.held.pop(order.model, None)
        self.orders += 1
        return OrderReply.ACCEPTED

    def _adapter(self, order):
        if order.model not in self.held:
            return OrderReply.REFUSED
        if order.kind is OrderKind.LOAD:
            self.held[order.model].add(order.adapter)
        else:
            self.held[order.model].discard(order.adapter)
        self.orders += 1
        return OrderReply.ACCEPTED

    def state(self):
        return EngineState(
            self.started_ms,
            self.orders,
            False,
            False,
            None,
            {ModelName(m): frozenset(a) for m, a in self.held.items()},
            (),
            frozenset(),
            0,
            0,
            0,
        )

    def used_mb(self):
        return sum(60.0 + 5.0 * len(adapters) for adapters in self.held.values())

    def adapter_slots_used(self):
        return sum(len(adapters) for adapters in self.held.values())


class OrdersMachine(RuleBasedStateMachine):
    """Guards against exceeding an engine's memory or adapter slots.

    Answers are lost, orders arrive late, and both the agent and the engine restart.
    """

    @initialize()
    def start(self):
        self.engine = Engine()
        self.orders = make_engine_orders()
        self.orders.spec = SPEC
        self.late = []
        self.now_s = 0.0

    @rule(model=st.sampled_from(MODELS), unload=st.lists(st.sampled_from(MODELS)))
    def request_model(self, model, unload):
        others = tuple(ModelName(name) for name in unload if name != model)
        self.orders.request_model(ModelName(model), others, self.now_s)

    @rule(model=st.sampled_from(MODELS), adapter=st.sampled_from(ADAPTERS))
    def request_adapter(self, model, adapter):
        self.orders.request_adapter(ModelName(model), adapter, self.now_s)

    @rule()
    def report(self):
        self.orders.on_state(self.engine.state())

    @rule(outcome=st.sampled_from(["answered", "answer lost", "late", "dropped"]))
    def order(self, outcome):
        order = self.orders.next_order(self.now_s)
        if order is None:
            return
        if outcome == "late":
            self.late.append(order)
        elif outcome != "dropped":
            reply = self.engine.carry_out(order)
            if outcome == "answered":
                self.orders.on_reply(reply)

    @rule()
    def late_orders_arrive(self):
        for order in self.late:
            self.engine.carry_out(order)
        self.late.clear()

    @rule()
    def agent_restarts(self):
        self.orders = make_engine_orders()
        self.orders.spec = SPEC

    @rule()
    def engine_restarts(self):
        # Orders name the incarnation, so late ones do not reach the new one.
        started_ms = self.engine.started_ms + 1
        self.engine = Engine()
        self.engine.started_ms = started_ms
        self.late.clear()
        self.orders.on_unreachable()

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @invariant()
    def memory_and_adapter_slots_are_not_exceeded(self):
        assert self.engine.used_mb() <= SPEC.capacity_mb
        assert self.engine.adapter_slots_used() <= SPEC.adapter_slots


TestOrdersMachine = OrdersMachine.TestCase


def ready(orders, engine):
    orders.on_state(engine.state())
    return orders


def test_a_model_is_loaded_after_the_unload_that_frees_its_memory():
    """Guards against a load before the memory is free."""
    engine, orders = Engine(), make_engine_orders()
    orders.spec = SPEC
    engine.held = {ModelName("m1"): set(), ModelName("m2"): set()}
    ready(orders, engine).request_model(ModelName("m3"), (ModelName("m1"),), 0.0)
    assert list(orders.available_models()) == ["m2"]
    first = orders.next_order(0.0)
    assert (first.kind, first.model) == (OrderKind.UNLOAD, "m1")
    orders.on_reply(engine.carry_out(first))
    second = ready(orders, engine).next_order(0.1)
    assert (second.kind, second.model) == (OrderKind.LOAD, "m3")


def test_no_order_is_sent_before_a_report_that_follows_the_last_order():
    """Guards against an order that was decided on an outdated state."""
    engine, orders = Engine(), make_engine_orders()
    orders.spec = SPEC
    ready(orders, engine).request_model(ModelName("m1"), (), 0.0)
    orders.on_reply(engine.carry_out(orders.next_order(0.0)))
    orders.request_model(ModelName("m2"), (), 0.0)
    assert orders.next_order(0.1) is None
    assert ready(orders, engine).next_order(0.1).model == "m2"


def test_the_least_recently_requested_adapter_is_unloaded():
    """Guards against unloading an adapter that is still in use."""
    engine, orders = Engine(), make_engine_orders()
    orders.spec = SPEC
    engine.held = {ModelName("m1"): {"a1", "a2"}}
    ready(orders, engine)
    # Requests for loaded adapters count as uses; both expire before the third comes.
    orders.request_adapter(ModelName("m1"), "a2", 3.0)
    orders.request_adapter(ModelName("m1"), "a1", 4.0)
    assert orders.next_order(5.5) is None
    orders.request_adapter(ModelName("m1"), "a3", 6.0)
    order = orders.next_order(6.0)
    assert (order.kind, order.adapter) == (OrderKind.UNLOAD, "a2")
