"""Filter at the end of the request path: settles the request's token debit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from chervilgw.core.ids import BudgetName
from chervilgw.entry.inflight import Inflight


@dataclass(frozen=True, slots=True)
class Used:
    """Settle the debit with the tokens that were used."""

    debit: Any
    tokens: int


@dataclass(frozen=True, slots=True)
class Unused:
    """Return the whole debit, as the request certainly did not run."""

    debit: Any


@dataclass(frozen=True, slots=True)
class Abandoned:
    """Abandon a reservation that was not granted yet."""

    token: str
    budget: BudgetName


Settlement = Used | Unused | Abandoned


def settle(request: Inflight, used_tokens: int | None) -> Settlement | None:
    """Return how to settle the debit of a request that ends.

    Parameters
    ----------
    request : Inflight
        The request.
    used_tokens : int or None
        None if the request certainly did not run.

    Returns
    -------
    Settlement or None
        None on an open route, which has no debit.
    """
    if request.debit is not None:
        if used_tokens is None:
            return Unused(request.debit)
        return Used(request.debit, used_tokens)
    if request.priced.budget is not None:
        return Abandoned(request.token, request.priced.budget)
    return None
