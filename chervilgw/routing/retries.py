"""Retry budget: bounds extra attempts when a backend server is lost."""

from __future__ import annotations


class RetryBudget:
    """Retries earned by requests; see :func:`make_retry_budget`."""

    def __init__(self, ratio: float, burst: float, base_s: float, cap_s: float):
        self._ratio = ratio
        self._burst = burst
        self._base_s = base_s
        self._cap_s = cap_s
        self._balance = burst

    @property
    def balance(self) -> float:
        """Return the number of retries available now."""
        return self._balance

    def on_request(self) -> None:
        """Count a first attempt, which earns a part of a retry."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_retry(self, attempt: int, random_value: float) -> float | None:
        """Return the delay before the retry, or None if the budget is spent.

        Parameters
        ----------
        attempt : int
            Number of attempts made so far, at least 1.
        random_value : float
            Uniform in [0, 1).

        Returns
        -------
        float or None
            Full jitter: uniform between 0 and the exponential bound, in seconds.
        """
        # Sums of ratios such as 0.1 fall short of a whole by rounding.
        if self._balance < 1.0 - 1e-9:
            return None
        self._balance -= 1.0
        bound_s = min(self._cap_s, self._base_s * 2 ** min(attempt - 1, 30))
        return random_value * bound_s


def make_retry_budget(
    ratio: float = 0.1, burst: float = 10.0, base_s: float = 0.05, cap_s: float = 2.0
) -> RetryBudget:
    """Return a budget that starts full.

    Over any number of requests, retries are at most ``ratio`` times the requests plus
    ``burst``.

    Parameters
    ----------
    ratio : float
        Retries earned per request.
    burst : float
        Largest balance, in retries.
    base_s, cap_s : float
        Bound of the first delay, and of any delay.

    Returns
    -------
    RetryBudget

    Examples
    --------
    >>> budget = make_retry_budget(burst=1.0)
    >>> budget.try_retry(1, random_value=0.5)
    0.025
    >>> budget.try_retry(1, random_value=0.5) is None
    True
    """
    return RetryBudget(ratio, burst, base_s, cap_s)
