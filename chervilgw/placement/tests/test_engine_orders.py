"""Orders never ask an engine for more than it holds, whatever answers are lost."""

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
    """Engine of the test: checks the number of orders when it carries one out."""

    def __init__(self):
        self.held = {}
        self.orders = 0
        self.born = 1

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
            self.born,
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

    def places(self):
        return sum(len(adapters) for adapters in self.held.values())


class OrdersMachine(RuleBasedStateMachine):
    """Wishes, lost answers, orders that are carried out late, restarts of both ends."""

    @initialize()
    def start(self):
        self.engine = Engine()
        self.orders = make_engine_orders()
        self.orders.spec = SPEC
        self.late = []
        self.now_s = 0.0

    @rule(model=st.sampled_from(MODELS), victims=st.lists(st.sampled_from(MODELS)))
    def want_model(self, model, victims):
        unload = tuple(ModelName(v) for v in victims if v != model)
        self.orders.request_model(ModelName(model), unload, self.now_s)

    @rule(model=st.sampled_from(MODELS), adapter=st.sampled_from(ADAPTERS))
    def want_adapter(self, model, adapter):
        self.orders.request_adapter(ModelName(model), adapter, self.now_s)

    @rule()
    def report(self):
        self.orders.on_state(self.engine.state())

    @rule(fate=st.sampled_from(["answered", "answer lost", "late", "dropped"]))
    def order(self, fate):
        order = self.orders.next_order(self.now_s)
        if order is None:
            return
        if fate == "late":
            self.late.append(order)
        elif fate != "dropped":
            reply = self.engine.carry_out(order)
            if fate == "answered":
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
        born = self.engine.born + 1
        self.engine = Engine()
        self.engine.born = born
        self.late.clear()
        self.orders.on_unreachable()

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @invariant()
    def memory_and_places_are_kept(self):
        assert self.engine.used_mb() <= SPEC.capacity_mb
        assert self.engine.places() <= SPEC.adapter_slots


TestOrdersMachine = OrdersMachine.TestCase


def ready(orders, engine):
    orders.on_state(engine.state())
    return orders


def test_a_model_is_loaded_after_its_victim_is_gone():
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


def test_no_order_goes_out_before_a_report_after_the_last_one():
    """Guards against an order that was decided on a state that has passed."""
    engine, orders = Engine(), make_engine_orders()
    orders.spec = SPEC
    ready(orders, engine).request_model(ModelName("m1"), (), 0.0)
    orders.on_reply(engine.carry_out(orders.next_order(0.0)))
    orders.request_model(ModelName("m2"), (), 0.0)
    assert orders.next_order(0.1) is None
    assert ready(orders, engine).next_order(0.1).model == "m2"


def test_the_adapter_that_was_used_longest_ago_makes_way():
    engine, orders = Engine(), make_engine_orders()
    orders.spec = SPEC
    engine.held = {ModelName("m1"): {"a1", "a2"}}
    ready(orders, engine)
    # A wish for a loaded adapter is a use of it; it has passed when the third comes.
    orders.request_adapter(ModelName("m1"), "a2", 3.0)
    orders.request_adapter(ModelName("m1"), "a1", 4.0)
    assert orders.next_order(5.5) is None
    orders.request_adapter(ModelName("m1"), "a3", 6.0)
    order = orders.next_order(6.0)
    assert (order.kind, order.adapter) == (OrderKind.UNLOAD, "a2")
