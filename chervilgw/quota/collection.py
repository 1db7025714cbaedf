"""Collections: when to start one, and how the claimant completes it.

In a collection each member reports its units to one member, the claimant, which takes
the units that no member holds.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareSnapshot
from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.members import Members, is_gone
from chervilgw.quota.records import Collect, Send

# Time between two collections; each costs one message per member.
MIN_COLLECTION_INTERVAL_S = 1.0
# Units whose loss no entry detected are collected after at most this time.
AUDIT_INTERVAL_S = 600.0
# Members delay their append by rank, so that usually only one of them appends.
CLAIM_STAGGER_S = 0.3
MAX_CLAIM_STAGGER_S = 3.0
# Interval after which an append that was not read back is repeated.
MIN_APPEND_RETRY_S = 5.0
MAX_APPEND_RETRY_S = 60.0
MIN_SNAPSHOT_RESEND_S = 1.0
MAX_SNAPSHOT_RESEND_S = 30.0


@dataclass(slots=True)
class Claim:
    """A collection that this process started and that is not complete."""

    offset: Offset
    pending: set[Incarnation]
    held: Counter[str]


class RetrySchedule:
    """Times of repeated attempts, with a growing interval.

    Examples
    --------
    >>> retry = RetrySchedule(1.0, 4.0)
    >>> retry.due(0.0), retry.due(0.5), retry.due(1.0), retry.due(2.0), retry.due(3.0)
    (True, False, True, False, True)
    """

    def __init__(self, min_interval_s: float, max_interval_s: float) -> None:
        self._min_interval_s = min_interval_s
        self._max_interval_s = max_interval_s
        self.reset()

    def reset(self) -> None:
        """Make the next attempt due at once."""
        self._interval_s = self._min_interval_s
        self._next_s = float("-inf")

    def due(self, now_s: float) -> bool:
        """Return whether an attempt is due, and if so schedule the next one."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        self._interval_s = min(self._max_interval_s, self._interval_s * 2)
        return True


class Collections:
    """State of collections at one member.

    Parameters
    ----------
    local : Incarnation
        This process.
    members : Members
        Fold of the stream.
    now_s : float
        Monotonic time.
    """

    def __init__(self, local: Incarnation, members: Members, now_s: float) -> None:
        self._local = local
        self._members = members
        self._random = random.Random(str(local))
        self.claim: Claim | None = None
        self._last_collection_s = now_s
        self._has_collection = False
        self._needed_since_s: float | None = None
        self._append = RetrySchedule(MIN_APPEND_RETRY_S, MAX_APPEND_RETRY_S)
        self._counter = 0
        self._snapshot: Send | None = None
        self._resend = RetrySchedule(MIN_SNAPSHOT_RESEND_S, MAX_SNAPSHOT_RESEND_S)

    def on_collection(self, record: Collect, units: Counter[str], now_s: float) -> None:
        """Record the snapshot for a collection, and cancel an earlier unfinished one.

        Parameters
        ----------
        record : Collect
            The collection.
        units : Counter
            Units held here, unanswered outgoing ones included.
        now_s : float
            Monotonic time.
        """
        offset = self._members.collection_offset
        self._last_collection_s = now_s
        self._has_collection = True
        self._needed_since_s = None
        self._append.reset()
        self.claim = None
        self._snapshot = None
        if record.claimant == self._local:
            peers = set(self._members.live) - {self._local}
            if self._members.complete and self._members.is_member(self._local):
                self.claim = Claim(offset, peers, Counter(units))
        elif self._members.is_member(self._local):
            message = ShareSnapshot(offset, self._local, dict(units))
            self._snapshot = Send(record.claimant, message)
            self._resend = RetrySchedule(MIN_SNAPSHOT_RESEND_S, MAX_SNAPSHOT_RESEND_S)

    def on_peer_connected(self, peer: Incarnation) -> None:
        """Repeat the snapshot at once if the claimant is reachable again."""
        if self._snapshot is not None and self._snapshot.to == peer:
            self._resend.reset()

    def on_snapshot(self, sender: Incarnation, message: ShareSnapshot) -> None:
        """Add a member's units to the claim that it answers."""
        claim = self.claim
        if claim is None or message.collection_offset != claim.offset:
            return
        if message.member == sender and sender in claim.pending:
            claim.pending.discard(sender)
            claim.held.update(message.units)

    def finish(
        self, budgets: Callable[[], list[BudgetName]]
    ) -> dict[BudgetName, int] | None:
        """Return the unheld units of each budget once every member has reported.

        ``budgets`` is called only then, since the ledger calls this at each tick.
        """
        if self.claim is None or self.claim.pending:
            return None
        held = self.claim.held
        self.claim = None
        return {name: max(0, SHARE_UNITS - held[name]) for name in budgets()}

    def snapshot_due(
        self, connected: frozenset[Incarnation], now_s: float
    ) -> Send | None:
        """Return the snapshot if it is due to be sent or repeated."""
        snapshot = self._snapshot
        if snapshot is None or snapshot.to not in connected:
            return None
        return snapshot if self._resend.due(now_s) else None

    def next_collection(
        self, gone: frozenset[Incarnation], units_missing: bool, now_s: float
    ) -> Collect | None:
        """Return a collection to append now, if one is needed and this member is next.

        Parameters
        ----------
        gone : frozenset of Incarnation
            Incarnations that are no longer registered; earlier ones of the same VM are
            gone too.
        units_missing : bool
            Whether a budget here seems to have unallocated units.
        now_s : float
            Monotonic time.

        Returns
        -------
        Collect or None
        """
        members = self._members
        if not (members.complete and members.is_member(self._local)):
            return None
        dead = tuple(member for member in members.live if is_gone(member, gone))
        idle_s = now_s - self._last_collection_s
        required = dead or members.death_offset >= 0 or not self._has_collection
        if not (required or units_missing or idle_s >= AUDIT_INTERVAL_S):
            self._needed_since_s = None
            return None
        if self._needed_since_s is None:
            self._needed_since_s = now_s
        if now_s < self._needed_since_s + self._stagger_delay_s(dead):
            return None
        if idle_s < MIN_COLLECTION_INTERVAL_S and self._has_collection:
            return None
        if not self._append.due(now_s):
            return None
        self._counter += 1
        name = f"{self._local}/{self._counter}"
        live = tuple(member for member in members.live if member not in dead)
        all_dead = tuple(sorted(members.dead() | set(dead)))
        return Collect(name, self._local, all_dead, live, members.offset)

    def _stagger_delay_s(self, dead: tuple[Incarnation, ...]) -> float:
        live = [member for member in self._members.live if member not in dead]
        if self._local not in live:
            return MAX_CLAIM_STAGGER_S
        # The order rotates with the offset of the newest collection, so that an
        # unreachable member does not stay first.
        shift = max(0, self._members.collection_offset)
        rank = (live.index(self._local) + shift) % len(live)
        jitter = self._random.random() * CLAIM_STAGGER_S / 4
        return min(MAX_CLAIM_STAGGER_S, rank * CLAIM_STAGGER_S) + jitter
