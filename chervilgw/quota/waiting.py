"""Reservations that wait for units from peers, one queue per budget."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import Incarnation

# Longest wait for a peer's answer; availability zones are about 1 ms apart.
ANSWER_TIMEOUT_S = 0.08
# Pause after a round in which no peer transferred anything.
ROUND_COOLDOWN_S = 0.03
# Pause after a peer transferred nothing. It bounds the messages under overload, when no
# peer has units.
MIN_EMPTY_PEER_PAUSE_S = 0.05
MAX_EMPTY_PEER_PAUSE_S = 0.1


@dataclass(slots=True)
class Waiter:
    """Reservation that the units held here cannot grant yet."""

    token: str
    amount: float
    deadline_s: float


@dataclass(slots=True)
class RequestRound:
    """Requests for units of one budget to all peers, a few at a time.

    ``pending`` maps a peer to the deadline of its answer.
    """

    remaining: list[Incarnation]
    pending: dict[Incarnation, float] = field(default_factory=dict)
    received_units: int = 0


class WaitingQueue:
    """Reservations of one budget in order of arrival, and the requests to peers.

    Parameters
    ----------
    seed : str
        Seed of the random order of peers.

    Examples
    --------
    >>> queue = WaitingQueue("e1/1")
    >>> queue.start_round([])
    >>> queue.is_exhausted
    True
    """

    def __init__(self, seed: str) -> None:
        self.waiters: deque[Waiter] = deque()
        self.round: RequestRound | None = None
        self.cooldown_until_s = float("-inf")
        self._random = random.Random(seed)
        self._last_received: dict[Incarnation, int] = {}
        # Peers that transferred nothing: time of the next request, next interval.
        self._paused: dict[Incarnation, tuple[float, float]] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether every peer of the round has answered."""
        current = self.round
        return current is not None and not current.remaining and not current.pending

    def available_peers(
        self, peers: Iterable[Incarnation], now_s: float
    ) -> list[Incarnation]:
        """Return the peers that are not paused after an empty answer."""
        return sorted(p for p in peers if now_s >= self._paused.get(p, (now_s, 0.0))[0])

    def start_round(self, peers: list[Incarnation]) -> None:
        """Start a round; peers that transferred most last time are first."""
        order = list(peers)
        self._random.shuffle(order)
        order.sort(key=lambda peer: -self._last_received.get(peer, 0))
        self.round = RequestRound(order)

    def next_peers(self, fanout: int, now_s: float) -> list[Incarnation]:
        """Return the peers to send a request to now."""
        current = self.round
        if current is None or current.pending:
            return []
        batch, current.remaining = (
            current.remaining[:fanout],
            current.remaining[fanout:],
        )
        current.pending = dict.fromkeys(batch, now_s + ANSWER_TIMEOUT_S)
        return batch

    def record_answer(self, peer: Incarnation, units: int, now_s: float) -> None:
        """Record the units that a peer transferred."""
        self._last_received[peer] = units
        if units:
            self._paused.pop(peer, None)
        else:
            interval_s = self._paused.get(peer, (now_s, MIN_EMPTY_PEER_PAUSE_S))[1]
            longer_s = min(MAX_EMPTY_PEER_PAUSE_S, 2 * interval_s)
            self._paused[peer] = (now_s + interval_s, longer_s)
        if self.round is not None:
            self.round.pending.pop(peer, None)
            self.round.received_units += units

    def expire_pending(self, now_s: float) -> None:
        """Drop peers that did not answer in time from the round."""
        if self.round is not None:
            pending = self.round.pending
            self.round.pending = {
                p: until for p, until in pending.items() if until > now_s
            }

    def retain_peers(self, peers: frozenset[Incarnation]) -> None:
        """Drop the state of peers that are no longer connected."""
        self._last_received = {
            p: n for p, n in self._last_received.items() if p in peers
        }
        self._paused = {p: when for p, when in self._paused.items() if p in peers}
        if self.round is not None:
            current = self.round
            current.remaining = [p for p in current.remaining if p in peers]
            current.pending = {p: t for p, t in current.pending.items() if p in peers}
