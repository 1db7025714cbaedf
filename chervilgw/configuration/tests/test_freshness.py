"""Which confirmations count as fresh, and from what time."""

from returns.pipeline import is_successful

from chervilgw.configuration.freshness import make_freshness

FLEET = ["e1", "e2", "b1", "b2"]


def passes(freshness, now_s, reached=FLEET):
    return is_successful(freshness.check(now_s, FLEET, reached))


def beat(freshness, peer, now_s, offset=5, age_s=1e9, echoed_s=None):
    echoed_s = now_s if echoed_s is None else echoed_s
    freshness.on_peer_heartbeat(peer, offset, age_s, now_s, echoed_s=echoed_s)


def start():
    freshness = make_freshness("e1")
    freshness.on_applied(5)
    return freshness


def test_a_quorum_of_half_the_others_replaces_the_log():
    """Guards against refusals in a log outage and against two partitions that pass."""
    freshness = start()
    beat(freshness, "e2", 10.0)
    assert not passes(freshness, 10.0)
    beat(freshness, "b1", 10.0)
    assert not passes(freshness, 10.0, reached=["e2"])
    assert passes(freshness, 10.0)
    assert not passes(freshness, 12.6)
    assert freshness.age_s(10.0) > 1e6


def test_a_peer_that_reads_the_log_is_enough():
    """Guards against refusals when only this process cannot reach the log."""
    freshness = start()
    beat(freshness, "e2", 10.0, age_s=0.5)
    assert passes(freshness, 11.9, reached=[])
    assert not passes(freshness, 12.1, reached=[])


def test_a_newer_peer_confirms_only_after_catching_up():
    """Guards against use of a state when a newer one is known to exist."""
    freshness = start()
    beat(freshness, "e2", 10.0, offset=6, age_s=0.0)
    assert not passes(freshness, 10.0)
    freshness.on_applied(6)
    assert passes(freshness, 10.0)


def test_a_quorum_does_not_hide_a_newer_configuration():
    """Guards against a majority of old peers that overrules one newer peer."""
    freshness = start()
    beat(freshness, "b2", 10.0, offset=6)
    for now_s in (10.0, 12.0, 14.0):
        beat(freshness, "e2", now_s)
        beat(freshness, "b1", now_s)
        assert passes(freshness, now_s) == (now_s < 12.5)


def test_evidence_from_before_a_pause_does_not_count():
    """Guards against buffered heartbeats that hide a key revoked in the pause."""
    freshness = start()
    freshness.on_log_read(9.0)
    freshness.on_pause_detected(10.0)
    freshness.on_log_read(9.5)
    beat(freshness, "e2", 10.1, age_s=0.0, echoed_s=9.9)
    beat(freshness, "b1", 10.1, age_s=0.5, echoed_s=10.05)
    assert not passes(freshness, 10.1)
    freshness.on_log_read(10.2)
    assert passes(freshness, 10.3)


def test_a_quorum_is_as_old_as_its_oldest_needed_member():
    """Guards against counting a quorum from its most recent member."""
    freshness = start()
    beat(freshness, "e2", 10.0)
    beat(freshness, "b1", 12.0)
    assert passes(freshness, 12.4)
    assert not passes(freshness, 12.6)


def test_a_quorum_does_not_confirm_an_empty_configuration():
    """Guards against rejecting all keys as wrong after a restart without the log."""
    freshness = make_freshness("e1")
    for peer in ("e2", "b1"):
        beat(freshness, peer, 10.0, offset=-1)
    assert not passes(freshness, 10.0)
    freshness.on_log_read(10.0)
    assert passes(freshness, 10.0)
