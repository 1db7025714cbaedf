"""Retry times of callers that were refused while a model was loading.

Callers retry only once. If all of them retried when the load ends, most would find too
long a queue. Their retry times are therefore spread at the prefill rate of an engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import ModelName

# Clients honour a retry time up to this fraction of their remaining time.
HONOURED_WAIT_FRACTION = 1 / 3


@dataclass(slots=True)
class RetryTimes:
    """Retry times already given out; see :func:`make_retry_times`."""

    _latest_retry_s: dict[ModelName, float] = field(default_factory=dict)

    def retry_after_s(
        self,
        model: ModelName,
        ready_in_s: float,
        gap_s: float,
        remaining_s: float,
        now_s: float,
    ) -> float:
        """Return after how many seconds a caller should retry.

        Parameters
        ----------
        model : ModelName
        ready_in_s : float
            Time until the model is loaded.
        gap_s : float
            Time between two retries through this entry.
        remaining_s : float
            Remaining time until the caller's deadline.
        now_s : float
            Monotonic time.
        """
        latest_s = max(ready_in_s, remaining_s * HONOURED_WAIT_FRACTION)
        retry_s = max(now_s + ready_in_s, self._latest_retry_s.get(model, 0.0) + gap_s)
        if retry_s - now_s > latest_s:
            return latest_s
        self._latest_retry_s[model] = retry_s
        return retry_s - now_s

    def drop_past(self, now_s: float) -> None:
        """Drop the models whose retry times have all passed."""
        for model in [
            model for model, at_s in self._latest_retry_s.items() if at_s < now_s
        ]:
            del self._latest_retry_s[model]


def make_retry_times() -> RetryTimes:
    """Return the retry times of an entry that has refused no caller.

    Examples
    --------
    >>> times, model = make_retry_times(), ModelName("m")
    >>> [times.retry_after_s(model, 2.0, 0.5, 9.0, now_s=10.0) for _ in range(4)]
    [2.0, 2.5, 3.0, 3.0]
    """
    return RetryTimes()
