"""What one entry holds of a budget, and a share of a rate."""

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

# Long enough to smooth single requests, short against a change of the load balancing.
DEMAND_TIME_S = 10.0
# Units wanted for each unit of measured demand. Near the full rate a margin makes the
# wishes of all entries exceed the whole, and they pass units to and fro.
DEMAND_MARGIN = 1.0
# A request for units also covers the demand of this time, so that the next
# reservations find tokens without another request.
LOOK_AHEAD_S = 1.0
# A bucket at this part of its cap counts as full.
FULL_PART = 0.95
# A full holder gives this part of its level: tokens that a full bucket drops are lost
# to the customer. Its units stay, since they follow the demand.
OVERFLOW_PART = 0.5
# A gift fills a share up to this part of its cap, so that it is not passed on at once.
GIFT_PART = 0.9
# Smaller gifts than this part of a request cost more messages than they help: without
# this bound an entry sent 65 messages/s at 4 times the rate instead of 28.
SMALLEST_GIFT = 0.05
# A budget whose fair share fills fewer tokens than this is not spread without demand: a
# budget with a burst of 1 has to be in one place.
SMALLEST_STANDING = 16.0
# Amounts are whole tokens or uses.
SMALLEST_DEBIT = 1.0


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
        """How many peers to ask at once."""
        ...

    def check(self, amount: float) -> Refusal | None:
        """Return a refusal if the whole budget can never grant the amount."""
        ...

    def note_demand(self, amount: float, now_s: float) -> None:
        """Record that an amount was asked for."""
        ...

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        """Debit an amount from what is held here."""
        ...

    def missing_units(self, amount: float, now_s: float) -> int:
        """Return how many units would let the amount be debited soon."""
        ...

    def ask_units(self, amount: float, now_s: float) -> int:
        """Return how many units to ask peers for, given the amounts that wait."""
        ...

    def first_units(self, members: int) -> int:
        """Return the units that a holder without any asks for."""
        ...

    def fits_within(self, amount: float, wait_s: float) -> bool:
        """Return whether waiting alone lets the amount be debited."""
        ...

    def wanted_units(self, now_s: float) -> int:
        """Return the units that recent demand needs."""
        ...

    def standing_units(self, members: int) -> int:
        """Return the units to hold without any demand, in case a peer is lost."""
        ...

    def ask_tokens(self, amount: float, now_s: float) -> float:
        """Return the level to ask peers for, or 0 if more units are needed."""
        ...

    def gained_units(self, units: int, level: float) -> int:
        """Return how many of the units asked for a transfer stands for."""
        ...

    def gift_room(self, now_s: float) -> float:
        """Return how much level is accepted without units."""
        ...

    def surrender(
        self,
        asked: int,
        now_s: float,
        spare_only: bool = False,
        keep_demand: bool = False,
    ) -> tuple[int, float]:
        """Remove units and level for a peer that asked.

        With ``spare_only`` half of the units that the own demand leaves over stay; with
        ``keep_demand`` no others are given.
        """
        ...

    def tokens_to_give(self, tokens: float, now_s: float) -> float:
        """Return how much level to give to a peer that asked for tokens."""
        ...

    def overflow(self, now_s: float) -> float:
        """Return the level to give before refilled tokens are dropped."""
        ...

    def surrender_all(self, now_s: float) -> tuple[int, float]:
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
    >>> holding.surrender(100_000, now_s=0.0)
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
        # Asking all peers would cost a message per peer for each refusal at the
        # two-year size.
        return 4

    def check(self, amount: float) -> Refusal | None:
        if amount > self.bucket.burst:
            return refuse_larger_than_burst(amount, self.bucket.burst)
        return None

    def note_demand(self, amount: float, now_s: float) -> None:
        self._demand = self.demand_per_s(now_s) + amount / DEMAND_TIME_S
        self._demand_time_s = now_s

    def demand_per_s(self, now_s: float) -> float:
        """Return the exponentially weighted mean of tokens asked for."""
        age_s = max(0.0, now_s - self._demand_time_s)
        return self._demand * math.exp(-age_s / DEMAND_TIME_S)

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        return self.bucket.try_debit(amount, now_s)

    def missing_units(self, amount: float, now_s: float) -> int:
        bucket = self.bucket
        bucket.advance(now_s)
        missing = max(amount - bucket.level, amount + bucket.outstanding - bucket.cap)
        if missing <= 0 or bucket.burst <= 0:
            return 0
        return min(SHARE_UNITS, math.ceil(missing * SHARE_UNITS / bucket.burst))

    def ask_units(self, amount: float, now_s: float) -> int:
        bucket = self.bucket
        missing = self.missing_units(min(amount, bucket.burst), now_s)
        if not missing:
            return 0
        ahead = self.demand_per_s(now_s) * LOOK_AHEAD_S / bucket.burst * SHARE_UNITS
        return min(SHARE_UNITS - bucket.units, missing + int(ahead))

    def first_units(self, members: int) -> int:
        return SHARE_UNITS // max(1, members)

    def fits_within(self, amount: float, wait_s: float) -> bool:
        bucket = self.bucket
        if amount + bucket.outstanding > bucket.cap:
            return False
        gain = bucket.rate_per_s * bucket.units / SHARE_UNITS * wait_s
        return amount <= bucket.level + gain

    def wanted_units(self, now_s: float) -> int:
        if self.bucket.rate_per_s <= 0:
            return 0
        part = self.demand_per_s(now_s) * DEMAND_MARGIN / self.bucket.rate_per_s
        return int(min(1.0, part) * SHARE_UNITS)

    def standing_units(self, members: int) -> int:
        units = self.first_units(members)
        filled = self.bucket.burst * units / SHARE_UNITS
        return units if filled >= SMALLEST_STANDING else 0

    def ask_tokens(self, amount: float, now_s: float) -> float:
        bucket = self.bucket
        if amount + bucket.outstanding > bucket.cap:
            return 0.0
        room = bucket.cap - bucket.outstanding - bucket.level
        missing = max(0.0, amount - bucket.level)
        return min(room, missing + self.demand_per_s(now_s) * LOOK_AHEAD_S)

    def gained_units(self, units: int, level: float) -> int:
        if self.bucket.burst <= 0:
            return units
        return max(units, math.ceil(level * SHARE_UNITS / self.bucket.burst))

    def gift_room(self, now_s: float) -> float:
        bucket = self.bucket
        bucket.advance(now_s)
        return max(0.0, GIFT_PART * bucket.cap - bucket.outstanding - bucket.level)

    def surrender(
        self,
        asked: int,
        now_s: float,
        spare_only: bool = False,
        keep_demand: bool = False,
    ) -> tuple[int, float]:
        bucket = self.bucket
        bucket.advance(now_s)
        if bucket.burst <= 0 or asked <= 0 or not bucket.units:
            return 0, 0.0
        # A part too small for one token is of no use here, but the peer may lack just
        # these units: a budget with a burst of 1 needs all of them in one place.
        useless = bucket.cap < SMALLEST_DEBIT
        wanted = 0 if useless else self.wanted_units(now_s)
        spare = max(0, bucket.units - wanted)
        if spare_only and bucket.burst >= SMALLEST_STANDING:
            # Half of the spare units stay, so that two idle entries do not send the
            # same units to and fro.
            units = min(asked, spare // 2)
            return bucket.take(units, bucket.level * units / bucket.units, now_s)
        units = min(asked, spare)
        # Below the own demand only half of the level is given, with as many units as it
        # fills: a busy peer may be short for a moment while this entry is not.
        half = int(bucket.level / 2 * SHARE_UNITS / bucket.burst)
        more = min(asked - units, half, bucket.units - units)
        if not keep_demand and more >= asked * SMALLEST_GIFT:
            units += more
        if not units:
            return 0, 0.0
        proportional = bucket.level * units / bucket.units
        filling = bucket.burst * units / SHARE_UNITS
        level = max(proportional, min(filling, bucket.level / 2))
        return bucket.take(units, level, now_s)

    def tokens_to_give(self, tokens: float, now_s: float) -> float:
        self.bucket.advance(now_s)
        level = min(tokens, self.bucket.level / 2)
        worth_it = level >= max(SMALLEST_DEBIT, tokens * SMALLEST_GIFT)
        return level if worth_it else 0.0

    def overflow(self, now_s: float) -> float:
        bucket = self.bucket
        bucket.advance(now_s)
        full = bucket.level + bucket.outstanding >= FULL_PART * bucket.cap
        level = bucket.level * OVERFLOW_PART
        return level if full and level >= SMALLEST_DEBIT else 0.0

    def surrender_all(self, now_s: float) -> tuple[int, float]:
        return self.bucket.take(self.bucket.units, self.bucket.level, now_s)

    def put(self, units: int, level: float, now_s: float) -> None:
        self.bucket.put(units, level, now_s)

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        self.bucket.confirm_start(debit_id, now_s)

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> None:
        self.bucket.settle(debit_id, used, now_s)

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        self.bucket.cancel(debit_id, now_s)
