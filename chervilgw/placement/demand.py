"""Demand for each model, from the load reports of the fleet view."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import ModelName
from chervilgw.core.states import CopyState, VmState


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for one model.

    ``queue_tokens`` wait for it on all live servers. ``high_for_s`` and ``low_for_s``
    tell for how long it has been above or below the thresholds without a break.
    """

    queue_tokens: int = 0
    high_for_s: float = 0.0
    low_for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DemandThresholds:
    """Tokens waiting per copy above which demand is high, and below which it is low."""

    high_tokens: float
    low_tokens: float


class DemandTracker:
    """Time that demand spent above or below thresholds; see its factory."""

    def __init__(self, thresholds: DemandThresholds):
        self._thresholds = thresholds
        self._high_since_s: dict[str, float] = {}
        self._low_since_s: dict[str, float] = {}

    def observe(
        self, servers: Iterable[ServerView], now_s: float
    ) -> Mapping[ModelName, ModelDemand]:
        """Take in the present reports and return the demand for each model in them."""
        tokens: dict[str, int] = {}
        copies: dict[str, int] = {}
        for server in servers:
            if server.state is not VmState.LIVE:
                continue
            for name, state in server.load.resident.items():
                copies[name] = copies.get(name, 0) + (state == CopyState.LOADED.value)
            for name, waiting in server.load.queue_tokens.items():
                tokens[name] = tokens.get(name, 0) + waiting
        demand = {}
        for name in tokens.keys() | copies.keys():
            per_copy = tokens.get(name, 0) / max(1, copies.get(name, 0))
            high = per_copy > self._thresholds.high_tokens
            low = per_copy < self._thresholds.low_tokens
            demand[ModelName(name)] = ModelDemand(
                tokens.get(name, 0),
                _since(self._high_since_s, name, high, now_s),
                _since(self._low_since_s, name, low, now_s),
            )
        for since in (self._high_since_s, self._low_since_s):
            for name in since.keys() - demand.keys():
                del since[name]
        return demand


def _since(since: dict[str, float], name: str, holds: bool, now_s: float) -> float:
    if not holds:
        since.pop(name, None)
        return 0.0
    return now_s - since.setdefault(name, now_s)


def make_demand_tracker(thresholds: DemandThresholds) -> DemandTracker:
    """Return a tracker that has seen no report.

    Parameters
    ----------
    thresholds : DemandThresholds
        A high value near the tokens one copy serves in the tolerated waiting time.

    Returns
    -------
    DemandTracker

    Examples
    --------
    >>> make_demand_tracker(DemandThresholds(1000, 100)).observe([], now_s=0.0)
    {}
    """
    return DemandTracker(thresholds)
