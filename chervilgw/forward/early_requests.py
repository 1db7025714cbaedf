"""Requests that arrive before an entry has read its configuration.

After a restart of all entries callers reconnect at once, while the configuration is
still on its way. Most callers retry only once, and a refusal at that moment takes this
retry from them. An early request is therefore held for a short time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import OpaqueRequest
from chervilgw.runtime.events import HttpRequest

# A configuration of hundreds of kilobytes takes a second on a link of 5 Mbit/s.
MAX_HOLD_S = 1.0
# Fraction of the caller's wait that a request may be held; the rest is for its server.
HOLD_FRACTION = 0.25
# Requests and bytes of bodies that are held; an entry's VM has 160 MB or more.
MAX_HELD_REQUESTS = 256
MAX_HELD_BYTES = 8_388_608


@dataclass(frozen=True, slots=True)
class EarlyRequest:
    """A held request, its decoded form, and when it is refused."""

    http: HttpRequest
    opaque: OpaqueRequest
    until_s: float


@dataclass(slots=True)
class EarlyRequests:
    """Held requests in the order of arrival; see :func:`make_early_requests`."""

    _held: dict[int, EarlyRequest] = field(default_factory=dict)
    _bytes: int = 0

    def hold(self, http: HttpRequest, opaque: OpaqueRequest, now_s: float) -> bool:
        """Hold a request; return False if it has to be refused instead.

        Parameters
        ----------
        http : HttpRequest
        opaque : OpaqueRequest
            Decoded request, which states how long its caller waits.
        now_s : float
            Monotonic time.
        """
        size_bytes = self._bytes + len(http.body)
        if len(self._held) >= MAX_HELD_REQUESTS or size_bytes > MAX_HELD_BYTES:
            return False
        hold_s = MAX_HOLD_S
        if opaque.max_wait_s is not None:
            hold_s = min(hold_s, HOLD_FRACTION * opaque.max_wait_s)
        self._held[http.exchange] = EarlyRequest(http, opaque, now_s + hold_s)
        self._bytes = size_bytes
        return True

    def drop(self, exchange: int) -> bool:
        """Drop the request of a caller that left; return whether it was held."""
        early = self._held.pop(exchange, None)
        if early is not None:
            self._bytes -= len(early.http.body)
        return early is not None

    def take_all(self) -> list[EarlyRequest]:
        """Remove and return all requests, as the configuration is known."""
        held = list(self._held.values())
        self._held.clear()
        self._bytes = 0
        return held

    def take_expired(self, now_s: float) -> list[EarlyRequest]:
        """Remove and return the requests that cannot be held any longer."""
        expired = [early for early in self._held.values() if now_s >= early.until_s]
        for early in expired:
            self.drop(early.http.exchange)
        return expired


def make_early_requests() -> EarlyRequests:
    """Return an empty queue of early requests."""
    return EarlyRequests()
