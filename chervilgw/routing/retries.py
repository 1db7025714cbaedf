"""Retry budget: bounds extra attempts when a backend server is lost."""

from __future__ import annotations

# At 10 requests per second and entry, which is below the planned load, both rates
# together allow retries of 10% of the requests. The refill by time is for an entry with
# little traffic: otherwise a few faults a day would use up its retries.
RETRY_RATIO = 0.08
RETRY_REFILL_PER_S = 0.2
RETRY_BURST = 10.0


class RetryBudget:
    """Retries earned by requests; see :func:`make_retry_budget`."""

    def __init__(
        self,
        ratio: float,
        refill_per_s: float,
        burst: float,
        base_s: float,
        cap_s: float,
        now_s: float,
    ):
        self._ratio = ratio
        self._refill_per_s = refill_per_s
        self._burst = burst
        self._base_s = base_s
        self._cap_s = cap_s
        self._balance = burst
        self._refilled_s = now_s

    def on_request(self, now_s: float) -> None:
        """Add a first attempt's fraction of a retry to the balance.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        self._refill(now_s)
        self._balance = min(self._burst, self._balance + self._ratio)

    def _refill(self, now_s: float) -> None:
        gain = (now_s - self._refilled_s) * self._refill_per_s
        self._refilled_s = now_s
        self._balance = min(self._burst, self._balance + gain)

    def try_retry(
        self, attempt: int, random_value: float, now_s: float
    ) -> float | None:
        """Return the delay before the retry, or None if the budget is spent.

        Parameters
        ----------
        attempt : int
            Number of attempts made so far, at least 1.
        random_value : float
            Uniform in [0, 1).
        now_s : float
            Monotonic time.

        Returns
        -------
        float or None
            Full jitter: uniform between 0 and the exponential bound, in seconds.
        """
        self._refill(now_s)
        # The tolerance allows for rounding in sums of ratios such as 0.1.
        if self._balance < 1.0 - 1e-9:
            return None
        self._balance -= 1.0
        bound_s = min(self._cap_s, self._base_s * 2 ** min(attempt - 1, 30))
        return random_value * bound_s


def make_retry_budget(
    ratio: float = RETRY_RATIO,
    refill_per_s: float = RETRY_REFILL_PER_S,
    burst: float = RETRY_BURST,
    base_s: float = 0.05,
    cap_s: float = 2.0,
    now_s: float = 0.0,
) -> RetryBudget:
    """Return a budget that starts full.

    In any period, retries are at most ``ratio`` times the requests, plus
    ``refill_per_s`` times the period, plus ``burst``.

    Parameters
    ----------
    ratio : float
        Retries earned per request.
    refill_per_s : float
        Retries earned per second.
    burst : float
        Largest balance, in retries.
    base_s, cap_s : float
        Bound of the first delay, and of any delay.
    now_s : float
        Monotonic time.

    Returns
    -------
    RetryBudget

    Examples
    --------
    >>> budget = make_retry_budget(burst=1.0)
    >>> budget.try_retry(1, random_value=0.5, now_s=0.0)
    0.025
    >>> budget.try_retry(1, random_value=0.5, now_s=0.0) is None
    True
    >>> budget.try_retry(1, random_value=0.5, now_s=5.0)
    0.025
    """
    return RetryBudget(ratio, refill_per_s, burst, base_s, cap_s, now_s)
