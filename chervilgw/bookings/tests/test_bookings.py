"""At most one run of a booking: tables for the fold, and single cases."""

import pytest

from chervilgw.bookings import (
    Answer,
    Append,
    Booking,
    Intent,
    Read,
    RecordedAnswer,
    Refuse,
    Result,
    Run,
    empty_state,
    fold,
    from_value,
    make_bookings,
    to_value,
)
from chervilgw.bookings.decisions import MAX_BODY_BYTES
from chervilgw.bookings.fold import CLOCK_MARGIN_MS
from chervilgw.core.ids import Incarnation, Offset, RequestId, VmId
from chervilgw.core.refusals import make_refusal
from chervilgw.core.states import RefusalReason, RunState

ENTRY = Incarnation(VmId("e1"), 1)
LOCAL = Incarnation(VmId("b1"), 1)
ANSWER = RecordedAnswer(201, (("a", "b"),), b"booked")
WINDOW_S = 3600
A, B, C = (RequestId(ENTRY, number) for number in (1, 2, 3))


def intent(attempt, time_ms=0, content="c"):
    return Intent("d", content, attempt, LOCAL, time_ms)


def result(attempt, run):
    answer = ANSWER if run is RunState.RUN else None
    return Result("d", attempt, run, answer)


def winner(records):
    state = empty_state(WINDOW_S)
    for offset, record in enumerate(records):
        state = fold(state, Offset(offset), record)
    return state.entries["d"].winner


NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RUN, RunState.UNKNOWN
LATE = WINDOW_S * 1000 + 1


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([intent(A), intent(B)], A),
        ([intent(A), result(A, NOT_RUN)], None),
        ([intent(A), result(A, NOT_RUN), intent(B)], B),
        ([intent(A), intent(B), result(A, NOT_RUN)], None),
        ([intent(A), result(A, NOT_RUN), intent(A)], None),
        ([result(A, NOT_RUN), intent(A), intent(B)], B),
        ([intent(A), result(B, NOT_RUN), intent(C)], A),
        ([intent(A), result(A, RAN), result(A, NOT_RUN), intent(B)], A),
        ([intent(A), result(A, UNKNOWN), intent(B)], A),
        ([intent(A), None, intent(B)], A),
        ([intent(A), intent(B, LATE - 1)], A),
        ([intent(A), intent(B, LATE)], B),
        ([intent(A), intent(B, LATE), intent(A, LATE)], B),
        ([intent(A, CLOCK_MARGIN_MS + 1), result(A, NOT_RUN), intent(B)], None),
    ],
)
def test_fold(records, expected):
    assert winner(records) == expected


def test_fold_ignores_offsets_it_has_applied():
    state = fold(empty_state(WINDOW_S), Offset(5), intent(A))
    assert fold(state, Offset(5), result(A, NOT_RUN)).entries["d"].winner == A


def test_fold_drops_old_digests():
    state = empty_state(1)
    for number in range(5000):
        record = Intent(
            f"d{number}", "c", RequestId(ENTRY, number), LOCAL, number * 1000
        )
        fold(state, Offset(number), record)
    assert len(state.entries) <= 2 * CLOCK_MARGIN_MS / 1000 + 2


@pytest.mark.parametrize("record", [intent(A, 7), result(A, RAN), result(B, NOT_RUN)])
def test_record_round_trip(record):
    assert from_value(to_value(record)) == record


@pytest.mark.parametrize(
    "change",
    [{"type": 5}, {"origin": 5}, {"counter": "x"}, {"run": "x"}, {"headers": [5]}],
)
def test_malformed_record_is_none(change):
    assert from_value(to_value(result(A, RAN)) | change) is None


class Log:
    """Log that carries out operations at once."""

    def __init__(self):
        self.records = []

    def drive(self, bookings, outputs, now_s=0.0):
        """Carry out appends and reads; return the other outputs."""
        found, outputs = [], list(outputs)
        while outputs:
            output = outputs.pop(0)
            if isinstance(output, Append):
                self.records += output.records
                outputs += bookings.on_append_answer(output, now_s)
            elif isinstance(output, Read):
                records = list(enumerate(self.records))[output.start :]
                outputs += bookings.on_records(output, records, now_s)
            else:
                found.append(output)
        return found


def booking(attempt, content="c", time_ms=0):
    return Booking("d", content, attempt, time_ms)


def test_repeat_gets_the_recorded_answer_from_another_sidecar():
    log, first = Log(), make_bookings(LOCAL)
    second = make_bookings(Incarnation(VmId("b2"), 1))
    assert log.drive(first, first.request(booking(A), 0)) == [Run(A)]
    [refuse] = log.drive(second, second.request(booking(B), 0))
    assert refuse.refusal.reason is RefusalReason.DUPLICATE_REQUEST
    assert (refuse.refusal.run, refuse.refusal.retry_after_s) == (UNKNOWN, 1.0)
    assert log.drive(first, first.on_finished(A, ANSWER, 0)) == [Answer(A, ANSWER)]
    log.drive(second, second.tick(5))
    assert log.drive(second, second.request(booking(C), 5)) == [Answer(C, ANSWER)]


