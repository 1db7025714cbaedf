"""Logs as JSON lines, and metrics for statsd and Prometheus."""

from chervilgw.telemetry.logs import configure_logs, log_event, redact
from chervilgw.telemetry.metrics import Metrics, make_metrics
from chervilgw.telemetry.table import METRICS, Metric, MetricType

__all__ = [
    "METRICS",
    "Metric",
    "MetricType",
    "Metrics",
    "configure_logs",
    "log_event",
    "make_metrics",
    "redact",
]
