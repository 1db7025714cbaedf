"""Demand for each model, computed from the load reports in the fleet view."""

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
    are how long demand has been above or below the thresholds without interruption.
    """

    queue_tokens: int = 0
    high_for_s: float = 0.0
    low_for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DemandThresholds:
    """Tokens waiting per copy above which demand is high, and below which it is low.

    Demand is high only if, in addition, the queue of every server that holds the model
    exceeds ``busy_tokens``. Otherwise the backlog of the first copy would cause a third
    copy to be loaded although the second one can take the new requests.
    """

    high_tokens: float
    low_tokens: float
    busy_tokens: float = 0.0


# A queue of 1.25 s on each holder at about 800 tokens/s per engine. Lower values cause
# more moves without meeting more targets.
THRESHOLDS = DemandThresholds(high_tokens=500, low_tokens=50, busy_tokens=1000)


class DemandTracker:
    """Tracks how long demand is above or below thresholds.

    See :func:`make_demand_tracker`.
    """

    def __init__(self, thresholds: DemandThresholds):
        self._thresholds = thresholds
        self._high_since_s: dict[str, float] = {}
        self._low_since_s: dict[str, float] = {}

    def observe(
        self, servers: Iterable[ServerView], now_s: float
    ) -> Mapping[ModelName, ModelDemand]:
        """Record the current reports and return the demand for each model in them."""
        tokens: dict[str, int] = {}
        copies: dict[str, int] = {}
        shortest: dict[str, int] = {}
        for server in servers:
            if server.state is not VmState.LIVE:
                continue
            queue = server.load.total_queue_tokens()
            for name, state in server.load.resident.items():
                loaded = state == CopyState.LOADED.value
                copies[name] = copies.get(name, 0) + loaded
                if loaded:
                    shortest[name] = min(shortest.get(name, queue), queue)
            for name, waiting in server.load.queue_tokens.items():
                tokens[name] = tokens.get(name, 0) + waiting
        demand = {}
        for name in tokens.keys() | copies.keys():
            per_copy = tokens.get(name, 0) / max(1, copies.get(name, 0))
            busy = shortest.get(name, 0) > self._thresholds.busy_tokens
            high = busy and per_copy > self._thresholds.high_tokens
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
        ``high_tokens`` near the tokens that one copy serves in the tolerated wait.

    Returns
    -------
    DemandTracker

    Examples
    --------
    >>> make_demand_tracker(DemandThresholds(1000, 100)).observe([], now_s=0.0)
    {}
    """
    return DemandTracker(thresholds)
