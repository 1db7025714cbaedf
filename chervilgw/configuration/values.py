"""Item kinds and their typed values."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

# Customer, model, adapter and service names; ``/`` and ``:`` occur in model names.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$"

# In a customer's list: every model or every service.
ALL = "*"

# Name of the only item of kind ``defaults``.
DEFAULTS_NAME = "fleet"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Names = Annotated[
    tuple[Annotated[str, Field(max_length=128)], ...],
    Field(strict=False, max_length=2_000),
]
Salt = Annotated[str, Field(pattern=r"^([0-9a-f]{2}){8,64}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Bytes = Annotated[int, Field(ge=0, le=10**15)]
Milliseconds = Annotated[int, Field(ge=1, le=7 * 86_400_000)]


class Kind(Enum):
    """Kind of a configuration item."""

    CUSTOMER = "customer"
    KEY = "key"
    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"
    DEFAULTS = "defaults"
    EXCEPTION = "exception"
    BLOCK_LIFT = "block_lift"


class Scope(Enum):
    """Kind of item to which an exception applies."""

    CUSTOMER = "customer"
    MODEL = "model"
    SERVICE = "service"


class Value(BaseModel):
    """Base of all values: immutable, without unknown fields or type conversion."""

    model_config = ConfigDict(
        frozen=True, extra="forbid", strict=True, allow_inf_nan=False
    )


class Customer(Value):
    """A customer's rate, fair-queueing weight and permitted models and services."""

    rate_tokens_per_s: float = Field(gt=0, le=1e9)
    burst_tokens: int = Field(ge=1, le=10**10)
    weight: float = Field(default=1.0, ge=0.001, le=1_000)
    models: Names = (ALL,)
    services: Names = (ALL,)


class Key(Value):
    """An API key; the secret itself is never stored."""

    customer: Name
    salt: Salt
    digest: Sha256
    label: str = Field(default="", max_length=200)
    withdrawn: bool = False


class Model(Value):
    """A model that the engines of one pool can load."""

    pool: Name = "default"
    size_bytes: Bytes
    version: str = Field(default="1", min_length=1, max_length=64)
    target_first_token_ms: Milliseconds = 2_000
    context_tokens: int = Field(default=8_192, ge=1, le=100_000_000)
    min_copies: int = Field(default=1, ge=1, le=1_000)


class Adapter(Value):
    """An adapter for a base model."""

    base_model: Name
    size_bytes: Bytes
    version: str = Field(default="1", min_length=1, max_length=64)


class Route(Value):
    """Routing rule of a plain service; the longest matching prefix applies."""

    method: str = Field(pattern=r"^([A-Z]{1,16}|\*)$")
    path_prefix: str = Field(pattern=r"^/[!-~]{0,511}$")
    idempotent: bool = False
    open: bool = False


class Service(Value):
    """A plain service behind backend servers of one pool."""

    pool: Name = "default"
    routes: Annotated[tuple[Route, ...], Field(strict=False, max_length=200)] = ()


def _scoped(*scopes: Scope) -> dict[str, Any]:
    return {"scopes": [scope.value for scope in scopes]}


_CUSTOMER_OR_MODEL = _scoped(Scope.CUSTOMER, Scope.MODEL)
_ANY_SCOPE = _scoped(Scope.CUSTOMER, Scope.MODEL, Scope.SERVICE)


class Defaults(Value):
    """Fleet-wide limits; ``scopes`` lists where a field may have exceptions."""

    max_tokens_default: int = Field(
        default=512, ge=1, le=10_000_000, json_schema_extra=_CUSTOMER_OR_MODEL
    )
    max_tokens_limit: int = Field(
        default=4_096, ge=1, le=10_000_000, json_schema_extra=_CUSTOMER_OR_MODEL
    )
    queue_tokens_limit: int = Field(
        default=200_000, ge=1, le=10**9, json_schema_extra=_CUSTOMER_OR_MODEL
    )
    interactive_deadline_ms: Milliseconds = Field(
        default=30_000, json_schema_extra=_ANY_SCOPE
    )
    standard_deadline_ms: Milliseconds = Field(
        default=120_000, json_schema_extra=_ANY_SCOPE
    )
    overnight_deadline_ms: Milliseconds = Field(
        default=12 * 3_600_000, json_schema_extra=_ANY_SCOPE
    )
    store_loads_per_s: float = Field(default=1.0, gt=0, le=10_000)
    store_loads_at_once: int = Field(default=10, ge=1, le=100_000)
    adapter_cold_starts_at_once: int = Field(default=70, ge=1, le=1_000_000)
    crash_block_s: float = Field(default=600.0, ge=1, le=86_400)
    idempotency_window_s: float = Field(
        default=86_400.0,
        ge=60,
        le=30 * 86_400,
        json_schema_extra=_scoped(Scope.SERVICE),
    )


class Exemption(Value):
    """An exception to one field of the defaults for one item, with its reason."""

    scope: Literal["customer", "model", "service"]
    name: Name
    field: str = Field(max_length=64)
    value: int | float
    reason: str = Field(min_length=1, max_length=500)


class BlockLift(Value):
    """Lifts the block of a request digest after crashes."""

    digest: Annotated[str, Field(pattern=r"^[!-~]{1,128}$")]


VALUE_TYPES: dict[Kind, type[Value]] = {
    Kind.CUSTOMER: Customer,
    Kind.KEY: Key,
    Kind.MODEL: Model,
    Kind.ADAPTER: Adapter,
    Kind.SERVICE: Service,
    Kind.DEFAULTS: Defaults,
    Kind.EXCEPTION: Exemption,
    Kind.BLOCK_LIFT: BlockLift,
}


def exception_name(scope: str, name: str, field: str) -> str:
    """Return the item name of an exception, unique by scope, name and field.

    Examples
    --------
    >>> exception_name("customer", "acme", "max_tokens_limit")
    'customer/acme/max_tokens_limit'
    """
    return f"{scope}/{name}/{field}"


def permitted_scopes(field: str) -> tuple[str, ...]:
    """Return the scopes in which a field of the defaults can have an exception.

    Examples
    --------
    >>> permitted_scopes("idempotency_window_s")
    ('service',)
    >>> permitted_scopes("store_loads_per_s")
    ()
    """
    info = Defaults.model_fields.get(field)
    extra = info.json_schema_extra if info else None
    return tuple(extra["scopes"]) if isinstance(extra, dict) else ()
