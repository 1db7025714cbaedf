"""Routes by host and longest path prefix."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from chervilgw.core.deployment import Destination, RouteRule
from chervilgw.core.ids import ServiceName


class RouteTable:
    """Routes of one deployment version; see :func:`make_route_table`."""

    def __init__(self, routes: Sequence[RouteRule]):
        self._by_host: dict[str, dict[str, RouteRule]] = defaultdict(dict)
        for route in routes:
            self._by_host[route.host][route.path_prefix] = route

    def find(self, host: str, target: str) -> RouteRule | None:
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        target : str
            Path and query. Route prefixes end with a slash, so the path is looked up
            at each of its slashes, the longest prefix first.
        """
        by_prefix = self._by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def select_destination(
    destinations: Sequence[Destination], random_value: float
) -> ServiceName:
    """Return one of the services of a route, by weight.

    Parameters
    ----------
    destinations : sequence of Destination
        At least one.
    random_value : float
        Uniform in [0, 1).

    Examples
    --------
    >>> split = (Destination("a", 90), Destination("b", 10))
    >>> select_destination(split, 0.89), select_destination(split, 0.91)
    ('a', 'b')
    """
    remaining = random_value * sum(destination.weight for destination in destinations)
    for destination in destinations:
        remaining -= destination.weight
        if remaining < 0:
            return destination.service
    return destinations[-1].service


def make_route_table(routes: Sequence[RouteRule]) -> RouteTable:
    """Return a table of the given routes."""
    return RouteTable(routes)
