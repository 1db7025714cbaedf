"""Refusals by an engine's agent of requests that wait for a turn."""

from dataclasses import replace

import pytest
from circuits import BaseComponent, handler

from chervilgw.core.deployment import EngineSpec
from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.messages import StreamEnded, TurnGranted, TurnRefused, TurnRequest
from chervilgw.core.states import Urgency
from chervilgw.forward.turn_granter import TurnGranter
from chervilgw.placement.engine_orders import EngineState

TICK_S, ONE_WAY_S, PATIENCE_S = 0.1, 0.005, 2.4


class Agent(TurnGranter):
    """Agent of an engine that holds one model, without orders."""

    def send_next_order(self, now_s):
        """Send no order."""


class Sent(BaseComponent):
    """Records the messages that the agent sends."""

    channel = "datagrams"

    def __init__(self):
        super().__init__()
        self.messages = []

    @handler("datagram_send")
    def _on_send(self, message, addresses):
        self.messages.append(message)


def make_agent():
    agent, sent = Agent("agent"), Sent()
    sent.register(agent)
    agent.server, agent.server_started_ms = "i-1", 7
    held = {"m": frozenset()}
    state = EngineState(7, 0, False, False, None, held, (), frozenset(), 0, 0, 0)
    agent.orders.on_state(state)
    return agent, sent


def turn_request(number, tokens):
    return TurnRequest(
        RequestId(Incarnation(VmId("e"), 1), number),
        "e:1",
        "i-1",
        "m",
        "",
        CustomerId("a"),
        tokens,
        Urgency.STANDARD,
        PATIENCE_S,
        target_remaining_s=0.6,
    )


def answers(agent, sent):
    while len(agent):
        agent.flush()
    messages, sent.messages = sent.messages, []
    return messages


def test_request_is_refused_before_its_caller_gives_up():
    """Guards against refusals that arrive just after the caller gave up.

    A caller that gave up does not retry, although a retry would have been served.
    """
    agent, sent = make_agent()
    agent.on_turn_request(turn_request(1, 1_900), 0.0)
    assert [type(answer) for answer in answers(agent, sent)] == [TurnGranted]
    agent.on_turn_request(turn_request(2, 100), 0.0)
    assert answers(agent, sent) == []
    last_tick_s = PATIENCE_S - ONE_WAY_S - TICK_S
    agent.refuse_turns(agent.turns.expire(last_tick_s), "late", True)
    assert [type(answer) for answer in answers(agent, sent)] == [TurnRefused]


def test_turn_that_waits_for_a_slot_is_granted_when_a_stream_ends():
    """Guards against a freed slot that stays unused until the next tick."""
    agent, sent = make_agent()
    agent.orders.spec = EngineSpec(2, 1_000, 1.0, 0, 1.0, {}, tokens_per_event=3)
    agent.on_engine_load(1)
    first, second = (
        replace(turn_request(number, 100), output_tokens=50, max_pause_s=0.3)
        for number in (1, 2)
    )
    agent.on_turn_request(first, 0.0)
    assert [type(answer) for answer in answers(agent, sent)] == [TurnGranted]
    agent.on_turn_request(second, 0.0)
    assert answers(agent, sent) == []
    agent.on_stream_ended(StreamEnded(first.turn, "i-1", 50, 0.5), 0.1)
    assert [answer.turn for answer in answers(agent, sent)] == [second.turn]
    plain = turn_request(3, 100)
    agent.on_turn_request(plain, 0.1)
    assert [answer.turn for answer in answers(agent, sent)] == [plain.turn]


def test_repeat_of_a_waiting_request_begins_no_pass_over_the_queue(monkeypatch):
    """Guards against datagrams whose work grows with the number of waiting requests."""
    agent, sent = make_agent()
    for number in (1, 2):
        agent.on_turn_request(turn_request(number, 1_900), 0.0)
    answers(agent, sent)
    passes = []
    monkeypatch.setattr(agent, "grant_turns", passes.append)
    agent.on_turn_request(turn_request(2, 1_900), 0.1)
    assert (passes, answers(agent, sent)) == ([], [])
    agent.on_turn_request(turn_request(1, 1_900), 0.1)
    assert [type(answer) for answer in answers(agent, sent)] == [TurnGranted]


@pytest.mark.parametrize(
    ("started_ms", "answer"), [(0, TurnGranted), (7, TurnGranted), (6, TurnRefused)]
)
def test_stream_gets_no_turn_at_an_engine_that_was_started_anew(started_ms, answer):
    """Guards against an entry that has not read the engine's new registration."""
    agent, sent = make_agent()
    request = replace(turn_request(1, 10), started_ms=started_ms)
    agent.on_turn_request(request, 1.0)
    assert [type(message) for message in answers(agent, sent)] == [answer]


def test_turn_of_a_former_start_of_the_engine_is_not_granted_again():
    """Guards against a stream that goes on at an engine that was started anew."""
    agent, sent = make_agent()
    request = replace(turn_request(1, 10), started_ms=7)
    agent.on_turn_request(request, 1.0)
    answers(agent, sent)
    agent.orders.on_state(replace(agent.orders.state, started_ms=9))
    agent.server_started_ms = 9
    # The entry repeats the request, as the answer may be lost.
    agent.on_turn_request(request, 1.1)
    assert [type(message) for message in answers(agent, sent)] == [TurnRefused]
