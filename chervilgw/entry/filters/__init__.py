"""Filters of the request path; each decides on one message."""

from chervilgw.entry.filters.accept import accept
from chervilgw.entry.filters.authenticate import authenticate
from chervilgw.entry.filters.choose import choose, dispatch
from chervilgw.entry.filters.price import price

__all__ = ["accept", "authenticate", "choose", "dispatch", "price"]
