"""Tokens of a customer over a sliding window, summed over all entries.

Each entry keeps what it granted and learns from the others, several times a second,
what they granted. An entry that is silent is taken to use its equal part of the limit
at least, so that entries that cannot reach each other stay within the limit together.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from chervilgw.core.deployment import CustomerRule
from chervilgw.core.ids import CustomerId, Incarnation, VmId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

SILENT_S = 0.8
"""Reports come every 0.2 s; after three are missing a peer counts as silent."""
LOST_S = 20.0
"""A peer that is silent for this long is gone for good: platforms restart a process
within a few seconds."""
RESTART_S = 1.0
"""A process that ended is started again after a second or more; what it granted is at
least that old."""
FORGOTTEN_EXCESS = 1.3
"""What nobody remembers may have been spent late in the window rather than evenly. With
1.15 a customer got 4% beyond the operators' bound after all entries were killed."""
MIN_RETRY_S = 0.05
MAX_RETRY_S = 8.0


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """What is granted beyond a limit, so that none is refused within it.

    The counts of several entries lag and include requests that end up not being run.

    Attributes
    ----------
    fraction : float
        Part of the limit.
    tokens : float
        Tokens on top, where a limit counts tokens.
    """

    fraction: float = 0.0
    tokens: float = 0.0


EXACT = QuotaTolerance()


@dataclass(slots=True)
class _Own:
    """Grants of this entry, and what refused callers were told to come back for."""

    grants: deque = field(default_factory=deque)
    total: int = 0
    promised: deque = field(default_factory=deque)


@dataclass(slots=True)
class _Peer:
    incarnation: Incarnation
    granted: dict[CustomerId, int]
    heard_s: float
    remembers: bool = True
    former: dict[CustomerId, int] = field(default_factory=dict)
    former_until_s: float = 0.0


