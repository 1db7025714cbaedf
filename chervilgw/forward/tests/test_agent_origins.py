"""An agent's memory of the streams that its engines began."""

from circuits import BaseComponent, Component, handler

from chervilgw.core.deployment import EngineSpec
from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.messages import (
    ReportSubscription,
    StreamEnded,
    StreamOrigin,
    StreamOriginQuery,
    TurnGranted,
    TurnReleased,
    TurnRequest,
)
from chervilgw.core.states import Urgency
from chervilgw.forward.agent import AgentOptions, make_agent_task
from chervilgw.placement.engine_orders import EngineState
from chervilgw.platform.engines import PlatformEngineCodec
from chervilgw.runtime.datagrams import datagram_received

ENTRY, ASKING = "10.0.0.1:7600", "10.0.0.2:7600"
OLD, NEW = "1.4", "1.5"


class Sent(BaseComponent):
    """Records the messages that the agent sends."""

    def __init__(self):
        super().__init__()
        self.datagrams = []

    @handler("datagram_send", channel="datagrams")
    def _on_send(self, message, addresses):
        self.datagrams.append((message, tuple(addresses)))


class Vm:
    """The agent of an engine that holds one model; no task sends its calls."""

    def __init__(self):
        self.root, self.sent = Component(), Sent()
        self.sent.register(self.root)
        options = AgentOptions(Incarnation(VmId("s"), 1), "10.0.0.3:80", "llm")
        self.agent = make_agent_task(options, PlatformEngineCodec())
        self.agent.register(self.root)
        self.turns = 0

    def receive(self, message):
        self.root.fire(datagram_received(message, ENTRY), "agent")
        while len(self.root):
            self.root.flush()

    def start_engine(self, server, started_ms, version):
        held = {"m": frozenset()}
        state = EngineState(
            started_ms, 0, False, False, None, held, (), frozenset(), 0, 0, 0
        )
        self.agent.orders.on_state(state)
        self.agent.orders.spec = EngineSpec(64, 120_000, 220_000.0, 8, 1.1, {})
        self.receive(
            ReportSubscription(
                Incarnation(VmId("e"), 1),
                ENTRY,
                server,
                started_ms,
                software_version=version,
            )
        )

    def stop_engine(self):
        self.agent.orders.on_unreachable()

    def grant(self, server):
        self.turns += 1
        turn = RequestId(Incarnation(VmId("e"), 1), self.turns)
        customer, urgency = CustomerId("a"), Urgency.STANDARD
        self.receive(
            TurnRequest(turn, ENTRY, server, "m", "", customer, 100, urgency, 2.0, 0.6)
        )
        granted = [each.turn for each, _ in self.sent.datagrams if _is_grant(each)]
        assert turn in granted
        return turn

    def begin(self, server, attempt):
        turn = self.grant(server)
        self.receive(TurnReleased(turn, server, True))
        self.receive(TurnReleased(turn, server, True, attempt))

    def ask(self, attempt, service="llm"):
        before = len(self.sent.datagrams)
        self.receive(StreamOriginQuery(service, attempt, ASKING))
        return self.sent.datagrams[before:]


def _is_grant(message):
    return isinstance(message, TurnGranted)


def test_version_is_known_after_the_engine_was_replaced_by_another_version():
    """Guards against streams that go on at the version that took the engine's place."""
    vm = Vm()
    vm.start_engine("i-1", 5, OLD)
    vm.begin("i-1", "a1")
    vm.stop_engine()
    assert vm.ask("a1") == [(StreamOrigin("llm", "a1", OLD), (ASKING,))]
    vm.start_engine("i-2", 9, NEW)
    vm.begin("i-2", "a2")
    assert vm.ask("a1") == [(StreamOrigin("llm", "a1", OLD), (ASKING,))]
    assert vm.ask("a2") == [(StreamOrigin("llm", "a2", NEW), (ASKING,))]


def test_late_report_counts_for_the_engine_that_got_the_request():
    """Guards against the version of a successor for a stream of its predecessor."""
    vm = Vm()
    vm.start_engine("i-1", 5, OLD)
    turn = vm.grant("i-1")
    vm.start_engine("i-1", 9, NEW)
    vm.receive(TurnReleased(turn, "i-1", True, "a1"))
    assert vm.ask("a1") == [(StreamOrigin("llm", "a1", OLD), (ASKING,))]


def test_agent_answers_only_what_it_knows():
    """Guards against answers that make a caller's stream go on at a guessed version."""
    vm = Vm()
    vm.start_engine("i-1", 5, OLD)
    vm.begin("i-1", "a1")
    turn = vm.grant("i-1")
    vm.receive(TurnReleased(turn, "i-1", False))
    vm.receive(TurnReleased(turn, "i-1", True, "withdrawn"))
    turn = vm.grant("i-1")
    vm.receive(StreamEnded(turn, "i-1", 0, 0.0))
    vm.receive(TurnReleased(turn, "i-1", True, "ended"))
    for attempt in ("", "other", "withdrawn", "ended"):
        assert vm.ask(attempt) == []
    assert vm.ask("a1", service="plain") == []


def test_agent_without_the_version_remembers_no_stream():
    """Guards against the empty version of an entry of an earlier release."""
    vm = Vm()
    vm.start_engine("i-1", 5, "")
    vm.begin("i-1", "a1")
    assert vm.ask("a1") == []
    vm.start_engine("i-1", 5, OLD)
    vm.start_engine("i-1", 5, "")
    vm.begin("i-1", "a2")
    assert vm.ask("a2") == [(StreamOrigin("llm", "a2", OLD), (ASKING,))]
