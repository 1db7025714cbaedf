"""Retry budgets of one entry, one for each service."""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import ServiceName
from chervilgw.routing.retries import RetryBudget, make_retry_budget
from chervilgw.settings.vm import Bounds

# Fraction of the fleet's retry budget that entries use: the operators' windows start at
# other times than those of the entries.
RETRY_FRACTION = 0.6


@dataclass(slots=True)
class RetryBudgets:
    """Budgets by service; see :func:`make_retry_budgets`."""

    bounds: Bounds
    _budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)

    def on_request(self, service: ServiceName, entries: int, now_s: float) -> None:
        """Record a first attempt, which adds a fraction of a retry to the budget."""
        self._budget(service, entries, now_s).on_request(now_s)

    def try_retry(self, service: ServiceName, entries: int, now_s: float) -> bool:
        """Use one retry of the budget; return whether it had one."""
        budget = self._budget(service, entries, now_s)
        return budget.try_retry(1, 0.0, now_s) is not None

    def _budget(self, service: ServiceName, entries: int, now_s: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            # A full burst and the refill may fall into the same window.
            slack = RETRY_FRACTION * self.bounds.retry_slack / entries / 2
            budget = self._budgets[service] = make_retry_budget(
                ratio=RETRY_FRACTION * self.bounds.retry_ratio,
                refill_per_s=slack / self.bounds.retry_window_s,
                burst=max(1.0, slack),
                now_s=now_s,
            )
        return budget


def make_retry_budgets(bounds: Bounds) -> RetryBudgets:
    """Return full budgets.

    Parameters
    ----------
    bounds : Bounds
        Ratio, slack and window over all entries together.
    """
    return RetryBudgets(bounds)
