"""Types of a deployment: routes, services, customers, limits, registered servers.

A front end of the platform decodes its wire format into these types, and decisions use
only them. Times are in seconds, sizes in MB as in the operators' configuration.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from chervilgw.core.ids import (
    CustomerId,
    ModelName,
    ServiceName,
    SoftwareVersion,
    ZoneId,
)

RouteName = NewType("RouteName", str)
ServerId = NewType("ServerId", str)
AttemptId = NewType("AttemptId", str)
PromptPartId = NewType("PromptPartId", str)


class RouteKind(Enum):
    """Kind of a route: which of its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServerState(Enum):
    """State under which a backend server is registered."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Destination:
    """One service of a route and its relative weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route; ``rank`` is its urgency, 0 first.

    ``max_attempts`` bounds the backend servers that one request is sent to.
    ``max_pause_s`` is the longest pause between events of a stream that is on time.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    rank: int
    destinations: tuple[Destination, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool
    max_pause_s: float

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Size and load times of a model and of its adapters."""

    name: ModelName
    weights_mb: float
    load_s: float
    memory_load_s: float
    disk_load_s: float
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of the engines of one service.

    ``tokens_per_event`` is the number of output tokens in an event of a stream, 0 if
    the configuration does not state it.
    """

    slots: int
    cache_tokens: int
    capacity_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[ModelName, ModelSpec]
    tokens_per_event: int = 0

    @property
    def states_capacity(self) -> bool:
        """Return whether the configuration states memory and slots.

        One slot is what a configuration without a number of slots is decoded to.
        """
        return self.cache_tokens > 0 and self.slots > 1


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """One service; ``engine`` is None for a plain service.

    ``max_connections`` bounds the connections of all callers to one of its servers. A
    server is cold for ``cold_start_s`` after its start; while it is cold it tolerates
    ``cold_per_s`` requests per second, 0 if there is no limit.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """One customer; a rate of 0 means no limit.

    ``rate_per_s`` and ``burst`` are in tokens if ``counts_tokens``, else in requests.
    ``default_request_tokens`` is charged for a request that states no tokens.
    """

    customer: CustomerId
    rank: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    default_request_tokens: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operators' configuration.

    ``customer_of_key`` is None if callers need no key.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: Mapping[ServiceName, ServiceRule]
    customers: Mapping[CustomerId, CustomerRule]
    customer_of_key: Mapping[str, CustomerId] | None
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """A backend server as registered on the platform's list.

    ``adapters`` maps a loaded model to its loaded adapters. ``started_ms`` identifies
    the incarnation of the server; ``orders`` counts the orders that it accepted.
    ``cold_s`` is how much longer the server is cold, None if that is not stated.
    ``software_version`` is that of the server's program: a stream may go on only at the
    version that began it.
    """

    server: ServerId
    service: ServiceName
    address: str
    zone: ZoneId
    slots: int
    state: ServerState
    started_ms: int
    adapters: Mapping[ModelName, frozenset[str]] = field(default_factory=dict)
    orders: int = 0
    remaining_s: float | None = None
    cold_s: float | None = None
    software_version: SoftwareVersion = SoftwareVersion("")


@dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """A caller's request whose body is forwarded without being parsed.

    ``headers`` are those that are forwarded to the backend server. ``model`` and
    ``adapter`` are None for a plain service. ``prompt_parts`` lists the parts of the
    prompt in order with their tokens. ``max_wait_s`` is how long the caller will wait.
    ``output_tokens`` is the most that the answer may have, ``hinted_output_tokens`` the
    caller's estimate. A request that takes a stream up has the id of the last event
    that the caller holds in ``last_event``, and in ``begun_by`` the attempt that
    brought its first event, empty if the caller does not name it.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempt: AttemptId
    credential: str
    max_wait_s: float | None
    model: ModelName | None
    adapter: str | None
    prompt_tokens: int | None
    output_tokens: int | None
    prompt_parts: tuple[tuple[PromptPartId, int], ...]
    last_event: str | None
    hinted_output_tokens: int | None = None
    begun_by: AttemptId = AttemptId("")

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """Return the prompt parts that other requests may have: all but the last."""
        return tuple(part for part, _ in self.prompt_parts[:-1])
