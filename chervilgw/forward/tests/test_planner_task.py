"""Which entry plans, in a rolling restart and in a large fleet."""

from dataclasses import replace

from circuits import Component

from chervilgw.core.ids import Incarnation, VmId
from chervilgw.core.messages import DemandReport, EntryReport
from chervilgw.forward.events import demand_reported, entry_reported
from chervilgw.forward.planner_task import make_planner_task


def report(number, **changes):
    sender = Incarnation(VmId(f"e{number}"), number)
    made = EntryReport(sender, f"10.0.0.{number}:7600", {}, {}, {}, zone="a")
    return replace(made, **changes)


def planners(*reports, demand=()):
    """Return the addresses of the entries that may plan, oldest first."""
    root = Component()
    task = make_planner_task("10.0.0.9:7600").register(root)
    for message in reports:
        root.fire(entry_reported(message), "planner")
    for message in demand:
        root.fire(demand_reported(message), "planner")
    while len(root):
        root.flush()
    return [address for _, address in sorted(task._live_entries())]


def test_entry_that_was_asked_to_stop_leaves_planning_at_once():
    """Guards against three seconds without a planner in a rolling restart.

    The leaving entry still accepts requests, as the balancer has not noticed yet. Seven
    hundred requests were refused for lack of a model in that time.
    """
    leaving = report(1, draining=True)
    assert planners(leaving, report(2)) == ["10.0.0.2:7600"]


def test_entry_without_a_configuration_does_not_plan():
    assert planners(report(1, accepts_requests=False), report(2)) == ["10.0.0.2:7600"]


def test_entries_that_send_no_demand_here_are_counted():
    """Guards against several planners in a fleet where few entries get the demand."""
    own = DemandReport(Incarnation(VmId("e9"), 9), "10.0.0.9:7600", {}, {}, {})
    assert planners(report(3), demand=[own]) == ["10.0.0.3:7600", "10.0.0.9:7600"]
