"""Availability of the plain service behind a sidecar, with exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass

# A service process that ended restarts within seconds. After each backoff the next
# request tests the service; if it is refused, the entry tries another backend server.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


@dataclass(slots=True)
class ServiceHealth:
    """Counts consecutive refused connections; see :func:`make_service_health`."""

    _refusals: int = 0
    _backoff_until_s: float = float("-inf")

    def on_refused(self, now_s: float) -> None:
        """Record a refused connection; those during a backoff count once."""
        if now_s < self._backoff_until_s:
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._refusals)
        self._refusals += 1
        self._backoff_until_s = now_s + backoff_s

    def on_answer(self) -> None:
        """Record an answer, which ends the backoff."""
        self._refusals = 0
        self._backoff_until_s = float("-inf")

    def is_available(self, now_s: float) -> bool:
        """Return whether entries should send requests to the service."""
        return now_s >= self._backoff_until_s


def make_service_health() -> ServiceHealth:
    """Return the health of a service without refused connections.

    Examples
    --------
    >>> health = make_service_health()
    >>> health.on_refused(now_s=10.0)
    >>> health.is_available(now_s=10.4), health.is_available(now_s=10.6)
    (False, True)
    """
    return ServiceHealth()
