"""Odd entries of another writer in the platform's list, against running processes."""

import json

import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import MODEL, listed
from standins.opaque_platform import ServerStandIn

DEEP = b"[" * 100_000


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def put_odd_entries(fleet, number):
    """Write one odd entry of each kind; the keys differ by ``number``."""
    entry = ServerStandIn(name="i-odd")
    entry.address = "127.0.0.1:9"
    sound = entry.entry()
    odd = {
        "nested": DEEP,
        "huge": json.dumps(sound | {"slots": 10**30}).encode(),
        "future": json.dumps(sound | {"born": 10**300}).encode(),
        "port": json.dumps(sound | {"address": "127.0.0.1:99999"}).encode(),
        "surrogate": json.dumps(sound | {"service": "\ud800"}).encode(),
    }
    for name, value in odd.items():
        fleet.store.put_bytes("keyed.servers", f"odd-{name}-{number}", value)


def odd_lines(program):
    lines = program.log_text().splitlines()
    return [line for line in lines if '"server_entry_ignored"' in line]


def test_odd_entries_neither_end_an_entry_nor_hide_the_servers_beside_them(fleet):
    """Guards against entries that end, or stop following the list, at an odd record."""
    put_odd_entries(fleet, 1)
    fleet.store.put("keyed.entries", "127.0.0.1:99999", "front-odd")
    fleet.store.put("keyed.entries", "no address", "front-odd")
    first = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, first), "the server beside odd entries is known")
    assert entry.send("/reserve/1").status_code == 200
    put_odd_entries(fleet, 2)
    fleet.store.put_bytes("keyed.servers", "i-1", DEEP)
    second = fleet.add_server(name="i-2")
    wait_for(listed(entry, second), "a server after odd entries is known")
    # An odd entry of a server that is known leaves its sound one in force.
    fleet.register(second, state="draining")
    wait_for(lambda: '"state": "draining"' in entry.program.log_text(), "it drains")
    assert entry.send("/reserve/1").content == b"answer of i-1"
    fleet.store.down = True
    wait_for(lambda: "store_lost" in entry.program.log_text(), "the outage is seen")
    put_odd_entries(fleet, 3)
    third = fleet.add_server(name="i-3")
    fleet.store.down = False
    wait_for(listed(entry, third), "a server is known after the outage")
    assert entry.program.process.poll() is None
    assert "handler_failed" not in entry.program.log_text()
    # One line for each of the 16 odd entries, however often they are read.
    assert len(odd_lines(entry.program)) == 16


def test_entry_that_starts_again_beside_odd_entries_serves(fleet):
    put_odd_entries(fleet, 1)
    server = fleet.add_server(name="i-1")
    put_odd_entries(fleet, 2)
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    assert entry.program.stop() == 0
    entry.program.start()
    wait_for(entry.is_ready, "the entry is ready again")
    wait_for(
        lambda: entry.program.log_text().count('"server_changed", "server": "i-1"')
        == 2,
        "the server is known again",
    )
    assert entry.send("/reserve/1").status_code == 200
    assert "handler_failed" not in entry.program.log_text()


def put_at_address(fleet, key, server, **fields):
    """Write an entry of another writer for the address of a server."""
    entry = server.entry() | {"born": server.born + 1000} | fields
    fleet.store.put("keyed.servers", key, entry)


def test_entry_of_an_unnamed_service_takes_no_server_away(fleet):
    """Guards against one odd entry that takes a server out for good (RECOVER)."""
    server = fleet.add_server(name="i-1")
    put_at_address(fleet, "odd", server, service="desk-next")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    assert entry.send("/reserve/1").status_code == 200
    entry.program.kill()
    entry.program.start()
    wait_for(entry.is_ready, "the entry is ready again")
    wait_for(lambda: entry.send("/stock/1").status_code == 200, "it serves again")


def test_entry_with_a_later_start_takes_no_writing_server_away(fleet):
    """Guards against a belief that neither heartbeats nor a removal end."""
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    put_at_address(fleet, "odd", server)
    wait_for(lambda: '"server": "odd"' in entry.program.log_text(), "it was read")
    fleet.register(server)
    wait_for(lambda: entry.send("/stock/1").status_code == 200, "it serves again")
    fleet.store.put("keyed.servers", "odd", None)
    put_at_address(fleet, "i-1", server, state="draining")
    wait_for(lambda: '"draining"' in entry.program.log_text(), "that was read, too")

    def serves():
        fleet.register(server)
        return entry.send("/stock/1").status_code == 200

    wait_for(serves, "the server's own entries count again")


def test_entry_with_a_later_start_does_not_take_the_agent_of_an_engine(fleet):
    """Guards against an agent that works for an entry of another writer for good."""
    engine = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    agent = fleet.add_agent(engine)
    entry = fleet.add_entry()
    wait_for(listed(entry, engine), "the engine is known")
    wait_for(lambda: '"engine_known"' in agent.log_text(), "the agent knows it")
    put_at_address(fleet, "odd", engine)
    wait_for(lambda: '"server": "odd"' in entry.program.log_text(), "it was read")
    fleet.store.put("keyed.servers", "odd", None)
    wait_for(lambda: '"server_removed"' in entry.program.log_text(), "it was removed")
    fleet.register(engine)

    def has_turn():
        answer = entry.send("/draft/1", headers=MODEL)
        granted = '"result": "given"' in agent.log_text()
        return answer.status_code == 200 and granted

    wait_for(has_turn, "the agent grants a turn")
    assert '"server": "odd"' not in agent.log_text()
