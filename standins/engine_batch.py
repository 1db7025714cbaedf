"""Continuous batching: which requests run, and when each emits its next token."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from standins.engine_cache import PrefixCache
from standins.engine_text import Output

GenerationId = NewType("GenerationId", int)

RATE_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Generation:
    """One request; it emits the tokens of its output from ``position`` on."""

    generation_id: GenerationId
    model: str
    prompt_words: list[str]
    output: Output
    position: int
    priority: int


class StepKind(Enum):
    """What one output of a step says."""

    STARTED = "started"
    TOKEN = "token"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Step:
    """One output: a start (``value`` = cached tokens), a token's position, an end."""

    kind: StepKind
    generation: Generation
    value: int = 0


@dataclass(slots=True)
class _Running:
    generation: Generation
    position: int
    prompt_done_s: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the engine at one moment."""

    running: int
    queued: int
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Speed and size of the batch.

    ``slowdown`` lengthens the interval between tokens, as a part of it, for each
    further request in the batch.
    """

    slots: int = 16
    token_s: float = 0.02
    prompt_token_s: float = 0.0002
    report_lag_s: float = 0.2
    slowdown: float = 0.001


class Batch:
    """Waiting and running requests; all running ones advance together.

    Parameters
    ----------
    limits : BatchLimits
        Speed and size.
    cache : PrefixCache
        Shortens prompt processing.
    """

    def __init__(self, limits: BatchLimits, cache: PrefixCache) -> None:
        self._limits = limits
        self._cache = cache
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: dict[GenerationId, _Running] = {}
        self._counter = itertools.count()
        self._history: deque[tuple[float, int, int, int]] = deque()
        self.next_step_s: float | None = None

    def submit(self, generation: Generation, now_s: float) -> list[Step]:
        """Add a request; it starts at once if a slot is free."""
        entry = (generation.priority, next(self._counter), generation)
        heapq.heappush(self._waiting, entry)
        steps = self._admit(now_s)
        self._plan(now_s, now_s)
        self._remember(now_s, 0)
        return steps

    def cancel(self, generation_id: GenerationId, now_s: float) -> list[Step]:
        """Remove a request; its slot is given to the next one waiting."""
        self._running.pop(generation_id, None)
        self._waiting = [
            entry for entry in self._waiting if entry[2].generation_id != generation_id
        ]
        heapq.heapify(self._waiting)
        steps = self._admit(now_s)
        self._plan(now_s, now_s)
        self._remember(now_s, 0)
        return steps

    def step(self, now_s: float) -> list[Step]:
        """Let every running request whose prompt is processed emit one token."""
        steps = []
        tokens = 0
        planned_s = now_s if self.next_step_s is None else self.next_step_s
        for running in list(self._running.values()):
            if running.prompt_done_s > now_s:
                continue
            generation = running.generation
            if running.position < generation.output.length:
                steps.append(Step(StepKind.TOKEN, generation, running.position))
                running.position += 1
                tokens += 1
            if running.position >= generation.output.length:
                del self._running[generation.generation_id]
                steps.append(Step(StepKind.FINISHED, generation))
        steps += self._admit(now_s)
        self.next_step_s = None
        self._plan(planned_s, now_s)
        self._remember(now_s, tokens)
        return steps

    def load(self, now_s: float) -> LoadReport:
        """Return the load as it was a report lag ago."""
        at_s = now_s - self._limits.report_lag_s
        running = queued = tokens = 0
        for time_s, running_then, queued_then, emitted in self._history:
            if time_s > at_s:
                break
            running, queued = running_then, queued_then
            if time_s > at_s - RATE_WINDOW_S:
                tokens += emitted
        return LoadReport(running, queued, tokens / RATE_WINDOW_S)

    def _admit(self, now_s: float) -> list[Step]:
        steps = []
        while self._waiting and len(self._running) < self._limits.slots:
            _, _, generation = heapq.heappop(self._waiting)
            words = generation.prompt_words
            cached = self._cache.use(generation.model, words, now_s)
            work = len(words) + generation.position - cached
            done_s = now_s + work * self._limits.prompt_token_s
            running = _Running(generation, generation.position, done_s)
            self._running[generation.generation_id] = running
            steps.append(Step(StepKind.STARTED, generation, cached))
        return steps

    def _plan(self, previous_s: float, now_s: float) -> None:
        """Set the time of the next step; keep the pace if this one was late."""
        if not self._running:
            self.next_step_s = None
        elif self.next_step_s is None:
            slowdown = 1 + self._limits.slowdown * (len(self._running) - 1)
            planned_s = previous_s + self._limits.token_s * slowdown
            self.next_step_s = max(planned_s, now_s)

    def _remember(self, now_s: float, tokens: int) -> None:
        entry = (now_s, len(self._running), len(self._waiting), tokens)
        self._history.append(entry)
        # The newest entry older than the window still gives the current numbers.
        keep_s = now_s - self._limits.report_lag_s - RATE_WINDOW_S
        while len(self._history) > 1 and self._history[1][0] < keep_s:
            self._history.popleft()
