"""Bounds of the memory that callers' requests and unread answers may take."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from chervilgw.core.deployment import CallerLimits

# Memory of a VM for which the totals below are stated.
DEFAULT_MEMORY_MB = 300
# An idle process needs less than this; the totals scale with the rest of the memory,
# which leaves room for copies of a body while it is passed on.
PROCESS_MEMORY_MB = 60
# Bytes of requests that are being read, wait behind another or are in progress.
DEFAULT_INPUT_BYTES = 67_108_864
# Bytes of answers that all callers together may leave unread.
DEFAULT_UNREAD_BYTES = 16_777_216
# A page of metrics is smaller, so that a listener with a small fraction sends it.
MIN_UNREAD_BYTES = 1_048_576
MIN_SCALE = 0.05
# What the parsed forms of one header take beside its bytes, if all names differ.
HEADER_COST_BYTES = 400
# The shortest header has a name of one byte, and four bytes that separate.
MIN_HEADER_BYTES = 5
# What a parser may hold beside a head and a body: two reads, and chunk framing.
PARSER_BYTES = 65_536


class DropReason(Enum):
    """Why a caller's connection was closed to keep a total."""

    UNREAD_ANSWERS = "unread_answers"
    HELD_INPUT = "held_input"


@dataclass(frozen=True, slots=True)
class MemoryTotals:
    """Totals of one listener; see :func:`make_memory_totals`."""

    input_bytes: int
    unread_bytes: int


def make_memory_totals(memory_mb: int, fraction: float = 1.0) -> MemoryTotals:
    """Return the totals of a listener in a VM.

    Parameters
    ----------
    memory_mb : int
        Memory of the VM.
    fraction : float
        Fraction of the process's totals that this listener gets.

    Returns
    -------
    MemoryTotals

    Examples
    --------
    >>> make_memory_totals(300)
    MemoryTotals(input_bytes=67108864, unread_bytes=16777216)
    >>> make_memory_totals(180).input_bytes
    33554432
    """
    spare_mb = DEFAULT_MEMORY_MB - PROCESS_MEMORY_MB
    scale = max(MIN_SCALE, (memory_mb - PROCESS_MEMORY_MB) / spare_mb) * fraction
    return MemoryTotals(
        input_bytes=int(DEFAULT_INPUT_BYTES * scale),
        unread_bytes=max(MIN_UNREAD_BYTES, int(DEFAULT_UNREAD_BYTES * scale)),
    )


def head_cost_bytes(headers: int, size_bytes: int) -> int:
    """Return the memory of a parsed head with a number of headers and a size.

    Examples
    --------
    >>> head_cost_bytes(2, 50)
    850
    """
    return size_bytes + HEADER_COST_BYTES * headers


def input_limit_bytes(totals: MemoryTotals, limits: CallerLimits) -> int:
    """Return the bound on the bytes that all connections of a listener hold.

    It is never below what one request within the limits takes, so that such a request
    is not refused while there is no other load.

    Examples
    --------
    >>> limits = CallerLimits(16_384, 4_194_304, 3.0, 15.0)
    >>> input_limit_bytes(MemoryTotals(1_000_000, 0), limits)
    5586624
    """
    headers = limits.max_header_bytes // MIN_HEADER_BYTES
    head_bytes = head_cost_bytes(headers, limits.max_header_bytes)
    return max(totals.input_bytes, limits.max_body_bytes + head_bytes + PARSER_BYTES)


class HeldBytes:
    """Bytes that each connection holds; see :func:`make_held_bytes`."""

    def __init__(self):
        self._held_bytes: dict[Hashable, int] = {}
        self.total_bytes = 0

    def of(self, key: Hashable) -> int:
        """Return the bytes of a connection."""
        return self._held_bytes.get(key, 0)

    def put(self, key: Hashable, held_bytes: int) -> None:
        """Replace the bytes of a connection; with 0 it is forgotten."""
        self.total_bytes += held_bytes - self._held_bytes.pop(key, 0)
        if held_bytes:
            self._held_bytes[key] = held_bytes

    def add(self, key: Hashable, further_bytes: int) -> None:
        """Count further bytes of a connection."""
        self.put(key, self.of(key) + further_bytes)

    def largest(self) -> Hashable | None:
        """Return the connection that holds the most bytes, or None."""
        held_bytes = self._held_bytes
        return max(held_bytes, key=held_bytes.__getitem__) if held_bytes else None


def make_held_bytes() -> HeldBytes:
    """Return an account in which no connection holds any bytes.

    Examples
    --------
    >>> held = make_held_bytes()
    >>> held.put("a", 3)
    >>> held.add("b", 5)
    >>> held.total_bytes, held.largest()
    (8, 'b')
    """
    return HeldBytes()
