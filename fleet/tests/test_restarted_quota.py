"""Grants of killed entries count, on running entries of the platform's front."""

import json

import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import listed

# The customer's limit holds three requests in a window of 8 s.
SMALL = "key-s"


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def recorded_tokens(fleet):
    """Return what the entry that records the usage knows of the customer's grants."""
    records = [
        json.loads(value)
        for key, value in fleet.store.topics["keyed.entries"]
        if key == "quota-usage"
    ]
    return records[-1]["used"].get("small", 0) if records else 0


def test_entry_that_was_killed_does_not_grant_a_limit_again(fleet):
    """Guards against grants that are forgotten with their process (QUOTA)."""
    server = fleet.add_server(name="i-1")
    entries = [fleet.add_entry(ip) for ip in ("127.0.0.2", "127.0.0.3", "127.0.0.4")]
    for entry in entries:
        wait_for(listed(entry, server), "the server is known")
    # The first entry by name records the usage of all.
    killed = entries[-1]
    answers = [killed.send("/reserve/1", key=SMALL) for _ in range(4)]
    assert [answer.status_code for answer in answers] == [200, 200, 200, 429]
    wait_for(lambda: recorded_tokens(fleet) == 600, "a peer knows of the grants")
    killed.program.kill()
    killed.program.fields["bootstrap"] = "false"
    killed.program.start()
    wait_for(killed.is_ready, "the entry is ready again")
    wait_for(
        lambda: '"grants_remembered"' in killed.program.log_text(),
        "its peers have told it of the grants",
    )
    assert killed.send("/reserve/1", key=SMALL).status_code == 429
    assert len(server.runs) == 3
    # A customer without a limit is served meanwhile.
    assert killed.send("/reserve/1").status_code == 200


def test_grants_since_the_copy_of_the_store_count_after_a_restart_of_all(fleet):
    """Guards against a record of the usage from before grants that the copy lacks."""
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    few = {"X-Token-Count": "1,0"}
    assert entry.send("/reserve/1", key=SMALL, headers=few).status_code == 200
    wait_for(lambda: recorded_tokens(fleet) == 1, "the first grant is recorded")
    before = fleet.store.take_copy()
    many = {"X-Token-Count": "180,0"}
    for _ in range(3):
        answer = entry.send("/reserve/1", key=SMALL, headers=many)
        assert answer.status_code == 200
    entry.program.kill()
    fleet.store.restore(before)
    entry.program.fields["bootstrap"] = "false"
    entry.program.start()
    wait_for(entry.is_ready, "the entry is ready again")
    assert entry.send("/reserve/1", key=SMALL).status_code == 429
