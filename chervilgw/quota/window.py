"""Limit of a customer over a sliding window, summed over all entries.

Each entry records its own grants and receives the grants of its peers several times a
second. A silent peer is counted with at least an equal share of the limit, so that
entries that cannot reach each other stay within the limit together. An entry that has
started again learns from a peer what ended processes had granted, and takes the worst
for true until then.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from chervilgw.core.deployment import CustomerRule
from chervilgw.core.forward_messages import GrantMemory
from chervilgw.core.ids import CustomerId, Incarnation, VmId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.window_peers import make_window_peers

# A restart takes at least this long, so the grants of the ended process are that old.
MIN_RESTART_S = 1.0
# Margin for unknown grants that were made late in the window rather than evenly. 1.15
# let a customer exceed the operators' bound by 4% after all entries were killed.
UNKNOWN_GRANT_FACTOR = 1.3
# Fraction of a limit that may have been granted since the last record of the usage,
# which is a second old or less. A customer within its rate uses a ninth of its limit in
# a second; a fraction of one half also covers bursts at four times the rate.
UNRECORDED_FRACTION = 0.5
# A record that is older says nothing of the window: the store was down, or the clock of
# this VM was set.
MAX_RECORD_AGE_S = 6.0
# From this fraction of its limit on a customer gets what expires, in bursts: most of a
# window may have been granted in its last seconds.
AT_LIMIT_FRACTION = 0.9
MIN_RETRY_S = 0.05
MAX_RETRY_S = 8.0


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Amount granted beyond a limit, so that no request within it is refused.

    The counts of several entries lag and include requests that are never run.

    Attributes
    ----------
    fraction : float
        Fraction of the limit.
    tokens : float
        Tokens added to a limit that counts tokens.
    """

    fraction: float = 0.0
    tokens: float = 0.0


NO_TOLERANCE = QuotaTolerance()


@dataclass(slots=True)
class _LocalGrants:
    """Grants of this entry to one customer.

    ``ever`` counts the grants of all times, less what was cancelled. ``announced``
    holds the retry time and amount of each refused request.
    """

    grants: deque = field(default_factory=deque)
    total: int = 0
    ever: int = 0
    announced: deque = field(default_factory=deque)


