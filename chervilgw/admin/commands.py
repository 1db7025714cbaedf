"""Parses operators' HTTP requests into commands."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from returns.result import Failure, Result, Success

from chervilgw.admin.errors import AdminError
from chervilgw.configuration.values import DEFAULTS_NAME, Kind, exception_name

PREFIX = "/admin/v1/"
MAX_AUDIT_ROWS = 1000

_COLLECTIONS = {
    "customers": Kind.CUSTOMER,
    "keys": Kind.KEY,
    "models": Kind.MODEL,
    "adapters": Kind.ADAPTER,
    "services": Kind.SERVICE,
    "exceptions": Kind.EXCEPTION,
}


@dataclass(frozen=True, slots=True)
class ListItems:
    """List all items of a kind, or show one."""

    kind: Kind
    name: str | None = None


@dataclass(frozen=True, slots=True)
class SetItem:
    """Create or replace an item, or delete it if ``value`` is None.

    ``base_version`` is the version that the change is based on; None stands for the
    current one.
    """

    kind: Kind
    name: str
    value: Mapping[str, Any] | None
    base_version: int | None
    reason: str
    change_id: str | None


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Issue a key for a customer."""

    customer: str
    label: str
    reason: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key."""

    key_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class LiftBlock:
    """Unblock a request digest."""

    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class ShowAudit:
    """Show the newest audit entries."""

    limit: int


@dataclass(frozen=True, slots=True)
class ShowFleet:
    """Show VMs, their availability zones and loaded models."""


@dataclass(frozen=True, slots=True)
class ShowBlocks:
    """Show blocked request digests."""


Command = (
    ListItems
    | SetItem
    | IssueKey
    | WithdrawKey
    | LiftBlock
    | ShowAudit
    | ShowFleet
    | ShowBlocks
)


def parse_command(
    method: str, path: str, query: str, body: bytes
) -> Result[Command, AdminError]:
    """Return the command of an operator's request.

    Parameters
    ----------
    method, path, query : str
        As in the HTTP request.
    body : bytes
        JSON object, or empty.

    Returns
    -------
    Result of Command or AdminError

    Examples
    --------
    >>> parse_command("GET", "/admin/v1/models", "", b"").unwrap()
    ListItems(kind=<Kind.MODEL: 'model'>, name=None)
    """
    try:
        parts = [unquote(part) for part in path.removeprefix(PREFIX).split("/")]
        return Success(_match_route(method, parts, parse_qs(query), _parse_body(body)))
    except AdminError as error:
        return Failure(error)


def _match_route(method, parts: list[str], query, body: Mapping[str, Any]) -> Command:
    match method, parts:
        case "GET", ["fleet"]:
            return ShowFleet()
        case "GET", ["audit"]:
            return ShowAudit(_parse_limit(query))
        case "GET", ["blocks"]:
            return ShowBlocks()
        case "POST", ["blocks", digest, "lift"]:
            return LiftBlock(digest, _text_field(body, "reason"))
        case "POST", ["customers", customer, "keys"]:
            return IssueKey(
                customer, _text_field(body, "label"), _text_field(body, "reason")
            )
        case "POST", ["keys", key_id, "withdraw"]:
            return WithdrawKey(key_id, _text_field(body, "reason"))
        case "PUT", ["keys", *_]:
            raise AdminError(
                405, "not_allowed", "a key cannot be set; issue one instead"
            )
        case "GET", ["defaults"]:
            return ListItems(Kind.DEFAULTS, DEFAULTS_NAME)
        case "PUT", ["defaults"]:
            return _set_item(Kind.DEFAULTS, DEFAULTS_NAME, body)
        case "PUT", ["exceptions", scope, *name, field] if name:
            return _set_exception(scope, "/".join(name), field, body)
        case "GET", [collection] if collection in _COLLECTIONS:
            return ListItems(_COLLECTIONS[collection])
        case "GET", [collection, *name] if collection in _COLLECTIONS:
            return ListItems(_COLLECTIONS[collection], "/".join(name))
        case "PUT", [collection, *name] if collection in _COLLECTIONS and name:
            return _set_item(_COLLECTIONS[collection], "/".join(name), body)
        case "DELETE", [collection, *name] if collection in _COLLECTIONS and name:
            return _delete_item(_COLLECTIONS[collection], "/".join(name), query)
    raise AdminError(404, "unknown_route", f"there is no {method} {'/'.join(parts)}")


def _set_item(kind: Kind, name: str, body: Mapping[str, Any]) -> SetItem:
    value = body.get("value")
    if not isinstance(value, Mapping):
        raise AdminError(400, "bad_request", "value: must be an object")
    return SetItem(
        kind,
        name,
        value,
        _parse_version(body.get("base_version")),
        _text_field(body, "reason"),
        _text_field(body, "change_id") or None,
    )


def _set_exception(scope: str, name: str, field: str, body) -> SetItem:
    reason = _text_field(body, "reason")
    value = {
        "scope": scope,
        "name": name,
        "field": field,
        "value": body.get("value"),
        "reason": reason,
    }
    return SetItem(
        Kind.EXCEPTION,
        exception_name(scope, name, field),
        value,
        _parse_version(body.get("base_version")),
        reason,
        _text_field(body, "change_id") or None,
    )


def _delete_item(kind: Kind, name: str, query) -> SetItem:
    version = query.get("base_version", [None])[0]
    reason = query.get("reason", [""])[0]
    return SetItem(kind, name, None, _parse_version(version), reason, None)


def _parse_body(body: bytes) -> Mapping[str, Any]:
    if not body:
        return {}
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise AdminError(400, "bad_request", "the body is not valid JSON") from None
    if not isinstance(value, dict):
        raise AdminError(400, "bad_request", "the body must be a JSON object")
    return value


def _text_field(body: Mapping[str, Any], name: str) -> str:
    value = body.get(name, "")
    if not isinstance(value, str) or len(value) > 500:
        raise AdminError(
            400, "bad_request", f"{name}: must be a string of at most 500 characters"
        )
    return value


def _parse_version(value: Any) -> int | None:
    if value is None:
        return None
    try:
        return int(value)
    except (TypeError, ValueError):
        text = "base_version: must be an integer"
        raise AdminError(400, "bad_request", text) from None


def _parse_limit(query) -> int:
    try:
        return max(1, min(MAX_AUDIT_ROWS, int(query.get("limit", ["100"])[0])))
    except ValueError:
        raise AdminError(400, "bad_request", "limit: must be an integer") from None
