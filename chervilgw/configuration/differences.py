"""Differences between two deployments, without the text of any key."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import Any

from chervilgw.core.deployment import Deployment
from chervilgw.core.ids import CustomerId

# Conversion from milliseconds leaves digits behind this one that no file states.
_DIGITS = 9
# Stands for an entry with fields that only one of the deployments has.
PRESENT = "(present)"


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs; None stands for a value that is absent."""

    place: str
    before: str | float | bool | None
    after: str | float | bool | None


def compare_deployments(
    before: Deployment, after: Deployment
) -> tuple[Difference, ...]:
    """Return the differences in effect.

    Routes are compared by host and path prefix, services, models and customers by
    name. Of keys only their numbers are given, as keys are secret.

    Examples
    --------
    >>> from chervilgw.core.deployment import CallerLimits
    >>> former = Deployment(1, (), {}, {}, None, CallerLimits())
    >>> compare_deployments(former, Deployment(2, (), {}, {}, None, CallerLimits()))
    (Difference(place='version', before=1, after=2),)
    """
    return (
        *_compare("", _as_tree(before), _as_tree(after)),
        *_compare_keys(_keys_by_customer(before), _keys_by_customer(after)),
    )


def _as_tree(deployment: Deployment) -> Mapping[str, Any]:
    return {
        "version": deployment.version,
        "routes": {
            f"{route.host}{route.path_prefix}": route for route in deployment.routes
        },
        "services": deployment.services,
        "customers": deployment.customers,
        "limits": deployment.limits,
        "callers need keys": deployment.customer_of_key is not None,
    }


def _compare(place: str, before: Any, after: Any) -> Iterator[Difference]:
    old, new = _children(before), _children(after)
    if old is None or new is None:
        if before != after:
            yield Difference(place, _as_scalar(before), _as_scalar(after))
        return
    for name in dict.fromkeys((*old, *new)):
        inner = f"{place}.{name}" if place else str(name)
        yield from _compare(inner, old.get(name), new.get(name))


def _children(value: Any) -> Mapping[Any, Any] | None:
    if isinstance(value, Mapping):
        return value
    if isinstance(value, tuple):
        return dict(enumerate(value))
    if is_dataclass(value):
        return {field.name: getattr(value, field.name) for field in fields(value)}
    return None


def _as_scalar(value: Any) -> str | float | bool | None:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, float):
        return round(value, _DIGITS)
    return value if _children(value) is None else PRESENT


def _keys_by_customer(deployment: Deployment) -> dict[CustomerId, set[str]]:
    keys: dict[CustomerId, set[str]] = {}
    for key, customer in (deployment.customer_of_key or {}).items():
        keys.setdefault(customer, set()).add(key)
    return keys


def _compare_keys(
    before: Mapping[CustomerId, set[str]], after: Mapping[CustomerId, set[str]]
) -> Iterator[Difference]:
    for customer in dict.fromkeys((*before, *after)):
        old, new = before.get(customer, set()), after.get(customer, set())
        if old != new:
            yield Difference(
                f"keys of {customer}",
                len(old),
                f"{len(new)}, {len(new - old)} of them new",
            )
