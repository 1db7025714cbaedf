"""Tests of running attempts and the decisions to stop them."""

from types import SimpleNamespace

import pytest

from chervilgw.configuration.state import empty_state
from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import CrashReport
from chervilgw.core.refusals import make_refusal
from chervilgw.core.states import BackendKind, RefusalReason
from chervilgw.sidecar.running import (
    ORPHAN_TIMEOUT_S,
    RETIREMENT_S,
    StopRun,
    make_running_attempts,
)

ENTRY, OTHER = (Incarnation(VmId(f"entry-{n}"), 1) for n in (1, 2))
FIRST, SECOND, THIRD = RequestId(ENTRY, 1), RequestId(ENTRY, 2), RequestId(OTHER, 1)
KEY_WITHDRAWN = make_refusal(RefusalReason.CANCELLED, "withdrawn")


def begin(running, request_id, digest, kind=BackendKind.ENGINE, suspect_of=()):
    dispatch = SimpleNamespace(
        target="draft", digest=digest, kind=kind, suspect_of=suspect_of
    )
    running.begin(SimpleNamespace(request_id=request_id), dispatch)


@pytest.fixture
def running():
    attempts = make_running_attempts()
    begin(attempts, FIRST, "a")
    begin(attempts, SECOND, "b")
    begin(attempts, THIRD, "c", BackendKind.SERVICE)
    return attempts


def crash(*digests, cleared=False):
    return CrashReport("engine-2/1", VmId("engine-2"), digests, 0, cleared)


def test_one_suspect_goes_on_after_a_crash_elsewhere(running):
    """Guards against blocking an innocent request that ran at two crashes by chance."""
    busy = StopRun(SECOND, RefusalReason.SUSPECT_BUSY)
    assert running.on_crash(crash("a", "b"), ()) == (busy,)
    assert running.is_suspect_running
    running.end(FIRST)
    assert not running.is_suspect_running


def test_blocked_request_is_stopped(running):
    """Guards against a third crash by a request that is already blocked."""
    assert running.on_crash(crash("x", cleared=True), {"a"}) == ()
    stops = running.on_crash(crash("x"), {"a"})
    assert stops == (StopRun(FIRST, RefusalReason.BLOCKED_AFTER_CRASHES),)


def test_withdrawn_key_stops_streams_only(running):
    """Guards against stopping a booking after it took effect."""
    stops = running.stop_withdrawn(lambda dispatch: KEY_WITHDRAWN)
    assert [stop.request_id for stop in stops] == [FIRST, SECOND]
    assert running.stop_withdrawn(lambda dispatch: None) == ()


def test_runs_of_a_lost_entry_are_stopped_unless_it_returns(running):
    """Guards against runs whose answer no entry relays any more."""
    running.on_entry_lost(ENTRY, 0.0)
    running.on_entry_lost(OTHER, 0.0)
    running.on_entry_connected(OTHER)
    assert running.stop_orphaned(ORPHAN_TIMEOUT_S - 0.1) == ()
    stops = running.stop_orphaned(ORPHAN_TIMEOUT_S)
    assert [stop.request_id for stop in stops] == [FIRST, SECOND]
    assert running.stop_orphaned(ORPHAN_TIMEOUT_S + 0.1) == ()


def test_copy_is_retired_after_its_last_attempt(running):
    """Guards against unloading a copy that a running request uses."""
    state = empty_state()
    assert running.retire("survey", state, 0.0)
    for request_id in (FIRST, SECOND, THIRD):
        assert not running.retire("draft", state, 0.0)
        assert not running.is_retired("draft", 0.0)
        running.end(request_id)
    assert running.retire("draft", state, 0.0)
    assert running.is_retired("draft", 0.0)
    running.on_copies({"draft": "unloading"})
    assert not running.is_retired("draft", 0.1)
    assert running.end(FIRST) is None


def test_copy_that_stays_loaded_takes_attempts_again(running):
    """Guards against a loaded model that gets no requests after an old version went."""
    assert running.retire("survey", empty_state(), 0.0)
    running.on_copies({"survey": "loaded"})
    assert running.is_retired("survey", RETIREMENT_S - 0.1)
    assert not running.is_retired("survey", RETIREMENT_S)
