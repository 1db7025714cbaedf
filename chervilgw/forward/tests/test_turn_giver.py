"""When an engine's agent refuses a request that waits for its turn."""

from circuits import BaseComponent, handler

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.messages import TurnGranted, TurnRefused, TurnRequest
from chervilgw.core.states import Urgency
from chervilgw.forward.turn_giver import TurnGiver
from chervilgw.placement.engine_orders import EngineState

TICK_S, ONE_WAY_S, PATIENCE_S = 0.1, 0.005, 2.4


class Agent(TurnGiver):
    """Turns of an engine that holds one model, and takes no orders."""

    def go_on(self, now_s):
        """Give no order."""


class Sent(BaseComponent):
    """Collects what the agent sends."""

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


def wanted(number, tokens):
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


def test_a_request_is_refused_before_its_caller_leaves():
    """Guards against callers that leave a moment before their refusal.

    One that has left does not come back, though it would have been served then.
    """
    agent, sent = make_agent()
    agent.on_turn_wanted(wanted(1, 1_900), 0.0)
    assert [type(each) for each in answers(agent, sent)] == [TurnGranted]
    agent.on_turn_wanted(wanted(2, 100), 0.0)
    assert answers(agent, sent) == []
    last_tick_s = PATIENCE_S - ONE_WAY_S - TICK_S
    agent.refuse_turns(agent.turns.expire(last_tick_s), "late", True)
    assert [type(each) for each in answers(agent, sent)] == [TurnRefused]
