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
        # Two peers that each gave a permit for the same request would leave one idle.
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

    def note_demand(self, amount: float, now_s: float) -> None:
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
        return max(0, self._needed(self.used + int(amount)) - self._units)

    def ask_units(self, amount: float, now_s: float) -> int:
        return self.missing_units(amount, now_s)

    def first_units(self, members: int) -> int:
        # Parts of a permit are of no use, so a holder starts with whole ones.
        return self._needed(max(1, self.count // max(1, members)))

    def fits_within(self, amount: float, wait_s: float) -> bool:
        return self.used + amount <= self.allowed

    def wanted_units(self, now_s: float) -> int:
        return self._needed(self.used)

    def standing_units(self, members: int) -> int:
        return 0

    def ask_tokens(self, amount: float, now_s: float) -> float:
        return 0.0

    def gained_units(self, units: int, level: float) -> int:
        return units

    def gift_room(self, now_s: float) -> float:
        return 0.0

    def tokens_to_give(self, tokens: float, now_s: float) -> float:
        return 0.0

    def overflow(self, now_s: float) -> float:
        return 0.0

    def surrender(
        self,
        asked: int,
        now_s: float,
        spare_only: bool = False,
        keep_demand: bool = False,
    ) -> tuple[int, float]:
        spare = self._units - self._needed(self.used)
        if spare_only and self.count > 1:
            spare = self._needed(self.count * spare // SHARE_UNITS // 2)
        units = max(0, min(asked, spare))
        self._units -= units
        return units, 0.0

    def surrender_all(self, now_s: float) -> tuple[int, float]:
        return self.surrender(SHARE_UNITS, now_s)

    def put(self, units: int, level: float, now_s: float) -> None:
        self._units += units

    def confirm_start(self, debit_id: DebitId, now_s: float) -> None:
        """Do nothing: a permit counts from the debit to the release."""

    def settle(self, debit_id: DebitId, used: float, now_s: float) -> None:
        self._held.pop(debit_id, None)

    def cancel(self, debit_id: DebitId, now_s: float) -> None:
        self._held.pop(debit_id, None)

    def _needed(self, permits: int) -> int:
        if self.count <= 0:
            return 0
        return min(SHARE_UNITS, -(-permits * SHARE_UNITS // self.count))
