"""Prompts are read one at a time, urgent ones first, and no turn is lost for good."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.core.states import Urgency
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import READING_TOKENS, TURN_S, Turn, make_turn_queue

ENTRY = Incarnation(VmId("e"), 1)


def turn(number, tokens=1400, urgency=Urgency.STANDARD, deadline_s=100.0, target="m"):
    item = QueuedItem(
        RequestId(ENTRY, number), CustomerId("a"), target, tokens, urgency, deadline_s
    )
    return Turn(item, "10.0.0.1:7600")


def given(queue, now_s=0.0, can_run=bool):
    turns = [each.turn for each in queue.grant_turns(now_s, can_run)]
    return [each.item.request_id.counter for each in turns]


def test_two_long_prompts_are_not_read_at_once():
    """Guards against running streams that pause while several prompts are read."""
    queue = make_turn_queue()
    for number in (1, 2):
        queue.request(turn(number), 0.0)
    assert given(queue) == [1]
    assert given(queue) == []
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert given(queue, 0.1) == [2]


def test_short_prompts_are_read_together():
    queue = make_turn_queue()
    for number in (1, 2, 3):
        queue.request(turn(number, tokens=600), 0.0)
    assert given(queue) == [1, 2, 3]


def test_an_urgent_request_goes_ahead_of_those_that_wait():
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    assert given(queue) == [1]
    queue.request(turn(2, urgency=Urgency.OVERNIGHT), 0.0)
    queue.request(turn(3, urgency=Urgency.INTERACTIVE), 0.0)
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert given(queue, 0.1) == [3]


def test_a_request_without_its_adapter_does_not_hold_up_the_others():
    queue = make_turn_queue()
    queue.request(turn(1, target="m/a1"), 0.0)
    queue.request(turn(2), 0.0)
    assert given(queue, can_run=lambda item: item.target == "m") == [2]


def test_what_passes_a_held_up_prompt_is_bounded():
    """Guards against a prompt that waits for as long as smaller ones come."""
    queue = make_turn_queue()
    queue.request(turn(0, tokens=1_000), 0.0)
    assert given(queue) == [0]
    queue.request(turn(1, tokens=1_500), 0.0)
    passed = 0
    for number in range(2, 50):
        queue.request(turn(number, tokens=100), 0.0)
        for other in given(queue):
            passed += 100
            queue.release(RequestId(ENTRY, other), 0.0)
    assert 0 < passed <= READING_TOKENS - 1_000
    queue.release(RequestId(ENTRY, 0), 0.1)
    assert given(queue, 0.1)[0] == 1


def test_a_more_urgent_request_passes_a_held_up_one():
    """Guards against an urgent request that waits for a large one to fit."""
    queue = make_turn_queue()
    queue.request(turn(1, tokens=1_000), 0.0)
    queue.request(turn(2, tokens=1_500, urgency=Urgency.OVERNIGHT), 0.0)
    assert given(queue) == [1]
    queue.request(turn(3, tokens=800, urgency=Urgency.INTERACTIVE), 0.0)
    assert given(queue) == [3]


def test_a_held_up_request_whose_adapter_is_gone_holds_up_nobody():
    """Guards against an engine that stands idle for a request that it cannot run."""
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    queue.request(turn(2, target="m/a1"), 0.0)
    assert given(queue) == [1]
    queue.request(turn(3), 0.0)
    queue.release(RequestId(ENTRY, 1), 0.1)
    assert given(queue, 0.1, can_run=lambda item: item.target == "m") == [3]


def test_a_lost_word_of_the_end_frees_the_turn_after_a_while():
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    queue.request(turn(2), 0.0)
    assert given(queue) == [1]
    assert given(queue, TURN_S + 0.01) == [2]


def test_a_repeated_question_changes_nothing():
    queue = make_turn_queue()
    assert queue.request(turn(1), 0.0) is None
    assert queue.request(turn(1), 0.1) is None
    assert given(queue) == [1]
    assert queue.is_granted(RequestId(ENTRY, 1))


def test_a_request_that_is_too_late_is_taken_out():
    queue = make_turn_queue()
    queue.request(turn(1), 0.0)
    given(queue)
    queue.request(turn(2, deadline_s=1.0), 0.0)
    assert [each.item.request_id.counter for each in queue.expire(1.1)] == [2]


class TurnMachine(RuleBasedStateMachine):
    """Questions, ends and lost ends in any order."""

    @initialize()
    def start(self):
        self.queue = make_turn_queue()
        self.now_s = 0.0
        self.reading = {}
        self.numbers = 0

    @rule(tokens=st.integers(1, 3000), urgency=st.sampled_from(Urgency))
    def ask(self, tokens, urgency):
        self.numbers += 1
        self.queue.request(
            turn(self.numbers, tokens, urgency, self.now_s + 1000.0), self.now_s
        )

    @rule()
    def give(self):
        for each in self.queue.grant_turns(self.now_s, bool):
            item = each.turn.item
            self.reading[item.request_id] = (item.tokens, self.now_s)

    @rule(data=st.data())
    def end(self, data):
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
            if self.now_s - at_s <= TURN_S
        ]
        assert len(fresh) <= 1 or sum(fresh) <= READING_TOKENS

    @invariant()
    def somebody_reads_while_somebody_waits(self):
        if self.queue.waiting():
            self.give()
            fresh = [at for _, at in self.reading.values() if self.now_s - at <= TURN_S]
            assert fresh


TestTurnMachine = TurnMachine.TestCase


def test_in_an_overload_late_requests_give_way_to_those_still_in_time():
    """Pattern: half as many prompts again as one engine can read, for ten seconds.

    Guards against a queue in which every request waits until it is late.
    """
    queue, on_time, served, number = make_turn_queue(), 0, 0, 0
    patience_s, target_s, read_s = 2.4, 0.5, 0.07
    for step in range(1000):
        now_s = step / 100
        if step % 7 in (0, 4):
            number += 1
            item = QueuedItem(
                RequestId(ENTRY, number),
                CustomerId("a"),
                "m",
                1_400,
                deadline_s=now_s + patience_s,
                late_after_s=now_s + target_s,
            )
            queue.request(Turn(item, "10.0.0.1:7600"), now_s)
        queue.expire(now_s)
        if step % 7 == 0:
            for each in queue.grant_turns(now_s, lambda item: True):
                item = each.turn.item
                served += 1
                on_time += not item.is_late(now_s)
                queue.release(item.request_id, now_s + read_s)
    assert served >= 140
    assert on_time >= 0.8 * served
