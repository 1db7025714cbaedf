"""Filters of the request path; each turns one message into the next or a refusal."""

from chervilgw.entry.filters.accept import accept
from chervilgw.entry.filters.authenticate import authenticate
from chervilgw.entry.filters.choose import choose, dispatch
from chervilgw.entry.filters.price import price

__all__ = ["accept", "authenticate", "choose", "dispatch", "price"]
