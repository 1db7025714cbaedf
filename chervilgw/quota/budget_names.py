"""Names of the fleet-wide budgets."""

from __future__ import annotations

from chervilgw.core.ids import BudgetName, CustomerId

STORE_RATE = BudgetName("store:loads-per-s")
STORE_COUNT = BudgetName("store:loads-at-once")
ADAPTER_COUNT = BudgetName("adapter:cold-starts-at-once")


def customer_budget(customer: CustomerId) -> BudgetName:
    """Return the name of a customer's budget of tokens.

    The prefix keeps a customer's name from being that of another budget.

    Examples
    --------
    >>> customer_budget(CustomerId("acme"))
    'customer:acme'
    """
    return BudgetName(f"customer:{customer}")
