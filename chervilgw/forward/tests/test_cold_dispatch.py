"""Decisions of entry and agent on requests while servers are cold."""

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
from chervilgw.core.messages import EngineReport, TurnGranted, TurnRefused
from chervilgw.core.states import RefusalReason
from chervilgw.forward.cold_dispatch import make_cold_dispatch
from chervilgw.forward.dispatcher import (
    Refuse,
    RequestTurn,
    SendNow,
    WaitForServer,
    make_dispatcher,
)
from chervilgw.forward.exchange import make_exchange
from chervilgw.forward.messages import AdmittedRequest
from chervilgw.forward.tests.test_turn_granter import answers, make_agent, turn_request
from chervilgw.membership.fleet_view import make_fleet_view
from chervilgw.routing.cold_slots import MAX_TURN_AGE_S
from chervilgw.routing.completion import EXPLORATION_INTERVAL
from chervilgw.routing.request_cost import OutputEstimate
from chervilgw.routing.warm_up import ColdSource
from chervilgw.settings.vm import Bounds

COLD_S, PER_S, NOW_S = 10.0, 2.0, 500.0
MODEL = ModelSpec("m", 70_000.0, 8.0, 0.3, 0.8, 0, 0.0)
ENGINE = EngineSpec(64, 120_000, 220_000.0, 8, 1.1, {"m": MODEL})


class Setup:
    """A dispatcher of an entry that has no peer, with servers ``i-1`` and ``i-2``."""

    def __init__(self, engine, per_s=PER_S, cold=("i-1",), target_s=0.6):
        rule = ServiceRule("s", 360, engine, COLD_S, per_s)
        kind = RouteKind.STREAMING if engine else RouteKind.IDEMPOTENT
        self.route = RouteRule("r", "h", "/", kind, 15.0, target_s, 0, (), 2, *[0] * 3)
        self.model = "m" if engine else None
        limits = CallerLimits()
        self.deployment = Deployment(1, (), {"s": rule}, {}, None, limits)
        self.fleet = make_fleet_view()
        self.fleet.warm_up.set_rules(self.deployment.services)
        decisions = make_cold_dispatch(self.fleet.warm_up, Bounds(), "10.0.0.9:1")
        decisions.entries.on_listed(("10.0.0.9:1",), NOW_S)
        self.dispatcher = make_dispatcher(self.fleet, "a", decisions)
        for offset, name in enumerate(("i-1", "i-2"), 1):
            cold_s = COLD_S if name in cold else 0.0
            self.register(name, offset, cold_s, bool(engine))

    def register(self, name, offset, cold_s, has_agent):
        entry = RegisteredServer(
            name, "s", "10.0.0.1:80", "a", 64, ServerState.READY, 1, cold_s=cold_s
        )
        self.fleet.directory.on_entry(entry, offset, 0.0)
        self.fleet.warm_up.on_registered(entry, offset, 0.0, NOW_S)
        if has_agent:
            report = EngineReport(name, 1, 0, False, False, "", {"m": ()}, 0, 0, 0)
            self.fleet.on_report(report, NOW_S)

    def exchange(self, number=1, now_s=NOW_S):
        opaque = OpaqueRequest(
            *("POST", "/", "h", (), b"", "id", "", 15.0, self.model, None),
            *(1_400, 50, (), None),
        )
        admitted = AdmittedRequest(opaque, self.route, "s", None, 1)
        return make_exchange(number, "http", admitted, (), now_s)

    def decide(self, exchange, now_s=NOW_S):
        return self.dispatcher.decide(exchange, self.deployment, 1, now_s)


@pytest.mark.parametrize("engine", [ENGINE, None])
def test_warm_server_comes_first_however_loaded(engine):
    """Guards against a cold server that is chosen because it has no work."""
    setup = Setup(engine)
    setup.fleet.board.on_peer_report("e2", {"i-2": 20}, {"i-2": 20_000}, NOW_S)
    assert setup.decide(setup.exchange()).server == "i-2"


