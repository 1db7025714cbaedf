"""Grants of one process over a sliding window, as its reports tell them."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from chervilgw.core.ids import CustomerId

# Grants that are reported within this time expire together, with the last of them.
STEP_S = 0.4


@dataclass(slots=True)
class _Step:
    first_s: float
    last_s: float
    amount: int


@dataclass(slots=True)
class GrantHistory:
    """When a process granted what; see :func:`make_grant_history`.

    A grant counts from the report that shows it, which is no earlier than the grant. So
    the history of a process that has ended never shows less than was reported.
    """

    window_s: float
    _steps: dict[CustomerId, deque[_Step]] = field(
        default_factory=lambda: defaultdict(deque)
    )
    _totals: dict[CustomerId, int] = field(default_factory=lambda: defaultdict(int))
    _ever: dict[CustomerId, int] = field(default_factory=dict)

    def on_report(
        self,
        granted: Mapping[CustomerId, int],
        ever: Mapping[CustomerId, int],
        now_s: float,
    ) -> None:
        """Apply a report of the process.

        Parameters
        ----------
        granted : mapping of CustomerId to int
            Amounts granted within the window.
        ever : mapping of CustomerId to int
            Amounts granted since the process started, less what was cancelled. By them
            new grants are told from those that took the place of expired ones, also
            after reports were lost.
        now_s : float
            Monotonic time.
        """
        for customer in {*granted, *ever, *self._totals}:
            amount = granted.get(customer, 0)
            if customer in self._ever and customer in ever:
                self.add(customer, ever[customer] - self._ever[customer], now_s)
            # A first report, or one without the amounts of all times.
            missing = amount - self.total(customer, now_s)
            if missing > 0 or customer not in ever:
                self.add(customer, missing, now_s)
        self._ever = dict(ever)

    def add(self, customer: CustomerId, amount: int, at_s: float) -> None:
        """Add an amount granted up to a time; a negative one was cancelled."""
        steps = self._steps[customer]
        self._totals[customer] += amount
        if amount > 0:
            if steps and at_s - steps[-1].first_s < STEP_S:
                steps[-1].last_s = at_s
                steps[-1].amount += amount
            else:
                steps.append(_Step(at_s, at_s, amount))
            return
        while amount < 0 and steps:
            # Of the oldest step, as the others then expire no earlier than the grants.
            taken = min(-amount, steps[0].amount)
            steps[0].amount -= taken
            amount += taken
            if not steps[0].amount:
                steps.popleft()
        self._totals[customer] -= amount

    def total(self, customer: CustomerId, now_s: float) -> int:
        """Return the amount granted to a customer within the window."""
        steps = self._steps.get(customer)
        if not steps:
            return 0
        while steps and steps[0].last_s <= now_s - self.window_s:
            self._totals[customer] -= steps.popleft().amount
        return self._totals[customer]

    def customers(self) -> list[CustomerId]:
        """Return the customers with grants, some of which may have expired."""
        return list(self._totals)

    def steps(self, customer: CustomerId, now_s: float) -> Iterator[tuple[float, int]]:
        """Yield the times and amounts of the grants within the window, oldest first."""
        if self.total(customer, now_s):
            for step in self._steps[customer]:
                yield step.last_s, step.amount

    def is_empty(self, now_s: float) -> bool:
        """Return whether no grant is within the window."""
        return not any(self.total(customer, now_s) for customer in self._totals)


def make_grant_history(window_s: float) -> GrantHistory:
    """Return the history of a process that has reported nothing.

    Examples
    --------
    >>> history, acme = make_grant_history(8.0), CustomerId("acme")
    >>> history.on_report({acme: 30}, {acme: 30}, now_s=1.0)
    >>> history.on_report({acme: 50}, {acme: 50}, now_s=5.0)
    >>> [history.total(acme, now_s) for now_s in (8.9, 9.0, 13.0)]
    [50, 20, 0]
    """
    return GrantHistory(window_s)
