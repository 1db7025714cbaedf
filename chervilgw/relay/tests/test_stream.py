"""Reassembly of answers over a network that delays, reorders and duplicates."""

import dataclasses

import pytest
import xxhash
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import AttemptQuery, Chunk, End, Refused, Started
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import BackendKind, RefusalReason, RunState
from chervilgw.relay import (
    Complete,
    Deliver,
    Fail,
    Resume,
    SendCancel,
    SendQuery,
    make_answer_store,
    make_stream,
)

ENTRY = Incarnation(VmId("e1"), 1)
FIRST, SECOND = RequestId(ENTRY, 1), RequestId(ENTRY, 2)
TOKENS = ["He", "l", "lo", " ", "w", "ö", "r", "", "ld", "!"]
EXPECTED = "".join(TOKENS)


def chunk(position, request_id=FIRST, texts=TOKENS):
    return Chunk(request_id, position, 1, texts[position].encode())


def end(request_id=FIRST, start=0, texts=TOKENS):
    checksum = xxhash.xxh64_intdigest("".join(texts[start:]).encode())
    return End(request_id, 200, (), len(texts), checksum, 3, "stop")


def refused(run, reason=RefusalReason.DRAINING, request_id=FIRST):
    return Refused(request_id, reason, run, "detail")


def feed(stream, *messages):
    return [out for message in messages for out in stream.on_message(message, 0.0)]


def kinds(outputs):
    return [type(output) for output in outputs]


def test_resume_delivers_each_token_once():
    """Guards against lost or repeated tokens when a second attempt continues."""
    stream = make_stream(FIRST)
    feed(stream, *[chunk(i) for i in range(4)])
    stop, resume = stream.on_server_lost("lost")
    assert (resume.position, resume.text) == (4, "".join(TOKENS[:4]))
    assert stop.message.request_id == FIRST
    stream.next_attempt(SECOND)
    outputs = feed(stream, chunk(4), *[chunk(i, SECOND) for i in range(4, 10)])
    assert b"".join(out.data for out in outputs).decode() == "".join(TOKENS[4:])
    [complete] = feed(stream, end(SECOND, 4))
    assert (complete.tokens, complete.prompt_tokens) == (10, 3)


def test_missing_chunk_is_queried_once_and_then_ends_the_attempt():
    """Guards against repeated queries, and an endless wait for a lost chunk."""
    stream = make_stream(FIRST, gap_wait_s=2.0)
    outputs = feed(stream, chunk(0), chunk(2), chunk(3))
    assert outputs[1:] == [SendQuery(AttemptQuery(FIRST, 1))]
    assert stream.tick(1.9) == []
    assert kinds(stream.tick(2.0)) == [SendCancel, Resume]


def test_reordered_chunks_close_the_gap():
    """Guards against a time-out although all chunks arrived out of order."""
    stream = make_stream(FIRST)
    feed(stream, chunk(2), chunk(1))
    assert feed(stream, chunk(0)) == [Deliver(text.encode(), 1) for text in TOKENS[:3]]
    assert stream.tick(99.0) == []


def test_end_waits_for_missing_chunks():
    """Guards against completing a stream whose last tokens were lost."""
    stream = make_stream(FIRST)
    outputs = feed(stream, *[chunk(i) for i in range(9)], end())
    assert outputs[-1] == SendQuery(AttemptQuery(FIRST, 9))
    assert kinds(feed(stream, chunk(9))) == [Deliver, Complete]


@pytest.mark.parametrize("change", [{"checksum": 1}, {"length": 9}])
def test_wrong_end_marker_fails_a_delivered_stream(change):
    """Guards against retrying an answer whose damaged text the caller has."""
    stream = make_stream(FIRST)
    feed(stream, *[chunk(i) for i in range(10)])
    outputs = feed(stream, dataclasses.replace(end(), **change))
    assert kinds(outputs) == [SendCancel, Fail]
    assert outputs[1].refusal.run is RunState.RUN


def test_wrong_end_marker_restarts_a_buffered_answer():
    """Guards against damaged text in an answer that can still be repeated."""
    stream = make_stream(FIRST, deliver=False)
    damaged = Chunk(FIRST, 9, 1, b"")
    _, resume = feed(stream, *[chunk(i) for i in range(9)], damaged, end())
    assert (resume.position, resume.text) == (0, "")