@pytest.mark.parametrize("engine", [ENGINE, None])
def test_without_a_cold_rate_the_choice_is_the_former_one(engine):
    """Guards against a change of deployments that configure no rate."""
    setup = Setup(engine, per_s=0.0, cold=("i-1", "i-2"))
    setup.fleet.board.on_peer_report("e2", {"i-2": 20}, {"i-2": 20_000}, NOW_S)
    expected = RequestTurn("i-1", 1_400) if engine else SendNow("i-1", 0)
    for number in range(50):
        assert setup.decide(setup.exchange(number)) == expected
    assert not setup.dispatcher.cold.counts
    assert setup.dispatcher.cold.is_turn_usable(setup.fleet.directory.find("i-1"), 9.0)


def test_cold_engine_is_used_when_no_warm_one_can_serve_in_time():
    """Guards against refusals while a cold engine has turns to grant."""
    setup = Setup(ENGINE)
    setup.fleet.board.on_peer_report("e2", {"i-2": 9}, {"i-2": 200_000}, NOW_S)
    assert setup.decide(setup.exchange()) == RequestTurn("i-1", 1_400)


def test_cold_engine_is_not_explored():
    """Guards against estimates that are corrected by streams of the cold time."""
    setup = Setup(ENGINE, cold=("i-1", "i-2"))
    setup.fleet.board.on_peer_report("e2", {"i-2": 9}, {"i-2": 9_000}, NOW_S)
    exchange = setup.exchange()
    exchange.estimate = OutputEstimate(40, True, 3)
    for _ in range(2 * EXPLORATION_INTERVAL):
        assert setup.decide(exchange).server == "i-1"


def test_silent_agent_leaves_a_share_of_the_rate():
    """Guards against full load at a cold engine whose agent has died."""
    setup = Setup(ENGINE, cold=("i-1", "i-2"))
    now_s = NOW_S + 3.5
    decisions = [setup.decide(setup.exchange(n, now_s), now_s) for n in range(20)]
    assert sum(isinstance(item, SendNow) for item in decisions) <= 2 * (1 + PER_S)


def test_requests_wait_for_a_slot_or_are_refused_at_once():
    """Guards against requests that wait in vain, and retry times that are too early."""
    setup = Setup(None, cold=("i-1", "i-2"), target_s=1.2)
    decisions = [setup.decide(setup.exchange(number)) for number in range(12)]
    kinds = [type(item) for item in decisions]
    assert kinds[-1] is Refuse and WaitForServer in kinds
    assert kinds == sorted(kinds, key=[SendNow, WaitForServer, Refuse].index)
    refusal = decisions[-1].refusal
    assert refusal.reason is RefusalReason.QUEUE_FULL
    assert 1.2 - 0.2 < refusal.retry_after_s <= 1.2 + 1 / PER_S
    first = kinds.index(WaitForServer)
    sent = [
        setup.decide(setup.exchange(first), NOW_S + step / 10) for step in range(13)
    ]
    assert SendNow in map(type, sent)


def test_request_that_waits_takes_a_server_that_becomes_warm():
    """Guards against a slot that is kept although a warm server is free."""
    setup = Setup(None, cold=("i-1", "i-2"))
    for _ in range(9):
        if isinstance(setup.decide(setup.exchange(7)), WaitForServer):
            break
    assert setup.dispatcher.cold.slots.is_booked(7)
    setup.fleet.warm_up.on_stated("i-2", 1, ColdSource.LIST, 0.0, NOW_S)
    assert setup.decide(setup.exchange(7)) == SendNow("i-2", 0)
    assert not setup.dispatcher.cold.slots.is_booked(7)


def test_old_turn_is_not_used():
    """Guards against a frozen entry that resumes and uses the turns in its buffer."""
    setup = Setup(ENGINE)
    cold, server = setup.dispatcher.cold, setup.fleet.directory.find("i-2")
    assert cold.is_turn_usable(server, MAX_TURN_AGE_S)
    assert not cold.is_turn_usable(server, 1.0)


