"""Append-only log: offsets, retention, rate, long poll, common faults."""

import http.client
import threading
import time

import pytest

from standins.faults import FaultAction, make_faults
from standins.log_state import LogState, ReadState
from standins.tests.processes import call, running, wait_for


def test_offsets_continue_after_retention():
    """Guards against offsets that start again when old records are dropped."""
    log = LogState(keep_records=3, keep_ms=100, appends_per_s=400, now_s=0.0)
    assert log.append("a", [{"n": n} for n in range(5)], 0.0, 0) == (0, 5)
    assert log.read("a", 1, 9, 0).state is ReadState.EXPIRED
    assert [offset for offset, _, _ in log.read("a", 2, 2, 0).records] == [2, 3]
    aged = log.read("a", 5, 9, 101)
    assert (aged.oldest, aged.next, aged.records) == (5, 5, [])
    assert log.append("a", [{"n": 5}], 0.2, 101) == (5, 6)


def test_append_rate_counts_appends_not_records():
    """Guards against a limit per record, which would defeat batching."""
    log = LogState(keep_records=9999, keep_ms=0, appends_per_s=8, now_s=0.0)
    batch = [{}] * 100
    assert [log.append("a", batch, 0.0, 0) is None for _ in range(3)] == [
        False,
        False,
        True,
    ]
    assert log.append("a", batch, 0.125, 0) == (200, 300)


@pytest.mark.parametrize(
    ("values", "actions"),
    [
        ({}, "none none"),
        ({"refuse": True}, "refuse refuse"),
        ({"freeze": True, "refuse": True}, "freeze freeze"),
        ({"lose_answers": 1}, "lose_answer none"),
        ({"lose_answers": {"probability": 1.0, "seed": 1}}, "lose_answer lose_answer"),
        ({"lose_answers": {"probability": 0.0}}, "none none"),
    ],
)
def test_fault_table(values, actions):
    """Guards against a fault that hits more or fewer requests than it says."""
    faults = make_faults()
    faults.replace(values)
    assert [faults.take() for _ in range(2)] == [
        FaultAction(action) for action in actions.split()
    ]


@pytest.mark.parametrize(
    "values",
    [{"no_such": 1}, {"refuse": 1}, {"delay_ms": -1}, {"delay_ms": {"probability": 1}}],
)
def test_invalid_faults_are_rejected(values):
    """Guards against a misspelt fault that silently does nothing."""
    with pytest.raises(ValueError):
        make_faults().replace(values)


def test_process_contract_and_faults():
    """Guards against a log that differs from its contract over HTTP."""
    with running("log") as (_, ready):
        address = ready["address"]
        path = "/streams/s/records"
        assert call(address, "POST", path, [{"a": 1}, {"a": 2}]) == (
            200,
            {"first": 0, "next": 2},
        )
        status, found = call(address, "GET", path + "?from=1&limit=5")
        assert (status, found["next"], found["records"][0][0]) == (200, 2, 1)
        assert call(address, "POST", path, {"a": 1})[0] == 400
        assert call(address, "POST", path)[0] == 400
        assert call(address, "GET", "/nothing")[0] == 404

        polled = []
        poll = threading.Thread(
            target=lambda: polled.append(
                call(address, "GET", path + "?from=2&wait_ms=2000")
            )
        )
        poll.start()
        wait_for(lambda: len(call(address, "GET", "/seen")[1]["requests"]) == 6)
        start_s = time.monotonic()
        call(address, "POST", path, [{"a": 3}])
        poll.join(5)
        assert polled[0][1]["records"][0][2] == {"a": 3}
        assert time.monotonic() - start_s < 1.0, "the long poll did not answer at once"

        call(address, "PUT", "/faults", {"lose_answers": 1})
        with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
            call(address, "POST", path, [{"a": 4}])
        assert call(address, "GET", path)[1]["next"] == 4, "the lost append took effect"
        call(address, "PUT", "/faults", {"refuse": True})
        assert call(address, "GET", path)[0] == 503
        call(address, "PUT", "/faults", {"freeze": True})
        with pytest.raises(TimeoutError):
            call(address, "POST", path, [{"a": 5}], timeout_s=0.2)
        call(address, "PUT", "/faults", {"delay_ms": 200})
        start_s = time.monotonic()
        assert call(address, "GET", path)[0] == 200
        assert time.monotonic() - start_s >= 0.2
        assert call(address, "PUT", "/faults", {"no_such": 1})[0] == 400
