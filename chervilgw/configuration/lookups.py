"""Lookups in the configuration state."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import unquote

from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import (
    ALL,
    DEFAULTS_NAME,
    Adapter,
    Customer,
    Defaults,
    Kind,
    Model,
    Route,
    Service,
    exception_name,
)

_BUILT_IN = Defaults()
_DOT_SEGMENTS = frozenset({".", ".."})


class ResolvedModel(NamedTuple):
    """A model and, if the caller named one, an adapter on it."""

    name: str
    model: Model
    adapter_name: str | None = None
    adapter: Adapter | None = None


def defaults(state: ConfigurationState) -> Defaults:
    """Return the fleet-wide defaults, or built-in ones if no operator set any."""
    item = state.items[Kind.DEFAULTS].get(DEFAULTS_NAME)
    return item.value if item else _BUILT_IN


def effective_value(
    state: ConfigurationState,
    field: str,
    customer: str | None = None,
    model: str | None = None,
    service: str | None = None,
) -> int | float:
    """Return a field of the defaults with exceptions applied.

    An exception of the customer takes precedence over one of the model, and that over
    one of the service.

    Examples
    --------
    >>> from chervilgw.configuration.state import empty_state
    >>> effective_value(empty_state(), "max_tokens_limit", customer="acme")
    4096
    """
    exceptions = state.items[Kind.EXCEPTION]
    if exceptions:
        scoped = (("customer", customer), ("model", model), ("service", service))
        for scope, name in scoped:
            if name is not None and (
                item := exceptions.get(exception_name(scope, name, field))
            ):
                return item.value.value
    return getattr(defaults(state), field)


def find_customer(state: ConfigurationState, customer: str) -> Customer | None:
    """Return a customer's value, or None."""
    item = state.items[Kind.CUSTOMER].get(customer)
    return item.value if item else None


def permitted_models(state: ConfigurationState, customer: str) -> tuple[str, ...]:
    """Return the names of all models and adapters that a customer may use, sorted."""
    value = find_customer(state, customer)
    if value is None:
        return ()
    names = {*state.items[Kind.MODEL], *state.items[Kind.ADAPTER]}
    return tuple(sorted(names if ALL in value.models else names & set(value.models)))


def may_use_model(state: ConfigurationState, customer: str, name: str) -> bool:
    """Return whether a customer may use a model or adapter."""
    value = find_customer(state, customer)
    return value is not None and (ALL in value.models or name in value.models)


def may_use_service(state: ConfigurationState, customer: str, name: str) -> bool:
    """Return whether a customer may use a service."""
    value = find_customer(state, customer)
    return value is not None and (ALL in value.services or name in value.services)


def resolve_model(state: ConfigurationState, name: str) -> ResolvedModel | None:
    """Return the model or adapter with a name, or None."""
    if item := state.items[Kind.MODEL].get(name):
        return ResolvedModel(name, item.value)
    if item := state.items[Kind.ADAPTER].get(name):
        base = item.value.base_model
        model = state.items[Kind.MODEL][base].value
        return ResolvedModel(base, model, name, item.value)
    return None


def service_route(service: Service, method: str, path: str) -> Route | None:
    """Return the route of a service with the longest prefix that matches, or None.

    A prefix matches whole path segments only: ``/pay`` does not match ``/payments``.
    At equal length a route for the method takes precedence over one for ``*``. A path
    with dot segments has no route: the service could resolve it to a path outside an
    open prefix.

    Examples
    --------
    >>> service = Service(routes=(Route(method="*", path_prefix="/pay"),))
    >>> service_route(service, "GET", "/pay/1").path_prefix
    '/pay'
    >>> service_route(service, "GET", "/payments") is None
    True
    """
    path = path.partition("?")[0]
    if not _DOT_SEGMENTS.isdisjoint(unquote(path).replace("\\", "/").split("/")):
        return None
    matching = [
        route
        for route in service.routes
        if route.method in (method, "*") and _matches_prefix(route.path_prefix, path)
    ]
    return max(
        matching,
        key=lambda route: (len(route.path_prefix), route.method != "*"),
        default=None,
    )


def _matches_prefix(prefix: str, path: str) -> bool:
    stripped = prefix.rstrip("/")
    return path in (stripped, prefix) or path.startswith(stripped + "/")


def lifted_blocks(state: ConfigurationState) -> dict[str, int]:
    """Return when each lifted block was lifted, in ms since the epoch."""
    items = state.items[Kind.BLOCK_LIFT]
    return {digest: item.time_ms for digest, item in items.items()}
