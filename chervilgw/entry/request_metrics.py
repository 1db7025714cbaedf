"""Metrics of the requests at an entry."""

from __future__ import annotations

from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RunState
from chervilgw.entry.inflight import Inflight
from chervilgw.telemetry import Metrics, table


def record_refusal(metrics: Metrics, refusal: Refusal) -> None:
    """Count a refusal, and an unknown outcome if it leaves one."""
    metrics.record(table.REFUSALS, label=refusal.reason.value)
    if refusal.run is RunState.UNKNOWN:
        metrics.record(table.UNKNOWN_OUTCOMES)


def record_first_token(
    metrics: Metrics, request: Inflight, state: ConfigurationState, now_s: float
) -> None:
    """Record the time to the first token and whether it met the model's target."""
    waited_ms = (now_s - request.arrived_s) * 1000
    metrics.record(table.FIRST_TOKEN, waited_ms)
    model = state.items[Kind.MODEL].get(request.priced.model)
    if model is not None and request.priced.budget is not None:
        met = waited_ms <= model.value.target_first_token_ms
        metric = table.TARGET_MET if met else table.TARGET_MISSED
        metrics.record(metric, label=request.priced.budget)
