"""Which waiting requests the running streams delay, at one time.

A delay of a request must not make one late that would be in time without it. Whether it
does depends on the end of the delay alone, so that one sorted pass over the waiting
requests serves all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import ModelName
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.stream_budget import Delay, DelayReason, StreamBudget


@dataclass(slots=True)
class TurnDelays:
    """Delays of waiting requests at one time; see :func:`make_turn_delays`."""

    _budget: StreamBudget
    _waiting: Callable[[], Iterable[QueuedItem]]
    _now_s: float
    # By model, tokens and longest pause: what the delay depends on.
    _delays: dict[tuple[ModelName, int, float], Delay | None] = field(
        default_factory=dict
    )
    # A delay beyond that time makes a request late; None before it is needed.
    _latest_s: float | None = None

    def delay(self, item: QueuedItem) -> Delay | None:
        """Return why the running streams delay a request, if they do.

        A request that would be in time now and not after the delay is not delayed,
        unless no slot is free.
        """
        if item.stream is None:
            return None
        model = model_of(item)
        key = (model, item.tokens, item.stream.max_pause_s)
        if key not in self._delays:
            self._delays[key] = self._new_delay(item, model)
        return self._delays[key]

    def _new_delay(self, item: QueuedItem, model: ModelName) -> Delay | None:
        delay = self._budget.delay(item.stream, model, item.tokens, self._now_s)
        if delay is None or delay.reason is DelayReason.SLOTS:
            return delay
        if self._latest_s is None:
            self._latest_s = self._latest_begin_s()
        return None if delay.until_s > self._latest_s else delay

    def _latest_begin_s(self) -> float:
        """Return until when reading may begin without a request in time becoming late.

        The requests in time are assumed to be read in the order of their targets. One
        that is late even if reading begins now sets no limit.
        """
        due = [
            item
            for item in self._waiting()
            if item.late_after_s and not item.is_late(self._now_s)
        ]
        latest_s, ahead_s = float("inf"), 0.0
        for item in sorted(due, key=lambda item: item.late_after_s):
            begin_s = item.late_after_s - ahead_s
            if begin_s >= self._now_s:
                latest_s = min(latest_s, begin_s)
            ahead_s += self._budget.prefill_s(model_of(item), item.tokens)
        return latest_s


def model_of(item: QueuedItem) -> ModelName:
    """Return the model of a request, without its adapter."""
    return ModelName(item.target.partition("/")[0])


def make_turn_delays(
    budget: StreamBudget, waiting: Callable[[], Iterable[QueuedItem]], now_s: float
) -> TurnDelays:
    """Return the delays at one time, valid until a turn is granted or a stream ends.

    Parameters
    ----------
    budget : StreamBudget
    waiting : callable
        Returns the waiting requests; called at most once.
    now_s : float
        Monotonic time in seconds.

    Examples
    --------
    >>> from chervilgw.scheduling.prefill_speed import make_engine_speeds
    >>> from chervilgw.scheduling.stream_budget import make_stream_budget
    >>> budget = make_stream_budget(make_engine_speeds())
    >>> delays = make_turn_delays(budget, list, now_s=0.0)
    >>> delays.delay(QueuedItem("turn-1", "customer", "model", 100)) is None
    True
    """
    return TurnDelays(budget, waiting, now_s)
