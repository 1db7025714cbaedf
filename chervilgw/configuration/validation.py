"""Checks of a change: field ranges, references and versions.

:func:`check_change` runs before a change is appended and again in the fold.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.records import Change
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import (
    ALL,
    DEFAULTS_NAME,
    NAME_PATTERN,
    VALUE_TYPES,
    Customer,
    Defaults,
    Exemption,
    Key,
    Kind,
    Value,
    exception_name,
    permitted_scopes,
)

_KEY_ID = re.compile(r"[0-9a-z]{4,32}")
_NAME = re.compile(NAME_PATTERN)


def check_change(state: ConfigurationState, change: Change) -> Value | None:
    """Check a change against a state and return its typed value, None for a deletion.

    Raises
    ------
    ConfigurationError
        If the change must be rejected; the message names the field and what is allowed.
    """
    _check_version(state, change)
    if change.value is None:
        _check_not_referenced(state, change.kind, change.name)
        return None
    value = parse_value(change.kind, change.value)
    _check_name(change, value)
    _check_references(state, change, value)
    return value


def parse_value(kind: Kind, value: Mapping[str, Any]) -> Value:
    """Return the typed value of an item.

    Raises
    ------
    ConfigurationError
        If a field is missing, unknown or out of range.

    Examples
    --------
    >>> parse_value(Kind.CUSTOMER, {"rate_tokens_per_s": 0, "burst_tokens": 5})
    Traceback (most recent call last):
    ...
    chervilgw.configuration.errors.ConfigurationError: rate_tokens_per_s: Input should \
be greater than 0; allowed: above 0, at most 1000000000.0
    """
    value_type = VALUE_TYPES[kind]
    try:
        return value_type.model_validate(dict(value))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(map(str, first["loc"])) or kind.value
        text = f"{path}: {first['msg']}"
        if bounds := _allowed_range(
            value_type, str(first["loc"][0]) if first["loc"] else ""
        ):
            text += f"; allowed: {bounds}"
        raise ConfigurationError(text) from None


def _allowed_range(value_type: type[Value], field: str) -> str:
    """Return the allowed range of a number field, from its declaration."""
    info = value_type.model_fields.get(field)
    parts = []
    for constraint in info.metadata if info else ():
        for attribute, word in (("gt", "above"), ("ge", "at least"), ("le", "at most")):
            if (bound := getattr(constraint, attribute, None)) is not None:
                parts.append(f"{word} {bound}")
    return ", ".join(parts)


def _check_version(state: ConfigurationState, change: Change) -> None:
    item = state.items[change.kind].get(change.name)
    current = item.version if item else 0
    if change.base_version != current:
        raise ConfigurationError(
            f"conflict: {change.kind.value} {change.name!r} has version {current}, "
            f"the change is based on {change.base_version}"
        )
    if change.value is None and item is None:
        raise ConfigurationError(f"no {change.kind.value} named {change.name!r}")


def _check_name(change: Change, value: Value) -> None:
    name = change.name
    if isinstance(value, Exemption):
        expected = exception_name(value.scope, value.name, value.field)
        if name != expected:
            raise ConfigurationError(f"name: must be {expected!r}")
    elif change.kind is Kind.DEFAULTS and name != DEFAULTS_NAME:
        raise ConfigurationError(f"name: must be {DEFAULTS_NAME!r}")
    elif change.kind is Kind.BLOCK_LIFT and name != value.digest:
        raise ConfigurationError("name: must be the digest")
    elif change.kind is Kind.KEY and not _KEY_ID.fullmatch(name):
        raise ConfigurationError("name: not 4 to 32 lower-case letters and digits")
    elif change.kind is not Kind.BLOCK_LIFT and not _NAME.fullmatch(name):
        raise ConfigurationError(f"name: {name[:64]!r} does not match {NAME_PATTERN}")


def _check_references(state: ConfigurationState, change: Change, value: Value) -> None:
    items = state.items
    if isinstance(value, Key):
        _require_item(items, Kind.CUSTOMER, value.customer, "customer")
        _check_key_update(state, change.name, value)
    elif isinstance(value, Customer):
        for name in value.models:
            if name not in items[Kind.ADAPTER]:
                _require_item(items, Kind.MODEL, name, "models")
        for name in value.services:
            _require_item(items, Kind.SERVICE, name, "services")
    elif change.kind is Kind.ADAPTER:
        _require_item(items, Kind.MODEL, value.base_model, "base_model")
        _check_name_free(items, Kind.MODEL, change.name)
    elif change.kind is Kind.MODEL:
        _check_name_free(items, Kind.ADAPTER, change.name)
    elif isinstance(value, Exemption):
        _check_exemption(state, value)
    elif isinstance(value, Defaults):
        if value.max_tokens_default > value.max_tokens_limit:
            raise ConfigurationError(
                "max_tokens_default: must be at most max_tokens_limit "
                f"({value.max_tokens_limit})"
            )


def _require_item(items: Mapping, kind: Kind, name: str, field: str) -> None:
    if name != ALL and name not in items[kind]:
        raise ConfigurationError(f"{field}: no {kind.value} named {name[:64]!r}")


def _check_name_free(items: Mapping, kind: Kind, name: str) -> None:
    """Check that no item of another kind has the name.

    Requests name models and adapters in the same field.
    """
    if name in items[kind]:
        raise ConfigurationError(f"name: a {kind.value} is named {name!r}")


def _check_key_update(state: ConfigurationState, name: str, value: Key) -> None:
    item = state.items[Kind.KEY].get(name)
    if item is None:
        return
    for field in ("customer", "salt", "digest"):
        if getattr(item.value, field) != getattr(value, field):
            raise ConfigurationError(f"{field}: cannot change; issue another key")
    if item.value.withdrawn and not value.withdrawn:
        raise ConfigurationError("withdrawn: cannot be undone; issue another key")


def _check_exemption(state: ConfigurationState, value: Exemption) -> None:
    scopes = permitted_scopes(value.field)
    if value.scope not in scopes:
        allowed = ", ".join(scopes) or "none"
        raise ConfigurationError(
            f"field: {value.field!r} has no exception for scope {value.scope!r}; "
            f"allowed scopes: {allowed}"
        )
    _require_item(state.items, Kind(value.scope), value.name, "name")
    parse_value(Kind.DEFAULTS, {value.field: value.value})


def _check_not_referenced(state: ConfigurationState, kind: Kind, name: str) -> None:
    """Check that no other item refers to an item that is to be deleted."""
    for referrer_kind, referrer, referenced in _find_references(state, kind):
        if referenced == name:
            raise ConfigurationError(
                f"{kind.value} {name!r} is used by {referrer_kind.value} {referrer!r}"
            )


def _find_references(state: ConfigurationState, kind: Kind):
    """Yield (referrer kind, referrer, name) for each reference to items of a kind."""
    items = state.items
    if kind is Kind.CUSTOMER:
        for referrer, item in items[Kind.KEY].items():
            yield Kind.KEY, referrer, item.value.customer
    if kind is Kind.MODEL:
        for referrer, item in items[Kind.ADAPTER].items():
            yield Kind.ADAPTER, referrer, item.value.base_model
    if kind in (Kind.MODEL, Kind.ADAPTER, Kind.SERVICE):
        field = "services" if kind is Kind.SERVICE else "models"
        for referrer, item in items[Kind.CUSTOMER].items():
            for name in getattr(item.value, field):
                yield Kind.CUSTOMER, referrer, name
    for referrer, item in items[Kind.EXCEPTION].items():
        if item.value.scope == kind.value:
            yield Kind.EXCEPTION, referrer, item.value.name
