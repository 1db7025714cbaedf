"""State machine of the fair queue against a list of what is waiting."""

from itertools import combinations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Success

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.states import RefusalReason, RunState, Urgency
from chervilgw.scheduling.fair_queue import QueuedItem, QueueLimits, make_fair_queue

ENTRY = Incarnation(VmId("entry-1"), 1)
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
LARGEST = 50
LIMITS = QueueLimits(customer_tokens=400, total_tokens=1000, weights=WEIGHTS)


def make_item(number, customer="a", tokens=10, target="m", **fields):
    return QueuedItem(RequestId(ENTRY, number), customer, target, tokens, **fields)


def runs_all(item):
    return True


class FairQueueMachine(RuleBasedStateMachine):
    """Guards against starved customers, lost or doubled requests, unbounded queues."""

    def __init__(self):
        super().__init__()
        self.queue = make_fair_queue(LIMITS)
        self.now_s = 0.0
        self.count = 0
        self.waiting = {}
        self.running = {}
        self.unloaded = set()
        self.served = {}
        self.refunds = {}
        self.windows = {}

    @initialize(exact=st.booleans())
    def choose_refunds(self, exact):
        """Without refunds the bound of start-time fair queueing holds strictly."""
        self.exact = exact

    @rule(urgency=st.sampled_from(Urgency), tokens=st.integers(1, LARGEST))
    def backlog_all(self, urgency, tokens):
        for customer in sorted(WEIGHTS) * 3:
            self.push(customer, tokens, "m", urgency, None)

    @rule(
        customer=st.sampled_from(sorted(WEIGHTS)),
        tokens=st.integers(1, LARGEST),
        model=st.sampled_from("mn"),
        urgency=st.sampled_from(Urgency),
        slack_s=st.none() | st.floats(0, 20),
    )
    def push(self, customer, tokens, model, urgency, slack_s):
        self.count += 1
        deadline_s = None if slack_s is None else self.now_s + slack_s
        item = make_item(
            self.count, customer, tokens, model, urgency=urgency, deadline_s=deadline_s
        )
        result = self.queue.push(item, self.now_s)
        if isinstance(result, Success):
            self.waiting[item.request_id] = item
            assert self.queue.push(item, self.now_s).failure().run is RunState.NOT_RUN
        else:
            assert result.failure().retry_after_s > 0
            assert result.failure().run is RunState.NOT_RUN

    @rule(count=st.integers(1, 6))
    def pop(self, count):
        for _ in range(count):
            item = self.queue.pop(self.now_s, self.can_run)
            if item is None:
                assert not any(self.can_run(i) for i in self.waiting.values())
                return
            assert self.can_run(item)
            assert self.waiting.pop(item.request_id) == item
            self.running[item.request_id] = item
            flow = (item.urgency, item.customer)
            share = item.tokens / WEIGHTS[item.customer]
            self.served[flow] = self.served.get(flow, 0.0) + share
            self.no_customer_lags()

    def can_run(self, item):
        return item.target not in self.unloaded

    @rule(model=st.sampled_from("mn"))
    def toggle_loaded(self, model):
        self.unloaded ^= {model}

    @precondition(lambda self: self.running)
    @rule(data=st.data(), step_s=st.sampled_from([0.1, 1.0]))
    def settle(self, data, step_s):
        self.now_s += step_s
        ids = sorted(self.running)
        item = self.running.pop(data.draw(st.sampled_from(ids)))
        used = item.tokens if self.exact else data.draw(st.integers(0, item.tokens))
        self.queue.settle(item, used, self.now_s)
        flow = (item.urgency, item.customer)
        refund = (item.tokens - used) / WEIGHTS[item.customer]
        self.refunds[flow] = self.refunds.get(flow, 0.0) + refund

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def remove(self, data):
        item = self.waiting.pop(data.draw(st.sampled_from(sorted(self.waiting))))
        assert self.queue.remove(item.request_id) == item
        assert self.queue.remove(item.request_id) is None

    @rule(step_s=st.floats(0, 5))
    def expire(self, step_s):
        self.now_s += step_s
        for item in self.queue.expire(self.now_s):
            assert item.deadline_s is not None
            del self.waiting[item.request_id]
        for item in self.waiting.values():
            assert item.deadline_s is None or item.deadline_s >= self.now_s

    @invariant()
    def bounds_hold(self):
        items = self.waiting.values()
        assert len(self.queue) == len(items)
        assert self.queue.total_tokens == sum(i.tokens for i in items)
        assert sum(self.queue.tokens_by_target().values()) == self.queue.total_tokens
        assert self.queue.total_tokens <= LIMITS.total_tokens
        for customer in WEIGHTS:
            mine = sum(i.tokens for i in items if i.customer == customer)
            assert mine <= LIMITS.customer_tokens

    @invariant()
    def no_customer_lags(self):
        backlogged = {
            (i.urgency, i.customer) for i in self.waiting.values() if self.can_run(i)
        }
        windows = {}
        for one, two in combinations(sorted(backlogged), 2):
            if one[0] != two[0]:
                continue
            difference = self.served.get(one, 0.0) - self.served.get(two, 0.0)
            refunds = self.refunds.get(one, 0.0) + self.refunds.get(two, 0.0)
            first = self.windows.get((one, two), difference)
            windows[(one, two)] = first
            bound = LARGEST / WEIGHTS[one[1]] + LARGEST / WEIGHTS[two[1]]
            # A customer is owed what its earlier requests did not use.
            assert abs(difference - first) <= bound + refunds + 1e-6
        self.windows = windows

    def teardown(self):
        self.unloaded = set()
        left = set(self.waiting)
        while (item := self.queue.pop(self.now_s, runs_all)) is not None:
            left.remove(item.request_id)
        assert not left


