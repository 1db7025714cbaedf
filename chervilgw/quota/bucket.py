"""Token bucket of one holder, with outstanding debits and exact refunds.

The invariant is ``level + outstanding <= cap``. A debit stays outstanding until its run
is confirmed to have started, so a holder that was paused between debit and run cannot
grant a refilled bucket in addition to the debited tokens.
"""

from __future__ import annotations

from typing import NewType

from returns.result import Failure, Result, Success

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.errors import QuotaError

SHARE_UNITS = 1_000_000
# Largest fraction of a bucket that is reserved for refused debits.
MAX_RESERVED_FRACTION = 0.5
# Time after its retry time in which a refused caller has to return.
RETRY_GRACE_S = 1.0

DebitId = NewType("DebitId", int)


class TokenBucket:
    """Token bucket over a share of a budget's rate and burst.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate and burst of the whole budget.
    units : int
        Share of the budget held here, in millionths.
    level : float
        Tokens available at the start.
    now_s : float
        Monotonic time.
    """

    def __init__(
        self, rate_per_s: float, burst: float, units: int, level: float, now_s: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.units = units
        self.level = level
        self.outstanding = 0.0
        self._time_s = now_s
        self._counter = 0
        self._unstarted: dict[DebitId, float] = {}
        # Started charges in start order: [charge, smallest headroom between this start
        # and the next one]. The smallest headroom since a start is the minimum over
        # this and all later items.
        self._started: dict[DebitId, list[float]] = {}
        # Level below which no debit is granted until a time, for a refused debit.
        self._reserved_level = 0.0
        self._reserved_until_s = now_s

    @property
    def cap(self) -> float:
        """Return the limit of level and outstanding tokens together."""
        return self.burst * self.units / SHARE_UNITS

    @property
    def open_debits(self) -> int:
        """Return the number of debits that are neither settled nor cancelled."""
        return len(self._unstarted) + len(self._started)

    def advance(self, now_s: float) -> None:
        """Refill up to a time; a time in the past changes nothing."""
        if now_s <= self._time_s:
            return
        headroom = self.cap - self.level - self.outstanding
        gain = self.rate_per_s * self.units / SHARE_UNITS * (now_s - self._time_s)
        self._time_s = now_s
        self.level += max(0.0, min(gain, headroom))
        self._record_headroom()

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        """Debit tokens for a run that has not started yet.

        Parameters
        ----------
        amount : float
            Tokens to charge at most.
        now_s : float
            Monotonic time.

        Returns
        -------
        Result
            The debit's id, or a refusal with the reason.
        """
        if amount < 0:
            raise QuotaError(f"debit of {amount} tokens is negative")
        self.advance(now_s)
        if amount > self.burst:
            return Failure(refuse_larger_than_burst(amount, self.burst))
        needed = self._needed_level(amount, now_s)
        if needed > self.level:
            refusal = refuse_rate_exceeded(needed - self.level, self.rate_per_s)
            self._reserve_level(amount, now_s + refusal.retry_after_s + RETRY_GRACE_S)
            return Failure(refusal)
        self.level -= amount
        self.outstanding += amount
        self._counter += 1
        debit_id = DebitId(self._counter)
        self._unstarted[debit_id] = amount
        return Success(debit_id)

    def _needed_level(self, amount: float, now_s: float) -> float:
        """Return the level at which a debit is granted.

        Without the reserved level small debits would take each refilled token, and a
        large debit would never be granted.
        """
        reserved = self._reserved_level if now_s < self._reserved_until_s else 0.0
        return max(amount, min(reserved, MAX_RESERVED_FRACTION * self.cap))

    def _reserve_level(self, amount: float, until_s: float) -> None:
        if self._reserved_until_s <= self._time_s or amount >= self._reserved_level:
            self._reserved_level, self._reserved_until_s = amount, until_s

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        """Record that the run of a debit has started: it is no longer outstanding."""
        amount = self._unstarted.pop(debit_id, None)
        if amount is None:
            return
        self.advance(now_s)
        self._reduce_outstanding(amount)
        self._started[debit_id] = [amount, float("inf")]
        self._record_headroom()

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> float:
        """End a run and refund what it did not use.

        The refund is what the bucket would hold in addition if only ``used`` had been
        charged: at most the smallest headroom since the start, less refunds since.

        Parameters
        ----------
        debit_id : DebitId
            Debit to end; unknown ones are ignored.
        used : float
            Tokens that the run used.
        now_s : float
            Monotonic time.

        Returns
        -------
        float
            Tokens credited.
        """
        self.confirm_start(debit_id, now_s)
        if debit_id not in self._started:
            return 0.0
        self.advance(now_s)
        order = list(self._started)
        position = order.index(debit_id)
        since = [self._started[name] for name in order[position:]]
        unused = since[0][0] - max(0.0, float(used))
        refund = max(0.0, min(unused, *(entry[1] for entry in since)))
        self.level += refund
        for entry in since:
            entry[1] -= refund
        _, lowest = self._started.pop(debit_id)
        if position:
            previous = self._started[order[position - 1]]
            previous[1] = min(previous[1], lowest)
        return refund

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        """Return a debit whose run certainly did not happen.

        Raises
        ------
        QuotaError
            If the run has started.
        """
        if debit_id in self._started:
            raise QuotaError(f"debit {debit_id} has started and cannot be cancelled")
        amount = self._unstarted.pop(debit_id, None)
        if amount is None:
            return
        self.advance(now_s)
        self._reduce_outstanding(amount)
        self._add_level(amount)

    def resize(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Apply a changed rate and burst; a level above the new cap is dropped."""
        self.advance(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._add_level(0.0)

    def take(self, units: int, level: float, now_s: float) -> tuple[int, float]:
        """Remove units and level so that outstanding tokens still fit the cap.

        Parameters
        ----------
        units : int
            Units requested; fewer are removed if outstanding tokens need the cap.
        level : float
            Tokens requested; more are removed if the smaller cap requires it.
        now_s : float
            Monotonic time.

        Returns
        -------
        tuple of int and float
            Units and tokens removed.
        """
        self.advance(now_s)
        requested = units
        free = max(0.0, self.cap - self.outstanding)
        if self.burst > 0:
            units = min(units, int(free * SHARE_UNITS / self.burst))
        elif self.outstanding > 0:
            units = 0
        units = max(0, min(units, self.units))
        if units < requested:
            level *= units / requested
        cap = self.burst * (self.units - units) / SHARE_UNITS
        surplus = self.level + self.outstanding - cap
        level = min(self.level, max(0.0, level, surplus))
        self.units -= units
        self.level -= level
        self._add_level(0.0)
        return units, level

    def put(self, units: int, level: float, now_s: float) -> None:
        """Add units and level; a level above the new cap is dropped."""
        self.advance(now_s)
        self.units += units
        self._add_level(level)

    def _reduce_outstanding(self, amount: float) -> None:
        self.outstanding -= amount
        if not self._unstarted:
            self.outstanding = 0.0

    def _add_level(self, amount: float) -> None:
        free = max(0.0, self.cap - self.outstanding)
        self.level = min(self.level + amount, free)
        self._record_headroom()

    def _record_headroom(self) -> None:
        if self._started:
            last = self._started[next(reversed(self._started))]
            headroom = self.cap - self.level - self.outstanding
            last[1] = min(last[1], max(0.0, headroom))


def make_bucket(
    rate_per_s: float,
    burst: float,
    now_s: float,
    units: int = SHARE_UNITS,
    level: float | None = None,
) -> TokenBucket:
    """Return a token bucket, full unless a level is given.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate and burst of the whole budget, in tokens.
    now_s : float
        Monotonic time.
    units : int
        Share of the budget held, in millionths.
    level : float, optional
        Tokens available at the start.

    Returns
    -------
    TokenBucket

    Examples
    --------
    >>> bucket = make_bucket(10.0, 100.0, now_s=0.0)
    >>> debit = bucket.try_debit(80, now_s=0.0).unwrap()
    >>> bucket.level, bucket.outstanding
    (20.0, 80.0)
    >>> bucket.settle(debit, used=50, now_s=0.0)
    30.0
    """
    bucket = TokenBucket(rate_per_s, burst, units, 0.0, now_s)
    bucket.level = bucket.cap if level is None else min(level, bucket.cap)
    return bucket


def refuse_larger_than_burst(amount: float, burst: float) -> Refusal:
    """Return the refusal of an amount that the budget can never grant."""
    detail = f"request needs {amount:g} tokens, the burst is {burst:g}"
    return make_refusal(RefusalReason.LARGER_THAN_BURST, detail)


def refuse_rate_exceeded(missing: float, rate_per_s: float) -> Refusal:
    """Return the refusal of an amount that the budget can grant later.

    Examples
    --------
    >>> refuse_rate_exceeded(50, 100.0).retry_after_s
    0.5
    """
    wait_s = missing / rate_per_s if rate_per_s > 0 else 60.0
    detail = "the rate of this budget is used up"
    retry_after_s = min(60.0, max(0.1, wait_s))
    return make_refusal(RefusalReason.RATE_EXCEEDED, detail, retry_after_s)
