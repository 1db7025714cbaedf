"""An engine that reads prompts in the order of their turns, for tests of the turns.

It has no batch and no memory: a prompt takes its tokens over the reading rate, and the
word of its end takes a round trip, in which the engine stands still if it has no other
prompt.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.ids import CustomerId, Incarnation, RequestId, VmId
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.turns import Turn, TurnQueue

ENTRY = Incarnation(VmId("e"), 1)
READ_TOKENS_PER_S = 20_000.0
ONE_WAY_S = 0.002
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
        item = QueuedItem(
            RequestId(ENTRY, len(prompts)),
            CustomerId(f"c{rng.randrange(load.customers)}"),
            "m",
            tokens,
            deadline_s=now_s + load.patience_s,
            on_time_s=now_s + load.target_s - tokens / READ_TOKENS_PER_S,
        )
        prompts.append(Prompt(item, now_s, load.target_s))
    return prompts


@dataclass(slots=True)
class ReadingEngine:
    """Plays a load against a queue of turns; see :func:`play`."""

    queue: TurnQueue
    prompts: dict[RequestId, Prompt]
    free_s: float = 0.0

    def run(self) -> None:
        """Play all events in the order of their times."""
        events = [(p.arrived_s, n, self._arrive, p) for n, p in self._numbered()]
        last_s = max(p.arrived_s + 10.0 for p in self.prompts.values())
        ticks = range(int(last_s / TICK_S))
        events += [(n * TICK_S, -n - 1, self._tick, None) for n in ticks]
        heapq.heapify(events)
        number = len(events)
        while events:
            now_s, _, handle, prompt = heapq.heappop(events)
            for when_s, each in handle(now_s, prompt):
                number += 1
                heapq.heappush(events, (when_s, number, self._end, each))

    def _numbered(self):
        return enumerate(self.prompts.values())

    def _arrive(self, now_s: float, prompt: Prompt):
        if self.queue.ask(Turn(prompt.item, "entry"), now_s) is not None:
            prompt.refused_s = now_s
        return self._give(now_s)

    def _tick(self, now_s: float, _):
        for turn in self.queue.expire(now_s):
            self.prompts[turn.item.request_id].refused_s = now_s
        return self._give(now_s)

    def _end(self, now_s: float, prompt: Prompt):
        self.queue.end(prompt.item.request_id, now_s)
        return self._give(now_s)

    def _give(self, now_s: float):
        ends = []
        for given in self.queue.next_turns(now_s, lambda item: True):
            prompt = self.prompts[given.turn.item.request_id]
            prompt.sent_s = now_s
            began_s = max(self.free_s, now_s + ONE_WAY_S)
            self.free_s = began_s + prompt.item.tokens / READ_TOKENS_PER_S
            prompt.read_s = self.free_s
            ends.append((self.free_s + ONE_WAY_S, prompt))
        return ends


def play(load: Load, make_queue: Callable[[], TurnQueue]) -> list[Prompt]:
    """Return the prompts of a load after they were read or refused."""
    prompts = make_prompts(load)
    by_id = {prompt.item.request_id: prompt for prompt in prompts}
    ReadingEngine(make_queue(), by_id).run()
    return prompts


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
