"""Reassembly: faults in a table, and a network that delays, crosses and doubles."""

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
    Ask,
    Complete,
    Deliver,
    Fail,
    Resume,
    Stop,
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


def test_gap_is_asked_for_once_and_then_lost():
    stream = make_stream(FIRST, gap_wait_s=2.0)
    outputs = feed(stream, chunk(0), chunk(2), chunk(3))
    assert outputs[1:] == [Ask(AttemptQuery(FIRST, 1))]
    assert stream.tick(1.9) == []
    assert kinds(stream.tick(2.0)) == [Stop, Resume]


def test_gap_closes_with_crossed_chunks():
    stream = make_stream(FIRST)
    feed(stream, chunk(2), chunk(1))
    assert feed(stream, chunk(0)) == [Deliver(text.encode(), 1) for text in TOKENS[:3]]
    assert stream.tick(99.0) == []


def test_end_waits_for_missing_chunks():
    """Guards against a stream whose last tokens were lost but that looks whole."""
    stream = make_stream(FIRST)
    outputs = feed(stream, *[chunk(i) for i in range(9)], end())
    assert outputs[-1] == Ask(AttemptQuery(FIRST, 9))
    assert kinds(feed(stream, chunk(9))) == [Deliver, Complete]


@pytest.mark.parametrize("change", [{"checksum": 1}, {"length": 9}])
def test_wrong_end_fails_a_delivered_stream(change):
    stream = make_stream(FIRST)
    feed(stream, *[chunk(i) for i in range(10)])
    outputs = feed(stream, dataclasses.replace(end(), **change))
    assert kinds(outputs) == [Stop, Fail]
    assert outputs[1].refusal.run is RunState.RUN


def test_wrong_end_starts_a_held_answer_over():
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
def test_malformed_chunk_loses_the_attempt(bad):
    stream = make_stream(FIRST)
    feed(stream, chunk(0), chunk(1))
    assert kinds(feed(stream, bad)) == [Stop, Resume]


@pytest.mark.parametrize("deliver", [False, True])
def test_too_long_answer_is_an_error(deliver):
    stream = make_stream(FIRST, deliver=deliver, limit_bytes=300)
    outputs = feed(stream, *[Chunk(FIRST, i, 1, b"x" * 50) for i in range(10)])
    assert kinds(outputs)[-1] is Fail and kinds(outputs).count(Fail) == 1


def service_parts():
    return [Chunk(FIRST, 0, 3, b"abc"), Chunk(FIRST, 3, 2, b"de")]


def service_end():
    return End(FIRST, 201, (("a", "b"),), 5, xxhash.xxh64_intdigest(b"abcde"))


def test_service_body_comes_whole_after_its_end():
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
def test_service_is_repeated_only_if_that_is_safe(idempotent, message, expected):
    stream = make_stream(FIRST, BackendKind.SERVICE, idempotent=idempotent)
    assert kinds(feed(stream, message)) == [expected]


def test_booking_is_not_repeated_after_a_silent_loss():
    stream = make_stream(FIRST, BackendKind.SERVICE, idempotent=False)
    stop, fail = stream.on_server_lost("lost")
    assert fail.refusal.run is RunState.UNKNOWN


def test_not_run_after_a_start_is_not_believed():
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


def test_never_dispatched_elsewhere_stays_not_run():
    stream = make_stream(FIRST)
    [resume] = feed(stream, refused(RunState.NOT_RUN))
    assert stream.give_up(resume.cause)[0].refusal.run is RunState.NOT_RUN


def test_queued_attempt_survives_a_lost_connection():
    stream = make_stream(FIRST, gap_wait_s=2.0)
    store = make_answer_store(1000, 10)
    store.begin(FIRST)
    [ask] = stream.on_connection_lost(0.0)
    assert feed(stream, *store.look_up(ask.message, 0.1)) == []
    assert stream.tick(5.0) == []


