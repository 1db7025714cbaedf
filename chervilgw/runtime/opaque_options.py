"""Options of the server of opaque requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.refusals import Refusal
from chervilgw.runtime.memory_totals import (
    DEFAULT_MEMORY_MB,
    MemoryTotals,
    make_memory_totals,
)


@dataclass(frozen=True, slots=True)
class OpaqueServerOptions:
    """Options of the server task.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    owner : str
        Channel that gets the requests.
    write_refusal : callable
        Encodes a refusal as status, headers and body.
    max_connections : int
        Further connections are closed at once.
    totals : MemoryTotals
        Bounds of what all callers together send and leave unread.
    """

    host: str
    port: int
    owner: str
    write_refusal: Callable[[Refusal], tuple[int, tuple, bytes]]
    max_connections: int
    totals: MemoryTotals = make_memory_totals(DEFAULT_MEMORY_MB)