@pytest.mark.parametrize(
    "bad",
    [
        Chunk(FIRST, 1, 2, b"overlaps"),
        Chunk(FIRST, 2, 0, b"no count"),
        Chunk(FIRST, 2, -1, b"x"),
        Chunk(FIRST, 2, 1, b"\xff"),
    ],
)
def test_malformed_chunk_ends_the_attempt(bad):
    """Guards against damaged chunks in the answer."""
    stream = make_stream(FIRST)
    feed(stream, chunk(0), chunk(1))
    assert kinds(feed(stream, bad)) == [SendCancel, Resume]


@pytest.mark.parametrize("deliver", [False, True])
def test_too_long_answer_fails(deliver):
    """Guards against unbounded memory for one answer."""
    stream = make_stream(FIRST, deliver=deliver, limit_bytes=300)
    outputs = feed(stream, *[Chunk(FIRST, i, 1, b"x" * 50) for i in range(10)])
    assert kinds(outputs)[-1] is Fail and kinds(outputs).count(Fail) == 1


def service_parts():
    return [Chunk(FIRST, 0, 3, b"abc"), Chunk(FIRST, 3, 2, b"de")]


def service_end():
    return End(FIRST, 201, (("a", "b"),), 5, xxhash.xxh64_intdigest(b"abcde"))


def test_service_body_is_delivered_whole_after_its_end_marker():
    """Guards against a part of a service's answer before its checksum."""
    stream = make_stream(FIRST, BackendKind.SERVICE)
    assert feed(stream, *service_parts()) == []
    [complete] = feed(stream, service_end())
    assert (complete.status, complete.body, complete.tokens) == (201, b"abcde", 0)


@pytest.mark.parametrize(
    ("idempotent", "message", "expected"),
    [
        (False, refused(RunState.NOT_RUN), Resume),
        (False, refused(RunState.UNKNOWN), Fail),
        (True, refused(RunState.UNKNOWN), Resume),
        (True, refused(RunState.NOT_RUN, RefusalReason.CONFLICT), Fail),
    ],
)
def test_service_request_is_repeated_only_if_safe(idempotent, message, expected):
    """Guards against running a non-idempotent request twice."""
    stream = make_stream(FIRST, BackendKind.SERVICE, idempotent=idempotent)
    assert kinds(feed(stream, message)) == [expected]


def test_booking_is_not_repeated_after_a_server_loss():
    """Guards against a second booking when the first may have run."""
    stream = make_stream(FIRST, BackendKind.SERVICE, idempotent=False)
    stop, fail = stream.on_server_lost("lost")
    assert fail.refusal.run is RunState.UNKNOWN


def test_not_run_after_started_counts_as_unknown():
    """Guards against repeating a request that started but was reported as not run."""
    stream = make_stream(FIRST, BackendKind.SERVICE, idempotent=False)
    [fail] = feed(stream, Started(FIRST), refused(RunState.NOT_RUN))
    assert fail.refusal.run is RunState.UNKNOWN


def test_later_not_run_does_not_hide_an_earlier_attempt():
    """Guards against "not run" for a request whose first attempt may have run."""
    stream = make_stream(FIRST)
    stream.on_server_lost("lost")
    stream.next_attempt(SECOND)
    [resume] = feed(stream, refused(RunState.NOT_RUN, request_id=SECOND))
    [fail] = stream.give_up(resume.cause)
    assert fail.refusal.run is RunState.UNKNOWN


def test_single_attempt_that_did_not_run_stays_not_run():
    """Guards against "unknown" for a request that the caller may safely repeat."""
    stream = make_stream(FIRST)
    [resume] = feed(stream, refused(RunState.NOT_RUN))
    assert stream.give_up(resume.cause)[0].refusal.run is RunState.NOT_RUN


def test_queued_attempt_survives_a_lost_connection():
    """Guards against a time-out for an attempt that is still queued."""
    stream = make_stream(FIRST, gap_wait_s=2.0)
    store = make_answer_store(1000, 10)
    store.begin(FIRST)
    [query] = stream.on_connection_lost(0.0)
    assert feed(stream, *store.look_up(query.message, 0.1)) == []
    assert stream.tick(5.0) == []


