"""Reservations that wait for units from peers, one queue per budget."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import Incarnation

# A peer that did not answer in this time is passed over; several zones are 1 ms apart.
ANSWER_TIMEOUT_S = 0.08
# After a round in which no peer had anything, wait this long before the next one.
COOLDOWN_S = 0.03
# A peer that gave nothing is not asked again for this time, at first and at most. Under
# overload, when no peer has anything, this bounds the messages.
EMPTY_FIRST_S = 0.05
EMPTY_LONGEST_S = 0.1


@dataclass(slots=True)
class Waiter:
    """One reservation that what is held here cannot grant."""

    token: str
    amount: float
    deadline_s: float


@dataclass(slots=True)
class Round:
    """Peers asked for units of one budget, a few at a time."""

    untried: list[Incarnation]
    asked: dict[Incarnation, float] = field(default_factory=dict)
    gained: int = 0


class WaitingQueue:
    """Reservations of one budget in order of arrival, and the peers asked for them.

    Parameters
    ----------
    seed : str
        Seed of the random order of peers.

    Examples
    --------
    >>> queue = WaitingQueue("e1/1")
    >>> queue.open_round([])
    >>> queue.exhausted
    True
    """

    def __init__(self, seed: str) -> None:
        self.waiters: deque[Waiter] = deque()
        self.round: Round | None = None
        self.cooldown_until_s = float("-inf")
        self._random = random.Random(seed)
        self._last_gift: dict[Incarnation, int] = {}
        # Peers that gave nothing: time of the next request, and the interval after it.
        self._empty: dict[Incarnation, tuple[float, float]] = {}

    @property
    def exhausted(self) -> bool:
        """Whether every peer of the round has answered."""
        current = self.round
        return current is not None and not current.untried and not current.asked

    def askable(self, peers: Iterable[Incarnation], now_s: float) -> list[Incarnation]:
        """Return the peers that did not lately answer that they have nothing."""
        return sorted(p for p in peers if now_s >= self._empty.get(p, (now_s, 0.0))[0])

    def open_round(self, peers: list[Incarnation]) -> None:
        """Start to ask peers; those that gave most last time come first."""
        order = list(peers)
        self._random.shuffle(order)
        order.sort(key=lambda peer: -self._last_gift.get(peer, 0))
        self.round = Round(order)

    def next_peers(self, fanout: int, now_s: float) -> list[Incarnation]:
        """Return the peers to ask now."""
        current = self.round
        if current is None or current.asked:
            return []
        batch, current.untried = current.untried[:fanout], current.untried[fanout:]
        current.asked = dict.fromkeys(batch, now_s + ANSWER_TIMEOUT_S)
        return batch

    def answered(self, peer: Incarnation, units: int, now_s: float) -> None:
        """Record what a peer gave."""
        self._last_gift[peer] = units
        if units:
            self._empty.pop(peer, None)
        else:
            interval_s = self._empty.get(peer, (now_s, EMPTY_FIRST_S))[1]
            longer_s = min(EMPTY_LONGEST_S, 2 * interval_s)
            self._empty[peer] = (now_s + interval_s, longer_s)
        if self.round is not None:
            self.round.asked.pop(peer, None)
            self.round.gained += units

    def expire_asked(self, now_s: float) -> None:
        """Pass over peers that did not answer in time."""
        if self.round is not None:
            asked = self.round.asked
            self.round.asked = {p: until for p, until in asked.items() if until > now_s}

    def keep_peers(self, peers: frozenset[Incarnation]) -> None:
        """Forget peers that are no longer connected."""
        self._last_gift = {p: n for p, n in self._last_gift.items() if p in peers}
        self._empty = {p: when for p, when in self._empty.items() if p in peers}
        if self.round is not None:
            current = self.round
            current.untried = [p for p in current.untried if p in peers]
            current.asked = {p: t for p, t in current.asked.items() if p in peers}
