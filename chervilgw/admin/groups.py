"""Command groups of ``chervilctl``: one for each kind of item."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from fire.decorators import SetParseFn

from chervilgw.admin.client import (
    AdminClient,
    CommandError,
    ExitStatus,
    make_admin_client,
)
from chervilgw.admin.tables import format_fields, format_table, item_rows

ADDRESS_VARIABLE = "CHERVILGW_ADDRESS"
KEY_VARIABLE = "CHERVILGW_OPERATOR_KEY"

# fire parses 12e4 as a number and a,b as a tuple; names, ids and reasons are text.
as_text = SetParseFn(str)


@dataclass(frozen=True, slots=True)
class Action:
    """Action of a command line.

    It runs only after the whole command line was parsed, so that a command with a
    mistyped option changes nothing. ``status`` returns the exit status of a result.
    """

    run: Callable[[], Any]
    show: Callable[[Any], str]
    status: Callable[[Any], ExitStatus] = lambda _: ExitStatus.DONE

    def __dir__(self):
        """Hide the members from fire, which would call one for an extra word."""
        return []


class Connection:
    """Address and key of an entry; checked on first use, as ``--help`` needs none."""

    def __init__(self, address: str | None, operator_key: str | None):
        self._address = address
        self._key = operator_key

    def client(self) -> AdminClient:
        """Return a client for the address and key of the options or the environment."""
        address = self._address or os.environ.get(ADDRESS_VARIABLE)
        key = self._key or os.environ.get(KEY_VARIABLE)
        if not address:
            raise_wrong_usage(f"no address: use --address or set {ADDRESS_VARIABLE}")
        if not key:
            raise_wrong_usage(
                f"no operator key: use --operator-key or set {KEY_VARIABLE}"
            )
        return make_admin_client(str(address), str(key))


class _ItemCommands:
    """Commands common to all kinds of items."""

    _collection = ""

    def __init__(self, connection: Connection):
        self._connection = connection

    def list(self):
        """List all items."""
        return Action(
            lambda: self._connection.client().get(self._collection)["items"],
            lambda items: format_table(item_rows(items)),
        )

    @as_text
    def show(self, name):
        """Show one item."""
        return Action(
            lambda: self._connection.client().get(self._collection, name),
            lambda item: format_fields(item_rows([item])[0]),
        )

    @as_text
    def delete(self, name, *, reason=""):
        """Delete an item; fails while another item refers to it."""

        def run():
            client = self._connection.client()
            version = client.get(self._collection, name)["version"]
            query = {"base_version": version, "reason": reason}
            return client.delete(self._collection, name, **query)

        return Action(run, _format_change)

    def _set(self, name, fields, reason, base_version):
        """Return the action that creates an item or changes its given fields."""
        changes = {field: value for field, value in fields.items() if value is not None}

        def run():
            return _update_item(
                self._connection.client(),
                (self._collection, name),
                changes,
                reason,
                base_version,
            )

        return Action(run, _format_change)


def _update_item(client, path, changes, reason, base_version):
    # base_version makes a concurrent change of the item a conflict.
    item = client.find(*path) or {"value": {}, "version": 0}
    version = item["version"] if base_version is None else int(base_version)
    body = {
        "value": {**item["value"], **changes},
        "base_version": version,
        "reason": reason,
    }
    return client.put(*path, body=body)


class Customers(_ItemCommands):
    """Customers: rate, burst, weight, permitted models and services."""

    _collection = "customers"

    @SetParseFn(str, "name", "models", "services", "reason")
    def set(
        self,
        name,
        *,
        rate_tokens_per_s=None,
        burst_tokens=None,
        weight=None,
        models=None,
        services=None,
        reason="",
        base_version=None,
    ):
        """Create a customer or change the given fields; lists are a,b or *."""
        fields = {
            "rate_tokens_per_s": rate_tokens_per_s,
            "burst_tokens": burst_tokens,
            "weight": weight,
            "models": _split_names(models),
            "services": _split_names(services),
        }
        return self._set(name, fields, reason, base_version)


class Models(_ItemCommands):
    """Models that the engines of a pool can load."""

    _collection = "models"

    @SetParseFn(str, "name", "pool", "version", "reason")
    def set(
        self,
        name,
        *,
        size_bytes=None,
        pool=None,
        version=None,
        target_first_token_ms=None,
        context_tokens=None,
        min_copies=None,
        reason="",
        base_version=None,
    ):
        """Create a model or change the given fields."""
        fields = {
            "size_bytes": size_bytes,
            "pool": pool,
            "version": version,
            "target_first_token_ms": target_first_token_ms,
            "context_tokens": context_tokens,
            "min_copies": min_copies,
        }
        return self._set(name, fields, reason, base_version)


class Adapters(_ItemCommands):
    """Adapters on top of base models."""

    _collection = "adapters"

    @SetParseFn(str, "name", "base_model", "version", "reason")
    def set(
        self,
        name,
        *,
        base_model=None,
        size_bytes=None,
        version=None,
        reason="",
        base_version=None,
    ):
        """Create an adapter or change the given fields."""
        fields = {
            "base_model": base_model,
            "size_bytes": size_bytes,
            "version": version,
        }
        return self._set(name, fields, reason, base_version)


class Services(_ItemCommands):
    """Plain services and their routes."""

    _collection = "services"

    @SetParseFn(str, "name", "pool", "routes", "reason")
    def set(self, name, *, pool=None, routes=None, reason="", base_version=None):
        """Create a service or change the given fields; routes are a JSON list."""
        fields = {"pool": pool, "routes": _parse_json_list("routes", routes)}
        return self._set(name, fields, reason, base_version)


class Keys(_ItemCommands):
    """Customers' keys. The key itself is printed only when it is issued."""

    _collection = "keys"
    delete = None

    @as_text
    def issue(self, customer, *, label="", reason=""):
        """Issue a key for a customer and print it."""
        body = {"label": label, "reason": reason}
        return Action(
            lambda: self._connection.client().post(
                "customers", customer, "keys", body=body
            ),
            lambda answer: format_fields(
                {"key_id": answer["key_id"], "key": answer["key"]}
            ),
        )

    @as_text
    def withdraw(self, key_id, *, reason=""):
        """Withdraw a key and end its running streams."""
        body = {"reason": reason}
        return Action(
            lambda: self._connection.client().post(
                "keys", key_id, "withdraw", body=body
            ),
            _format_change,
        )


