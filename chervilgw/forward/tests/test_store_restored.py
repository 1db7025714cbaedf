"""View of an entry after the store came back from a copy."""

import time
from dataclasses import replace

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.forward import events

from .test_evacuation import DEPLOYMENT, SERVICES, Entry

COPIED = 2**36


def test_gone_server_that_the_copy_lists_does_not_count_as_cold():
    """Guards against a server that is counted for good, as its removal is no news."""
    entry = Entry("desk")
    cold = replace(SERVICES["desk"], cold_start_s=3.0, cold_per_s=13.0)
    deployment = replace(DEPLOYMENT, services=SERVICES | {"desk": cold})
    entry.fire(events.deployment_changed(deployment), "*")
    entry.fire(events.server_unregistered("i-1", 3), "*")
    entry.fire(events.store_restored(), "*")
    server = RegisteredServer(
        "i-1", "desk", "10.0.0.1:80", "a", 64, ServerState.READY, 1, cold_s=3.0
    )
    entry.fire(events.server_registered(server, COPIED), "*")
    entry.fire(events.server_unregistered("i-1", COPIED + 1), "*")
    warm_up = entry.gateway.fleet.warm_up
    warm_up.changes(time.monotonic())
    assert warm_up.count_cold() == 0
