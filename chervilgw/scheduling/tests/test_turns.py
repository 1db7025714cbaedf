"""Tests that prompts are read one at a time and that lost releases free the turn."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.states import Urgency
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import (
    MAX_READING_TOKENS,
    TURN_TIMEOUT_S,
    Turn,
    make_turn_queue,
)

ENTRY = Incarnation(VmId("e"), 1)


def turn(number, tokens=1400, urgency=Urgency.STANDARD, deadline_s=100.0, target="m"):
    item = QueuedItem(
        RequestId(ENTRY, number), CustomerId("a"), target, tokens, urgency, deadline_s
    )
    return Turn(item, "10.0.0.1:7600")


def grant(queue, now_s=0.0, can_run=bool):
    turns = [granted.turn for granted in queue.grant_turns(now_s, can_run)]
    return [turn.item.request_id.counter for turn in turns]


def test_two_long_prompts_are_not_read_at_once():
    """Guards against running streams that pause while several prompts are read."""
    queue = make_turn_queue()
    for number in (1, 2):
        queue.request(turn(number), 0.0)
    assert grant(queue) == [1]
    assert grant(queue) == []
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert grant(queue, 0.1) == [2]


def test_short_prompts_are_read_together():
    """Guards against an engine that idles between short prompts."""
    queue = make_turn_queue()
    for number in (1, 2, 3):
        queue.request(turn(number, tokens=600), 0.0)
    assert grant(queue) == [1, 2, 3]


def test_an_urgent_request_goes_before_waiting_ones():
    """Guards against an urgent request that waits behind less urgent ones."""
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    assert grant(queue) == [1]
    queue.request(turn(2, urgency=Urgency.OVERNIGHT), 0.0)
    queue.request(turn(3, urgency=Urgency.INTERACTIVE), 0.0)
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert grant(queue, 0.1) == [3]


def test_a_request_without_its_adapter_does_not_block_others():
    """Guards against head-of-line blocking while an adapter is loaded."""
    queue = make_turn_queue()
    queue.request(turn(1, target="m/a1"), 0.0)
    queue.request(turn(2), 0.0)
    assert grant(queue, can_run=lambda item: item.target == "m") == [2]


def test_tokens_that_bypass_a_blocked_prompt_are_bounded():
    """Guards against a large prompt that is starved while smaller ones arrive."""
    queue = make_turn_queue()
    queue.request(turn(0, tokens=1_000), 0.0)
    assert grant(queue) == [0]
    queue.request(turn(1, tokens=1_500), 0.0)
    passed = 0
    for number in range(2, 50):
        queue.request(turn(number, tokens=100), 0.0)
        for other in grant(queue):
            passed += 100
            queue.release(RequestId(ENTRY, other), 0.0)
    assert 0 < passed <= MAX_READING_TOKENS - 1_000
    queue.release(RequestId(ENTRY, 0), 0.1)
    assert grant(queue, 0.1)[0] == 1


def test_a_more_urgent_request_bypasses_a_blocked_one():
    """Guards against an urgent request that waits for a large one to fit."""
    queue = make_turn_queue()
    queue.request(turn(1, tokens=1_000), 0.0)
    queue.request(turn(2, tokens=1_500, urgency=Urgency.OVERNIGHT), 0.0)
    assert grant(queue) == [1]
    queue.request(turn(3, tokens=800, urgency=Urgency.INTERACTIVE), 0.0)
    assert grant(queue) == [3]


def test_a_blocked_request_whose_adapter_was_unloaded_blocks_no_other():
    """Guards against an engine that idles because its blocked request cannot run."""
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    queue.request(turn(2, target="m/a1"), 0.0)
    assert grant(queue) == [1]
    queue.request(turn(3), 0.0)
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert grant(queue, 0.1, can_run=lambda item: item.target == "m") == [3]


def test_a_turn_whose_release_was_lost_times_out():
    """Guards against a queue that stalls after one lost release."""
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    queue.request(turn(2), 0.0)
    assert grant(queue) == [1]
    assert grant(queue, TURN_TIMEOUT_S + 0.01) == [2]


def test_a_repeated_request_changes_nothing():
    """Guards against refusing a request whose datagram was sent twice."""
    queue = make_turn_queue()
    assert queue.request(turn(1), 0.0) is None
    assert queue.request(turn(1), 0.1) is None
    assert grant(queue) == [1]
    assert queue.is_granted(RequestId(ENTRY, 1))


def test_a_request_past_its_deadline_is_removed():
    """Guards against granting turns to requests whose callers have given up."""
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    grant(queue)
    queue.request(turn(2, deadline_s=1.0), 0.0)
    assert [turn.item.request_id.counter for turn in queue.expire(1.1)] == [2]


class TurnMachine(RuleBasedStateMachine):
    """Guards against reading too many tokens at once, and against a stalled queue.

    Turns are requested, granted and released, and releases are lost, in any order.
    """

    @initialize()
    def start(self):
        self.queue = make_turn_queue()
        self.now_s = 0.0
        self.reading = {}
        self.numbers = 0

    @rule(tokens=st.integers(1, 3000), urgency=st.sampled_from(Urgency))
    def request(self, tokens, urgency):
        self.numbers += 1
        self.queue.request(
            turn(self.numbers, tokens, urgency, self.now_s + 1000.0), self.now_s
        )

    @rule()
    def grant(self):
        for granted in self.queue.grant_turns(self.now_s, bool):
            item = granted.turn.item
            self.reading[item.request_id] = (item.tokens, self.now_s)

    @rule(data=st.data())
    def release(self, data):
        if self.reading:
            request_id = data.draw(st.sampled_from(list(self.reading)))
            del self.reading[request_id]
            self.queue.release(request_id, self.now_s)

    @rule(seconds=st.floats(0.01, 1.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @invariant()
    def no_more_than_the_limit_is_read(self):
        fresh = [
            tokens
            for tokens, at_s in self.reading.values()
            if self.now_s - at_s <= TURN_TIMEOUT_S
        ]
        assert len(fresh) <= 1 or sum(fresh) <= MAX_READING_TOKENS

    @invariant()
    def some_prompt_is_read_while_requests_wait(self):
        if self.queue.waiting():
            self.grant()
            fresh = [
                at
                for _, at in self.reading.values()
                if self.now_s - at <= TURN_TIMEOUT_S
            ]
            assert fresh


TestTurnMachine = TurnMachine.TestCase


def test_in_an_overload_late_requests_come_after_those_still_in_time():
    """Guards against a queue in which every request waits until it is late.

    For ten seconds, prompts arrive at one and a half times the engine's reading rate.
    """
    queue, on_time, served, number = make_turn_queue(), 0, 0, 0
    max_wait_s, target_s, read_s = 2.4, 0.5, 0.07
    for step in range(1000):
        now_s = step / 100
        if step % 7 in (0, 4):
            number += 1
            item = QueuedItem(
                RequestId(ENTRY, number),
                CustomerId("a"),
                "m",
                1_400,
                deadline_s=now_s + max_wait_s,
                late_after_s=now_s + target_s,
            )
            queue.request(Turn(item, "10.0.0.1:7600"), now_s)
        queue.expire(now_s)
        if step % 7 == 0:
            for granted in queue.grant_turns(now_s, lambda item: True):
                item = granted.turn.item
                served += 1
                on_time += not item.is_late(now_s)
                queue.release(item.request_id, now_s + read_s)
    assert served >= 140
    assert on_time >= 0.8 * served
