"""One fleet for all process-level tests of a run."""

import pytest

from fleet.launcher import start_fleet
from fleet.plan import FleetPlan


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    plan = FleetPlan(engines=2, services=1, notice_s=0.5)
    with start_fleet(plan, tmp_path_factory.mktemp("fleet")) as running:
        running.wait_loaded()
        yield running
