"""What the gateway learns from answers, and that it releases the work it counted."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import RegisteredServer, RouteKind, ServerState
from chervilgw.core.messages import EngineReport, TurnGranted
from chervilgw.forward import events
from chervilgw.forward.cost_tracker import CostTracker
from chervilgw.forward.exchange import make_exchange
from chervilgw.forward.messages import AdmittedRequest, ServerAnswer
from chervilgw.forward.tests.test_dispatcher import DEPLOYMENT, ENGINE, REQUEST, ROUTE
from chervilgw.forward.tests.test_evacuation import Entry
from chervilgw.routing.request_cost import MIN_SAMPLES
from chervilgw.routing.token_times import make_token_times

STREAM = ServerAnswer(200, (), False, True, False, None, is_event_stream=True)
REFUSAL = ServerAnswer(503, (), True, False, False, 0)
ENGINE_SERVICE = replace(
    DEPLOYMENT.services["llm"], engine=replace(ENGINE, tokens_per_event=3)
)
STATED = replace(DEPLOYMENT, services={"llm": ENGINE_SERVICE})


def exchange(tracker, kind=RouteKind.STREAMING, **changes):
    admitted = AdmittedRequest(
        replace(REQUEST, **changes), replace(ROUTE, kind=kind), "llm", None, 1
    )
    made = make_exchange(1, "http", admitted, (), 0.0)
    tracker.estimate_output(made, STATED)
    made.begin_attempt("i-1", 1, 0)
    return made


@pytest.fixture
def tracker():
    made = CostTracker("gateway")
    server = RegisteredServer("i-1", "llm", "h:1", "a", 4, ServerState.READY, 1)
    made.fleet.directory.on_entry(server, 1, 0.0)
    return made


def answer(tracker, made, events):
    tracker.begin_work(made)
    made.on_head(STREAM, 1_000)
    for number in range(events):
        made.on_data(f"id: {number}\ndata: x\n\n".encode())
        made.record_bytes(0.1 + 0.06 * number)
        tracker.fleet.work.on_written(made.number, made.written_tokens)
    return made


def test_whole_streams_give_the_output_and_the_time_per_token(tracker):
    for _ in range(MIN_SAMPLES):
        made = answer(tracker, exchange(tracker, output_tokens=500), 10)
        tracker.record_complete(made, 1.0)
    assert exchange(tracker, output_tokens=500).estimate.tokens == 30
    assert tracker.fleet.token_times.token_s("i-1", "m") == pytest.approx(0.02)


def test_stream_of_a_server_that_is_gone_leaves_no_state(tracker):
    """Guards against memory that grows with the servers that have left."""
    made = answer(tracker, exchange(tracker), 10)
    tracker.fleet.directory.on_removed("i-1", 2, 0.9)
    tracker.fleet.drop_server("i-1")
    tracker.record_complete(made, 1.0)
    assert tracker.fleet.token_times == make_token_times()


def test_resumed_request_of_a_caller_gives_no_sample(tracker):
    """Guards against the rest of a stream being taken for a whole one."""
    for _ in range(MIN_SAMPLES):
        made = exchange(tracker, output_tokens=500, last_event="7")
        tracker.record_complete(answer(tracker, made, 10), 1.0)
    assert not exchange(tracker).estimate.is_learned


@pytest.mark.parametrize("release", ["_release_server", "stop_attempt"])
def test_work_is_counted_until_the_request_leaves_its_server(release):
    """Guards against a server that seems loaded by requests which have ended."""
    gateway = Entry("llm").gateway
    made = exchange(gateway)
    gateway.send(made, "i-1", 0, 0.0)
    answer(gateway, made, 4)
    assert gateway.fleet.work.report() == ({"i-1": 38}, {"i-1": 1_450})
    getattr(gateway, release)(made, 0.5)
    assert gateway.fleet.work.report() == ({}, {})


def test_work_is_counted_until_the_request_leaves_the_queue():
    """Guards against a server that seems loaded by requests which were not sent."""
    gateway = Entry("llm").gateway
    made = exchange(gateway)
    gateway.request_turn(made, "i-1", 1_400, 0.0)
    assert gateway.fleet.work.report() == ({"i-1": 50}, {})
    gateway.leave_queue(made, 0.5)
    assert gateway.fleet.work.report() == ({}, {})


def test_request_that_waits_for_a_turn_holds_no_memory():
    """Guards against requests that are refused because of others that only wait."""
    entry = Entry("llm")
    report = EngineReport("i-1", 1, 0, False, False, "", {"m": ()}, 0, 0, 0)
    entry.fire(events.engine_reported(report), "gateway")
    fleet = entry.gateway.fleet
    entry.request("/s/1")
    assert fleet.work.report() == ({"i-1": 20}, {})
    assert fleet.board.report() == ({"i-1": 1}, {"i-1": 100})
    [(server, request)] = entry.sent("agent_send")
    granted = TurnGranted(request.turn, server)
    entry.fire(events.turn_answered(granted), "gateway")
    assert fleet.work.report() == ({"i-1": 20}, {"i-1": 120})
    assert fleet.board.report() == ({"i-1": 1}, {"i-1": 100})


def test_plain_answers_give_service_times_and_refusals_a_limit(tracker):
    options = {"kind": RouteKind.IDEMPOTENT, "model": None}
    for _ in range(8):
        made = exchange(tracker, **options)
        made.on_head(ServerAnswer(200, (), False, True, False, 9), 1_000)
        tracker.record_complete(made, 0.25)
    expected = tracker.fleet.service_times.expected("r", "i-1")
    assert expected.service_s == pytest.approx(0.25)
    for _ in range(7):
        tracker.fleet.board.on_sent("i-1", 0)
    made = exchange(tracker, **options)
    made.on_head(REFUSAL, 1_000)
    tracker.record_refused(made, 1.0)
    assert tracker.fleet.request_limits.limit("i-1", 4, 1.0) == 6.0
