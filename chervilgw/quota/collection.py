"""Collections: when to start one, and how the claimant completes it."""

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
MIN_INTERVAL_S = 1.0
# Units that were lost without anybody noticing come back after this time at the latest.
AUDIT_INTERVAL_S = 600.0
# Members wait in turn before they append, so that usually one of them does.
TURN_S = 0.3
LONGEST_TURN_S = 3.0
# An append without a read-back is repeated after this time, at first and at most.
APPEND_RETRY_S = 5.0
APPEND_RETRY_LONGEST_S = 60.0
SNAPSHOT_RESEND_S = 1.0
SNAPSHOT_RESEND_LONGEST_S = 30.0


@dataclass(slots=True)
class Claim:
    """A collection that this process started and that is not complete."""

    offset: Offset
    waiting: set[Incarnation]
    held: Counter[str]


class Retry:
    """Times of repeated attempts, with a growing interval.

    Examples
    --------
    >>> retry = Retry(1.0, 4.0)
    >>> retry.due(0.0), retry.due(0.5), retry.due(1.0), retry.due(2.0), retry.due(3.0)
    (True, False, True, False, True)
    """

    def __init__(self, first_s: float, longest_s: float) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self.reset()

    def reset(self) -> None:
        """Make the next attempt due at once."""
        self._interval_s = self._first_s
        self._at_s = float("-inf")

    def due(self, now_s: float) -> bool:
        """Return whether to attempt now, and if so plan the next attempt."""
        if now_s < self._at_s:
            return False
        self._at_s = now_s + self._interval_s
        self._interval_s = min(self._longest_s, self._interval_s * 2)
        return True


class Collections:
    """Collections as one member sees them.

    Parameters
    ----------
    me : Incarnation
        This process.
    members : Members
        Fold of the stream.
    now_s : float
        Monotonic time.
    """

    def __init__(self, me: Incarnation, members: Members, now_s: float) -> None:
        self._me = me
        self._members = members
        self._random = random.Random(str(me))
        self.claim: Claim | None = None
        self._folded_s = now_s
        self._any_folded = False
        self._needed_since_s: float | None = None
        self._append = Retry(APPEND_RETRY_S, APPEND_RETRY_LONGEST_S)
        self._counter = 0
        self._snapshot: Send | None = None
        self._resend = Retry(SNAPSHOT_RESEND_S, SNAPSHOT_RESEND_LONGEST_S)

    def folded(self, record: Collect, units: Counter[str], now_s: float) -> None:
        """Take the snapshot for a collection; an earlier unfinished one is cancelled.

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
        self._folded_s = now_s
        self._any_folded = True
        self._needed_since_s = None
        self._append.reset()
        self.claim = None
        self._snapshot = None
        if record.claimant == self._me:
            others = set(self._members.live) - {self._me}
            if self._members.complete and self._members.is_member(self._me):
                self.claim = Claim(offset, others, Counter(units))
        elif self._members.is_member(self._me):
            message = ShareSnapshot(offset, self._me, dict(units))
            self._snapshot = Send(record.claimant, message)
            self._resend = Retry(SNAPSHOT_RESEND_S, SNAPSHOT_RESEND_LONGEST_S)

    def peer_connected(self, peer: Incarnation) -> None:
        """Repeat the snapshot at once if the claimant is reachable again."""
        if self._snapshot is not None and self._snapshot.to == peer:
            self._resend.reset()

    def on_snapshot(self, sender: Incarnation, message: ShareSnapshot) -> None:
        """Add a member's units to the claim that it answers."""
        claim = self.claim
        if claim is None or message.collection_offset != claim.offset:
            return
        if message.member == sender and sender in claim.waiting:
            claim.waiting.discard(sender)
            claim.held.update(message.units)

    def finish(
        self, budgets: Callable[[], list[BudgetName]]
    ) -> dict[BudgetName, int] | None:
        """Return the unheld units of each budget once every member has reported.

        ``budgets`` is called only then, since a ledger asks at each tick.
        """
        if self.claim is None or self.claim.waiting:
            return None
        held = self.claim.held
        self.claim = None
        return {name: max(0, SHARE_UNITS - held[name]) for name in budgets()}

    def snapshot_due(
        self, connected: frozenset[Incarnation], now_s: float
    ) -> Send | None:
        """Return the snapshot to send, first or again."""
        snapshot = self._snapshot
        if snapshot is None or snapshot.to not in connected:
            return None
        return snapshot if self._resend.due(now_s) else None

    def start(
        self, gone: frozenset[Incarnation], wanted: bool, now_s: float
    ) -> Collect | None:
        """Return a collection to append now, if one is needed and it is our turn.

        Parameters
        ----------
        gone : frozenset of Incarnation
            Incarnations that the platform's list shows as gone; earlier ones of the
            same VM are gone too.
        wanted : bool
            Whether a budget here seems to have unallocated units.
        now_s : float
            Monotonic time.

        Returns
        -------
        Collect or None
        """
        members = self._members
        if not (members.complete and members.is_member(self._me)):
            return None
        dead = tuple(each for each in members.live if is_gone(each, gone))
        idle_s = now_s - self._folded_s
        lost = dead or members.death_offset >= 0 or not self._any_folded
        if not (lost or wanted or idle_s >= AUDIT_INTERVAL_S):
            self._needed_since_s = None
            return None
        if self._needed_since_s is None:
            self._needed_since_s = now_s
        if now_s < self._needed_since_s + self._turn_s(dead):
            return None
        if idle_s < MIN_INTERVAL_S and self._any_folded:
            return None
        if not self._append.due(now_s):
            return None
        self._counter += 1
        name = f"{self._me}/{self._counter}"
        live = tuple(each for each in members.live if each not in dead)
        all_dead = tuple(sorted(members.dead() | set(dead)))
        return Collect(name, self._me, all_dead, live, members.offset)

    def _turn_s(self, dead: tuple[Incarnation, ...]) -> float:
        live = [each for each in self._members.live if each not in dead]
        if self._me not in live:
            return LONGEST_TURN_S
        # The order rotates with the newest collection, so that one unreachable member
        # does not stay first.
        shift = max(0, self._members.collection_offset)
        rank = (live.index(self._me) + shift) % len(live)
        jitter = self._random.random() * TURN_S / 4
        return min(LONGEST_TURN_S, rank * TURN_S) + jitter
