"""Clock task: the only source of periodic ticks in a process."""

from __future__ import annotations

import time

from circuits import BaseComponent, Timer, handler

from chervilgw.runtime.events import clock_tick

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 1.0


class Clock(BaseComponent):
    """Clock task; see :func:`make_clock`."""

    def __init__(self, channel="clock"):
        super().__init__(channel=channel)
        self._last_tick_s = time.monotonic()
        Timer(TICK_INTERVAL_S, clock_tick_due(), channel, persist=True).register(self)

    @handler("clock_tick_due")
    def _on_clock_tick_due(self):
        now_s = time.monotonic()
        paused = now_s - self._last_tick_s > PAUSE_THRESHOLD_S
        self._last_tick_s = now_s
        self.fire(clock_tick(now_s, paused), "*")


class clock_tick_due(clock_tick):  # noqa: N801
    """The timer of the clock task fired."""


def make_clock(channel: str = "clock") -> Clock:
    """Return a clock task that fires ``clock_tick`` every :data:`TICK_INTERVAL_S`.

    A tick over :data:`PAUSE_THRESHOLD_S` after the last one reports that the process
    was paused, so that other tasks confirm their state before they act on it.

    Parameters
    ----------
    channel : str
        Channel of the task.

    Returns
    -------
    Clock
    """
    return Clock(channel)
