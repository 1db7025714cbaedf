"""Options of an HTTP server task."""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.runtime.http_guard import GuardLimits
from chervilgw.runtime.memory_totals import (
    DEFAULT_MEMORY_MB,
    PARSER_BYTES,
    MemoryTotals,
    make_memory_totals,
)


@dataclass(frozen=True, slots=True)
class HttpServerOptions:
    """Options of an HTTP server task.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    owner : str
        Channel that gets the requests.
    limits : GuardLimits
        Limits of what a caller may send.
    max_connections : int
        Further connections are closed at once.
    write_limit_bytes : int
        A caller that leaves more than this unread is disconnected.
    certfile, keyfile : str or None
        TLS certificate and key.
    totals : MemoryTotals
        Bounds of what all callers together send and leave unread.
    """

    host: str
    port: int
    owner: str
    limits: GuardLimits = field(default_factory=GuardLimits)
    max_connections: int = 2000
    write_limit_bytes: int = 8_388_608
    certfile: str | None = None
    keyfile: str | None = None
    totals: MemoryTotals = make_memory_totals(DEFAULT_MEMORY_MB)

    @property
    def input_limit_bytes(self) -> int:
        """Return the bound on what all callers send; one request always fits."""
        limits = self.limits
        # A chunked body may have as many bytes of framing as of content.
        request_bytes = 2 * limits.max_body_bytes + limits.max_head_bytes + PARSER_BYTES
        return max(self.totals.input_bytes, request_bytes)
