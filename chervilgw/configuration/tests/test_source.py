"""Cases of the follower that the state machine rarely reaches."""

import pytest

from chervilgw.configuration import (
    Change,
    Kind,
    change_record,
    empty_state,
    fold,
    to_snapshot,
)
from chervilgw.configuration import outputs as out
from chervilgw.configuration.source import CHANGE_TIMEOUT_S, make_config_follower

VALUE = {"rate_tokens_per_s": 1, "burst_tokens": 1}


def change(number):
    name = f"c{number}"
    return Change(name, Kind.CUSTOMER, name, 0, VALUE, "ann", "", 1)


RECORDS = [(n, change_record(change(n))) for n in range(12)]


def state_at(offset):
    state = empty_state()
    for number, record in RECORDS[: offset + 1]:
        state, _ = fold(state, number, record)
    return state


def follower_at(offset):
    follower = make_config_follower(0.0, 5)
    follower.tick(0.0)
    follower.on_log_records(0, offset + 1, RECORDS[: offset + 1], 0.0)
    assert follower.state.offset == offset
    return follower


def test_an_older_snapshot_is_ignored():
    """Guards against a late peer message that reverts accepted changes."""
    follower = follower_at(5)
    assert follower.on_peer_snapshot(to_snapshot(state_at(2)), 1.0) == []
    assert follower.state == state_at(5)


@pytest.mark.parametrize(
    ("after", "records"), [(4, RECORDS[5:7]), (2, RECORDS[4:7]), (2, [])]
)
def test_records_behind_a_gap_are_not_applied(after, records):
    """Guards against a state that lacks a change in the middle."""
    follower = follower_at(2)
    follower.on_peer_records(after, records, 1.0)
    assert follower.state == state_at(2)
    follower.tick(1.0)
    follower.on_log_records(0, 12, RECORDS[4:7], 1.0)
    assert follower.state == state_at(2)


def test_a_snapshot_is_not_used_if_later_records_are_dropped():
    """Guards against a state without the records between the snapshot and the log."""
    follower = make_config_follower(0.0, 5)
    follower.tick(0.0)
    log = [(8, to_snapshot(state_at(3))), (9, to_snapshot(state_at(7)))]
    follower.on_log_records(8, 10, log[:1], 0.0)
    assert follower.state.offset == -1
    outputs = follower.on_log_records(8, 10, log[1:], 0.0)
    assert follower.state == state_at(7)
    assert out.ReadLog(8) in outputs


def test_the_scan_for_a_snapshot_advances():
    """Guards against a scan that reads the same part of the log forever."""
    follower = make_config_follower(0.0, 5)
    follower.tick(0.0)
    assert out.ReadLog(7) in follower.on_log_records(5, 12, RECORDS[5:7], 0.0)


def test_a_lost_answer_is_retried_with_the_same_id_and_then_undecided():
    """Guards against dropping or rejecting a change after an unknown outcome."""
    follower = follower_at(-1)
    (request,) = follower.submit(change(0), 0.0)
    follower.on_append_result(request.change_id, out.AppendResult.UNKNOWN, 0.0)
    assert request in follower.tick(1.0)
    follower.on_append_result(request.change_id, out.AppendResult.REFUSED, 1.0)
    kinds = [type(output) for output in follower.tick(CHANGE_TIMEOUT_S)]
    assert out.Undecided in kinds and out.Rejected not in kinds


def test_one_snapshot_is_written_when_due_and_none_after_another_writer():
    """Guards against too many snapshots in the log and against none."""
    follower = follower_at(5)
    (written,) = [e for e in follower.tick(0.0) if isinstance(e, out.WriteSnapshot)]
    assert written.record["offset"] == 5
    follower.tick(1.0)
    follower.on_log_records(0, 7, [(6, written.record)], 1.0)
    assert follower.state.snapshot_covers == 5
    for now_s in (2.0, 60.0):
        assert not [e for e in follower.tick(now_s) if isinstance(e, out.WriteSnapshot)]


def test_changes_are_rejected_while_the_log_is_down():
    """Guards against a change that takes effect after it was reported as rejected."""
    follower = follower_at(2)
    follower.tick(1.0)
    follower.on_log_failed(1.0)
    (answer,) = follower.submit(change(3), 1.0)
    assert isinstance(answer, out.Rejected)


@pytest.mark.parametrize(("next_offset", "confirmed"), [(3, True), (5, False)])
def test_only_a_read_that_reaches_the_end_confirms(next_offset, confirmed):
    """Guards against confirming a state that is behind the log."""
    follower = make_config_follower(0.0, 5)
    follower.tick(0.0)
    outputs = follower.on_log_records(0, next_offset, RECORDS[:3], 0.2)
    assert (out.Confirmed(0.0) in outputs) == confirmed
    assert (out.ReadLog(3) in outputs) != confirmed


def test_a_log_that_ends_below_the_state_confirms_nothing():
    """Guards against a confirmation by a log replica that is behind this process."""
    follower = follower_at(5)
    follower.tick(1.0)
    assert follower.on_log_records(0, 3, [], 1.0) == []
    assert follower.state == state_at(5)
