"""Decisions of the engine: memory, batch, output, prefix cache."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from standins.engine_batch import Batch, BatchLimits, Generation, GenerationId, StepKind
from standins.engine_cache import PrefixCache
from standins.engine_memory import Action, CopyKind, EngineMemory, Order, OrderState
from standins.engine_text import make_output

CAPACITY = 100


class MemoryMachine(RuleBasedStateMachine):
    """Compare the engine's memory with sets of copies keyed by the load order.

    Guards against bytes that are freed early or twice, overcommits that are not
    counted, and fenced orders that take effect.
    """

    def __init__(self):
        super().__init__()
        self.memory = EngineMemory(CAPACITY, fenced=True)
        self.accepted: list[Order] = []
        self.started: list[Order] = []
        self.bytes: dict[str, int] = {}
        self.loaded: dict[str, str] = {}
        self.leaving: dict[str, str] = {}
        self.overcommits = 0
        self.highest = 0

    @rule(
        action=st.sampled_from(Action),
        name=st.sampled_from("abc"),
        size=st.integers(1, 60),
        behind=st.integers(-1, 2),
    )
    def accept(self, action, name, size, behind):
        fencing = self.highest - behind
        order_id = f"o{len(self.memory.orders)}-{len(self.accepted)}-{fencing}"
        if self.memory.is_known(order_id):
            return
        order = Order(order_id, action, CopyKind.MODEL, name, "1", "", size, fencing)
        refused = self.memory.accept(order) is OrderState.REFUSED
        assert refused == (fencing < self.highest)
        if not refused:
            self.highest = fencing
            self.accepted.append(order)

    @rule(number=st.integers(0, 8))
    def fence(self, number):
        assert self.memory.fence(number) == (number >= self.highest)
        self.highest = max(self.highest, number)

    @rule(index=st.integers(0, 20))
    def begin(self, index):
        if not self.accepted:
            return
        order = self.accepted.pop(index % len(self.accepted))
        state = self.memory.begin(order)
        if order.fencing < self.highest:
            assert state is OrderState.REFUSED
            return
        owner = self.loaded.get(order.name)
        if order.action is Action.LOAD:
            assert (state is OrderState.RUNNING) == (owner is None)
            if owner is None:
                self.loaded[order.name] = order.order_id
                self.bytes[order.order_id] = order.size_bytes
                self.overcommits += sum(self.bytes.values()) > CAPACITY
        else:
            assert (state is OrderState.RUNNING) == (owner is not None)
            if owner is not None:
                self.leaving[order.order_id] = self.loaded.pop(order.name)
        if state is OrderState.RUNNING:
            self.started.append(order)

    @rule(index=st.integers(0, 20), succeeded=st.booleans())
    def finish(self, index, succeeded):
        if not self.started:
            return
        order = self.started.pop(index % len(self.started))
        copy = self.memory.finish(order, succeeded)
        if order.action is Action.UNLOAD:
            del self.bytes[self.leaving.pop(order.order_id)]
        elif order.order_id in self.leaving.values():
            assert copy is None, "a load that was replaced by its unload still ended"
        elif not succeeded and order.order_id in self.bytes:
            del self.bytes[order.order_id]
            del self.loaded[order.name]

    @invariant()
    def agrees(self):
        assert self.memory.used_bytes == sum(self.bytes.values())
        assert self.memory.overcommits == self.overcommits
        assert self.memory.highest_fencing == self.highest


TestMemoryMachine = MemoryMachine.TestCase


def make_generation(number, length=3, priority=0, words=1):
    output = make_output("m", f"p{number}", max_tokens=length, min_tokens=length)
    prompt = [f"p{number}"] * words
    return Generation(GenerationId(number), "m", prompt, output, 0, priority)


def make_batch(slots=2):
    limits = BatchLimits(slots, token_s=0.01, prompt_token_s=0.001, report_lag_s=0.1)
    return Batch(limits, PrefixCache(1600, 0.0, 0))


def test_lower_priority_number_starts_first():
    """Guards against urgent requests that wait behind overnight ones."""
    batch = make_batch(slots=1)
    batch.submit(make_generation(1), 0.0)
    batch.submit(make_generation(2, priority=5), 0.0)
    batch.submit(make_generation(3, priority=1), 0.0)
    (started,) = batch.cancel(GenerationId(1), 0.0)
    assert (started.kind, started.generation.generation_id) == (StepKind.STARTED, 3)


def test_running_requests_advance_together():
    """Guards against one request's tokens that slow or skip another's."""
    batch = make_batch()
    for number in (1, 2):
        batch.submit(make_generation(number), 0.0)
    emitted = []
    while batch.next_step_s is not None:
        now_s = batch.next_step_s
        steps = batch.step(now_s)
        tokens = [s for s in steps if s.kind is StepKind.TOKEN]
        emitted.append([(s.generation.generation_id, s.value) for s in tokens])
    assert emitted == [[(1, n), (2, n)] for n in range(3)]
    assert batch.load(now_s).running == 0
    assert batch.load(now_s + 0.2).tokens_per_s == 6


def test_load_report_lags():
    """Guards against load reports that are fresher than real engines' ones."""
    batch = make_batch()
    batch.submit(make_generation(1), 1.0)
    assert batch.load(1.05).running == 0
    assert batch.load(1.11).running == 1


def test_cached_prefix_shortens_prompt_processing():
    """Guards against a prefix cache that has no effect on the first token."""
    batch = make_batch(slots=9)
    batch.submit(make_generation(1, length=1, words=64), 0.0)
    assert [s.kind for s in batch.step(0.05)] == []
    assert batch.step(0.07)[0].kind is StepKind.TOKEN
    (started,) = batch.submit(make_generation(1, length=1, words=64), 1.0)
    assert started.value == 64
    assert batch.step(1.01)[0].kind is StepKind.TOKEN


def test_cache_events_have_lag_and_gaps():
    """Guards against an event feed that is more reliable than the platform's."""
    cache = PrefixCache(32, lag_s=1.0, gap_every=3)
    cache.use("m", [str(n) for n in range(48)], 0.0)
    assert cache.events(0, 0.5) == []
    assert [event.sequence for event in cache.events(0, 1.0)] == [1, 2, 4]
