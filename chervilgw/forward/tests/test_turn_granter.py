"""Refusals by an engine's agent of requests that wait for a turn."""

from circuits import BaseComponent, handler

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.messages import TurnGranted, TurnRefused, TurnRequest
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
