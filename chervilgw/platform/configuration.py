"""Decoding of the operators' configuration record into :class:`Deployment`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

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
from chervilgw.platform.errors import DecodeError

_S_PER_MS = 0.001
# Tokens charged for a request without token counts, unless the record sets another
# number.
DEFAULT_REQUEST_TOKENS = 200
UNLIMITED_CONNECTIONS = 1_000_000


def decode_configuration(value: bytes) -> Deployment:
    """Decode the operators' configuration record.

    Raises
    ------
    DecodeError
        If the record is not a valid configuration.
    """
    try:
        record = json.loads(value)
        tenants = record.get("tenants")
        return Deployment(
            version=int(record["version"]),
            routes=tuple(_decode_route(item) for item in record["routes"]),
            services={
                ServiceName(item["name"]): _decode_service(item)
                for item in record["services"]
            },
            customers={
                CustomerId(item["name"]): _decode_customer(item)
                for item in tenants or ()
            },
            customer_of_key=None if tenants is None else _decode_keys(tenants),
            limits=_decode_limits(record.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DecodeError(f"configuration: {type(error).__name__}: {error}") from error


def _decode_route(entry: Mapping[str, Any]) -> RouteRule:
    split = entry.get("traffic_split") or ()
    destinations = tuple(
        Destination(ServiceName(item["service"]), float(item["weight"]))
        for item in split
    ) or (Destination(ServiceName(entry["service"]), 1.0),)
    return RouteRule(
        name=RouteName(entry["name"]),
        host=entry["hostname"].lower(),
        path_prefix=entry["path_prefix"],
        kind=RouteKind(entry["route_kind"]),
        timeout_s=entry["timeout_ms"] * _S_PER_MS,
        target_s=(entry.get("target_latency_ms") or entry["timeout_ms"]) * _S_PER_MS,
        rank=int(entry.get("priority") or 0),
        destinations=destinations,
        max_attempts=max(1, int(entry.get("max_attempts") or 1)),
        anonymous=bool(entry.get("allow_anonymous")),
        resumable=bool(entry.get("resumable")),
        max_pause_s=(entry.get("gap_aim_ms") or 0) * _S_PER_MS,
    )


def _decode_service(entry: Mapping[str, Any]) -> ServiceRule:
    engine = entry.get("engine")
    return ServiceRule(
        name=ServiceName(entry["name"]),
        max_connections=int(entry.get("max_connections") or UNLIMITED_CONNECTIONS),
        engine=None if not engine else _decode_engine(engine),
    )


def _decode_engine(entry: Mapping[str, Any]) -> EngineSpec:
    models = [_decode_model(item) for item in entry.get("models") or ()]
    return EngineSpec(
        slots=int(entry.get("slots") or 1),
        cache_tokens=int(entry.get("kv_tokens") or 0),
        capacity_mb=float(entry.get("weights_mb") or 0.0),
        adapter_slots=int(entry.get("adapter_slots") or 0),
        loads_per_s=float(entry.get("loads_per_s") or 0.0),
        models={model.name: model for model in models},
    )


def _decode_model(entry: Mapping[str, Any]) -> ModelSpec:
    load_s = float(entry.get("load_time_s") or 0.0)
    return ModelSpec(
        name=ModelName(entry["name"]),
        weights_mb=float(entry["weights_mb"]),
        load_s=load_s,
        memory_load_s=float(entry.get("warm_s") or load_s),
        disk_load_s=float(entry.get("disk_s") or load_s),
        adapters=int(entry.get("adapters") or 0),
        adapter_mb=float(entry.get("adapter_mb") or 0.0),
    )


def _decode_customer(entry: Mapping[str, Any]) -> CustomerRule:
    priority = entry.get("priority")
    return CustomerRule(
        customer=CustomerId(entry["name"]),
        rank=None if priority is None else int(priority),
        rate_per_s=float(entry.get("rate_per_s") or 0.0),
        burst=float(entry.get("burst") or 0.0),
        counts_tokens=entry.get("unit") == "token_rate",
        default_request_tokens=int(entry.get("plain_tokens") or DEFAULT_REQUEST_TOKENS),
    )


def _decode_keys(tenants) -> dict[str, CustomerId]:
    return {
        key: CustomerId(tenant["name"])
        for tenant in tenants
        for key in tenant.get("api_keys") or ()
    }


def _decode_limits(entry: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(entry.get("max_header_bytes") or defaults.max_header_bytes),
        int(entry.get("max_body_bytes") or defaults.max_body_bytes),
        (entry.get("header_timeout_ms") or defaults.header_timeout_s / _S_PER_MS)
        * _S_PER_MS,
        (entry.get("idle_timeout_ms") or defaults.idle_timeout_s / _S_PER_MS)
        * _S_PER_MS,
    )
