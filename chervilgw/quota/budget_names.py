"""Names of the fleet-wide budgets."""

from __future__ import annotations

from chervilgw.core.ids import BudgetName, CustomerId

STORE_LOADS_PER_S = BudgetName("store:loads-per-s")
STORE_LOADS_AT_ONCE = BudgetName("store:loads-at-once")
ADAPTER_STARTS_AT_ONCE = BudgetName("adapter:cold-starts-at-once")


def customer_budget(customer: CustomerId) -> BudgetName:
    """Return the name of a customer's budget of tokens.

    The prefix prevents a collision with the name of another budget.

    Examples
    --------
    >>> customer_budget(CustomerId("acme"))
    'customer:acme'
    """
    return BudgetName(f"customer:{customer}")
