"""Permits of a sidecar's loads."""

import random

import pytest

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load, PermitGrant, PermitRelease, PermitRequest
from chervilgw.core.states import BackendKind, CopyState, VmState
from chervilgw.placement.memory import ResidentCopy
from chervilgw.sidecar.loading import ASK_LASTS_S, CopySpec
from chervilgw.sidecar.permits import (
    PERMIT_REPEAT_S,
    PERMIT_WAIT_S,
    StartLoad,
    Tell,
    make_load_permits,
)

ME = Incarnation(VmId("engine-1"), 1)
ENTRIES = [Incarnation(VmId(f"entry-{n}"), 1) for n in (1, 2)]
SPEC = CopySpec("draft", "2", 60)
LATER_S = max(PERMIT_REPEAT_S, PERMIT_WAIT_S) + 0.1


@pytest.fixture
def permits():
    return make_load_permits(ME, random.Random(1))


def ask(permits):
    (asked,) = permits.ask(SPEC, ENTRIES, now_s=0.0)
    assert isinstance(asked.message, PermitRequest)
    return asked


def keep_wanting(permits, until_s):
    """Repeat the wish as the decisions do, up to a time."""
    for step in range(int(until_s) + 1):
        permits.want(SPEC.name, float(step))


def other_server(held, state=VmState.LIVE):
    load = Load(BackendKind.ENGINE, 100, 100, 0, 0, held)
    incarnation = Incarnation(VmId("engine-2"), 1)
    return ServerView(incarnation, ZoneId("z"), "", state, load, 0.1, True)


def test_permit_is_asked_for_once_and_released_after_the_load(permits):
    """Guards against a use of the store's budget that is taken twice or kept."""
    asked = ask(permits)
    assert permits.ask(SPEC, ENTRIES, 0.1) == []
    grant = PermitGrant(asked.message.permit_id, True)
    assert permits.on_grant(asked.to, grant) == [StartLoad(SPEC)]
    assert permits.on_grant(asked.to, grant) == []
    loading = ResidentCopy(SPEC.name, SPEC.version, 60, CopyState.LOADING)
    assert permits.settle([loading]) == []
    loaded = ResidentCopy(SPEC.name, SPEC.version, 60, CopyState.LOADED)
    released = Tell(asked.to, PermitRelease(grant.permit_id))
    assert permits.settle([loaded]) == [released]
    assert SPEC.name not in permits


def test_silent_entry_is_given_up_for_another(permits):
    """Guards against a load that waits for a frozen entry, and a late grant of it."""
    first = ask(permits)
    keep_wanting(permits, LATER_S)
    assert permits.tick(ENTRIES, [], PERMIT_REPEAT_S) == []
    released, second = permits.tick(ENTRIES, [], LATER_S)
    late = PermitGrant(first.message.permit_id, True)
    unused = Tell(first.to, PermitRelease(late.permit_id))
    assert released == unused
    assert second.to != first.to
    assert permits.on_grant(first.to, late) == [unused]
    grant = PermitGrant(second.message.permit_id, True)
    assert permits.on_grant(second.to, grant) == [StartLoad(SPEC)]


def test_refused_permit_may_be_asked_for_again(permits):
    """Guards against a model that is never loaded after one refusal."""
    asked = ask(permits)
    assert permits.on_grant(asked.to, PermitGrant(asked.message.permit_id, False)) == []
    assert len(permits.ask(SPEC, ENTRIES, 1.0)) == 1


def test_without_an_entry_the_permit_is_asked_for_later(permits):
    """Guards against a load that is forgotten while no entry is connected."""
    assert permits.ask(SPEC, [], 0.0) == []
    keep_wanting(permits, LATER_S)
    (asked,) = permits.tick(ENTRIES, [], LATER_S)
    assert asked.to in ENTRIES


@pytest.mark.parametrize(
    ("loss_until_s", "servers", "loads"),
    [
        (99.0, [], True),
        (99.0, [other_server({"draft": "loading"})], True),
        (99.0, [other_server({"draft": "loaded"}, VmState.GONE)], True),
        (99.0, [other_server({"draft": "loaded"})], False),
        (None, [], False),
        (LATER_S - 0.1, [], False),
    ],
    ids=["nowhere", "loading", "gone", "served", "no-loss", "old-loss"],
)
def test_load_without_a_permit(permits, loss_until_s, servers, loads):
    """Guards against a lost entry's budget that keeps a model unreachable."""
    if loss_until_s is not None:
        permits.on_entry_lost(loss_until_s)
    ask(permits)
    keep_wanting(permits, LATER_S)
    unpermitted = StartLoad(SPEC, permitted=False)
    assert unpermitted not in permits.tick(ENTRIES, servers, PERMIT_WAIT_S)
    assert (unpermitted in permits.tick(ENTRIES, servers, LATER_S)) == loads


def test_permit_that_no_decision_wants_is_withdrawn(permits):
    """Guards against a load of what another server has by now, at the store's cost."""
    asked = ask(permits)
    released = Tell(asked.to, PermitRelease(asked.message.permit_id))
    assert permits.tick(ENTRIES, [], ASK_LASTS_S) == []
    assert permits.tick(ENTRIES, [], ASK_LASTS_S + 0.1) == [released]
    assert SPEC.name not in permits


def test_all_permits_are_released_after_a_crash(permits):
    """Guards against permits of loads that ended with the engine's process."""
    asked = ask(permits)
    released = Tell(asked.to, PermitRelease(asked.message.permit_id))
    assert permits.release_all() == [released]
    assert permits.release(SPEC.name) == []
