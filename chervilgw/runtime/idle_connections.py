"""Open connections to servers that carry no call, kept for the next one.

The HTTP client task owns the sockets; this module decides which of them are kept, for
how long, and which one is used next.
"""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from chervilgw.runtime.events import Headers

MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_CONNECTION_S = 10.0
# An idle connection is closed this long before the server closes it, so that no request
# races with the server's close.
KEEP_ALIVE_MARGIN_S = 1.0

# A server may write any number; one with more digits than that means "long" as well.
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,9})", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection and the parser of its answers, usable until ``expires_s``."""

    sock: Any
    parser: Any
    expires_s: float


@dataclass(slots=True)
class IdleConnections:
    """Idle connections by address; see :func:`make_idle_connections`."""

    _max_per_address: int
    _by_address: defaultdict[str, list[IdleConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _address_of: dict[Any, str] = field(default_factory=dict)

    def has_room(self, address: str) -> bool:
        """Return whether one more connection to an address may be kept."""
        return len(self._by_address[address]) < self._max_per_address

    def keep(self, address: str, connection: IdleConnection) -> None:
        """Keep a connection."""
        self._by_address[address].append(connection)
        self._address_of[connection.sock] = address

    def take(self, address: str) -> IdleConnection | None:
        """Remove and return the newest connection to an address, which may be expired.

        Returns
        -------
        IdleConnection or None
            None if there is none.
        """
        if not self._by_address[address]:
            return None
        connection = self._by_address[address].pop()
        del self._address_of[connection.sock]
        return connection

    def remove(self, sock: Any) -> None:
        """Remove a connection that has ended or received bytes, if it is idle."""
        address = self._address_of.pop(sock, None)
        if address is not None:
            idle = self._by_address[address]
            idle[:] = [item for item in idle if item.sock is not sock]

    def take_expired(self, now_s: float) -> list[IdleConnection]:
        """Remove and return the connections that must not be used any more."""
        expired = [
            item
            for idle in self._by_address.values()
            for item in idle
            if now_s >= item.expires_s
        ]
        for item in expired:
            self.remove(item.sock)
        return expired


def reuse_time_s(headers: Headers) -> float:
    """Return how long a connection may be reused after an answer, in seconds.

    Examples
    --------
    >>> reuse_time_s((("Keep-Alive", "timeout=5"),)), reuse_time_s(())
    (4.0, 10.0)
    """
    for name, value in headers:
        if name.lower() == "keep-alive":
            match = _KEEP_ALIVE_TIMEOUT.search(value)
            if match:
                return min(MAX_IDLE_CONNECTION_S, int(match[1]) - KEEP_ALIVE_MARGIN_S)
    return MAX_IDLE_CONNECTION_S


def make_idle_connections(
    max_per_address: int = MAX_IDLE_PER_ADDRESS,
) -> IdleConnections:
    """Return a record without connections.

    Examples
    --------
    >>> idle = make_idle_connections(max_per_address=1)
    >>> idle.keep("10.0.0.1:80", IdleConnection("sock", None, expires_s=5.0))
    >>> idle.has_room("10.0.0.1:80")
    False
    >>> [item.sock for item in idle.take_expired(now_s=5.0)]
    ['sock']
    """
    return IdleConnections(max_per_address)
