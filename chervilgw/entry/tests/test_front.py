"""Tests of the entry's readiness probe."""

import time

from chervilgw.core.ids import Incarnation, VmId
from chervilgw.entry.front import make_front
from chervilgw.runtime.events import HttpRequest
from chervilgw.telemetry import make_metrics


def status_of(front, path):
    """Return the status of the front task's answer."""
    fired = []
    front.fire = lambda event, *channels: fired.append(event)
    front._on_request(HttpRequest(1, "GET", path, "", {}, b""))
    return fired[0].args[0].status


def test_entry_without_share_units_is_not_ready():
    """Guards against refusals by a restarted entry while its peers hold all units."""
    front = make_front(Incarnation(VmId("e1"), 1), True, make_metrics(None, "e1"))
    front._on_config_fresh(time.monotonic() + 60.0)
    assert status_of(front, "/readyz") == 503
    assert status_of(front, "/healthz") == 200
    front._on_quota_supplied()
    assert status_of(front, "/readyz") == 200