class WindowQuota:
    """Windows of all customers at one entry; see :func:`make_window_quota`."""

    def __init__(
        self, window_s: float, tolerance: QuotaTolerance, restarted_s: float | None
    ):
        self._window_s = window_s
        self._tolerance = tolerance
        self._restarted_s = restarted_s
        self._was_told = False
        self._local: dict[CustomerId, _LocalGrants] = {}
        self._peers = make_window_peers(window_s)
        self._recorded: Mapping[CustomerId, int] | None = None
        self._limits: dict[CustomerId, float] = {}

    def set_rules(self, rules: Iterable[CustomerRule]) -> None:
        """Use the limits of a configuration for what is recorded."""
        self._limits = {
            rule.customer: self._limit(rule, self._tolerance)
            for rule in rules
            if rule.rate_per_s > 0
        }

    def on_recorded(self, used: Mapping[CustomerId, int], age_s: float) -> None:
        """Record what customers had used when an earlier process wrote it down.

        It bounds what ended processes may have granted, if all of them ended.

        Parameters
        ----------
        used : mapping of CustomerId to int
        age_s : float
            Age of the record, by the clocks of two VMs.
        """
        if abs(age_s) <= MAX_RECORD_AGE_S:
            self._recorded = used

    def used(self, now_s: float) -> dict[CustomerId, int]:
        """Return the most that each customer may have used within the window.

        This is what the grants of all entries sum up to, and those of ended processes
        that no entry knows.
        """
        used = {}
        for customer, limit in self._limits.items():
            local = self._local.get(customer)
            amount = self._peers.granted(customer, limit, now_s)
            amount += self._unknown_grants(customer, limit, now_s)
            if local is not None:
                self._expire(local, now_s)
                amount += local.total
            if amount > 0:
                used[customer] = int(min(amount, limit))
        return used

    def is_recorder(self, vm: VmId, now_s: float) -> bool:
        """Return whether this entry records the usage: the first of the live ones."""
        heard = self._peers.heard(now_s)
        return all(vm <= peer.incarnation.vm for peer in heard)

    def on_report(
        self,
        sender: Incarnation,
        granted: Mapping[CustomerId, int],
        now_s: float,
        is_informed: bool = True,
        granted_ever: Mapping[CustomerId, int] | None = None,
        sequence: int = 0,
    ) -> None:
        """Record what a peer granted within the window.

        Parameters
        ----------
        sender : Incarnation
        granted : mapping of CustomerId to int
        now_s : float
            Monotonic time.
        is_informed : bool
            Whether the sender knows what ended processes granted.
        granted_ever : mapping of CustomerId to int or None
            What the sender granted since its start, less what was cancelled.
        sequence : int
            Number of the report. One that an earlier report of the process exceeds is
            ignored; 0 means that it bears none.
        """
        self._peers.on_report(
            sender, granted, now_s, is_informed, granted_ever or {}, sequence
        )

    def is_informed(self, now_s: float) -> bool:
        """Return whether this entry knows what ended processes granted."""
        return self._was_told or self.has_complete_window(now_s)

    def memory_for(
        self, receiver: VmId, own: Incarnation, now_s: float
    ) -> GrantMemory | None:
        """Return what a started entry is to be told, or None if others tell it."""
        if not self.is_informed(now_s):
            return None
        if not self._peers.is_informant(own.vm, receiver, now_s):
            return None
        return self._peers.memory(own, receiver, now_s)

    def on_memory(self, memory: GrantMemory, now_s: float) -> bool:
        """Apply what an informed peer remembers; return whether that was needed."""
        if self.is_informed(now_s):
            return False
        self._peers.on_memory(memory, now_s)
        self._was_told = True
        return True

    def has_complete_window(self, now_s: float) -> bool:
        """Return whether this entry has run for a window, or was the first to start."""
        return self._restarted_s is None or now_s - self._restarted_s >= self._window_s

    def _unknown_grants(
        self, customer: CustomerId, limit: float, now_s: float
    ) -> float:
        """Return an upper bound on grants of ended processes that no entry knows.

        The bound falls linearly with the time since the restart, unless the customer
        was at its limit.
        """
        if self.is_informed(now_s):
            return 0.0
        bound = self._unknown_bound(customer, limit)
        if self._was_at_limit(customer, limit):
            return bound
        elapsed_s = now_s - self._restarted_s + MIN_RESTART_S
        remaining_fraction = UNKNOWN_GRANT_FACTOR * (1.0 - elapsed_s / self._window_s)
        return bound * min(1.0, max(0.0, remaining_fraction))

    def _unknown_bound(self, customer: CustomerId, limit: float) -> float:
        """Return what ended processes may have granted just before they ended."""
        if self._recorded is None:
            return limit
        recorded = self._recorded.get(customer, 0)
        return min(limit, recorded + UNRECORDED_FRACTION * limit)

    def _was_at_limit(self, customer: CustomerId, limit: float) -> bool:
        recorded = (self._recorded or {}).get(customer, 0)
        return recorded >= AT_LIMIT_FRACTION * limit

    def granted(self, now_s: float) -> dict[CustomerId, int]:
        """Return the amounts that this entry granted each customer in the window."""
        for local in self._local.values():
            self._expire(local, now_s)
        return {name: local.total for name, local in self._local.items() if local.total}

    def granted_ever(self) -> dict[CustomerId, int]:
        """Return what this entry granted each customer since its start, if not 0."""
        return {name: local.ever for name, local in self._local.items() if local.ever}

    def count_entries(self, now_s: float) -> int:
        """Return the number of live entries, including this one."""
        return 1 + len(self._peers.live(now_s))

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
            The amount, to be returned with :meth:`cancel` if it was not run.
        """
        local = self._local.setdefault(rule.customer, _LocalGrants())
        self._expire(local, now_s)
        if rule.rate_per_s > 0:
            # The ended process may have granted the tolerance already.
            tolerant = self._limit(rule, self._tolerance)
            limit = (
                tolerant
                if self.has_complete_window(now_s)
                else self._limit(rule, NO_TOLERANCE)
            )
            free = (
                limit - local.total - self._peers.granted(rule.customer, limit, now_s)
            )
            free -= self._unknown_grants(rule.customer, tolerant, now_s)
            if amount > free:
                return Failure(self._make_refusal(rule, amount, free, limit, now_s))
        local.grants.append((now_s, amount))
        local.total += amount
        local.ever += amount
        return Success(amount)

    def _limit(self, rule: CustomerRule, tolerance: QuotaTolerance) -> float:
        limit = rule.rate_per_s * self._window_s + rule.burst
        tokens = tolerance.tokens if rule.counts_tokens else 0.0
        return limit * (1.0 + tolerance.fraction) + tokens

    def cancel(self, customer: CustomerId, amount: int, granted_s: float) -> None:
        """Return a grant that was certainly not run.

        The time of the grant tells it from others of the same amount, which may have
        been run and expire at another time.
        """
        local = self._local.get(customer)
        if local is not None and (granted_s, amount) in local.grants:
            local.grants.remove((granted_s, amount))
            local.total -= amount
            local.ever -= amount

    def _expire(self, local: _LocalGrants, now_s: float) -> None:
        while local.grants and local.grants[0][0] <= now_s - self._window_s:
            local.total -= local.grants.popleft()[1]

    def _make_refusal(
        self,
        rule: CustomerRule,
        amount: int,
        free: float,
        limit: float,
        now_s: float,
    ) -> Refusal:
        """Return a refusal with the time at which the amount will be free.

        Amounts announced to other refused callers do not count as free.
        """
        local = self._local[rule.customer]
        while local.announced and local.announced[0][0] <= now_s:
            local.announced.popleft()
        missing = (
            amount
            - free
            + sum(announced_amount for _, announced_amount in local.announced)
        )
        wait_s = self._wait_until_free_s(rule, local, missing, now_s)
        if wait_s is not None:
            local.announced.append((now_s + wait_s, amount))
        retry_after_s = MAX_RETRY_S if wait_s is None else wait_s
        retry_after_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_after_s))
        detail = f"over {limit:.0f} tokens in {self._window_s:g} s"
        return make_refusal(RefusalReason.RATE_EXCEEDED, detail, retry_after_s)

    def _wait_until_free_s(
        self, rule: CustomerRule, local: _LocalGrants, missing: float, now_s: float
    ) -> float | None:
        """Return when grants of this entry and of ended processes have freed an amount.

        Those of other entries would have to be searched at each refusal.
        """
        if not self.is_informed(now_s):
            return self._wait_after_restart_s(rule, missing, now_s)
        freed, ended = 0, list(self._peers.ended_steps(rule.customer, now_s))
        grants = sorted([*ended, *local.grants]) if ended else local.grants
        for granted_s, granted in grants:
            freed += granted
            if freed >= missing:
                return granted_s + self._window_s - now_s
        return None

    def _wait_after_restart_s(
        self, rule: CustomerRule, missing: float, now_s: float
    ) -> float | None:
        """Return when the bound on unknown grants has fallen by an amount."""
        limit = self._limit(rule, self._tolerance)
        if self._was_at_limit(rule.customer, limit):
            return self._restarted_s + self._window_s - now_s
        bound = self._unknown_bound(rule.customer, limit)
        target = self._unknown_grants(rule.customer, limit, now_s) - missing
        if target < 0 or bound <= 0:
            return None
        fall_s = self._window_s * (1.0 - target / (UNKNOWN_GRANT_FACTOR * bound))
        return fall_s - MIN_RESTART_S + self._restarted_s - now_s


def make_window_quota(
    window_s: float,
    tolerance: QuotaTolerance = NO_TOLERANCE,
    restarted_s: float | None = None,
) -> WindowQuota:
    """Return windows without grants.

    Parameters
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    tolerance : QuotaTolerance
        Amount granted beyond each limit.
    restarted_s : float or None
        Monotonic time at which this process started; None at the first start of the
        system, when no earlier process can have granted anything.

    Examples
    --------
    >>> quota = make_window_quota(8.0)
    >>> rule = CustomerRule(CustomerId("a"), None, 10.0, 20.0, True, 1)
    >>> quota.reserve(rule, 100, now_s=0.0)
    <Success: 100>
    >>> quota.reserve(rule, 1, now_s=1.0).failure().retry_after_s
    7.0
    """
    return WindowQuota(window_s, tolerance, restarted_s)
