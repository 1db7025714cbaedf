"""Requests that crash servers after they were given up, at a running entry."""

import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import listed
from standins.opaque_platform import ServerStandIn


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


@pytest.mark.parametrize("meets_successor", [False, True])
def test_request_that_crashes_servers_after_its_timeout_is_blocked(
    fleet, meets_successor
):
    """Guards against a request that crashes one server after the other (BUDGET).

    Its answer is given up at the route's timeout, so that no connection of it ends with
    its servers.
    """
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    for number in (2, 3):
        server.hold.clear()
        assert entry.send("/reserve/9", content=b"deadly").status_code == 504
        server.hold.set()
        server.stop()
        port = int(server.address.rpartition(":")[2])
        server = ServerStandIn(name=f"i-{number}", port=port)
        server.start()
        fleet.servers.append(server)
        if meets_successor:
            # The next server answers in the place of the one that has ended.
            assert entry.send("/reserve/8").status_code == 503
        fleet.register(server)
        wait_for(listed(entry, server), "the next server is known")
    answer = entry.send("/reserve/9", content=b"deadly")
    assert (answer.status_code, answer.json()["error"]) == (
        503,
        "blocked_after_crashes",
    )
    assert entry.send("/reserve/9", content=b"harmless").status_code == 200
    assert [run["body"] for run in server.runs] == [b"harmless"]
