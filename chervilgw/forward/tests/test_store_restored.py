"""View of an entry after the store came back from a copy."""

import time
from dataclasses import replace

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.forward_messages import EvacuatedZones
from chervilgw.core.ids import OFFSET_BITS
from chervilgw.forward import events
from chervilgw.runtime.events import clock_tick

from .test_evacuation import DEPLOYMENT, FAR, NEAR, SERVICES, Entry

COPIED = 2**OFFSET_BITS


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


def test_evacuation_that_the_copy_lacks_stays_in_force():
    """Guards against requests to a zone until its evacuation is written again."""
    entry = Entry("desk")
    entry.evacuate("a", 5)
    entry.fire(events.store_restored(), "*")
    entry.fire(events.evacuations_listed({}, COPIED + 3), "*")
    entry.request("/p/1")
    entry.evacuate("a", COPIED + 3)
    entry.request("/p/2")
    entry.evacuate("a", COPIED + 4, is_evacuated=False)
    entry.request("/p/3")
    assert entry.called() == [FAR, FAR, NEAR]


def test_evacuation_stays_in_force_for_an_entry_that_has_not_seen_the_restore():
    """Guards against a peer's set of the new era, which the copy made smaller."""
    entry = Entry("desk")
    entry.evacuate("a", 5)
    entry.report(EvacuatedZones({}, COPIED + 3))
    entry.request("/p/1")
    assert entry.called() == [FAR]


def test_zone_takes_requests_if_its_evacuation_is_not_written_again(monkeypatch):
    """Guards against a zone that stays out of use for good."""
    entry = Entry("desk")
    entry.evacuate("a", 5)
    entry.fire(events.evacuations_listed({}, COPIED + 3), "*")
    late_s = time.monotonic() + 3600.0
    monkeypatch.setattr(time, "monotonic", lambda: late_s)
    entry.fire(clock_tick(late_s, 0.0), "*")
    entry.request("/p/1")
    assert entry.called() == [NEAR]


def last_set(entry):
    entry.gateway._report(time.monotonic())
    entry.fire(events.store_recovered(), "*")
    return entry.sent("entry_report_due")[-1][0].evacuated


def test_entry_that_starts_after_the_restore_learns_of_an_evacuation_from_a_peer():
    """Guards against requests to the zone from an entry that knows only the copy."""
    peer, entry = Entry("desk"), Entry("desk")
    peer.evacuate("a", 5)
    for each in (peer, entry):
        each.fire(events.evacuations_listed({}, COPIED + 3), "*")
    entry.report(last_set(peer))
    entry.request("/p/1")
    assert entry.called() == [FAR]


def test_revoked_zone_is_not_evacuated_again_by_a_peer_that_retains_it():
    """Guards against entries that evacuate a zone for each other without end."""
    peer, entry = Entry("desk"), Entry("desk")
    peer.evacuate("a", 5)
    peer.fire(events.evacuations_listed({}, COPIED + 3), "*")
    entry.fire(events.evacuations_listed({}, COPIED + 3), "*")
    entry.evacuate("a", COPIED + 3)
    entry.evacuate("a", COPIED + 4, is_evacuated=False)
    entry.report(last_set(peer))
    entry.request("/p/1")
    assert entry.called() == [NEAR]
