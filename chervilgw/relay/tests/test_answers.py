"""The record of recent answers: look-ups, and its bounds."""

from hypothesis import given
from hypothesis import strategies as st

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import AttemptQuery, Chunk, End, Refused, Started
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.relay import make_answer_store
from chervilgw.relay.answers import ANSWER_OVERHEAD_BYTES

ENTRY = Incarnation(VmId("e1"), 1)


def rid(number):
    return RequestId(ENTRY, number)


def record(store, number, chunks, ended=True, now_s=0.0):
    store.begin(rid(number))
    store.record(Started(rid(number)), now_s)
    for position in range(chunks):
        store.record(Chunk(rid(number), position, 1, b"x" * 100), now_s)
    if ended:
        store.record(End(rid(number), 200, (), chunks, 0), now_s)


def look_up(store, number, position=0, now_s=0.0):
    return store.look_up(AttemptQuery(rid(number), position), now_s)


def test_finished_answer_from_a_position():
    store = make_answer_store(100_000, 10)
    record(store, 1, 3)
    *chunks, end = look_up(store, 1, 1)
    assert [chunk.position for chunk in chunks] == [1, 2]
    assert isinstance(end, End)


def test_running_answer_starts_with_started():
    store = make_answer_store(100_000, 10)
    record(store, 1, 2, ended=False)
    started, chunk = look_up(store, 1, 1)
    assert isinstance(started, Started) and chunk.position == 1


def test_refused_attempt_keeps_its_refusal():
    store = make_answer_store(100_000, 10)
    refusal = Refused(rid(1), RefusalReason.QUEUE_FULL, RunState.NOT_RUN, "full")
    store.begin(rid(1))
    store.record(refusal, 0.0)
    assert look_up(store, 1) == (refusal,)


def test_unknown_attempt_is_never_called_not_run():
    """Guards against "not run" for an attempt whose record was dropped."""
    store = make_answer_store(100_000, 10)
    record(store, 1, 1)
    for number, now_s in [(1, 10.0), (2, 0.0)]:
        [refusal] = look_up(store, number, now_s=now_s)
        assert refusal.run is RunState.UNKNOWN


def test_second_dispatch_of_an_attempt_is_seen():
    store = make_answer_store(100_000, 10)
    assert store.begin(rid(1)) and not store.begin(rid(1))
    store.record(End(rid(1), 200, (), 0, 0), 0.0)
    assert not store.begin(rid(1))


def test_running_answer_loses_its_oldest_parts_only():
    store = make_answer_store(2000, 10)
    record(store, 1, 20, ended=False)
    [refusal] = look_up(store, 1, 0)
    assert (refusal.reason, refusal.run) == (RefusalReason.BACKEND_LOST, RunState.RUN)
    assert [c.position for c in look_up(store, 1, 18)[1:]] == [18, 19]


@given(st.lists(st.tuples(st.integers(0, 30), st.booleans()), max_size=30))
def test_memory_is_bounded(answers):
    store = make_answer_store(10_000, 10)
    running = 0
    for number, (chunks, ended) in enumerate(answers):
        record(store, number, chunks, ended)
        running += not ended
        assert store.bytes <= max(10_000, (running + 1) * ANSWER_OVERHEAD_BYTES)
    store.tick(10.0)
    assert store.bytes <= max(10_000, running * ANSWER_OVERHEAD_BYTES)
