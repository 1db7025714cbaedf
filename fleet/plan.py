"""What a local fleet consists of."""

from __future__ import annotations

from dataclasses import dataclass, field

GIGABYTE = 1_000_000_000


@dataclass(frozen=True)
class ModelPlan:
    """A model that the launcher configures."""

    name: str
    size_bytes: int = 20 * GIGABYTE
    min_copies: int = 1


@dataclass(frozen=True)
class CustomerPlan:
    """A customer that the launcher configures, with one key."""

    name: str
    rate_tokens_per_s: float = 5_000.0
    burst_tokens: int = 50_000
    weight: float = 1.0


@dataclass(frozen=True)
class FleetPlan:
    """Sizes and options of a local fleet.

    ``engine_options``, ``service_options`` and ``log_options`` are options of the
    stand-ins. Entries, engines and services are spread over the zones in turn. The VMs
    in ``cut_peers`` are reached by their peers, and those in ``cut_backends`` and
    ``cut_log`` reach their backend and the log, through a forwarder that can silence
    or cut connections. ``statsd`` receives all metrics.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    entries: int = 2
    engines: int = 3
    services: int = 2
    models: tuple[ModelPlan, ...] = (
        ModelPlan("draft-small", min_copies=2),
        ModelPlan("draft-large", 30 * GIGABYTE),
        ModelPlan("summary"),
    )
    adapters: tuple[tuple[str, str], ...] = (("damp-report", "draft-small"),)
    customers: tuple[CustomerPlan, ...] = (
        CustomerPlan("surveyors"),
        CustomerPlan("tenants"),
    )
    engine_options: dict = field(default_factory=dict)
    service_options: dict = field(default_factory=dict)
    log_options: dict = field(default_factory=dict)
    cut_log: tuple[str, ...] = ()
    fenced: bool = True
    settle_s: float = 2.0
    notice_s: float = 1.0
    max_running: int = 16
    store_loads_per_s: float = 3.0
    store_loads_at_once: int = 10
    cut_peers: tuple[str, ...] = ()
    cut_backends: tuple[str, ...] = ()
    statsd: str | None = None

    def zone(self, index: int) -> str:
        """Return the zone of the n-th VM of a kind."""
        return self.zones[index % len(self.zones)]
