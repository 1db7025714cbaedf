"""The share of a budget that one entry holds, and its form for a rate."""

# The methods of the protocol are documented there, not again in each implementation.
# ruff: noqa: D102

from __future__ import annotations

import math
from typing import Protocol

from returns.result import Result

from chervilgw.core.refusals import Refusal
from chervilgw.quota.bucket import (
    SHARE_UNITS,
    DebitId,
    make_bucket,
    refuse_larger_than_burst,
)

# Smooths single requests and still follows a change of the load balancing.
DEMAND_AVERAGING_TIME_S = 10.0
# Units needed for each unit of measured demand. With a factor above 1 the needs of all
# entries exceed the whole near the full rate, and units oscillate between entries.
DEMAND_FACTOR = 1.0
# A request for units also covers the demand of this time, so that the next
# reservations find tokens without another request.
DEMAND_LOOK_AHEAD_S = 1.0
# Fraction of its cap at which a bucket counts as full.
FULL_FRACTION = 0.95
# Fraction of its level that a full holder transfers: tokens that a full bucket drops
# are lost to the customer. Units are not transferred, since they follow the demand.
OVERFLOW_FRACTION = 0.5
# A transfer fills a bucket up to this fraction of its cap, so that the receiver does
# not transfer the tokens again at once.
MAX_FILL_FRACTION = 0.9
# Smallest transfer as a fraction of the request. Without this bound an entry sent 65
# messages/s instead of 28 at 4 times the rate.
MIN_TRANSFER_FRACTION = 0.05
# A budget is spread without demand only if a fair share holds this many tokens: a
# budget with a burst of 1 is usable only at one entry.
MIN_SPREAD_TOKENS = 16.0
# Amounts are whole tokens or uses.
MIN_DEBIT_TOKENS = 1.0


class Holding(Protocol):
    """Share of one budget at one entry."""

    @property
    def units(self) -> int:
        """Units held and usable."""
        ...

    @property
    def in_use(self) -> bool:
        """Whether debits are open."""
        ...

    @property
    def fanout(self) -> int:
        """Number of peers to send a request to at once."""
        ...

    def check(self, amount: float) -> Refusal | None:
        """Return a refusal if the whole budget can never grant the amount."""
        ...

    def record_demand(self, amount: float, now_s: float) -> None:
        """Record that an amount was requested."""
        ...

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        """Debit an amount from what is held here."""
        ...

    def missing_units(self, amount: float, now_s: float) -> int:
        """Return how many units would let the amount be debited soon."""
        ...

    def units_to_request(self, amount: float, now_s: float) -> int:
        """Return how many units to request from peers for the amounts that wait."""
        ...

    def initial_units(self, members: int) -> int:
        """Return the units that a holder without units requests."""
        ...

    def is_grantable_within(self, amount: float, wait_s: float) -> bool:
        """Return whether the refill within a time lets the amount be debited."""
        ...

    def needed_units(self, now_s: float) -> int:
        """Return the units that recent demand needs."""
        ...

    def baseline_units(self, members: int) -> int:
        """Return the units to hold without demand, in case a peer is lost."""
        ...

    def tokens_to_request(self, amount: float, now_s: float) -> float:
        """Return the level to request from peers, or 0 if more units are needed."""
        ...

    def equivalent_units(self, units: int, level: float) -> int:
        """Return the number of requested units that a transfer is worth."""
        ...

    def free_level(self, now_s: float) -> float:
        """Return how much level a transfer without units may add."""
        ...

    def release(
        self,
        requested: int,
        now_s: float,
        spare_only: bool = False,
        protect_demand: bool = False,
    ) -> tuple[int, float]:
        """Remove units and level for a peer that requested them.

        With ``spare_only`` at most half of the units beyond local demand are removed,
        with ``protect_demand`` no units that local demand needs.
        """
        ...

    def tokens_to_transfer(self, tokens: float, now_s: float) -> float:
        """Return how much level to transfer to a peer that requested tokens."""
        ...

    def overflow_level(self, now_s: float) -> float:
        """Return the level to transfer before refilled tokens are dropped."""
        ...

    def release_all(self, now_s: float) -> tuple[int, float]:
        """Remove all units and level that open debits do not need."""
        ...

    def put(self, units: int, level: float, now_s: float) -> None:
        """Add units and level."""
        ...

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        """Record that a run has started."""
        ...

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> None:
        """End a run."""
        ...

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        """Return a debit that was not run."""
        ...


