"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# From one round trip between zones to the longest deadline; 0.1, 0.3 and 0.6 s are
# latency targets of deployments.
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

# Hints are off by a factor of ten at times.
RATIO_BUCKETS = (0.1, 0.2, 0.5, 0.8, 1.25, 2.0, 5.0, 10.0)

# Upper bounds of the prompt sizes that have separate labels; a route's largest prompts
# are two to five times as long as its mean.
SIZE_BOUNDS_TOKENS = (256, 512, 1_024, 2_048, 4_096, 8_192)


def size_label(tokens: int | None) -> str:
    """Return the label of a size in tokens.

    Examples
    --------
    >>> [size_label(tokens) for tokens in (0, 300, 9_000, None)]
    ['le_256', 'le_512', 'gt_8192', 'none']
    """
    if tokens is None:
        return "none"
    bound = next((bound for bound in SIZE_BOUNDS_TOKENS if tokens <= bound), None)
    return f"gt_{SIZE_BOUNDS_TOKENS[-1]}" if bound is None else f"le_{bound}"


class ScrapeMetrics:
    """Prometheus metrics of one process; see :func:`make_scrape_metrics`."""

    def __init__(self):
        self._registry = registry = CollectorRegistry()
        self.requests = Counter(
            "chervilgw_requests",
            "Requests ended",
            ["kind", "outcome", "prompt_tokens"],
            registry=registry,
        )
        self.refusals = Counter(
            "chervilgw_refusals",
            "Requests refused",
            ["reason", "prompt_tokens"],
            registry=registry,
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
        self.trials = Counter(
            "chervilgw_trials",
            "Requests tried that may crash their server",
            ["outcome"],
            registry=registry,
        )
        self.blocked_traits = Gauge(
            "chervilgw_blocked_traits",
            "Request digests and prompt parts blocked after crashes",
            registry=registry,
        )
        self.evacuated_zones = Gauge(
            "chervilgw_evacuated_zones",
            "Availability zones whose servers get no requests",
            registry=registry,
        )
        self.orders = Counter(
            "chervilgw_orders",
            "Orders to the engine",
            ["kind", "reply"],
            registry=registry,
        )
        self.turns = Counter(
            "chervilgw_turns",
            "Turns at the engine",
            ["result", "unread_tokens"],
            registry=registry,
        )
        self.turn_wait_s = Histogram(
            "chervilgw_turn_wait_seconds",
            "From the request for a turn at the engine to its grant",
            ["unread_tokens"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.output_ratio = Histogram(
            "chervilgw_output_estimate_ratio",
            "Estimated over actual output tokens of a stream",
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.turn_delays = Counter(
            "chervilgw_turn_delays",
            "Turns that waited for running streams",
            ["reason"],
            registry=registry,
        )
        self.store_calls = Counter(
            "chervilgw_store_calls", "Calls of the store", ["result"], registry=registry
        )
        self.store_era = Gauge(
            "chervilgw_store_era",
            "Era of the store, which rises when it comes back from a copy",
            registry=registry,
        )
        self.dropped_connections = Counter(
            "chervilgw_dropped_connections",
            "Callers' connections closed to bound the memory",
            ["reason"],
            registry=registry,
        )
        self.resumptions = Counter(
            "chervilgw_resumptions",
            "Streams that callers took up: how their software version was known, or "
            "why they were refused",
            ["outcome"],
            registry=registry,
        )
        self.cold_servers = Gauge(
            "chervilgw_cold_servers", "Servers that are cold", registry=registry
        )
        self.cold_requests = Counter(
            "chervilgw_cold_requests",
            "Decisions on requests while their servers are cold",
            ["decision"],
            registry=registry,
        )

    def describe(self) -> list[tuple[str, str, str]]:
        """Return name, type and meaning of each metric, by name."""
        families = self._registry.collect()
        return sorted((each.name, each.type, each.documentation) for each in families)

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)


def make_scrape_metrics() -> ScrapeMetrics:
    """Return metrics whose counters are zero.

    Examples
    --------
    >>> metrics = make_scrape_metrics()
    >>> metrics.turns.labels("given", size_label(300)).inc()
    >>> line = b'chervilgw_turns_total{result="given",unread_tokens="le_512"} 1.0'
    >>> line in metrics.text()
    True
    """
    return ScrapeMetrics()
