"""Alarm task: fires events at given times.

A ``circuits.Timer`` clears the handler caches of the process whenever it is registered
or expires. This component stays registered and holds all pending events in one heap.
"""

from __future__ import annotations

import heapq
import time
from itertools import count

from circuits import BaseComponent, Event, handler


class Alarm(BaseComponent):
    """Alarm task; see :func:`make_alarm`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._pending: list[tuple[float, int, Event, str]] = []
        self._sequence = count()

    @handler("alarm_set")
    def _on_alarm_set(self, due_s: float, event: Event, channel: str):
        heapq.heappush(self._pending, (due_s, next(self._sequence), event, channel))

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event):
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            _, _, due, channel = heapq.heappop(self._pending)
            self.fire(due, channel)
            event.reduce_time_left(0)
        if self._pending:
            event.reduce_time_left(max(0.0, self._pending[0][0] - now_s))


class alarm_set(Event):  # noqa: N801
    """Fire an event at a given time: monotonic time in seconds, event, channel."""


def make_alarm(channel: str = "alarm") -> Alarm:
    """Return an alarm task without pending events."""
    return Alarm(channel)
