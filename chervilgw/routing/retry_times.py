"""When callers that were sent away should come back.

A load ends at one moment. If all callers that were refused meanwhile came back then,
most would find a queue that is too long, and they come back only once. Each therefore
gets a time of its own, at the pace at which an engine reads prompts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import ModelName

HONOURED_SHARE = 1 / 3
"""Callers wait for up to this part of the time that they have left; the platform's
clients say so."""


@dataclass(slots=True)
class RetryTimes:
    """Times at which callers come back; see :func:`make_retry_times`."""

    _last_s: dict[ModelName, float] = field(default_factory=dict)

    def retry_after_s(
        self,
        model: ModelName,
        ready_in_s: float,
        gap_s: float,
        left_s: float,
        now_s: float,
    ) -> float:
        """Return after how many seconds a caller should come back.

        Parameters
        ----------
        model : ModelName
        ready_in_s : float
            When there will be room for the first of the callers.
        gap_s : float
            Time between two callers of this entry.
        left_s : float
            How long the caller will wait for its answer.
        now_s : float
            Monotonic time.
        """
        latest_s = max(ready_in_s, left_s * HONOURED_SHARE)
        place_s = max(now_s + ready_in_s, self._last_s.get(model, 0.0) + gap_s)
        if place_s - now_s > latest_s:
            return latest_s
        self._last_s[model] = place_s
        return place_s - now_s

    def drop_past(self, now_s: float) -> None:
        """Drop the models whose callers have all come back."""
        for model in [each for each, at_s in self._last_s.items() if at_s < now_s]:
            del self._last_s[model]


def make_retry_times() -> RetryTimes:
    """Return the times of an entry that has sent no caller away.

    Examples
    --------
    >>> times, model = make_retry_times(), ModelName("m")
    >>> [times.retry_after_s(model, 2.0, 0.5, 9.0, now_s=10.0) for _ in range(4)]
    [2.0, 2.5, 3.0, 3.0]
    """
    return RetryTimes()