TestFairQueue = FairQueueMachine.TestCase


def test_overnight_work_finishes_beside_interactive_load():
    """Guards against a lower class that starves while a higher one is backlogged."""
    queue = make_fair_queue(QueueLimits(10_000, 100_000))
    served = {urgency: 0 for urgency in Urgency}
    for urgency in (Urgency.INTERACTIVE, Urgency.OVERNIGHT):
        for number in range(20):
            request_id = RequestId(ENTRY, 1000 * urgency + number)
            item = QueuedItem(request_id, "a", "m", 10, urgency)
            assert isinstance(queue.push(item, 0.0), Success)
    for step in range(2000):
        item = queue.pop(float(step), runs_all)
        served[item.urgency] += item.tokens
        queue.settle(item, item.tokens, step + 0.5)
        again = QueuedItem(RequestId(ENTRY, 10_000 + step), "a", "m", 10, item.urgency)
        assert isinstance(queue.push(again, step + 0.6), Success)
    assert 0.04 <= served[Urgency.OVERNIGHT] / sum(served.values()) <= 0.06


def test_one_customer_cannot_fill_the_queue():
    """Guards against a flood that makes the queue refuse everyone else."""
    queue = make_fair_queue(QueueLimits(10_000, 1000))
    results = [queue.push(make_item(i, "a", 50), 0.0) for i in range(30)]
    assert results[-1].failure().reason is RefusalReason.QUEUE_FULL
    assert isinstance(queue.push(make_item(99, "b", 50), 0.0), Success)


def test_unreachable_deadline_is_refused_from_measured_rate():
    """Guards against running work whose answer nobody waits for any more."""
    queue = make_fair_queue(
        QueueLimits(10_000, 100_000, wait_factor=1.0, service_factor=1.0)
    )
    for number in range(40):
        assert isinstance(queue.push(make_item(number, tokens=100), 0.0), Success)
    for step in range(20):
        item = queue.pop(float(step), runs_all)
        queue.settle(item, 100, step + 1.0)
    # 100 tokens/s measured, 20 requests of 100 tokens wait: start in about 20 s.
    late = queue.push(make_item(100, tokens=100, deadline_s=25.0), 20.0).failure()
    assert late.reason is RefusalReason.DEADLINE_UNREACHABLE
    assert 10.0 < late.retry_after_s < 20.0
    # Another customer is served in turn and starts almost at once.
    other = queue.push(make_item(101, "b", 100, deadline_s=25.0), 20.0)
    assert isinstance(other, Success)


def test_blocked_customer_earns_no_credit():
    """Guards against a customer that takes the server alone after its model's load."""
    queue = make_fair_queue(QueueLimits(10_000, 100_000))
    for number in range(40):
        customer, target = ("a", "m") if number % 2 else ("b", "n")
        item = make_item(number, customer, 10, target)
        assert isinstance(queue.push(item, 0.0), Success)
    for _ in range(10):
        assert queue.pop(0.0, lambda item: item.target == "m").customer == "a"
    after = [queue.pop(0.0, runs_all).customer for _ in range(10)]
    assert 4 <= after.count("b") <= 6


def test_earliest_deadline_of_a_customer_goes_first():
    """Guards against a request from a lost server that waits behind newer ones.

    Requests without a deadline keep a finite place, so that none waits for ever.
    """
    queue = make_fair_queue(QueueLimits(10_000, 100_000))
    for number, deadline_s in enumerate([9.0, None, 30.0, 2.0, 9.0]):
        assert isinstance(
            queue.push(make_item(number, deadline_s=deadline_s), 0.0), Success
        )
    order = [queue.pop(0.0, runs_all).request_id.counter for _ in range(5)]
    assert order == [3, 0, 4, 1, 2]


def test_estimate_counts_only_work_that_goes_first():
    """Guards against refusing an early deadline because of requests due later."""
    queue = make_fair_queue(
        QueueLimits(10_000, 100_000, wait_factor=1.0, service_factor=1.0)
    )
    for number in range(40):
        item = make_item(number, tokens=100, deadline_s=100.0)
        assert isinstance(queue.push(item, 0.0), Success)
    for step in range(20):
        queue.settle(queue.pop(float(step), runs_all), 100, step + 1.0)
    # 100 tokens/s measured, 20 requests of 100 tokens wait that are due at 100 s.
    early = make_item(100, tokens=100, deadline_s=25.0)
    assert isinstance(queue.push(early, 20.0), Success)
    next_early = make_item(101, tokens=700, deadline_s=26.0)
    refusal = queue.push(next_early, 20.0).failure()
    assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE


def test_a_customer_whose_requests_do_not_fit_yet_keeps_its_place():
    """Guards against large requests that lose their turn while smaller ones pass.

    A customer whose model is missing earns no credit; one that waits for room does.
    """
    queue = make_fair_queue(QueueLimits(10_000, 100_000))
    for number in range(40):
        assert isinstance(queue.push(make_item(number, "b", 10), 0.0), Success)
    for number in range(40, 44):
        assert isinstance(queue.push(make_item(number, "z", 100), 0.0), Success)
    for _ in range(30):
        item = queue.pop(0.0, runs_all, lambda item: item.tokens <= 10)
        assert item.customer == "b"
    after = [queue.pop(0.0, runs_all).customer for _ in range(3)]
    assert after == ["z", "z", "z"]
