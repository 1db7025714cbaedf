"""Selection of a backend server, retry budget and cached-prefix index."""

from chervilgw.routing.choice import Choice, RouteRequest, choose
from chervilgw.routing.order import preferred_order
from chervilgw.routing.prefixes import PrefixIndex, make_prefix_index
from chervilgw.routing.retries import RetryBudget, make_retry_budget

__all__ = [
    "Choice",
    "PrefixIndex",
    "RetryBudget",
    "RouteRequest",
    "choose",
    "make_prefix_index",
    "make_retry_budget",
    "preferred_order",
]
