"""Turns of an agent whose engine is started anew."""

import json

import pytest

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.messages import ReportSubscription, TurnRefused, TurnRequest
from chervilgw.core.states import Urgency
from chervilgw.forward.agent import report_due
from chervilgw.forward.tests.test_agent_origins import ENTRY, NEW, OLD, Vm
from chervilgw.runtime.events import CallDone, call_done

ENTRY_INCARNATION = Incarnation(VmId("e"), 1)


class ReportingVm(Vm):
    """Agent that reads the reports of its engine."""

    def __init__(self):
        super().__init__()
        self.reports = 0

    def report(self, started_ms, status=200):
        self.reports += 1
        models = [{"name": "m", "adapters": []}] if started_ms == 5 else []
        body = {"born": started_ms, "sequence": 0, "busy": False, "models": models}
        self.root.fire(report_due(), "agent")
        call = f"report-{self.reports}"
        done = CallDone(call, status, (), json.dumps(body).encode())
        self.root.fire(call_done(done), "agent")
        while len(self.root):
            self.root.flush()

    def register(self, server, started_ms, version):
        self.receive(
            ReportSubscription(
                ENTRY_INCARNATION, ENTRY, server, started_ms, software_version=version
            )
        )

    def wait_for_turn(self, started_ms):
        """Send a request that waits behind a prompt which fills the engine."""
        self.turns += 1
        turn = RequestId(ENTRY_INCARNATION, self.turns)
        customer, urgency = CustomerId("a"), Urgency.STANDARD
        request = TurnRequest(
            turn,
            ENTRY,
            "i-1",
            "m",
            "",
            customer,
            1_900,
            urgency,
            2.0,
            0.6,
            started_ms=started_ms,
        )
        self.receive(request)
        return turn

    def refused(self):
        answers = [message for message, _ in self.sent.datagrams]
        return [each.turn for each in answers if isinstance(each, TurnRefused)]


@pytest.mark.parametrize("was_unreachable", [False, True])
def test_turn_that_waits_is_refused_once_the_report_names_another_start(
    was_unreachable,
):
    """Guards against a stream that goes on at an engine that was started anew."""
    vm = ReportingVm()
    vm.start_engine("i-1", 5, OLD)
    vm.report(5)
    vm.grant("i-1")
    waiting = vm.wait_for_turn(started_ms=5)
    vm.report(5)
    assert vm.refused() == []
    if was_unreachable:
        vm.report(5, status=503)
    vm.report(9)
    assert vm.refused() == [waiting]


def test_turn_that_waits_is_refused_once_another_start_is_registered():
    """Guards the same at an engine whose reports name no start."""
    vm = ReportingVm()
    vm.start_engine("i-1", 0, OLD)
    vm.register("i-1", 5, OLD)
    vm.grant("i-1")
    waiting = vm.wait_for_turn(started_ms=5)
    vm.register("i-1", 9, NEW)
    assert vm.refused() == [waiting]
