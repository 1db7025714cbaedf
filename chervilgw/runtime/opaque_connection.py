"""State of one caller's connection at the server of opaque requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import h11

from chervilgw.core.deployment import CallerLimits
from chervilgw.runtime.memory_totals import head_cost_bytes
from chervilgw.runtime.request_checks import header_bytes

# How long the rest of a refused body is read, so that the caller receives the answer:
# closing with unread bytes would reset the connection.
LINGER_TIMEOUT_S = 2.0
# A request is refused if its body makes no progress for this long.
BODY_STALL_TIMEOUT_S = 5.0


class Phase(Enum):
    """Phase of a caller's connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    LINGERING = "lingering"


@dataclass(slots=True)
class Connection:
    """A caller's connection.

    ``blocked`` is true while the caller leaves too much of its answers unread.
    ``request_bytes`` counts the head and body of the request in progress until its
    answer has ended, since its exchange keeps them.
    """

    sock: Any
    parser: h11.Connection
    phase: Phase = Phase.IDLE
    waiting_since_s: float = 0.0
    exchange: int | None = None
    head: Any = None
    blocked: bool = False
    body: bytearray = field(default_factory=bytearray)
    request_bytes: int = 0

    def begin_request(self, head: h11.Request) -> None:
        """Record the head of a request."""
        self.head = head
        headers = len(head.headers)
        self.request_bytes = head_cost_bytes(headers, header_bytes(head.headers))

    def end_request(self) -> None:
        """Release the request in progress."""
        self.body, self.request_bytes = bytearray(), 0

    def take_body(self) -> bytes:
        """Return the complete body; its exchange keeps it from here on."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def is_overdue(self, limits: CallerLimits, now_s: float) -> bool:
        """Return whether the caller has taken too long for the current phase."""
        limit_s = {
            Phase.IDLE: limits.idle_timeout_s,
            Phase.HEAD: limits.header_timeout_s,
            Phase.BODY: BODY_STALL_TIMEOUT_S,
            Phase.LINGERING: LINGER_TIMEOUT_S,
        }.get(self.phase)
        return limit_s is not None and now_s - self.waiting_since_s > limit_s

    @property
    def ahead_bytes(self) -> int:
        """Return the bytes received and not parsed yet."""
        return len(self.parser.trailing_data[0])

    @property
    def held_bytes(self) -> int:
        """Return the bytes that this connection holds in memory."""
        return self.request_bytes + self.ahead_bytes

    @property
    def must_wait(self) -> bool:
        """Return whether what the caller sends is left in the system's buffers."""
        if self.phase is Phase.LINGERING:
            return False
        return self.blocked or (self.phase is Phase.ANSWERING and self.ahead_bytes > 0)
