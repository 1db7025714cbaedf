"""Counters and latency histograms as text, for collectors that ask for them."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.6,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
)
"""From one round trip between zones to the longest deadline; 0.1, 0.3 and 0.6 s are
targets of the deployments."""


class ScrapeMetrics:
    """Metrics of one process; see :func:`make_scrape_metrics`."""

    def __init__(self):
        self._registry = registry = CollectorRegistry()
        self.requests = Counter(
            "chervilgw_requests",
            "Requests ended",
            ["kind", "outcome"],
            registry=registry,
        )
        self.refusals = Counter(
            "chervilgw_refusals", "Requests refused", ["reason"], registry=registry
        )
        self.attempts = Counter(
            "chervilgw_attempts", "Attempts at servers", ["result"], registry=registry
        )
        self.first_byte_s = Histogram(
            "chervilgw_first_byte_seconds",
            "From the request to the first byte of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.pause_s = Histogram(
            "chervilgw_longest_pause_seconds",
            "Longest pause within a stream",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.in_progress = Gauge(
            "chervilgw_requests_in_progress", "Requests in progress", registry=registry
        )
        self.orders = Counter(
            "chervilgw_orders",
            "Orders to the engine",
            ["kind", "reply"],
            registry=registry,
        )
        self.turns = Counter(
            "chervilgw_turns", "Turns at the engine", ["result"], registry=registry
        )
        self.store_calls = Counter(
            "chervilgw_store_calls", "Calls of the store", ["result"], registry=registry
        )

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)


def make_scrape_metrics() -> ScrapeMetrics:
    """Return metrics that have counted nothing.

    Examples
    --------
    >>> metrics = make_scrape_metrics()
    >>> metrics.refusals.labels("rate_exceeded").inc()
    >>> b'chervilgw_refusals_total{reason="rate_exceeded"} 1.0' in metrics.text()
    True
    """
    return ScrapeMetrics()