class RateHolding:
    """Share of a rate and burst.

    Examples
    --------
    >>> holding = RateHolding(100.0, 1000.0, now_s=0.0)
    >>> holding.put(500_000, 400.0, now_s=0.0)
    >>> holding.missing_units(450, now_s=0.0)
    50000
    >>> holding.release(100_000, now_s=0.0)
    (100000, 100.0)
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.bucket = make_bucket(rate_per_s, burst, now_s, units=0)
        self._demand = 0.0
        self._demand_time_s = now_s

    @property
    def units(self) -> int:
        return self.bucket.units

    @property
    def in_use(self) -> bool:
        return self.bucket.open_debits > 0

    @property
    def fanout(self) -> int:
        # Requests to all peers would cost a message per peer for each refusal in a
        # large fleet.
        return 4

    def check(self, amount: float) -> Refusal | None:
        if amount > self.bucket.burst:
            return refuse_larger_than_burst(amount, self.bucket.burst)
        return None

    def record_demand(self, amount: float, now_s: float) -> None:
        self._demand = self.demand_per_s(now_s) + amount / DEMAND_AVERAGING_TIME_S
        self._demand_time_s = now_s

    def demand_per_s(self, now_s: float) -> float:
        """Return the exponentially weighted mean rate of requested tokens."""
        age_s = max(0.0, now_s - self._demand_time_s)
        return self._demand * math.exp(-age_s / DEMAND_AVERAGING_TIME_S)

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        return self.bucket.try_debit(amount, now_s)

    def missing_units(self, amount: float, now_s: float) -> int:
        bucket = self.bucket
        bucket.advance(now_s)
        missing = max(amount - bucket.level, amount + bucket.outstanding - bucket.cap)
        if missing <= 0 or bucket.burst <= 0:
            return 0
        return min(SHARE_UNITS, math.ceil(missing * SHARE_UNITS / bucket.burst))

    def units_to_request(self, amount: float, now_s: float) -> int:
        bucket = self.bucket
        missing = self.missing_units(min(amount, bucket.burst), now_s)
        if not missing:
            return 0
        look_ahead_units = (
            self.demand_per_s(now_s) * DEMAND_LOOK_AHEAD_S / bucket.burst * SHARE_UNITS
        )
        return min(SHARE_UNITS - bucket.units, missing + int(look_ahead_units))

    def initial_units(self, members: int) -> int:
        return SHARE_UNITS // max(1, members)

    def is_grantable_within(self, amount: float, wait_s: float) -> bool:
        bucket = self.bucket
        if amount + bucket.outstanding > bucket.cap:
            return False
        gain = bucket.rate_per_s * bucket.units / SHARE_UNITS * wait_s
        return amount <= bucket.level + gain

    def needed_units(self, now_s: float) -> int:
        if self.bucket.rate_per_s <= 0:
            return 0
        fraction = self.demand_per_s(now_s) * DEMAND_FACTOR / self.bucket.rate_per_s
        return int(min(1.0, fraction) * SHARE_UNITS)

    def baseline_units(self, members: int) -> int:
        units = self.initial_units(members)
        filled = self.bucket.burst * units / SHARE_UNITS
        return units if filled >= MIN_SPREAD_TOKENS else 0

    def tokens_to_request(self, amount: float, now_s: float) -> float:
        bucket = self.bucket
        if amount + bucket.outstanding > bucket.cap:
            return 0.0
        free = bucket.cap - bucket.outstanding - bucket.level
        missing = max(0.0, amount - bucket.level)
        return min(free, missing + self.demand_per_s(now_s) * DEMAND_LOOK_AHEAD_S)

    def equivalent_units(self, units: int, level: float) -> int:
        if self.bucket.burst <= 0:
            return units
        return max(units, math.ceil(level * SHARE_UNITS / self.bucket.burst))

    def free_level(self, now_s: float) -> float:
        bucket = self.bucket
        bucket.advance(now_s)
        return max(
            0.0, MAX_FILL_FRACTION * bucket.cap - bucket.outstanding - bucket.level
        )

    def release(
        self,
        requested: int,
        now_s: float,
        spare_only: bool = False,
        protect_demand: bool = False,
    ) -> tuple[int, float]:
        bucket = self.bucket
        bucket.advance(now_s)
        if bucket.burst <= 0 or requested <= 0 or not bucket.units:
            return 0, 0.0
        # A share too small for one token is useless here, but the peer may need it: a
        # budget with a burst of 1 is usable only with all units at one entry.
        below_one_debit = bucket.cap < MIN_DEBIT_TOKENS
        needed = 0 if below_one_debit else self.needed_units(now_s)
        spare = max(0, bucket.units - needed)
        if spare_only and bucket.burst >= MIN_SPREAD_TOKENS:
            # Half of the spare units stay, so that units do not oscillate between two
            # idle entries.
            units = min(requested, spare // 2)
            return bucket.take(units, bucket.level * units / bucket.units, now_s)
        units = min(requested, spare)
        # Of what local demand needs, only half of the level is released, with as many
        # units as it fills: the peer may lack tokens at a moment when this entry has
        # some.
        half = int(bucket.level / 2 * SHARE_UNITS / bucket.burst)
        extra = min(requested - units, half, bucket.units - units)
        if not protect_demand and extra >= requested * MIN_TRANSFER_FRACTION:
            units += extra
        if not units:
            return 0, 0.0
        proportional = bucket.level * units / bucket.units
        full_level = bucket.burst * units / SHARE_UNITS
        level = max(proportional, min(full_level, bucket.level / 2))
        return bucket.take(units, level, now_s)

    def tokens_to_transfer(self, tokens: float, now_s: float) -> float:
        self.bucket.advance(now_s)
        level = min(tokens, self.bucket.level / 2)
        worth_it = level >= max(MIN_DEBIT_TOKENS, tokens * MIN_TRANSFER_FRACTION)
        return level if worth_it else 0.0

    def overflow_level(self, now_s: float) -> float:
        bucket = self.bucket
        bucket.advance(now_s)
        full = bucket.level + bucket.outstanding >= FULL_FRACTION * bucket.cap
        level = bucket.level * OVERFLOW_FRACTION
        return level if full and level >= MIN_DEBIT_TOKENS else 0.0

    def release_all(self, now_s: float) -> tuple[int, float]:
        return self.bucket.take(self.bucket.units, self.bucket.level, now_s)

    def put(self, units: int, level: float, now_s: float) -> None:
        self.bucket.put(units, level, now_s)

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        self.bucket.confirm_start(debit_id, now_s)

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> None:
        self.bucket.settle(debit_id, used, now_s)

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        self.bucket.cancel(debit_id, now_s)
