"""Expected completion time of a request at a server, and the choice by it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

# Share of a token's time that one more running request adds to each step: 0.03 ms, and
# 0.026 ms per 1,000 tokens in memory, of a step of 10 ms.
STEP_SHARE = 0.007
# Weight of the delay of the streams that run. In simulated days with factors of 0.6 to
# 1.6, half of it left fewer streams with late events than the whole or twice of it.
DELAY_WEIGHT = 0.5
# Fraction of the cost that is random. Entries see each other's choices 0.2 s late, and
# would all choose the same server until then.
RANDOM_FRACTION = 0.25
# Spreads the random parts of the servers of one choice evenly.
GOLDEN_RATIO = 0.6180339887
# One choice in this many explores a server that the estimates would avoid.
EXPLORATION_INTERVAL = 50
# A server that is explored answered nearly all of its latest requests.
MAX_EXPLORED_FAILURES = 0.1


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """What is expected of a request, where the estimates take part in the choice.

    ``prompt_tokens`` and ``output_tokens`` occupy memory at the end; an engine has
    ``cache_tokens``, and ``slots`` unless it is registered with others. ``target_s`` is
    the time until the first event is late, ``deadline_s`` the time until the caller
    leaves. ``choice_number`` counts the choices of the entry, ``random_value`` is
    uniform in [0, 1).
    """

    prompt_tokens: int
    output_tokens: int
    cache_tokens: int
    target_s: float
    deadline_s: float
    slots: int = 1
    choice_number: int = 0
    random_value: float = 0.0

    @property
    def held_tokens(self) -> int:
        """Return the memory that the request occupies at its peak."""
        return self.prompt_tokens + self.output_tokens

    def fits(self, held_tokens: int) -> bool:
        """Return whether an engine has memory beside what its requests hold."""
        return held_tokens + self.held_tokens <= self.cache_tokens


class ServerLoad(NamedTuple):
    """Work of a server and its speed for the model of the request.

    ``overhead_s`` is the wait for causes other than the work, such as an adapter.
    ``is_silent`` means that its agent has missed a report, ``is_cold`` that it has
    just started.
    """

    running: int
    slots: int
    unread_tokens: int
    unwritten_tokens: int
    held_tokens: int
    cached_tokens: int
    prefill_tokens_per_s: float
    token_s: float
    overhead_s: float
    failure_fraction: float
    is_silent: bool = False
    is_cold: bool = False


class Expectation(NamedTuple):
    """What is expected of a request at one server.

    ``wait_s`` is the time until the server begins to read its prompt, ``cost_s`` its
    completion time and the weighted delay of the streams that run there.
    ``is_in_time`` means that it meets its target and its deadline.
    """

    wait_s: float
    cost_s: float
    is_in_time: bool
    fits: bool


def expect(work: ExpectedWork, load: ServerLoad) -> Expectation:
    """Return what is expected of a request at a server.

    Each prompt that is prefilled delays each running stream. Prompts that wait are read
    one after the other, which makes one long pause of their delays, so that a queue
    counts as a further delay. A server on which streams end and begin at the same rate
    delays this request as often as this one delays others: its own completion includes
    that.

    Parameters
    ----------
    work : ExpectedWork
    load : ServerLoad
    """
    unread = max(0, work.prompt_tokens - load.cached_tokens)
    prefill_s = unread / load.prefill_tokens_per_s
    queue_s = load.unread_tokens / load.prefill_tokens_per_s
    wait_s = queue_s + _slot_wait_s(load)
    first_s = wait_s + prefill_s + load.overhead_s
    decoded_s = first_s + work.output_tokens * load.token_s
    delay_s = DELAY_WEIGHT * load.running * (queue_s + prefill_s)
    shared_tokens = min(work.output_tokens * load.running, load.unwritten_tokens)
    step_delay_s = STEP_SHARE * load.token_s * shared_tokens
    ends_s = decoded_s + prefill_s * load.running
    is_in_time = first_s <= work.target_s and ends_s <= work.deadline_s
    fits = work.fits(load.held_tokens)
    cost_s = decoded_s + delay_s + step_delay_s
    return Expectation(wait_s, cost_s, is_in_time, fits)


def _slot_wait_s(load: ServerLoad) -> float:
    """Return the time until a request slot is free.

    The streams that run end one after the other, at the mean of their remaining time.
    """
    excess = load.running + 1 - load.slots
    if excess <= 0 or not load.running:
        return 0.0
    mean_tokens = load.unwritten_tokens / load.running
    return excess * mean_tokens * load.token_s / load.slots


def select_server(
    work: ExpectedWork,
    loads: Sequence[ServerLoad],
    expectations: Sequence[Expectation],
    may_crash: bool = False,
    max_wait_s: float = inf,
) -> int | None:
    """Return the index of the server for a request, None if it fits at none.

    Servers that serve the request in time come first, then the one with the least cost,
    of which a fraction is random.
    One choice in :data:`EXPLORATION_INTERVAL` goes to another server, so that its
    estimates are corrected. These do not take part in that choice: an estimate that is
    much too high would never be corrected otherwise.

    Parameters
    ----------
    work : ExpectedWork
    loads, expectations : sequences
        Of the same servers.
    may_crash : bool
        Choose the server with the fewest requests.
    max_wait_s : float
        A server with a longer wait is not explored, as it would not serve the request.
    """
    fitting = [index for index, item in enumerate(expectations) if item.fits]
    if not fitting:
        return None

    def rank(index: int) -> tuple[int, bool, float]:
        expected = expectations[index]
        running = loads[index].running if may_crash else 0
        random_part = (work.random_value + GOLDEN_RATIO * index) % 1.0
        cost_s = expected.cost_s * (1.0 + RANDOM_FRACTION * random_part)
        return running, not expected.is_in_time, cost_s

    best = min(fitting, key=rank)
    turn, rest = divmod(work.choice_number, EXPLORATION_INTERVAL)
    if rest != EXPLORATION_INTERVAL - 1 or may_crash:
        return best
    others = [
        index
        for index in fitting
        if index != best
        and expectations[index].wait_s <= max_wait_s
        and _may_explore(loads[index])
    ]
    return others[turn % len(others)] if others else best


def _may_explore(load: ServerLoad) -> bool:
    """Return whether a server is healthy and warm."""
    is_healthy = load.failure_fraction <= MAX_EXPLORED_FAILURES and not load.is_silent
    return is_healthy and not load.is_cold
