"""Whether callers of a draining entry have another entry to go to."""

from chervilgw.core.ids import VmId
from chervilgw.membership.peer_entries import PEER_SILENCE_TIMEOUT_S, make_peer_entries

ONE, TWO = VmId("entry-1"), VmId("entry-2")


def test_rolling_restart_can_leave_no_entry_that_takes_requests():
    """Guards against refused callers that are sent to entries that are all draining.

    Entries are stopped two seconds apart, and each takes no requests for seven.
    """
    peers = make_peer_entries()
    for step in range(20):
        now_s = step / 5
        peers.on_report(ONE, now_s < 1.0, now_s)
        peers.on_report(TWO, now_s < 3.0, now_s)
        assert peers.any_accepting(now_s) is (now_s < 3.0)
    assert peers.available_in_s(7.0, 3.8) == 1.0 + 7.0 - 3.8


def test_silent_entry_does_not_count_as_taking_requests():
    peers = make_peer_entries()
    peers.on_report(ONE, True, 0.0)
    assert peers.any_accepting(PEER_SILENCE_TIMEOUT_S - 0.1)
    assert not peers.any_accepting(PEER_SILENCE_TIMEOUT_S + 0.1)


def test_restarted_entry_is_not_waited_for():
    peers = make_peer_entries()
    peers.on_report(ONE, False, 1.0)
    peers.on_report(ONE, True, 5.0)
    assert peers.available_in_s(7.0, 5.0) is None
    assert peers.any_accepting(5.0)


def test_entry_overdue_after_its_restart_time_is_not_waited_for():
    peers = make_peer_entries()
    peers.on_report(ONE, False, 1.0)
    assert peers.available_in_s(7.0, 9.0) is None
