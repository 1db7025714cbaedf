"""Tests of the run state of a request that the entry itself ends."""

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import Refused
from chervilgw.core.states import BackendKind, RefusalReason, RunState
from chervilgw.entry.inflight import Inflight, Stage
from chervilgw.relay.stream import make_stream

SERVER = Incarnation(VmId("b1"), 1)


def attempt(number: int) -> RequestId:
    return RequestId(Incarnation(VmId("e1"), 1), number)


def request_with_attempt() -> Inflight:
    request = Inflight(priced=None, request_id="r", writer=None, arrived_s=0.0)
    assert request.run_state() is RunState.NOT_RUN
    request.stream = make_stream(attempt(1), BackendKind.ENGINE)
    request.attempt, request.server = attempt(1), SERVER
    request.stage = Stage.ATTEMPTING
    return request


def test_sent_attempt_may_have_run():
    """Guards against reporting and refunding a started request as not run."""
    request = request_with_attempt()
    assert request.run_state() is RunState.UNKNOWN
    request.stream.on_server_lost("lost")
    request.stage = Stage.WAITING_TO_RETRY
    assert request.run_state() is RunState.UNKNOWN
    request.started = True
    assert request.run_state() is RunState.RUN


def test_refused_attempt_has_not_run():
    """Guards against a charge for a request that only waited for a server."""
    request = request_with_attempt()
    refused = Refused(attempt(1), RefusalReason.NO_ROOM, RunState.NOT_RUN, "full")
    request.stream.on_message(refused, 0.1)
    request.stage = Stage.WAITING_TO_RETRY
    assert request.run_state() is RunState.NOT_RUN
