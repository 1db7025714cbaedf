"""Bounded immutable sequence with lookup by key."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

# Bounds the entries that one append copies.
CHUNK_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class History(Generic[T]):
    """The newest keyed entries, in insertion order.

    Chunk borders depend only on the number of entries ever added, so that replicas
    restored from a snapshot and replicas that replayed the log drop the same entries.

    Parameters
    ----------
    max_chunks : int
        Full chunks retained besides the one being filled.
    count : int
        Entries ever added, including dropped ones.
    chunks : tuple of dict
        Retained entries, oldest chunk first.

    Examples
    --------
    >>> history = History(max_chunks=1).add("a", 1)
    >>> history.get("a"), history.get("b"), len(history)
    (1, None, 1)
    """

    max_chunks: int
    count: int = 0
    chunks: tuple[dict[str, T], ...] = ()

    def add(self, key: str, entry: T) -> History[T]:
        """Return a history with one more entry; the key must be new."""
        if self.count % CHUNK_ENTRIES == 0:
            chunks = (*self.chunks, {key: entry})[-(self.max_chunks + 1) :]
        else:
            chunks = (*self.chunks[:-1], {**self.chunks[-1], key: entry})
        return History(self.max_chunks, self.count + 1, chunks)

    def get(self, key: str) -> T | None:
        """Return the entry with the key, or None."""
        for chunk in reversed(self.chunks):
            if key in chunk:
                return chunk[key]
        return None

    def __iter__(self) -> Iterator[T]:
        for chunk in self.chunks:
            yield from chunk.values()

    def __len__(self) -> int:
        return sum(map(len, self.chunks))
