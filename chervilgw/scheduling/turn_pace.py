"""Rate of the turns at a cold engine."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil

_WINDOW_S = 1.0


@dataclass(slots=True)
class TurnPace:
    """Times of the latest turns; see :func:`make_turn_pace`."""

    started_s: float
    _granted_s: deque[float] = field(default_factory=deque)

    def wait_s(self, per_s: float, now_s: float) -> float:
        """Return in how many seconds the next turn may be granted, 0 if now.

        Turns are spaced evenly. Turns granted before the engine became cold count as
        well: within a second there are at most ``per_s``, rounded up.
        """
        self._drop_past(per_s, now_s)
        # A former agent of this engine may have granted turns until it ended.
        next_s = self.started_s + max(_WINDOW_S, 1 / per_s)
        if self._granted_s:
            next_s = max(next_s, self._granted_s[-1] + 1 / per_s)
        limit = max(1, ceil(per_s))
        if len(self._granted_s) >= limit:
            next_s = max(next_s, self._granted_s[-limit] + _WINDOW_S)
        return max(0.0, next_s - now_s)

    def on_granted(self, now_s: float) -> None:
        """Record a turn, also at a warm engine."""
        self._granted_s.append(now_s)
        self._drop_past(1.0, now_s)

    def _drop_past(self, per_s: float, now_s: float) -> None:
        """Drop turns that no longer matter, except the last one."""
        past_s = now_s - max(_WINDOW_S, 1 / per_s)
        while len(self._granted_s) > 1 and self._granted_s[0] <= past_s:
            self._granted_s.popleft()


def make_turn_pace(started_s: float) -> TurnPace:
    """Return the pace of an agent that started at a monotonic time.

    Examples
    --------
    >>> pace = make_turn_pace(0.0)
    >>> pace.wait_s(4.0, now_s=0.25), pace.wait_s(4.0, now_s=2.0)
    (0.75, 0.0)
    >>> pace.on_granted(2.0)
    >>> pace.wait_s(4.0, now_s=2.0)
    0.25
    """
    return TurnPace(started_s)
