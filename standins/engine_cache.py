"""Prefix cache of the engine: blocks of prompt tokens, least recently used first."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum
from typing import NewType

import xxhash

BlockHash = NewType("BlockHash", str)

BLOCK_TOKENS = 16
KEPT_EVENTS = 10_000


class CacheChange(Enum):
    """What happened to a block."""

    STORED = "stored"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache; a gap in ``sequence`` is a lost event."""

    sequence: int
    change: CacheChange
    model: str
    block: BlockHash
    time_s: float


class PrefixCache:
    """Cached prompt prefixes.

    Parameters
    ----------
    capacity_tokens : int
        Tokens that fit.
    lag_s : float
        Age at which an event becomes visible.
    gap_every : int
        Every n-th event is lost; 0 loses none.

    Examples
    --------
    >>> cache = PrefixCache(capacity_tokens=64, lag_s=0.0, gap_every=0)
    >>> words = [str(n) for n in range(40)]
    >>> cache.use("m", words, now_s=0.0), cache.use("m", words, now_s=0.0)
    (0, 32)
    """

    def __init__(self, capacity_tokens: int, lag_s: float, gap_every: int) -> None:
        self._blocks_max = capacity_tokens // BLOCK_TOKENS
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._blocks: OrderedDict[BlockHash, str] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)
        self._sequence = 0

    def use(self, model: str, words: list[str], now_s: float) -> int:
        """Store a prompt's whole blocks; return the tokens that were cached before."""
        hits = 0
        missed = False
        parent = model
        for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            text = " ".join(words[start : start + BLOCK_TOKENS])
            parent = block = BlockHash(xxhash.xxh64_hexdigest(f"{parent}\n{text}"))
            if block in self._blocks:
                self._blocks.move_to_end(block)
                hits += not missed
            else:
                missed = True
                self._blocks[block] = model
                self._record(CacheChange.STORED, model, block, now_s)
        while len(self._blocks) > self._blocks_max:
            block, owner = self._blocks.popitem(last=False)
            self._record(CacheChange.REMOVED, owner, block, now_s)
        return hits * BLOCK_TOKENS

    def clear(self, model: str, now_s: float) -> None:
        """Remove the blocks of an unloaded model."""
        for block in [block for block, owner in self._blocks.items() if owner == model]:
            del self._blocks[block]
            self._record(CacheChange.REMOVED, model, block, now_s)

    def events(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the visible events with a sequence above ``after``."""
        latest_s = now_s - self._lag_s
        return [
            event
            for event in self._events
            if event.sequence > after and event.time_s <= latest_s
        ]

    def _record(
        self, change: CacheChange, model: str, block: BlockHash, now_s: float
    ) -> None:
        self._sequence += 1
        if not self._gap_every or self._sequence % self._gap_every:
            event = CacheEvent(self._sequence, change, model, block, now_s)
            self._events.append(event)
