"""Append-only log: streams, offsets, retention and append rate."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NewType

StreamName = NewType("StreamName", str)
Offset = NewType("Offset", int)
Record = dict[str, Any]

# An idle log accepts this many seconds' worth of appends at once.
BURST_S = 0.25


class ReadState(Enum):
    """Outcome of a read."""

    FOUND = "found"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Slice:
    """Part of a stream: records as ``(offset, time_ms, record)``."""

    state: ReadState
    oldest: Offset
    next: Offset
    records: list[tuple[int, int, Record]] = field(default_factory=list)


@dataclass(slots=True)
class _Stream:
    oldest: int = 0
    records: list[tuple[int, Record]] = field(default_factory=list)

    @property
    def next(self) -> int:
        return self.oldest + len(self.records)


class LogState:
    """All streams of the log.

    Parameters
    ----------
    keep_records : int
        Records kept per stream.
    keep_ms : int
        Age in milliseconds after which records are dropped; 0 keeps them.
    appends_per_s : float
        Appends per second over all streams, whatever number of records each has.
    now_s : float
        Current time.

    Examples
    --------
    >>> log = LogState(keep_records=2, keep_ms=0, appends_per_s=400, now_s=0.0)
    >>> log.append("a", [{"n": 1}, {"n": 2}, {"n": 3}], 0.0, time_ms=5)
    (0, 3)
    >>> log.read("a", 1, 10, time_ms=5).records
    [(1, 5, {'n': 2}), (2, 5, {'n': 3})]
    """

    def __init__(
        self, keep_records: int, keep_ms: int, appends_per_s: float, now_s: float
    ) -> None:
        self._keep_records = keep_records
        self._keep_ms = keep_ms
        self._rate = appends_per_s
        self._burst = max(1.0, appends_per_s * BURST_S)
        self._level = self._burst
        self._level_s = now_s
        self._streams: dict[StreamName, _Stream] = {}

    def append(
        self, name: StreamName, records: list[Record], now_s: float, time_ms: int
    ) -> tuple[Offset, Offset] | None:
        """Append records and return first and next offset; None if over the rate."""
        gained = (now_s - self._level_s) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._level_s = now_s
        if self._level < 1:
            return None
        self._level -= 1
        stream = self._streams.setdefault(name, _Stream())
        first = stream.next
        stream.records.extend((time_ms, record) for record in records)
        self._expire(stream, time_ms)
        return Offset(first), Offset(stream.next)

    def read(self, name: StreamName, start: int, limit: int, time_ms: int) -> Slice:
        """Return at most ``limit`` records from offset ``start`` on."""
        stream = self._streams.get(name, _Stream())
        self._expire(stream, time_ms)
        oldest, end = Offset(stream.oldest), Offset(stream.next)
        if start < oldest:
            return Slice(ReadState.EXPIRED, oldest, end)
        index = start - oldest
        found = [
            (start + position, when_ms, record)
            for position, (when_ms, record) in enumerate(
                stream.records[index : index + limit]
            )
        ]
        return Slice(ReadState.FOUND, oldest, end, found)

    def _expire(self, stream: _Stream, time_ms: int) -> None:
        drop = max(0, len(stream.records) - self._keep_records)
        if self._keep_ms:
            limit_ms = time_ms - self._keep_ms
            while drop < len(stream.records) and stream.records[drop][0] < limit_ms:
                drop += 1
        if drop:
            del stream.records[:drop]
            stream.oldest += drop
