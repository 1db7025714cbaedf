"""Tests of the permits for a sidecar's loads."""

import random

import pytest

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load, PermitGrant, PermitRelease, PermitRequest
from chervilgw.core.states import BackendKind, CopyState, VmState
from chervilgw.placement.memory import ResidentCopy
from chervilgw.sidecar.loading import LOAD_REQUEST_TIMEOUT_S, CopySpec
from chervilgw.sidecar.permits import (
    PERMIT_RETRY_S,
    UNPERMITTED_LOAD_DELAY_S,
    SendToEntry,
    StartLoad,
    make_load_permits,
)

LOCAL = Incarnation(VmId("engine-1"), 1)
ENTRIES = [Incarnation(VmId(f"entry-{n}"), 1) for n in (1, 2)]
SPEC = CopySpec("draft", "2", 60)
LATER_S = max(PERMIT_RETRY_S, UNPERMITTED_LOAD_DELAY_S) + 0.1


@pytest.fixture
def permits():
    return make_load_permits(LOCAL, random.Random(1))


def request(permits):
    (requested,) = permits.request(SPEC, ENTRIES, now_s=0.0)
    assert isinstance(requested.message, PermitRequest)
    return requested


def repeat_requests(permits, until_s):
    """Repeat the load request up to a time, as the decisions do."""
    for step in range(int(until_s) + 1):
        permits.record_request(SPEC.name, float(step))


def peer_server(held, state=VmState.LIVE):
    load = Load(BackendKind.ENGINE, 100, 100, 0, 0, held)
    incarnation = Incarnation(VmId("engine-2"), 1)
    return ServerView(incarnation, ZoneId("z"), "", state, load, 0.1, True)


def test_permit_is_requested_once_and_released_after_the_load(permits):
    """Guards against a store budget that is used twice or not released."""
    requested = request(permits)
    assert permits.request(SPEC, ENTRIES, 0.1) == []
    grant = PermitGrant(requested.message.permit_id, True)
    assert permits.on_grant(requested.to, grant, 0.1) == [StartLoad(SPEC)]
    assert permits.on_grant(requested.to, grant, 0.1) == []
    loading = ResidentCopy(SPEC.name, SPEC.version, 60, CopyState.LOADING)
    assert permits.release_ended([loading]) == []
    loaded = ResidentCopy(SPEC.name, SPEC.version, 60, CopyState.LOADED)
    released = SendToEntry(requested.to, PermitRelease(grant.permit_id))
    assert permits.release_ended([loaded]) == [released]
    assert SPEC.name not in permits


def test_request_moves_from_a_silent_entry_to_another(permits):
    """Guards against a load that waits for a frozen entry, and its late grant."""
    first = request(permits)
    repeat_requests(permits, LATER_S)
    assert permits.tick(ENTRIES, [], PERMIT_RETRY_S) == []
    released, second = permits.tick(ENTRIES, [], LATER_S)
    late = PermitGrant(first.message.permit_id, True)
    unused = SendToEntry(first.to, PermitRelease(late.permit_id))
    assert released == unused
    assert second.to != first.to
    assert permits.on_grant(first.to, late, LATER_S) == [unused]
    grant = PermitGrant(second.message.permit_id, True)
    assert permits.on_grant(second.to, grant, LATER_S) == [StartLoad(SPEC)]


def test_refused_permit_may_be_requested_again(permits):
    """Guards against a model that is never loaded after one refusal."""
    requested = request(permits)
    assert (
        permits.on_grant(
            requested.to, PermitGrant(requested.message.permit_id, False), 0.1
        )
        == []
    )
    assert len(permits.request(SPEC, ENTRIES, 1.0)) == 1


def test_without_an_entry_the_permit_is_requested_later(permits):
    """Guards against a load that is dropped while no entry is connected."""
    assert permits.request(SPEC, [], 0.0) == []
    repeat_requests(permits, LATER_S)
    (requested,) = permits.tick(ENTRIES, [], LATER_S)
    assert requested.to in ENTRIES


@pytest.mark.parametrize(
    ("loss_until_s", "servers", "loads"),
    [
        (99.0, [], True),
        (99.0, [peer_server({"draft": "loading"})], True),
        (99.0, [peer_server({"draft": "loaded"}, VmState.GONE)], True),
        (99.0, [peer_server({"draft": "loaded"})], False),
        (None, [], False),
        (LATER_S - 0.1, [], False),
    ],
    ids=["nowhere", "loading", "gone", "served", "no-loss", "old-loss"],
)
def test_load_without_a_permit(permits, loss_until_s, servers, loads):
    """Guards against a model that stays unavailable as a lost entry held the budget."""
    if loss_until_s is not None:
        permits.on_loss(loss_until_s)
    request(permits)
    repeat_requests(permits, LATER_S)
    unpermitted = StartLoad(SPEC, permitted=False)
    assert unpermitted not in permits.tick(ENTRIES, servers, UNPERMITTED_LOAD_DELAY_S)
    assert (unpermitted in permits.tick(ENTRIES, servers, LATER_S)) == loads


@pytest.mark.parametrize("is_withheld", [True, False])
def test_load_without_a_permit_that_a_lost_server_may_hold(permits, is_withheld):
    """Guards against a model that waits until the permit of a lost load expires."""
    requested = request(permits)
    repeat_requests(permits, LATER_S)
    refused = PermitGrant(requested.message.permit_id, False, 0.05, is_withheld)
    assert permits.on_grant(requested.to, refused, LATER_S - 0.1) == []
    unpermitted = StartLoad(SPEC, permitted=False)
    assert (unpermitted in permits.tick(ENTRIES, [], LATER_S)) == is_withheld


def test_permit_that_no_decision_requests_is_withdrawn(permits):
    """Guards against a needless load of a model that another server has by now."""
    requested = request(permits)
    released = SendToEntry(requested.to, PermitRelease(requested.message.permit_id))
    assert permits.tick(ENTRIES, [], LOAD_REQUEST_TIMEOUT_S) == []
    assert permits.tick(ENTRIES, [], LOAD_REQUEST_TIMEOUT_S + 0.1) == [released]
    assert SPEC.name not in permits


def test_all_permits_are_released_after_a_crash(permits):
    """Guards against permits held for loads that a crash of the engine ended."""
    requested = request(permits)
    released = SendToEntry(requested.to, PermitRelease(requested.message.permit_id))
    assert permits.release_all() == [released]
    assert permits.release(SPEC.name) == []
