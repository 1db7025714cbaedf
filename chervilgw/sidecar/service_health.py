"""Whether the plain service behind a sidecar should get work."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_REST_S = 0.5
LAST_REST_S = 4.0
"""A process that ended is started again within seconds. One request after each rest
finds out; it is tried on another backend server if the service still refuses."""


@dataclass(slots=True)
class ServiceHealth:
    """Refused connections in a row; see :func:`make_service_health`."""

    _refusals: int = 0
    _rest_until_s: float = float("-inf")

    def on_refused(self, now_s: float) -> None:
        """Note a refused connection."""
        if now_s < self._rest_until_s:
            return
        rest_s = min(LAST_REST_S, FIRST_REST_S * 2**self._refusals)
        self._refusals += 1
        self._rest_until_s = now_s + rest_s

    def on_answer(self) -> None:
        """Note an answer."""
        self._refusals = 0
        self._rest_until_s = float("-inf")

    def is_offered(self, now_s: float) -> bool:
        """Return whether entries should send requests to the service."""
        return now_s >= self._rest_until_s


def make_service_health() -> ServiceHealth:
    """Return the health of a service that has not refused anything.

    Examples
    --------
    >>> health = make_service_health()
    >>> health.on_refused(now_s=10.0)
    >>> health.is_offered(now_s=10.4), health.is_offered(now_s=10.6)
    (False, True)
    """
    return ServiceHealth()
