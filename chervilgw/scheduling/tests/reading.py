"""An engine that reads prompts in steps, for tests of the turns at it.

It has no memory and no running streams: a step reads all prompts that have come, and
takes the time of an empty step and their tokens over the reading rate. The word of a
prompt's end comes with its first event, some steps later.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import Turn, TurnQueue

ENTRY = Incarnation(VmId("e"), 1)
READ_TOKENS_PER_S = 19_100.0
STEP_S = 0.009
"""Reading rate and empty step on the sheet of Aarhus."""
ONE_WAY_S = 0.002
STEPS_OF_EVENT = 3
"""Tokens of an event; a step makes one."""
START_S = 0.04
"""From the turn to the first event of an empty prompt."""
TICK_S = 0.1
MEAN_TOKENS, SPREAD, LARGEST_TOKENS = 491.0, 0.96, 2_660
"""Sizes of the shortest kind on the deployments' sheets."""


@dataclass(slots=True)
class Prompt:
    """One request of a load, and what became of it."""

    item: QueuedItem
    arrived_s: float
    target_s: float
    sent_s: float | None = None
    read_s: float | None = None
    refused_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Return whether it was read within its target."""
        return self.read_s is not None and self.read_s <= self.arrived_s + self.target_s


@dataclass(frozen=True, slots=True)
class Load:
    """Arrivals at one engine; ``offered`` is their part of the reading rate."""

    offered: float
    seed: int
    seconds: float = 30.0
    target_s: float = 0.6
    patience_s: float = 2.4
    customers: int = 6
    mean_tokens: float = MEAN_TOKENS
    largest_tokens: int = LARGEST_TOKENS


def make_prompts(load: Load) -> list[Prompt]:
    """Return arrivals at random times with log-normal sizes."""
    rng = random.Random(load.seed)
    location = math.log(load.mean_tokens) - SPREAD**2 / 2
    rate = load.offered * READ_TOKENS_PER_S / load.mean_tokens
    prompts, now_s = [], 0.0
    while (now_s := now_s + rng.expovariate(rate)) < load.seconds:
        drawn = rng.lognormvariate(location, SPREAD)
        tokens = max(20, min(load.largest_tokens, int(drawn)))
        start_s = START_S + tokens / READ_TOKENS_PER_S
        item = QueuedItem(
            RequestId(ENTRY, len(prompts)),
            CustomerId(f"c{rng.randrange(load.customers)}"),
            "m",
            tokens,
            deadline_s=now_s + load.patience_s - start_s,
            late_after_s=now_s + load.target_s - start_s,
        )
        prompts.append(Prompt(item, now_s, load.target_s))
    return prompts


@dataclass(slots=True)
class ReadingEngine:
    """Plays a load against a queue of turns; see :func:`play`."""

    queue: TurnQueue
    prompts: dict[RequestId, Prompt]
    steps_s: list[tuple[float, float]] = field(default_factory=list)
    _events: list = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)
    _unread: list[Prompt] = field(default_factory=list)
    _is_reading: bool = False

    def run(self) -> None:
        """Play all events in the order of their times."""
        for prompt in self.prompts.values():
            self._at(prompt.arrived_s, self._ask, prompt)
        last_s = max(each.arrived_s for each in self.prompts.values()) + 10.0
        for tick in range(int(last_s / TICK_S)):
            self._at(tick * TICK_S, self._expire, None)
        while self._events:
            now_s, _, handle, subject = heapq.heappop(self._events)
            handle(now_s, subject)

    def _at(self, when_s: float, handle, subject) -> None:
        heapq.heappush(self._events, (when_s, next(self._numbers), handle, subject))

    # The agent's side.

    def _ask(self, now_s: float, prompt: Prompt) -> None:
        if self.queue.request(Turn(prompt.item, "entry"), now_s) is not None:
            prompt.refused_s = now_s
        self._give(now_s)

    def _expire(self, now_s: float, _) -> None:
        for turn in self.queue.expire(now_s):
            self.prompts[turn.item.request_id].refused_s = now_s
        self._give(now_s)

    def _end(self, now_s: float, prompt: Prompt) -> None:
        self.queue.release(prompt.item.request_id, now_s)
        self._give(now_s)

    def _give(self, now_s: float) -> None:
        for given in self.queue.grant_turns(now_s, lambda item: True):
            prompt = self.prompts[given.turn.item.request_id]
            self._at(now_s + ONE_WAY_S, self._arrive, prompt)

    # The engine's side.

    def _arrive(self, now_s: float, prompt: Prompt) -> None:
        self._unread.append(prompt)
        if not self._is_reading:
            self._step(now_s)

    def _step(self, now_s: float) -> None:
        batch, self._unread = self._unread, []
        tokens = sum(prompt.item.tokens for prompt in batch)
        end_s = now_s + STEP_S + tokens / READ_TOKENS_PER_S
        self._is_reading = True
        self.steps_s.append((now_s, end_s))
        self._at(end_s, self._end_step, batch)

    def _end_step(self, now_s: float, batch: list[Prompt]) -> None:
        for prompt in batch:
            prompt.read_s = now_s
        self._is_reading = False
        if self._unread:
            self._step(now_s)
        # The steps of the first event, each as long as the prompts read beside it.
        event_s = max(now_s, self.steps_s[-1][1]) + (STEPS_OF_EVENT - 1) * STEP_S
        for prompt in batch:
            self._at(event_s + ONE_WAY_S, self._end, prompt)


@dataclass(frozen=True, slots=True)
class Played:
    """Prompts after they were read or refused, and the engine's steps."""

    prompts: list[Prompt]
    steps_s: list[tuple[float, float]]

    @property
    def read_tokens_per_s(self) -> float:
        """Return the tokens read over the time from the first step to the last."""
        tokens = sum(p.item.tokens for p in self.prompts if p.read_s is not None)
        return tokens / (self.steps_s[-1][1] - self.steps_s[0][0])

    @property
    def longest_event_s(self) -> float:
        """Return the longest time of an event of a running stream."""
        longest_s = 0.0
        for number, (begin_s, end_s) in enumerate(self.steps_s):
            event_s = end_s - begin_s
            last_s = begin_s
            for before in reversed(self.steps_s[max(0, number - 2) : number]):
                if before[1] < last_s:
                    event_s += STEP_S
                    last_s = 0.0
                else:
                    event_s += before[1] - before[0]
                    last_s = before[0]
            longest_s = max(longest_s, event_s)
        return longest_s


def play(load: Load, make_queue: Callable[[], TurnQueue]) -> Played:
    """Return what became of the prompts of a load."""
    prompts = make_prompts(load)
    by_id = {prompt.item.request_id: prompt for prompt in prompts}
    engine = ReadingEngine(make_queue(), by_id)
    engine.run()
    return Played(prompts, engine.steps_s)


def served_share(prompts: list[Prompt]) -> float:
    """Return the part of the prompts that were read."""
    return sum(each.read_s is not None for each in prompts) / len(prompts)


def in_time_share(prompts: list[Prompt]) -> float:
    """Return the part of the prompts that were read within their target."""
    return sum(each.in_time for each in prompts) / len(prompts)


def by_size(prompts: list[Prompt]) -> tuple[list[Prompt], list[Prompt]]:
    """Return the largest tenth of the prompts, and the fifth below it."""
    ordered = sorted(prompts, key=lambda each: each.item.tokens)
    tenth = len(ordered) // 10
    return ordered[-tenth:], ordered[-3 * tenth : -tenth]
