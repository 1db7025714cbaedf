"""Runs that were given up before they crashed their server are blamed."""

from chervilgw.core.deployment import ServerId
from chervilgw.crashes.stopped_runs import (
    DROP_TIMEOUT_S,
    MAX_RUNS_PER_SERVER,
    RETENTION_S,
    make_stopped_runs,
)

SERVER = ServerId("i-1")


def stopped(*stops_s, started_ms=7):
    runs = make_stopped_runs()
    for number, stopped_s in enumerate(stops_s):
        runs.on_stopped(SERVER, started_ms, [f"request/{number}"], [0], stopped_s)
    return runs


def blamed(runs, now_s, started_ms=7):
    return [run.traits[0] for run in runs.take_ended(SERVER, started_ms, now_s)]


def test_run_given_up_before_the_crash_is_blamed_once():
    """Guards against a request that crashes servers after its time is over (BUDGET)."""
    runs = stopped(1.0)
    assert blamed(runs, 4.0) == ["request/0"]
    assert blamed(runs, 4.1) == []


def test_server_that_answers_a_later_request_survived_the_run():
    """Guards against blame for requests whose callers left long before a crash."""
    runs = stopped(1.0, 1.0 + DROP_TIMEOUT_S)
    runs.on_answered(SERVER, 7, sent_s=1.0 + DROP_TIMEOUT_S)
    assert blamed(runs, 4.0) == ["request/1"]


def test_answer_to_a_request_sent_before_the_stop_proves_nothing():
    runs = stopped(1.0)
    runs.on_answered(SERVER, 7, sent_s=0.9)
    assert blamed(runs, 2.0) == ["request/0"]


def test_another_incarnation_clears_and_blames_nothing():
    runs = stopped(1.0)
    runs.on_answered(SERVER, 8, sent_s=3.0)
    assert blamed(runs, 4.0, started_ms=8) == []
    assert blamed(runs, 4.0) == ["request/0"]


def test_old_runs_are_dropped_and_their_number_is_bounded():
    """Guards against memory for callers that leave all the time."""
    runs = stopped(*[1.0] * (MAX_RUNS_PER_SERVER + 5))
    assert len(blamed(runs, 2.0)) == MAX_RUNS_PER_SERVER
    runs = stopped(1.0)
    runs.drop_past(1.0 + RETENTION_S)
    assert blamed(runs, 2.0) == []