def cold_agent(per_s=PER_S, cold_s=COLD_S):
    agent, sent = make_agent()
    services = {"s": ServiceRule("s", 360, ENGINE, COLD_S, per_s)}
    agent.cold.set_rules(services, "s")
    agent.cold.on_stated(7, ColdSource.REPORT, cold_s, NOW_S)
    return agent, sent


def granted(agent, sent):
    found = answers(agent, sent)
    return [item for item in found if isinstance(item, TurnGranted)]


def requests_and_grants(agent, sent, number=40):
    """Return the times of the turns in 2 s with a request for each."""
    start_s = agent.cold._pace.started_s + 5.0
    agent.cold.on_stated(7, ColdSource.REPORT, agent.cold.cold_s(NOW_S), start_s)
    times_s = []
    for step in range(number):
        now_s = start_s + step * 2.0 / number
        agent.on_turn_request(turn_request(step, 100), now_s)
        agent.grant_turns(now_s)
        for answer in granted(agent, sent):
            times_s.append(now_s)
            agent.turns.release(answer.turn, now_s)
    return times_s


def test_agent_of_a_cold_engine_grants_turns_at_its_rate():
    """Guards against the sum of many entries' requests at a cold engine."""
    assert 3 <= len(requests_and_grants(*cold_agent())) <= 2 * PER_S + 1


@pytest.mark.parametrize(("per_s", "cold_s"), [(0.0, COLD_S), (PER_S, 0.0)])
def test_agent_of_a_warm_engine_grants_all_turns_at_once(per_s, cold_s):
    """Guards against a limit without a cold rate, or after the cold time."""
    agent, sent = cold_agent(per_s, cold_s)
    assert len(requests_and_grants(agent, sent)) == 40


def test_turn_that_comes_too_late_is_refused_with_its_time():
    """Guards against requests that wait for a turn until their callers give up."""
    agent, sent = cold_agent(per_s=1.0)
    now_s = agent.cold._pace.started_s + 5.0
    agent.cold.on_stated(7, ColdSource.REPORT, COLD_S, now_s)
    for number in range(6):
        agent.on_turn_request(turn_request(number, 100), now_s)
        # Repeated, as datagrams may be lost.
        agent.on_turn_request(turn_request(number, 100), now_s)
    found = answers(agent, sent)
    refused = [item for item in found if isinstance(item, TurnRefused)]
    assert {item.turn.counter for item in refused} == {3, 4, 5}
    assert refused[0].retry_after_s == pytest.approx(3.0) and refused[0].is_busy


def test_granted_turn_states_its_wait():
    """Guards against an age that counts the time in the queue, so that no turn is used.

    A lost answer is repeated with the same wait.
    """
    agent, sent = cold_agent(per_s=1.0)
    now_s = agent.cold._pace.started_s + 5.0
    agent.cold.on_stated(7, ColdSource.REPORT, COLD_S, now_s)
    agent.on_turn_request(turn_request(1, 100), now_s)
    agent.on_turn_request(turn_request(2, 100), now_s)
    agent.turns.release(turn_request(1, 100).turn, now_s)
    agent.grant_turns(now_s + 1.0)
    agent.on_turn_request(turn_request(2, 100), now_s + 1.2)
    waits_s = [item.waited_s for item in granted(agent, sent)]
    assert waits_s == pytest.approx([0.0, 1.0, 1.0])


def test_requests_without_unread_tokens_wait_for_turns():
    """Guards against an error when several prompts that are cached wait."""
    agent, sent = cold_agent()
    now_s = agent.cold._pace.started_s + 5.0
    agent.cold.on_stated(7, ColdSource.REPORT, COLD_S, now_s)
    for number in range(4):
        agent.on_turn_request(turn_request(number, 0), now_s)
    for step in range(1, 5):
        agent.grant_turns(now_s + step)
    assert len(granted(agent, sent)) == 4