class WindowQuota:
    """Sliding windows of all customers; see :func:`make_window_quota`."""

    def __init__(
        self, window_s: float, tolerance: QuotaTolerance, began_s: float | None
    ):
        self._window_s = window_s
        self._tolerance = tolerance
        self._began_s = began_s
        self._own: dict[CustomerId, _Own] = {}
        self._peers: dict[VmId, _Peer] = {}

    def on_report(
        self,
        sender: Incarnation,
        granted: dict[CustomerId, int],
        now_s: float,
        remembers: bool = True,
    ) -> None:
        """Take what another entry granted within the window.

        A restarted entry has forgotten what it granted before; that still counts until
        it has left the window.

        Parameters
        ----------
        sender : Incarnation
        granted : dict of CustomerId to int
        now_s : float
            Monotonic time.
        remembers : bool
            Whether the sender has run for a whole window.
        """
        peer = self._peers.get(sender.vm)
        if peer is None:
            self._peers[sender.vm] = _Peer(sender, granted, now_s, remembers)
            return
        if sender.start_ms < peer.incarnation.start_ms:
            return
        if sender != peer.incarnation:
            peer.former, peer.former_until_s = (
                peer.granted,
                peer.heard_s + self._window_s,
            )
            peer.incarnation = sender
        peer.granted, peer.heard_s, peer.remembers = granted, now_s, remembers

    def has_complete_window(self, now_s: float) -> bool:
        """Return whether this entry knows all that it granted within the window."""
        return self._began_s is None or now_s - self._began_s >= self._window_s

    def _forgotten(self, limit: float, now_s: float) -> float:
        """Return what former processes may have granted that nobody remembers.

        A customer at its limit spends it evenly, as its window frees evenly, so what
        may be left of it falls evenly with the time since the start.
        """
        if self.has_complete_window(now_s):
            return 0.0
        live = self._live(now_s)
        known = any(peer.remembers for peer in live)
        part = limit / (1 + len(live)) if known else limit
        elapsed_s = now_s - self._began_s + RESTART_S
        left = FORGOTTEN_EXCESS * (1.0 - elapsed_s / self._window_s)
        return part * min(1.0, max(0.0, left))

    def granted(self, now_s: float) -> dict[CustomerId, int]:
        """Return what this entry granted each customer within the window."""
        for own in self._own.values():
            self._expire(own, now_s)
        return {name: own.total for name, own in self._own.items() if own.total}

    def count_entries(self, now_s: float) -> int:
        """Return the number of entries, this one included, that are not gone."""
        return 1 + len(self._live(now_s))

    def _live(self, now_s: float) -> list[_Peer]:
        return [p for p in self._peers.values() if now_s - p.heard_s < LOST_S]

    def reserve(
        self, rule: CustomerRule, amount: int, now_s: float
    ) -> Result[int, Refusal]:
        """Grant an amount, or refuse it.

        Parameters
        ----------
        rule : CustomerRule
            Limit of the customer; a rate of 0 grants everything.
        amount : int
            Tokens or requests.
        now_s : float
            Monotonic time.

        Returns
        -------
        Result[int, Refusal]
            The amount, to be given back with :meth:`cancel` if it was not run.
        """
        own = self._own.setdefault(rule.customer, _Own())
        self._expire(own, now_s)
        if rule.rate_per_s > 0:
            # A process that has forgotten grants must not add the tolerance to them.
            tolerant = self._limit(rule, self._tolerance)
            limit = (
                tolerant
                if self.has_complete_window(now_s)
                else self._limit(rule, EXACT)
            )
            free = limit - own.total - self._of_peers(rule.customer, limit, now_s)
            free -= self._forgotten(tolerant, now_s)
            if amount > free:
                return Failure(self._refusal(own, amount, free, limit, now_s))
        own.grants.append((now_s, amount))
        own.total += amount
        return Success(amount)

    def _limit(self, rule: CustomerRule, tolerance: QuotaTolerance) -> float:
        limit = rule.rate_per_s * self._window_s + rule.burst
        tokens = tolerance.tokens if rule.counts_tokens else 0.0
        return limit * (1.0 + tolerance.fraction) + tokens

    def cancel(self, customer: CustomerId, amount: int) -> None:
        """Give back a grant that was certainly not run."""
        own = self._own.get(customer)
        if own is None:
            return
        for index in range(len(own.grants) - 1, -1, -1):
            if own.grants[index][1] == amount:
                del own.grants[index]
                own.total -= amount
                return

    def _of_peers(self, customer: CustomerId, limit: float, now_s: float) -> float:
        live = self._live(now_s)
        part = limit / (1 + len(live))
        total = 0.0
        for peer in live:
            granted = peer.granted.get(customer, 0)
            if now_s < peer.former_until_s:
                granted += peer.former.get(customer, 0)
            silent_s = now_s - peer.heard_s
            if silent_s > SILENT_S:
                if silent_s > self._window_s:
                    granted = 0
                granted = max(granted, part)
            total += granted
        return total

    def _expire(self, own: _Own, now_s: float) -> None:
        while own.grants and own.grants[0][0] <= now_s - self._window_s:
            own.total -= own.grants.popleft()[1]

    def _refusal(
        self, own: _Own, amount: int, free: float, limit: float, now_s: float
    ) -> Refusal:
        """Say when enough of the window will have passed for this caller too.

        What other callers were told to come back for is not free for this one.
        """
        while own.promised and own.promised[0][0] <= now_s:
            own.promised.popleft()
        missing = amount - free + sum(each for _, each in own.promised)
        retry_s = MAX_RETRY_S
        freed = 0
        for granted_s, granted in own.grants:
            freed += granted
            if freed >= missing:
                retry_s = granted_s + self._window_s - now_s
                own.promised.append((now_s + retry_s, amount))
                break
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        detail = f"over {limit:.0f} tokens in {self._window_s:g} s"
        return make_refusal(RefusalReason.RATE_EXCEEDED, detail, retry_s)


def make_window_quota(
    window_s: float,
    tolerance: QuotaTolerance = EXACT,
    began_s: float | None = None,
) -> WindowQuota:
    """Return windows without grants.

    Parameters
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    tolerance : QuotaTolerance
        What is granted beyond each limit.
    began_s : float or None
        Monotonic time at which this process began after a former one of the system;
        None if there was none before.

    Examples
    --------
    >>> quota = make_window_quota(8.0)
    >>> rule = CustomerRule(CustomerId("a"), None, 10.0, 20.0, True, 1)
    >>> quota.reserve(rule, 100, now_s=0.0)
    <Success: 100>
    >>> quota.reserve(rule, 1, now_s=1.0).failure().retry_after_s
    7.0
    """
    return WindowQuota(window_s, tolerance, began_s)