@pytest.mark.parametrize("finished", [False, True])
def test_other_content_conflicts(finished):
    log, bookings = Log(), make_bookings(LOCAL)
    log.drive(bookings, bookings.request(booking(A), 0))
    if finished:
        log.drive(bookings, bookings.on_finished(A, ANSWER, 0))
    [refuse] = log.drive(bookings, bookings.request(booking(B, "other"), 0))
    assert (refuse.refusal.reason, refuse.refusal.run) == (
        RefusalReason.CONFLICT,
        NOT_RUN,
    )


def test_too_large_answer_is_unknown_to_repeats():
    log, bookings = Log(), make_bookings(LOCAL)
    log.drive(bookings, bookings.request(booking(A), 0))
    large = RecordedAnswer(200, (), b"x" * (MAX_BODY_BYTES + 1))
    assert log.drive(bookings, bookings.on_finished(A, large, 0)) == [Answer(A, large)]
    [refuse] = log.drive(bookings, bookings.request(booking(B), 0))
    assert refuse.refusal.run is UNKNOWN


def test_release_lets_the_next_attempt_run():
    log, bookings = Log(), make_bookings(LOCAL)
    log.drive(bookings, bookings.request(booking(A), 0))
    refusal = make_refusal(RefusalReason.QUEUE_FULL, "full")
    assert log.drive(bookings, bookings.refuse(A, refusal, 0)) == [Refuse(A, refusal)]
    assert log.drive(bookings, bookings.request(booking(B), 0)) == [Run(B)]


def test_refusal_of_a_run_that_did_not_begin_waits_for_its_release():
    """Guards against a 409 from the second server for a booking that never ran.

    If the refusal precedes the record that releases the key, the server that the entry
    tries next still finds the intent of the first one.
    """
    log, first = Log(), make_bookings(LOCAL)
    second = make_bookings(Incarnation(VmId("b2"), 1))
    assert log.drive(first, first.request(booking(A), 0)) == [Run(A)]
    refusal = make_refusal(RefusalReason.BACKEND_LOST, "refused the connection", 0.0)
    outputs = first.refuse(A, refusal, 1.0)
    assert not [output for output in outputs if isinstance(output, Refuse)]
    assert log.drive(first, outputs, 1.0) == [Refuse(A, refusal)]
    assert log.drive(second, second.request(booking(B), 1.0), 1.0) == [Run(B)]


def test_digest_released_since_the_last_read_is_free():
    """Guards against a 409 from a sidecar that has read the intent, not its release."""
    log, first = Log(), make_bookings(LOCAL)
    second = make_bookings(Incarnation(VmId("b2"), 1))
    assert log.drive(first, first.request(booking(A), 0)) == [Run(A)]
    log.drive(second, second.tick(1.0), 1.0)
    assert second.state.entries["d"].winner == A
    refusal = make_refusal(RefusalReason.BACKEND_LOST, "refused the connection", 0.0)
    assert log.drive(first, first.refuse(A, refusal, 1.1)) == [Refuse(A, refusal)]
    assert log.drive(second, second.request(booking(B), 1.2), 1.2) == [Run(B)]


def test_refusal_does_not_wait_for_a_log_that_fails():
    """Guards against a caller that waits through an outage of the log."""
    log, bookings = Log(), make_bookings(LOCAL, wait_s=2.0, retry_s=0.25)
    log.drive(bookings, bookings.request(booking(A), 0))
    refusal = make_refusal(RefusalReason.BACKEND_LOST, "refused the connection", 0.0)
    [append, *_] = bookings.refuse(A, refusal, 1.0)
    bookings.on_log_failed(append, 1.5)
    [append, *_] = bookings.tick(1.8)
    assert Refuse(A, refusal) in bookings.tick(3.0)
    outputs = bookings.on_append_answer(append, 3.1)
    assert not [output for output in outputs if isinstance(output, Refuse)]


def test_requests_during_an_append_share_the_next_one():
    bookings = make_bookings(LOCAL)
    [append, _] = bookings.request(booking(RequestId(ENTRY, 0)), 0)
    for number in range(1, 300):
        item = Booking(f"d{number}", "c", RequestId(ENTRY, number), 0)
        assert bookings.request(item, 0) == []
    [following] = bookings.on_append_answer(append, 0)
    assert len(following.records) == 299


def test_withdrawn_attempt_does_not_run_when_its_append_arrives_late():
    """Guards against "not run" for a booking whose lost append took effect."""
    log, bookings = Log(), make_bookings(LOCAL, wait_s=2.0)
    append, read = bookings.request(booking(A), 0)
    bookings.on_records(read, [], 0)
    [read] = bookings.on_log_failed(append, 1.0)
    bookings.on_records(read, [], 1.0)
    refuse, *outputs = bookings.tick(2.0)
    assert refuse.refusal.reason is RefusalReason.LOG_UNAVAILABLE
    assert refuse.refusal.run is NOT_RUN
    log.records += append.records
    assert log.drive(bookings, outputs, 2.0) == []
    assert log.drive(bookings, bookings.request(booking(B), 3.0), 3.0) == [Run(B)]
