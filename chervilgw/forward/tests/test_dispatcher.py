"""Decisions of the dispatcher on requests that no engine accepts now."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import (
    CallerLimits,
    Deployment,
    EngineSpec,
    ModelSpec,
    OpaqueRequest,
    RegisteredServer,
    RouteKind,
    RouteRule,
    ServerState,
    ServiceRule,
)
from chervilgw.core.messages import EngineReport
from chervilgw.core.states import RefusalReason
from chervilgw.forward.dispatcher import (
    Refuse,
    RequestTurn,
    SendNow,
    WaitForModel,
    WaitForServer,
    make_dispatcher,
)
from chervilgw.forward.exchange import make_exchange
from chervilgw.forward.messages import AdmittedRequest
from chervilgw.membership.fleet_view import make_fleet_view
from chervilgw.routing.request_cost import OutputEstimate

LOAD_S = 8.0
ROUTE = RouteRule(
    "r", "h", "/", RouteKind.STREAMING, 15.0, 0.6, 0, (), 2, False, False, 0.3
)
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "id", "", 15.0, "m", None, 1_400, 50, (), None
)
SPEC = ModelSpec("m", 70_000.0, LOAD_S, 0.3, 0.8, 0, 0.0)
ENGINE = EngineSpec(64, 120_000, 220_000.0, 8, 1.1, {"m": SPEC})
DEPLOYMENT = Deployment(
    1, (ROUTE,), {"llm": ServiceRule("llm", 360, ENGINE)}, {}, None, CallerLimits()
)


def engine(name):
    return RegisteredServer(name, "llm", "10.0.0.1:80", "a", 64, ServerState.READY, 1)


def report(name, models, loading="", now_orders=0):
    adapters = dict.fromkeys(models, ())
    busy = bool(loading)
    return EngineReport(name, 1, now_orders, False, busy, loading, adapters, 0, 0, 0)


@pytest.fixture
def dispatcher():
    made = make_dispatcher(make_fleet_view(), "a")
    made.fleet.directory.on_entry(engine("i-1"), 1, 0.0)
    made.fleet.directory.on_entry(engine("i-2"), 2, 0.0)
    made.fleet.on_report(report("i-1", ["m"]), 0.0)
    made.fleet.on_report(report("i-2", []), 0.0)
    return made


@pytest.fixture
def exchange():
    return make_exchange(
        1, "http", AdmittedRequest(REQUEST, ROUTE, "llm", None, 1), ("request/d",), 0.0
    )


def test_learned_output_and_stated_capacity_select_the_engine(dispatcher, exchange):
    """Guards against estimates without samples, or where no capacity is stated."""
    dispatcher.fleet.on_report(report("i-2", ["m"]), 0.0)
    dispatcher.random = lambda: 0.0
    dispatcher.fleet.board.on_peer_report("e2", {"i-1": 1}, {}, 0.1)
    former = RequestTurn("i-2", 1_400)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1) == former
    exchange.estimate = OutputEstimate(40, False, 3)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1) == former
    exchange.estimate = OutputEstimate(40, True, 3)
    fast = replace(report("i-1", ["m"]), token_s={"m": 0.005})
    dispatcher.fleet.on_report(fast, 0.1)
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1)
    assert decision.server == "i-1"
    assert decision.cost_s > 40 * 0.005
    plain = replace(ENGINE, cache_tokens=0)
    service = ServiceRule("llm", 360, plain)
    unstated = replace(DEPLOYMENT, services={"llm": service})
    assert dispatcher.decide(exchange, unstated, 1, 0.1) == former


@pytest.mark.parametrize(
    ("model_speed", "held", "expected"),
    [(9_000.0, 0, 9_000.0), (0.0, 0, 19_000.0), (9_000.0, 119_000, 0.0)],
)
def test_speed_of_other_engines_is_that_of_the_model_where_it_has_room(
    dispatcher, exchange, model_speed, held, expected
):
    """Guards against turns that are refused for an engine which is no faster or full.

    The agent compares the speed with its own one of the model.
    """
    speeds = {"m": model_speed} if model_speed else {}
    other = replace(
        report("i-2", ["m"]), prefill_tokens_per_s=19_000.0, model_speeds=speeds
    )
    dispatcher.fleet.on_report(other, 0.0)
    dispatcher.fleet.board.on_peer_report("e2", {"i-2": 9}, {"i-2": 9_000}, 0.1)
    dispatcher.fleet.work.on_peer_report("e2", {}, {"i-2": held}, 0.1)
    exchange.estimate = OutputEstimate(40, True, 3)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1).server == "i-1"
    assert exchange.other_tokens_per_s == expected


@pytest.mark.parametrize("held", [119_000, 0])
def test_resumed_stream_is_not_refused_by_the_memory_estimate(
    dispatcher, exchange, held
):
    """Guards against a stream that is cut when its engine dies and others are full.

    The other engine is full, or the stream is larger than the memory by its estimate.
    """
    dispatcher.fleet.on_report(report("i-2", ["m"]), 0.0)
    dispatcher.fleet.work.on_peer_report("e2", {}, {"i-2": held}, 0.1)
    exchange.estimate = OutputEstimate(40 if held else 120_000, True, 3)
    exchange.begin_attempt("i-1", 1, 0)
    refused = dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1)
    assert isinstance(refused, Refuse)
    exchange.head_forwarded = True
    resumed = dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1)
    assert resumed == RequestTurn("i-2", 1_400)


def refuse_turn(exchange, is_busy=True):
    exchange.server = "i-1"
    exchange.on_turn_refused(0.0, is_busy)


def test_request_refused_a_turn_is_refused_with_queue_full(dispatcher, exchange):
    """Guards against reporting a model that an engine holds as not loaded.

    The retry time was then the end of a load that nobody had ordered.
    """
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1) == RequestTurn("i-1", 1_400)
    dispatcher.fleet.board.on_peer_report("e2", {"i-1": 9}, {"i-1": 60_000}, 0.1)
    refuse_turn(exchange)
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, 0.2)
    assert isinstance(decision, Refuse)
    assert decision.refusal.reason is RefusalReason.QUEUE_FULL
    assert decision.refusal.retry_after_s == pytest.approx(3.0)


def test_request_refused_a_turn_waits_for_a_copy_that_is_loading(dispatcher, exchange):
    """Guards against refusing a request that a load in progress can serve in time."""
    dispatcher.fleet.on_report(report("i-2", [], loading="m"), 0.0)
    refuse_turn(exchange)
    now_s = 0.5
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, now_s)
    assert isinstance(decision, Refuse)
    dispatcher.fleet.on_report(report("i-1", ["m"], now_orders=1), LOAD_S - 1.0)
    dispatcher.fleet.on_report(report("i-2", [], loading="m"), LOAD_S - 1.0)
    exchange.started_s = LOAD_S - 1.0
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, LOAD_S - 0.9)
    assert decision == WaitForModel()


def test_refusal_for_an_unloaded_model_gives_the_load_time(dispatcher, exchange):
    """Guards against callers that retry before the model can be loaded."""
    dispatcher.fleet.on_report(report("i-1", [], now_orders=1), 0.1)
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, 1.2)
    assert isinstance(decision, Refuse)
    assert decision.refusal.reason is RefusalReason.MODEL_NOT_LOADED
    assert decision.refusal.retry_after_s > LOAD_S / 2


def test_request_of_a_draining_engine_waits_for_its_model(dispatcher, exchange):
    """Guards against a refusal when another engine has the weights locally."""
    refuse_turn(exchange, is_busy=False)
    dispatcher.fleet.on_report(replace(report("i-2", []), local_models=("m",)), 0.1)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.2) == WaitForModel()


def test_request_after_a_restart_waits_for_the_first_reports_of_the_agents(exchange):
    """Guards against sends without a turn to engines that lack the adapter.

    After a restart of all VMs 77 requests in two seconds were sent by the list alone,
    which does not name adapters, and refused with the engines' answer.
    """
    dispatcher = make_dispatcher(make_fleet_view(), "a")
    registered = replace(engine("i-1"), adapters={"m": frozenset()})
    dispatcher.fleet.directory.on_entry(registered, 1, 0.0)
    dispatcher.fleet.on_listed(0.0)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.1) == WaitForServer()
    dispatcher.fleet.on_report(report("i-1", ["m"]), 0.2)
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.2) == RequestTurn("i-1", 1_400)


def test_engine_without_an_agent_gets_requests_once_reports_are_overdue(exchange):
    """Guards against a hold that lasts as long as an agent is missing."""
    dispatcher = make_dispatcher(make_fleet_view(), "a")
    registered = replace(engine("i-1"), adapters={"m": frozenset()})
    dispatcher.fleet.directory.on_entry(registered, 1, 0.0)
    dispatcher.fleet.on_listed(0.0)
    dispatcher.fleet.on_listed(0.4)
    exchange.started_s = 0.9
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 1.0) == SendNow("i-1", 1_400)


@pytest.mark.parametrize(
    ("loading", "expected"), [("m", "wait"), ("", "refuse")], ids=["loading", "absent"]
)
def test_stream_waits_only_for_a_load_at_its_software_version(
    dispatcher, exchange, loading, expected
):
    """Guards against a wait for a copy that is not planned, as another version has one.

    i-1 of v1 holds the model, i-2 of v2 may load it from local weights.
    """
    for name, version in (("i-1", "v1"), ("i-2", "v2")):
        versioned = replace(engine(name), software_version=version)
        dispatcher.fleet.directory.on_entry(versioned, 3, 0.0)
    local = replace(report("i-2", [], loading), local_models=("m",))
    dispatcher.fleet.on_report(local, 0.1)
    exchange.binding.version = "v2"
    decision = dispatcher.decide(exchange, DEPLOYMENT, 1, 0.2)
    if expected == "wait":
        assert decision == WaitForModel()
    else:
        assert decision.refusal.reason is RefusalReason.MODEL_NOT_LOADED
    exchange.binding.version = "v1"
    assert dispatcher.decide(exchange, DEPLOYMENT, 1, 0.2).server == "i-1"
