"""Budgets of one entry: holdings, and collected units that are not usable yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from returns.result import Success

from chervilgw.core.ids import BudgetName
from chervilgw.quota.bucket import DebitId
from chervilgw.quota.count_holding import CountHolding
from chervilgw.quota.errors import QuotaError
from chervilgw.quota.holdings import Holding, RateHolding
from chervilgw.quota.records import Debit


@dataclass(frozen=True, slots=True)
class _DelayedUnits:
    budget: BudgetName
    units: int
    usable_at_s: float


class Budgets:
    """Holdings by budget name.

    A removed budget retains its holding, with rate and burst 0, until its open debits
    have ended: outstanding tokens must count if the budget is configured again.

    Examples
    --------
    >>> budgets = Budgets()
    >>> budgets.set_rate(BudgetName("acme"), 10.0, 100.0, now_s=0.0)
    >>> _ = budgets.put(BudgetName("acme"), 500_000, 20.0, now_s=0.0)
    >>> budgets.get(BudgetName("acme")).units
    500000
    """

    def __init__(self) -> None:
        self._holdings: dict[BudgetName, Holding] = {}
        self._holding_numbers: dict[BudgetName, int] = {}
        self._holding_counter = 0
        self._removed: set[BudgetName] = set()
        self._delayed: list[_DelayedUnits] = []

    def __iter__(self) -> Iterator[tuple[BudgetName, Holding]]:
        return iter(
            [
                (name, holding)
                for name, holding in self._holdings.items()
                if self.is_configured(name)
            ]
        )

    def is_configured(self, name: BudgetName) -> bool:
        """Return whether a budget is configured."""
        return name in self._holdings and name not in self._removed

    def names(self) -> list[BudgetName]:
        """Return the configured budgets."""
        return [name for name, _ in self]

    def get(self, name: BudgetName) -> Holding | None:
        """Return the holding of a configured budget."""
        return self._holdings[name] if self.is_configured(name) else None

    def set_rate(
        self, name: BudgetName, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        """Configure a rate and burst; units and outstanding tokens stay."""
        if rate_per_s < 0 or burst < 0:
            raise QuotaError(f"budget {name}: rate and burst must not be negative")
        holding = self._holdings.get(name)
        if holding is None:
            self._add(name, RateHolding(rate_per_s, burst, now_s))
        elif isinstance(holding, RateHolding):
            holding.bucket.resize(rate_per_s, burst, now_s)
        else:
            raise QuotaError(f"budget {name} is a count")
        self._removed.discard(name)

    def set_count(self, name: BudgetName, count: int) -> None:
        """Configure a number of permits; units and permits in use stay."""
        if count < 0:
            raise QuotaError(f"budget {name}: count must not be negative")
        holding = self._holdings.get(name)
        if holding is None:
            self._add(name, CountHolding(count))
        elif isinstance(holding, CountHolding):
            holding.count = count
        else:
            raise QuotaError(f"budget {name} is a rate")
        self._removed.discard(name)

    def remove(self, name: BudgetName, now_s: float) -> None:
        """Remove a budget; the units are lost until a collection."""
        holding = self._holdings.get(name)
        if holding is None:
            return
        if isinstance(holding, RateHolding):
            holding.bucket.resize(0.0, 0.0, now_s)
        self._removed.add(name)
        self._drop_if_idle(name)

    def put(self, name: BudgetName, units: int, level: float, now_s: float) -> bool:
        """Add units and level to a configured budget; otherwise they are lost."""
        holding = self.get(name)
        if holding is None:
            return False
        holding.put(units, level, now_s)
        return True

    def put_delayed(self, name: BudgetName, units: int, usable_at_s: float) -> None:
        """Add units that count as held now but may be used only later."""
        self._delayed.append(_DelayedUnits(name, units, usable_at_s))

    def activate_due(self, now_s: float) -> list[BudgetName]:
        """Make delayed units usable that are due, and return their budgets."""
        due = [delayed for delayed in self._delayed if now_s >= delayed.usable_at_s]
        self._delayed = [
            delayed for delayed in self._delayed if now_s < delayed.usable_at_s
        ]
        return [
            delayed.budget
            for delayed in due
            if self.put(delayed.budget, delayed.units, 0.0, now_s)
        ]

    def units(self) -> Counter[str]:
        """Return the units of each budget that this entry holds, usable or not."""
        total: Counter[str] = Counter()
        for name, holding in self._holdings.items():
            total[name] += holding.units
        for delayed in self._delayed:
            total[delayed.budget] += delayed.units
        return total

    def is_empty(self) -> bool:
        """Return whether no units are held."""
        return not any(self.units().values())

    def drop_delayed(self) -> bool:
        """Drop units that are not usable yet; return whether there were any."""
        dropped = bool(self._delayed)
        self._delayed = []
        return dropped

    def try_debit(self, name: BudgetName, amount: float, now_s: float) -> Debit | None:
        """Debit an amount of a configured budget, or return None if refused."""
        holding = self.get(name)
        result = holding.try_debit(amount, now_s) if holding else None
        if not isinstance(result, Success):
            return None
        return self.make_debit(name, result.unwrap())

    def confirm_start(self, debit: Debit, now_s: float) -> None:
        """Count a debit as run."""
        holding = self._find_holding(debit)
        if holding is not None:
            holding.confirm_start(debit.debit_id, now_s)

    def settle(self, debit: Debit, used: float, now_s: float) -> None:
        """End a run and refund what it did not use."""
        holding = self._find_holding(debit)
        if holding is not None:
            holding.settle(debit.debit_id, used, now_s)
            self._drop_if_idle(debit.budget)

    def cancel(self, debit: Debit, now_s: float) -> None:
        """Return a debit that was certainly not run."""
        holding = self._find_holding(debit)
        if holding is not None:
            holding.cancel(debit.debit_id, now_s)
            self._drop_if_idle(debit.budget)

    def make_debit(self, name: BudgetName, debit_id: DebitId) -> Debit:
        """Return the handle of a debit."""
        return Debit(name, self._holding_numbers[name], debit_id)

    def _add(self, name: BudgetName, holding: Holding) -> None:
        self._holding_counter += 1
        self._holding_numbers[name] = self._holding_counter
        self._holdings[name] = holding

    def _find_holding(self, debit: Debit) -> Holding | None:
        if self._holding_numbers.get(debit.budget) != debit.holding_number:
            return None
        return self._holdings.get(debit.budget)

    def _drop_if_idle(self, name: BudgetName) -> None:
        if name in self._removed and not self._holdings[name].in_use:
            del self._holdings[name], self._holding_numbers[name]
            self._removed.discard(name)