class Network(RuleBasedStateMachine):
    """One answer over a faulty network, with engines that die in mid-stream.

    Oracle: what the caller has is a prefix of the expected text, and a complete answer
    is the expected text.
    """

    deliver = True

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.counter = 1
        self.id = RequestId(ENTRY, 1)
        self.stream = make_stream(self.id, deliver=self.deliver, gap_wait_s=2.0)
        self.store = make_answer_store(10_000_000, 1000)
        self.flying = []
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
        self.flying.append(message)

    def take(self, outputs):
        for output in outputs:
            assert self.result is None
            if isinstance(output, Deliver):
                self.text += output.data.decode()
                self.tokens += output.count
            elif isinstance(output, Ask):
                self.flying.append(output.message)
            elif isinstance(output, Resume):
                assert output.text == "".join(TOKENS[: output.position])
                self.counter += 1
                self.id = RequestId(ENTRY, self.counter)
                self.stream.next_attempt(self.id)
                self.begin(output.position)
            elif isinstance(output, Complete | Fail):
                self.result = output

    def arrive(self, message):
        if isinstance(message, AttemptQuery):
            if self.alive or message.request_id != self.id:
                self.flying += self.store.look_up(message, self.now_s)
        else:
            self.take(self.stream.on_message(message, self.now_s))

    running = precondition(lambda self: self.alive and self.sent <= len(TOKENS))
    some_flying = precondition(lambda self: self.flying)

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

    @some_flying
    @rule()
    def arrive_first(self):
        self.arrive(self.flying.pop(0))

    @some_flying
    @rule(data=st.data())
    def arrive_any(self, data):
        self.arrive(self.flying.pop(data.draw(st.integers(0, len(self.flying) - 1))))

    @some_flying
    @rule(data=st.data())
    def double(self, data):
        self.flying.append(data.draw(st.sampled_from(self.flying)))

    @some_flying
    @rule(data=st.data())
    def lose_message(self, data):
        self.flying.pop(data.draw(st.integers(0, len(self.flying) - 1)))

    @rule(keep=st.integers(0, 5))
    def connection_lost(self, keep):
        """Truncate what is under way; the entry asks over a new connection."""
        del self.flying[keep:]
        self.take(self.stream.on_connection_lost(self.now_s))

    @running
    @rule(told=st.booleans())
    def engine_lost(self, told):
        self.alive = False
        if told:
            self.flying.append(
                refused(RunState.RUN, RefusalReason.BACKEND_LOST, self.id)
            )

    @rule(position=st.integers(0, 9), number=st.integers(100, 102))
    def foreign(self, position, number):
        request_id = RequestId(ENTRY, number)
        self.arrive(Chunk(request_id, position, 1, b"foreign"))
        self.arrive(End(request_id, 200, (), position, 0))

    @rule(step_s=st.floats(0.1, 3.0))
    def time(self, step_s):
        self.now_s += step_s
        self.take(self.stream.tick(self.now_s))

    @rule()
    def give_up(self):
        cause = Refusal(RefusalReason.BACKEND_LOST, RunState.UNKNOWN, "no budget")
        if self.counter > 3:
            self.take(self.stream.give_up(cause))

    @invariant()
    def text_is_a_prefix(self):
        assert self.text == "".join(TOKENS[: self.tokens])
        if isinstance(self.result, Complete):
            text = self.text if self.deliver else self.result.body.decode()
            assert text == EXPECTED and self.result.tokens == len(TOKENS)

    def teardown(self):
        """Without further faults the answer ends, and ends whole."""
        for _ in range(200):
            if self.result is not None:
                break
            if self.alive and self.sent <= len(TOKENS):
                self.generate(3)
            while self.flying and self.result is None:
                self.arrive(self.flying.pop(0))
            self.now_s += 1.0
            self.take(self.stream.tick(self.now_s))
            if not self.alive and self.result is None:
                self.take(self.stream.on_server_lost("lost"))
        assert self.result is not None
        self.text_is_a_prefix()


class HeldNetwork(Network):
    """The same for an answer that is held until it is whole."""

    deliver = False


TestNetwork = Network.TestCase
TestHeldNetwork = HeldNetwork.TestCase
