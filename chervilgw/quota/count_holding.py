"""Share of a number of permits; the methods are those of :class:`.holdings.Holding`."""

# The methods of the protocol are documented there, not again in each implementation.
# ruff: noqa: D102

from __future__ import annotations

from returns.result import Failure, Result, Success

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.bucket import SHARE_UNITS, DebitId, refuse_larger_than_burst


class CountHolding:
    """Share of a number of permits that may be in use at once.

    Examples
    --------
    >>> holding = CountHolding(10)
    >>> holding.put(250_000, 0.0, now_s=0.0)
    >>> holding.allowed
    2
    >>> holding.missing_units(3, now_s=0.0)
    50000
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self._units = 0
        self._counter = 0
        self._held: dict[DebitId, int] = {}

    @property
    def units(self) -> int:
        return self._units

    @property
    def in_use(self) -> bool:
        return bool(self._held)

    @property
    def fanout(self) -> int:
        # If two peers each transferred a permit for one request, one would stay idle.
        return 1

    @property
    def allowed(self) -> int:
        """Return how many permits may be in use here."""
        return self.count * self._units // SHARE_UNITS

    @property
    def used(self) -> int:
        """Return how many permits are in use here."""
        return sum(self._held.values())

    def check(self, amount: float) -> Refusal | None:
        if amount > self.count:
            return refuse_larger_than_burst(amount, self.count)
        return None

    def record_demand(self, amount: float, now_s: float) -> None:
        """Do nothing: permits move only when one is needed."""

    def try_debit(self, amount: float, now_s: float) -> Result[DebitId, Refusal]:
        if self.used + amount > self.allowed:
            detail = "all permits of this budget are in use"
            return Failure(make_refusal(RefusalReason.RATE_EXCEEDED, detail, 0.5))
        self._counter += 1
        debit_id = DebitId(self._counter)
        self._held[debit_id] = int(amount)
        return Success(debit_id)

    def missing_units(self, amount: float, now_s: float) -> int:
        return max(0, self._units_for(self.used + int(amount)) - self._units)

    def units_to_request(self, amount: float, now_s: float) -> int:
        return self.missing_units(amount, now_s)

    def initial_units(self, members: int) -> int:
        # A fraction of a permit is unusable, so a holder starts with whole permits.
        return self._units_for(max(1, self.count // max(1, members)))

    def is_grantable_within(self, amount: float, wait_s: float) -> bool:
        return self.used + amount <= self.allowed

    def needed_units(self, now_s: float) -> int:
        return self._units_for(self.used)

    def baseline_units(self, members: int) -> int:
        return 0

    def tokens_to_request(self, amount: float, now_s: float) -> float:
        return 0.0

    def equivalent_units(self, units: int, level: float) -> int:
        return units

    def free_level(self, now_s: float) -> float:
        return 0.0

    def tokens_to_transfer(self, tokens: float, now_s: float) -> float:
        return 0.0

    def overflow_level(self, now_s: float) -> float:
        return 0.0

    def release(
        self,
        requested: int,
        now_s: float,
        spare_only: bool = False,
        protect_demand: bool = False,
    ) -> tuple[int, float]:
        spare = self._units - self._units_for(self.used)
        if spare_only and self.count > 1:
            spare = self._units_for(self.count * spare // SHARE_UNITS // 2)
        units = max(0, min(requested, spare))
        self._units -= units
        return units, 0.0

    def release_all(self, now_s: float) -> tuple[int, float]:
        return self.release(SHARE_UNITS, now_s)

    def put(self, units: int, level: float, now_s: float) -> None:
        self._units += units

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        """Do nothing: a permit counts from the debit to the release."""

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> None:
        self._held.pop(debit_id, None)

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        self._held.pop(debit_id, None)

    def _units_for(self, permits: int) -> int:
        if self.count <= 0:
            return 0
        return min(SHARE_UNITS, -(-permits * SHARE_UNITS // self.count))
