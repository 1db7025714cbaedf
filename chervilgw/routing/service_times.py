"""Service times of plain services by route and server, and limits on their requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from chervilgw.core.deployment import RouteName, ServerId

# Fewer answers of a route say too little; the former cost applies then.
MIN_SAMPLES = 8
# Weight of the newest answer in the average of a route and of one of its servers.
ROUTE_WEIGHT = 0.02
SERVER_WEIGHT = 0.1
# Weight of the route's mean against the answers of one server, in answers.
PRIOR_ANSWERS = 3.0
# Part of its slots by which a server's limit rises each second after a refusal.
LIMIT_GROWTH_PER_S = 0.25


@dataclass(frozen=True, slots=True)
class PlainServer:
    """Expected service time at a server, and the most requests it takes at once."""

    service_s: float
    spread_s: float
    limit: float = math.inf


@dataclass(slots=True)
class _Average:
    count: float = 0.0
    mean_s: float = 0.0
    variance: float = 0.0

    def add(self, sample_s: float, least_weight: float) -> None:
        self.count += 1.0
        weight = max(least_weight, 1.0 / self.count)
        change = sample_s - self.mean_s
        self.mean_s += weight * change
        self.variance = (1.0 - weight) * (self.variance + weight * change**2)


@dataclass(slots=True)
class ServiceTimes:
    """Times of answers without their wait; see :func:`make_service_times`."""

    _routes: dict[RouteName, _Average] = field(default_factory=dict)
    _servers: dict[ServerId, dict[RouteName, _Average]] = field(default_factory=dict)

    def on_answered(
        self, route: RouteName, server: ServerId, took_s: float, load: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        route : RouteName
        server : ServerId
        took_s : float
            Time from the request to the end of its answer.
        load : float
            Requests at the server over its slots. Above 1, that many service times
            passed until the answer.
        """
        sample_s = took_s / max(1.0, load)
        average = self._routes.setdefault(route, _Average())
        average.add(sample_s, ROUTE_WEIGHT)
        by_route = self._servers.setdefault(server, {})
        if route not in by_route:
            by_route[route] = _Average(PRIOR_ANSWERS, average.mean_s, average.variance)
        by_route[route].add(sample_s, SERVER_WEIGHT)

    def expected(self, route: RouteName, server: ServerId) -> PlainServer | None:
        """Return the service time of a request, None if there are too few samples."""
        average = self._routes.get(route)
        if average is None or average.count < MIN_SAMPLES:
            return None
        found = self._servers.get(server, {}).get(route, average)
        return PlainServer(found.mean_s, math.sqrt(found.variance))

    def drop_server(self, server: ServerId) -> None:
        """Drop the times of a server that is gone."""
        self._servers.pop(server, None)


@dataclass(slots=True)
class RequestLimits:
    """Limits of requests at servers that refused some.

    See :func:`make_request_limits`.
    """

    _limits: dict[ServerId, tuple[float, float]] = field(default_factory=dict)

    def on_refused(
        self, server: ServerId, running: int, slots: int, now_s: float
    ) -> float:
        """Limit a server that refused a request; return its limit.

        Parameters
        ----------
        server : ServerId
        running : int
            Requests of all entries at the server, including the refused one.
        slots : int
            Requests that it serves at once; the limit is never less.
        now_s : float
            Monotonic time.
        """
        fewer = min(self.limit(server, slots, now_s), running - 1.0)
        limit = max(float(slots), fewer)
        self._limits[server] = limit, now_s
        return limit

    def limit(self, server: ServerId, slots: int, now_s: float) -> float:
        """Return the most requests that a server is expected to take at once."""
        found = self._limits.get(server)
        if found is None:
            return math.inf
        limit, refused_s = found
        return limit + LIMIT_GROWTH_PER_S * slots * (now_s - refused_s)

    def drop_server(self, server: ServerId) -> None:
        """Drop the limit of a server that is gone."""
        self._limits.pop(server, None)


def queue_wait_s(plain: PlainServer, running: int, slots: int) -> float:
    """Return the expected time until a slot of a plain service is free."""
    return plain.service_s * max(0, running + 1 - slots) / slots


def plain_cost_s(plain: PlainServer, running: int, slots: int) -> float:
    """Return the expected completion time of a request at a plain service.

    Servers with a free slot differ as well: the one with fewer requests is preferred.
    """
    return plain.service_s * (1.0 + running / slots)


def make_service_times() -> ServiceTimes:
    """Return times before any answer.

    Examples
    --------
    >>> times = make_service_times()
    >>> for _ in range(100):
    ...     times.on_answered(RouteName("r"), ServerId("a"), 0.4, load=2.0)
    >>> round(times.expected(RouteName("r"), ServerId("b")).service_s, 3)
    0.2
    """
    return ServiceTimes()


def make_request_limits() -> RequestLimits:
    """Return limits before any refusal.

    Examples
    --------
    >>> limits = make_request_limits()
    >>> limits.on_refused(ServerId("a"), running=13, slots=8, now_s=0.0)
    12.0
    >>> limits.limit(ServerId("a"), slots=8, now_s=1.0)
    14.0
    """
    return RequestLimits()
