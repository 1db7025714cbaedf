"""Token bucket of one holder, with outstanding debits and exact refunds.

The bucket keeps ``level + outstanding <= cap``. A debit stays outstanding until its run
is known to have started, so a holder that was paused between debit and run cannot add a
refilled bucket to the tokens it has already promised.
"""

from __future__ import annotations

from typing import NewType

from returns.result import Failure, Result, Success

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.errors import QuotaError

SHARE_UNITS = 1_000_000
KEPT_SHARE = 0.5
"""Part of a bucket that is kept free at most for debits that were refused."""
RETURN_S = 1.0
"""Time that a refused caller has to come back after the moment it was told."""

DebitId = NewType("DebitId", int)


class TokenBucket:
    """Token bucket over a part of a budget's rate and burst.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate and burst of the whole budget.
    units : int
        Part of the budget held here, in millionths.
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
        self._waiting: dict[DebitId, float] = {}
        # Started charges in start order: [charge, smallest headroom between this start
        # and the next one]. The smallest headroom since a start is the minimum over its
        # own and all later entries.
        self._started: dict[DebitId, list[float]] = {}
        # Level that each debit needs until a time, as one of that size was refused.
        self._kept = 0.0
        self._kept_until_s = now_s

    @property
    def cap(self) -> float:
        """Return the limit of level and outstanding tokens together."""
        return self.burst * self.units / SHARE_UNITS

    @property
    def open_debits(self) -> int:
        """Return the number of debits that are neither settled nor cancelled."""
        return len(self._waiting) + len(self._started)

    def advance(self, now_s: float) -> None:
        """Refill up to a time; a time in the past changes nothing."""
        if now_s <= self._time_s:
            return
        headroom = self.cap - self.level - self.outstanding
        gain = self.rate_per_s * self.units / SHARE_UNITS * (now_s - self._time_s)
        self._time_s = now_s
        self.level += max(0.0, min(gain, headroom))
        self._note_headroom()

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
            refusal = refuse_rate(needed - self.level, self.rate_per_s)
            self._keep(amount, now_s + refusal.retry_after_s + RETURN_S)
            return Failure(refusal)
        self.level -= amount
        self.outstanding += amount
        self._counter += 1
        debit_id = DebitId(self._counter)
        self._waiting[debit_id] = amount
        return Success(debit_id)

    def _needed_level(self, amount: float, now_s: float) -> float:
        """Return the level at which a debit is granted.

        Small debits would otherwise take each token as it comes, and a large one would
        never find enough of them.
        """
        kept = self._kept if now_s < self._kept_until_s else 0.0
        return max(amount, min(kept, KEPT_SHARE * self.cap))

    def _keep(self, amount: float, until_s: float) -> None:
        if self._kept_until_s <= self._time_s or amount >= self._kept:
            self._kept, self._kept_until_s = amount, until_s

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        """Count a debit as run: it is no longer outstanding."""
        amount = self._waiting.pop(debit_id, None)
        if amount is None:
            return
        self.advance(now_s)
        self._reduce_outstanding(amount)
        self._started[debit_id] = [amount, float("inf")]
        self._note_headroom()

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> float:
        """End a run and refund what it did not use.

        The refund is what the bucket would hold more if only ``used`` had been charged:
        at most the smallest headroom since the start, less refunds credited since.

        Parameters
        ----------
        debit_id : DebitId
            Debit to end; unknown ones are ignored.
        used : float
            Tokens that the run really took.
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
        amount = self._waiting.pop(debit_id, None)
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
            Units wanted; fewer are taken if outstanding tokens need the cap.
        level : float
            Tokens wanted with them; more are taken if the smaller cap requires it.
        now_s : float
            Monotonic time.

        Returns
        -------
        tuple of int and float
            Units and tokens removed.
        """
        self.advance(now_s)
        wanted = units
        free = max(0.0, self.cap - self.outstanding)
        if self.burst > 0:
            units = min(units, int(free * SHARE_UNITS / self.burst))
        elif self.outstanding > 0:
            units = 0
        units = max(0, min(units, self.units))
        if units < wanted:
            level *= units / wanted
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
        if not self._waiting:
            self.outstanding = 0.0

    def _add_level(self, amount: float) -> None:
        room = max(0.0, self.cap - self.outstanding)
        self.level = min(self.level + amount, room)
        self._note_headroom()

    def _note_headroom(self) -> None:
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
        Part of the budget held, in millionths.
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


def refuse_rate(missing: float, rate_per_s: float) -> Refusal:
    """Return the refusal of an amount that the budget can grant later.

    Examples
    --------
    >>> refuse_rate(50, 100.0).retry_after_s
    0.5
    """
    wait_s = missing / rate_per_s if rate_per_s > 0 else 60.0
    detail = "the rate of this budget is used up"
    retry_after_s = min(60.0, max(0.1, wait_s))
    return make_refusal(RefusalReason.RATE_EXCEEDED, detail, retry_after_s)
