"""Table of all metrics; ``docs/metrics.md`` is generated from it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MetricType(Enum):
    """Statsd type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@dataclass(frozen=True, slots=True)
class Metric:
    """Declaration of a metric; ``label`` says what is appended to the name, if any."""

    name: str
    type: MetricType
    unit: str
    meaning: str
    label: str = ""


_COUNTER, _GAUGE, _TIMING = MetricType.COUNTER, MetricType.GAUGE, MetricType.TIMING

REQUESTS = Metric(
    "requests", _COUNTER, "requests", "Requests accepted from callers.", "customer"
)
REFUSALS = Metric("refusals", _COUNTER, "requests", "Requests refused.", "reason")
UNKNOWN_OUTCOMES = Metric(
    "unknown_outcomes", _COUNTER, "requests", "Requests whose outcome is unknown."
)
TOKENS = Metric("tokens", _COUNTER, "tokens", "Tokens charged.", "customer")
TARGET_MET = Metric(
    "target_met", _COUNTER, "requests", "Requests that met their target.", "customer"
)
TARGET_MISSED = Metric(
    "target_missed",
    _COUNTER,
    "requests",
    "Requests that missed their target.",
    "customer",
)
FIRST_TOKEN = Metric(
    "first_token", _TIMING, "ms", "Time from arrival to the first token."
)
ADDED_LATENCY = Metric(
    "added_latency", _TIMING, "ms", "Time in this system before the backend server."
)
ATTEMPTS = Metric("attempts", _COUNTER, "attempts", "Attempts sent to sidecars.")
RETRIES = Metric(
    "retries", _COUNTER, "attempts", "Attempts that repeat an earlier attempt."
)
RESUMED_STREAMS = Metric(
    "resumed_streams", _COUNTER, "streams", "Streams continued on another server."
)
STREAMS = Metric("streams", _GAUGE, "streams", "Streams being relayed.")
QUEUED = Metric("queued", _GAUGE, "requests", "Requests waiting at the sidecar.")
QUEUED_TOKENS = Metric(
    "queued_tokens", _GAUGE, "tokens", "Tokens of requests waiting at the sidecar."
)
RUNNING = Metric("running", _GAUGE, "requests", "Requests running at the backend.")
MODEL_MOVES = Metric(
    "model_moves", _COUNTER, "loads", "Loads of a model where it was not held."
)
ADAPTER_LOADS = Metric("adapter_loads", _COUNTER, "loads", "Loads of adapters.")
RESERVED_MEMORY = Metric(
    "reserved_memory", _GAUGE, "bytes", "Accelerator memory reserved in the ledger."
)
ENGINE_CRASHES = Metric("engine_crashes", _COUNTER, "crashes", "Crashes of the engine.")
BLOCKED_DIGESTS = Metric(
    "blocked_digests", _GAUGE, "digests", "Request digests blocked after crashes."
)
CONFIG_OFFSET = Metric(
    "config_offset", _GAUGE, "offset", "Configuration offset in effect."
)
CONFIG_AGE = Metric(
    "config_age", _GAUGE, "ms", "Time since the configuration was confirmed."
)
CONFIG_CHANGES = Metric(
    "config_changes", _COUNTER, "changes", "Changes submitted here.", "outcome"
)
SHARE_UNITS_HELD = Metric(
    "share_units", _GAUGE, "units", "Units of a budget held here.", "budget"
)
SHARE_TRANSFERS = Metric(
    "share_transfers", _COUNTER, "transfers", "Transfers of units sent."
)
COLLECTIONS = Metric(
    "collections", _COUNTER, "collections", "Collections of lost units started here."
)
PEERS_CONNECTED = Metric(
    "peers_connected", _GAUGE, "connections", "Working peer connections."
)
SILENT_CONNECTIONS = Metric(
    "silent_connections",
    _COUNTER,
    "connections",
    "Connections closed after the silence timeout.",
)
LOG_FAILURES = Metric("log_failures", _COUNTER, "calls", "Log calls that failed.")
CONTROL_BYTES = Metric(
    "control_bytes", _COUNTER, "bytes", "Bytes sent to peers other than for requests."
)
TIMER_DELAY = Metric(
    "timer_delay", _TIMING, "ms", "How late the process's timer fired."
)

METRICS: tuple[Metric, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Metric)
)

# Metrics of the users' platform, whose processes serve the Prometheus text format; the
# counters and histograms are declared in `scrape.py`. Name, type, label and meaning.
SCRAPED: tuple[tuple[str, str, str, str], ...] = (
    ("chervilgw_cold_servers", "gauge", "-", "Servers that an entry counts as cold."),
    (
        "chervilgw_cold_requests_total",
        "counter",
        "decision",
        "Decisions at cold servers: `turn` granted by the agent, `share` sent without "
        "a turn, `held` for a slot, `refused`, `old_turn` not used.",
    ),
)


def metrics_page() -> str:
    """Return the text of ``docs/metrics.md``."""
    lines = [
        "# Metrics",
        "",
        "Generated from `chervilgw/telemetry/table.py` by",
        "`python -m chervilgw.telemetry.page > docs/metrics.md`; do not edit.",
        "Names start with `chervilgw.` and the VM; a label is appended after a dot.",
        "",
        "| name | type | unit | label | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| `{m.name}` | {m.type.value} | {m.unit} | {m.label or '-'} | {m.meaning} |"
        for m in METRICS
    ]
    lines += [
        "",
        "On the users' platform in the Prometheus text format (others are in",
        "[OPERATIONS.md](OPERATIONS.md)):",
        "",
        "| name | type | label | meaning |",
        "| --- | --- | --- | --- |",
    ]
    lines += [f"| `{name}` | {' | '.join(rest)} |" for name, *rest in SCRAPED]
    return "\n".join(lines) + "\n"