class Defaults:
    """Fleet-wide defaults."""

    def __init__(self, connection: Connection):
        self._connection = connection

    def show(self):
        """Show the defaults."""
        return Action(
            lambda: self._connection.client().get("defaults"),
            lambda item: format_fields(item_rows([item])[0]),
        )

    @SetParseFn(str, "field", "reason")
    def set(self, field, value, *, reason="", base_version=None):
        """Change one field of the defaults."""
        return Action(
            lambda: _update_item(
                self._connection.client(),
                ("defaults",),
                {field: value},
                reason,
                base_version,
            ),
            _format_change,
        )


class Exceptions:
    """Exceptions to the defaults, each with its reason."""

    def __init__(self, connection: Connection):
        self._connection = connection

    def list(self):
        """List all exceptions."""
        return Action(
            lambda: self._connection.client().get("exceptions")["items"],
            lambda items: format_table([item["value"] for item in items]),
        )

    @SetParseFn(str, "scope", "name", "field", "reason")
    def set(self, scope, name, field, value, reason):
        """Set an exception for one customer, model or service."""

        def run():
            client = self._connection.client()
            item = client.find("exceptions", scope, name, field)
            version = item["version"] if item else 0
            body = {"value": value, "reason": reason, "base_version": version}
            return client.put("exceptions", scope, name, field, body=body)

        return Action(run, _format_change)

    @as_text
    def delete(self, scope, name, field, *, reason=""):
        """Delete an exception."""

        def run():
            client = self._connection.client()
            path = ("exceptions", scope, name, field)
            query = {"base_version": client.get(*path)["version"], "reason": reason}
            return client.delete(*path, **query)

        return Action(run, _format_change)


class Blocks:
    """Requests that are blocked after crashes."""

    def __init__(self, connection: Connection):
        self._connection = connection

    def list(self):
        """List the digests of blocked requests."""
        return Action(
            lambda: self._connection.client().get("blocks")["blocks"], format_table
        )

    @as_text
    def lift(self, digest, *, reason=""):
        """Unblock a request before its block expires."""
        body = {"reason": reason}
        return Action(
            lambda: self._connection.client().post("blocks", digest, "lift", body=body),
            _format_change,
        )


def raise_wrong_usage(message: str):
    """Raise :class:`CommandError` for a wrong command line."""
    raise CommandError(ExitStatus.WRONG_USAGE, message)


def _split_names(text: str | None) -> list[str] | None:
    if text is None:
        return None
    return [name.strip() for name in text.split(",") if name.strip()]


def _parse_json_list(field: str, text: str | None) -> list | None:
    if text is None:
        return None
    try:
        value = json.loads(text)
    except ValueError:
        value = None
    if not isinstance(value, list):
        raise_wrong_usage(f"{field}: must be a JSON list")
    return value


def _format_change(answer: Mapping[str, Any]) -> str:
    return f"done, version {answer['version']}"
