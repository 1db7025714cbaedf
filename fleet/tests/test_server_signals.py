"""What servers say of themselves in answers: that they leave, or want a pause."""

import time

import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import MODEL, listed

LEAVING = {"Server-Leaving": "1"}


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def test_server_that_gives_notice_gets_no_further_request_from_any_entry(fleet):
    """Guards against new work for a server that the list still calls ready."""
    leaving = fleet.add_server(name="i-1", signals=LEAVING)
    first, second = fleet.add_entry(), fleet.add_entry("127.0.0.2")
    for entry in (first, second):
        wait_for(listed(entry, leaving), "the server is known")
    staying = fleet.add_server(name="i-2")
    assert first.send("/reserve/1").status_code == 200
    wait_for(lambda: '"server_leaving"' in second.program.log_text(), "it is told", 3.0)
    for entry in (first, second):
        wait_for(listed(entry, staying), "the other server is known")
        for _ in range(4):
            assert entry.send("/reserve/2").status_code == 200
        # A later entry of the same incarnation, which says that it is ready.
        fleet.register(leaving)
    assert len(leaving.runs) == 1
    leaving.signals = {}
    leaving.born += 1_000_000
    fleet.register(leaving)
    wait_for(
        lambda: first.program.log_text().count('"server_changed", "server": "i-1"') > 1,
        "its next start is known",
    )
    fleet.register(staying, state="draining")
    wait_for(lambda: '"state": "draining"' in first.program.log_text(), "it drains")
    assert first.send("/reserve/3").content == b"answer of i-1"


def test_engine_that_gives_notice_gets_neither_turns_nor_orders(fleet):
    """Guards against a load of a model on an engine that is about to end."""
    engine = fleet.add_server(
        name="i-1", service="llm", models={"m1": []}, signals=LEAVING
    )
    entry = fleet.add_entry()
    agent = fleet.add_agent(engine)
    wait_for(lambda: '"fence_taken"' in agent.log_text(), "the agent may give orders")
    wait_for(lambda: '"draining": true' in agent.log_text(), "the notice is seen")
    wait_for(listed(entry, engine), "the engine is known")

    def status(model):
        headers = MODEL | {"X-Model": model}
        return entry.send("/draft/1", headers=headers).status_code

    wait_for(lambda: status("m1") == 503, "the entry knows it", 3.0)
    runs = len(engine.runs)
    assert [status(model) for model in ("m1", "m1/a1", "m2")] == [503] * 3
    assert engine.orders == []
    assert len(engine.runs) == runs <= 1


@pytest.mark.parametrize("retry_after_s", ["2", "1.5"])
def test_server_that_asks_for_a_pause_gets_nothing_within_it(fleet, retry_after_s):
    """Guards against more work for a server that has turned this process away."""
    signals = {"Retry-After": retry_after_s}
    full = fleet.add_server(name="i-1", refuse=True, signals=signals)
    entry = fleet.add_entry()
    wait_for(listed(entry, full), "the server is known")
    answer = entry.send("/reserve/1")
    assert answer.status_code == 503
    assert 0.5 < float(answer.headers["Retry-After"]) <= float(retry_after_s)
    end_s = full.refused_s[-1] + float(retry_after_s) - 0.2

    def pause_ends():
        began_s = time.monotonic()
        if began_s >= end_s:
            return True
        answer = entry.send("/reserve/2")
        assert answer.status_code == 503
        # It is refused at once, with the time that is left.
        assert time.monotonic() - began_s < 0.5
        assert float(answer.headers["Retry-After"]) <= float(retry_after_s)
        return False

    wait_for(pause_ends, "the pause ends")
    assert len(full.refused_s) == 1
    full.refuse = False
    wait_for(
        lambda: entry.send("/reserve/3").status_code == 200, "it is asked again", 3
    )


def test_request_goes_to_another_server_while_one_pauses(fleet):
    full = fleet.add_server(name="i-1", refuse=True, signals={"Retry-After": "30"})
    sound = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, sound), "the servers are known")
    for _ in range(6):
        assert entry.send("/reserve/1").content == b"answer of i-2"
    assert len(full.refused_s) == 1