class Network(RuleBasedStateMachine):
    """One answer over a faulty network, with engines that fail in mid-stream.

    Invariant: the caller's text is a prefix of the expected text, and a complete
    answer is the expected text.
    """

    deliver = True

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.counter = 1
        self.id = RequestId(ENTRY, 1)
        self.stream = make_stream(self.id, deliver=self.deliver, gap_wait_s=2.0)
        self.store = make_answer_store(10_000_000, 1000)
        self.in_transit = []
        self.text = ""
        self.tokens = 0
        self.result = None
        self.begin(0)

    def begin(self, position):
        self.start = self.sent = position
        self.alive = True
        self.store.begin(self.id, position)
        self.send(Started(self.id))

    def send(self, message):
        self.store.record(message, self.now_s)
        self.in_transit.append(message)

    def apply(self, outputs):
        for output in outputs:
            assert self.result is None
            if isinstance(output, Deliver):
                self.text += output.data.decode()
                self.tokens += output.count
            elif isinstance(output, SendQuery):
                self.in_transit.append(output.message)
            elif isinstance(output, Resume):
                assert output.text == "".join(TOKENS[: output.position])
                self.counter += 1
                self.id = RequestId(ENTRY, self.counter)
                self.stream.next_attempt(self.id)
                self.begin(output.position)
            elif isinstance(output, Complete | Fail):
                self.result = output

    def receive(self, message):
        if isinstance(message, AttemptQuery):
            if self.alive or message.request_id != self.id:
                self.in_transit += self.store.look_up(message, self.now_s)
        else:
            self.apply(self.stream.on_message(message, self.now_s))

    running = precondition(lambda self: self.alive and self.sent <= len(TOKENS))
    has_messages = precondition(lambda self: self.in_transit)

    @running
    @rule(count=st.integers(1, 3))
    def generate(self, count):
        if self.sent == len(TOKENS):
            self.send(end(self.id, self.start))
            self.sent += 1
            return
        texts = TOKENS[self.sent : self.sent + count]
        data = "".join(texts).encode()
        self.send(Chunk(self.id, self.sent, len(texts), data))
        self.sent += len(texts)

    @has_messages
    @rule()
    def deliver_first(self):
        self.receive(self.in_transit.pop(0))

    @has_messages
    @rule(data=st.data())
    def deliver_any(self, data):
        self.receive(
            self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))
        )

    @has_messages
    @rule(data=st.data())
    def duplicate_message(self, data):
        self.in_transit.append(data.draw(st.sampled_from(self.in_transit)))

    @has_messages
    @rule(data=st.data())
    def lose_message(self, data):
        self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))

    @rule(kept=st.integers(0, 5))
    def connection_lost(self, kept):
        """Drop messages in transit; the entry queries over a new connection."""
        del self.in_transit[kept:]
        self.apply(self.stream.on_connection_lost(self.now_s))

    @running
    @rule(reported=st.booleans())
    def engine_lost(self, reported):
        self.alive = False
        if reported:
            self.in_transit.append(
                refused(RunState.RUN, RefusalReason.BACKEND_LOST, self.id)
            )

    @rule(position=st.integers(0, 9), number=st.integers(100, 102))
    def unrelated_message(self, position, number):
        request_id = RequestId(ENTRY, number)
        self.receive(Chunk(request_id, position, 1, b"foreign"))
        self.receive(End(request_id, 200, (), position, 0))

    @rule(step_s=st.floats(0.1, 3.0))
    def advance_time(self, step_s):
        self.now_s += step_s
        self.apply(self.stream.tick(self.now_s))

    @rule()
    def give_up(self):
        cause = Refusal(RefusalReason.BACKEND_LOST, RunState.UNKNOWN, "no budget")
        if self.counter > 3:
            self.apply(self.stream.give_up(cause))

    @invariant()
    def text_is_a_prefix(self):
        assert self.text == "".join(TOKENS[: self.tokens])
        if isinstance(self.result, Complete):
            text = self.text if self.deliver else self.result.body.decode()
            assert text == EXPECTED and self.result.tokens == len(TOKENS)

    def teardown(self):
        """Check that the answer ends correctly without further faults."""
        for _ in range(200):
            if self.result is not None:
                break
            if self.alive and self.sent <= len(TOKENS):
                self.generate(3)
            while self.in_transit and self.result is None:
                self.receive(self.in_transit.pop(0))
            self.now_s += 1.0
            self.apply(self.stream.tick(self.now_s))
            if not self.alive and self.result is None:
                self.apply(self.stream.on_server_lost("lost"))
        assert self.result is not None
        self.text_is_a_prefix()


class BufferedNetwork(Network):
    """The same for an answer that is buffered until it is complete."""

    deliver = False


TestNetwork = Network.TestCase
TestBufferedNetwork = BufferedNetwork.TestCase
