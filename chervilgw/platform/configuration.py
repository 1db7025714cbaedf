"""Decoding of the operators' configuration record into :class:`Deployment`."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from chervilgw.core.deployment import (
    CallerLimits,
    CustomerRule,
    Deployment,
    Destination,
    EngineSpec,
    ModelSpec,
    RouteKind,
    RouteName,
    RouteRule,
    ServiceRule,
)
from chervilgw.core.ids import CustomerId, ModelName, ServiceName
from chervilgw.platform.records import (
    MAX_CONFIGURATION_BYTES,
    MAX_SLOTS,
    MAX_TIME_MS,
    Amount,
    Count,
    Record,
    TimeMs,
    parse_record,
)

_S_PER_MS = 0.001
# Tokens charged for a request without token counts, unless the record sets another
# number.
DEFAULT_REQUEST_TOKENS = 200
UNLIMITED_CONNECTIONS = 1_000_000
MAX_VERSION = 2**63 - 1

Slots = Annotated[int, Field(ge=0, le=MAX_SLOTS)]


class _Destination(Record):
    service: str
    weight: Amount


class _Route(Record):
    name: str
    hostname: str
    path_prefix: str
    route_kind: RouteKind
    timeout_ms: Annotated[float, Field(gt=0, le=MAX_TIME_MS)]
    target_latency_ms: TimeMs | None = None
    priority: Count | None = None
    service: str | None = None
    traffic_split: tuple[_Destination, ...] | None = None
    max_attempts: Slots | None = None
    allow_anonymous: bool | None = None
    resumable: bool | None = None
    # Longest pause between events of a stream that is on time.
    gap_aim_ms: TimeMs | None = None

    @model_validator(mode="after")
    def _has_destination(self):
        if self.service is None and not self.traffic_split:
            raise ValueError("the route has no service")
        return self


class _Model(Record):
    name: str
    weights_mb: Amount
    load_time_s: Amount | None = None
    # Load times from the VM's memory and disk.
    warm_s: Amount | None = None
    disk_s: Amount | None = None
    adapters: Count | None = None
    adapter_mb: Amount | None = None


class _Engine(Record):
    slots: Slots | None = None
    # Memory for the prompts and outputs of running requests and for cached prompts.
    kv_tokens: Count | None = None
    weights_mb: Amount | None = None
    adapter_slots: Slots | None = None
    loads_per_s: Amount | None = None
    # Output tokens in an event of a stream.
    stride: Count | None = None
    models: tuple[_Model, ...] | None = None


class _Service(Record):
    name: str
    max_connections: Slots | None = None
    engine: _Engine | None = None
    # How long a server is cold after its start, and the rate that it tolerates then.
    cold_start_s: Annotated[float, Field(ge=0, le=MAX_TIME_MS * _S_PER_MS)] | None = (
        None
    )
    cold_per_s: Amount | None = None


class _Customer(Record):
    name: str
    api_keys: tuple[str, ...] | None = None
    priority: Count | None = None
    rate_per_s: Amount | None = None
    burst: Amount | None = None
    unit: str | None = None
    plain_tokens: Count | None = None


class _Limits(Record):
    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: TimeMs | None = None
    idle_timeout_ms: TimeMs | None = None


class _Configuration(Record):
    version: Annotated[int, Field(ge=0, le=MAX_VERSION)]
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    tenants: tuple[_Customer, ...] | None = None
    limits: _Limits | None = None


def decode_configuration(value: bytes) -> Deployment:
    """Decode the operators' configuration record.

    Raises
    ------
    DecodeError
        If the record is not a valid configuration.
    """
    record = parse_record(
        _Configuration, value, MAX_CONFIGURATION_BYTES, "configuration"
    )
    customers = record.tenants
    return Deployment(
        version=record.version,
        routes=tuple(map(_to_route, record.routes)),
        services={
            ServiceName(item.name): _to_service(item) for item in record.services
        },
        customers={
            CustomerId(item.name): _to_customer(item) for item in customers or ()
        },
        customer_of_key=None if customers is None else _customers_by_key(customers),
        limits=_to_limits(record.limits or _Limits()),
    )


def _to_route(entry: _Route) -> RouteRule:
    destinations = tuple(
        Destination(ServiceName(item.service), item.weight)
        for item in entry.traffic_split or ()
    ) or (Destination(ServiceName(entry.service), 1.0),)
    return RouteRule(
        name=RouteName(entry.name),
        host=entry.hostname.lower(),
        path_prefix=entry.path_prefix,
        kind=entry.route_kind,
        timeout_s=entry.timeout_ms * _S_PER_MS,
        target_s=(entry.target_latency_ms or entry.timeout_ms) * _S_PER_MS,
        rank=entry.priority or 0,
        destinations=destinations,
        max_attempts=max(1, entry.max_attempts or 1),
        anonymous=bool(entry.allow_anonymous),
        resumable=bool(entry.resumable),
        max_pause_s=(entry.gap_aim_ms or 0) * _S_PER_MS,
    )


def _to_service(entry: _Service) -> ServiceRule:
    return ServiceRule(
        name=ServiceName(entry.name),
        max_connections=entry.max_connections or UNLIMITED_CONNECTIONS,
        engine=_to_engine(entry.engine) if _is_stated(entry.engine) else None,
        cold_start_s=entry.cold_start_s or 0.0,
        cold_per_s=entry.cold_per_s or 0.0,
    )


def _is_stated(engine: _Engine | None) -> bool:
    """Return whether a service has engines; an empty table states none."""
    return engine is not None and bool(engine.model_fields_set)


def _to_engine(entry: _Engine) -> EngineSpec:
    models = map(_to_model, entry.models or ())
    return EngineSpec(
        slots=entry.slots or 1,
        cache_tokens=entry.kv_tokens or 0,
        capacity_mb=entry.weights_mb or 0.0,
        adapter_slots=entry.adapter_slots or 0,
        loads_per_s=entry.loads_per_s or 0.0,
        models={model.name: model for model in models},
        tokens_per_event=entry.stride or 0,
    )


def _to_model(entry: _Model) -> ModelSpec:
    load_s = entry.load_time_s or 0.0
    return ModelSpec(
        name=ModelName(entry.name),
        weights_mb=entry.weights_mb,
        load_s=load_s,
        memory_load_s=entry.warm_s or load_s,
        disk_load_s=entry.disk_s or load_s,
        adapters=entry.adapters or 0,
        adapter_mb=entry.adapter_mb or 0.0,
    )


def _to_customer(entry: _Customer) -> CustomerRule:
    return CustomerRule(
        customer=CustomerId(entry.name),
        rank=entry.priority,
        rate_per_s=entry.rate_per_s or 0.0,
        burst=entry.burst or 0.0,
        counts_tokens=entry.unit == "token_rate",
        default_request_tokens=entry.plain_tokens or DEFAULT_REQUEST_TOKENS,
    )


def _customers_by_key(customers: tuple[_Customer, ...]) -> dict[str, CustomerId]:
    return {
        key: CustomerId(customer.name)
        for customer in customers
        for key in customer.api_keys or ()
    }


def _to_limits(entry: _Limits) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        entry.max_header_bytes or defaults.max_header_bytes,
        entry.max_body_bytes or defaults.max_body_bytes,
        (entry.header_timeout_ms or defaults.header_timeout_s / _S_PER_MS) * _S_PER_MS,
        (entry.idle_timeout_ms or defaults.idle_timeout_s / _S_PER_MS) * _S_PER_MS,
    )
