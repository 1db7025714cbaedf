"""JSON views of items, audit entries and the fleet for operators."""

from __future__ import annotations

from itertools import islice
from typing import Any

from chervilgw.admin.errors import AdminError
from chervilgw.configuration.lookups import defaults
from chervilgw.configuration.state import ConfigurationState, Item
from chervilgw.configuration.values import DEFAULTS_NAME, Kind
from chervilgw.membership.task import FleetSnapshot

_HIDDEN_KEY_FIELDS = {"salt", "digest"}


def show_items(
    state: ConfigurationState, kind: Kind, name: str | None
) -> dict[str, Any]:
    """Return all items of a kind, or one.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    kind : Kind
        Kind of the items.
    name : str or None
        Name of one item.

    Returns
    -------
    dict

    Raises
    ------
    AdminError
        If there is no item of that name.
    """
    items = state.items[kind]
    if name is None:
        rows = [_show_item(kind, key, items[key]) for key in sorted(items)]
        return {"items": rows, "offset": state.offset}
    if name in items:
        return _show_item(kind, name, items[name])
    if kind is Kind.DEFAULTS and name == DEFAULTS_NAME:
        value = defaults(state).model_dump(mode="json")
        return {"name": name, "version": 0, "value": value}
    raise AdminError(404, "not_found", f"there is no {kind.value} {name!r}")


def _show_item(kind: Kind, name: str, item: Item) -> dict[str, Any]:
    value = item.value.model_dump(mode="json")
    if kind is Kind.KEY:
        value = {
            field: content
            for field, content in value.items()
            if field not in _HIDDEN_KEY_FIELDS
        }
    return {"name": name, "version": item.version, "value": value}


def show_audit(state: ConfigurationState, limit: int) -> dict[str, Any]:
    """Return the newest audit entries, newest first.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    limit : int
        Maximum number of entries.

    Returns
    -------
    dict
    """
    newest = sorted(state.audit, key=lambda entry: -entry.offset)
    rows = [
        {
            "offset": entry.offset,
            "time_ms": entry.time_ms,
            "operator": entry.operator,
            "kind": entry.kind,
            "name": entry.name,
            "accepted": entry.accepted,
            "reason": entry.reason,
            "why": entry.why,
        }
        for entry in islice(newest, limit)
    ]
    return {"entries": rows}


def show_fleet(fleet: FleetSnapshot, state: ConfigurationState) -> dict[str, Any]:
    """Return the entries and backend servers in this entry's fleet view.

    Parameters
    ----------
    fleet : FleetSnapshot
        Current fleet view.
    state : ConfigurationState
        Current configuration.

    Returns
    -------
    dict
    """
    servers = [
        {
            "vm": server.vm,
            "zone": server.zone,
            "state": server.state.value,
            "connected": server.connected,
            "kind": server.load.kind.value,
            "pool": server.load.pool,
            "running": server.load.running,
            "queued": server.load.queued,
            "capacity_bytes": server.load.capacity_bytes,
            "free_bytes": server.load.free_bytes,
            "resident": server.load.resident,
            "services": list(server.load.services),
        }
        for server in fleet.servers
    ]
    entries = [
        {
            "vm": entry.incarnation.vm,
            "zone": entry.zone,
            "state": entry.state.value,
            "connected": entry.connected,
        }
        for entry in fleet.entries
    ]
    return {"entries": entries, "servers": servers, "offset": state.offset}
