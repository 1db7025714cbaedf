"""Candidates that an entry derives from the reports of agents."""

from chervilgw.core.deployment import (
    OpaqueRequest,
    RegisteredServer,
    ServerId,
    ServerState,
)
from chervilgw.core.ids import ModelName, ServiceName, ZoneId
from chervilgw.core.messages import EngineReport
from chervilgw.membership.fleet_view import (
    MAX_REPORT_AGE_S,
    REPORT_OVERDUE_S,
    make_fleet_view,
)

SERVICE, MODEL = ServiceName("llm"), ModelName("m")
REQUEST = OpaqueRequest(
    "POST", "/", "h", (), b"", "a", "k", 9.0, MODEL, None, 10, 10, (), None
)


def candidate(view, now_s):
    [found] = view.candidates(SERVICE, REQUEST, (), 10, now_s)
    return found


def test_engine_is_silent_once_its_agent_misses_a_report():
    """Guards against requests to an unreachable VM until it is off the list."""
    view = make_fleet_view()
    server = RegisteredServer(
        ServerId("e"), SERVICE, "10.0.0.1:80", ZoneId("a"), 64, ServerState.READY, 1
    )
    view.directory.on_entry(server, 1, 0.0)
    assert not candidate(view, 0.0).is_silent
    report = EngineReport("e", 1, 0, False, False, "", {"m": ()}, 0, 0, 0)
    assert view.on_report(report, 1.0)
    assert not candidate(view, 1.0 + REPORT_OVERDUE_S).is_silent
    assert candidate(view, 1.1 + REPORT_OVERDUE_S).is_silent
    assert view.on_report(report, 3.0)
    assert not candidate(view, 3.1).is_silent
    # After this long without a report, the server counts as one without an agent.
    assert not candidate(view, 3.1 + MAX_REPORT_AGE_S).is_silent
