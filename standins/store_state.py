"""Limits of the weight store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Rate, burst and number of concurrent loads, and how long a load takes."""

    loads_per_s: float = 3.0
    burst: float = 3.0
    at_once: int = 10
    load_s: float = 0.5
    bytes_per_s: float = 0.0

    def duration_s(self, size_bytes: int) -> float:
        """Return how long a load takes.

        Examples
        --------
        >>> StoreLimits(load_s=0.5, bytes_per_s=100.0).duration_s(50)
        1.0
        """
        transfer_s = size_bytes / self.bytes_per_s if self.bytes_per_s else 0.0
        return self.load_s + transfer_s


class StoreState:
    """Loads in progress and counts.

    Parameters
    ----------
    limits : StoreLimits
        What the store allows.
    now_s : float
        Current time.

    Examples
    --------
    >>> store = StoreState(StoreLimits(loads_per_s=1.0, burst=1.0), now_s=0.0)
    >>> store.start(0.0), store.start(0.5), store.start(1.0)
    (True, False, True)
    >>> store.started, store.refused, store.peak_at_once
    (2, 1, 2)
    """

    def __init__(self, limits: StoreLimits, now_s: float) -> None:
        self.limits = limits
        self.started = 0
        self.refused = 0
        self.running = 0
        self.peak_at_once = 0
        self._level = limits.burst
        self._level_s = now_s

    def start(self, now_s: float) -> bool:
        """Start a load, or count a refusal."""
        gained = (now_s - self._level_s) * self.limits.loads_per_s
        self._level = min(self.limits.burst, self._level + gained)
        self._level_s = now_s
        if self._level < 1 or self.running >= self.limits.at_once:
            self.refused += 1
            return False
        self._level -= 1
        self.started += 1
        self.running += 1
        self.peak_at_once = max(self.peak_at_once, self.running)
        return True

    def finish(self) -> None:
        """End a load."""
        self.running -= 1
