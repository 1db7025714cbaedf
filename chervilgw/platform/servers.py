"""Entries of backend servers in the platform's list to :class:`RegisteredServer`."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

from chervilgw.core.deployment import RegisteredServer, ServerId, ServerState
from chervilgw.core.ids import ModelName, ServiceName, ZoneId
from chervilgw.platform.errors import DecodeError

_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}")


def decode_server(key: str, value: bytes) -> RegisteredServer:
    """Return what an entry says of a backend server.

    Parameters
    ----------
    key : str
        Key of the record, which is the id of the server.
    value : bytes
        Value of the record.

    Raises
    ------
    DecodeError
        If a field is missing or has another type: another writer may have left it.
    """
    try:
        entry = json.loads(value)
        if not isinstance(entry, dict):
            raise TypeError("not an object")
        return RegisteredServer(
            server=ServerId(key),
            service=ServiceName(_text(entry, "service")),
            address=_address(entry),
            zone=ZoneId(_text(entry, "zone")),
            slots=_whole(entry, "slots"),
            state=ServerState(entry["state"]),
            started_ms=_whole(entry, "born"),
            adapters=decode_models(entry.get("models") or ()),
            orders=_whole(entry, "sequence"),
            remaining_s=_time_left_s(entry),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise DecodeError(f"server {key}: {type(error).__name__}: {error}") from error


def decode_models(entries: Any) -> dict[ModelName, frozenset[str]]:
    """Return the loaded adapters of each loaded model.

    Raises
    ------
    TypeError, KeyError
        If the list has another form.
    """
    return {
        ModelName(_text(each, "name")): frozenset(map(str, each.get("adapters") or ()))
        for each in entries
    }


def _text(entry: Mapping[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a text")
    return value


def _whole(entry: Mapping[str, Any], name: str) -> int:
    value = entry[name]
    if type(value) is not int or value < 0:
        raise TypeError(f"{name} is not a whole number")
    return value


def _address(entry: Mapping[str, Any]) -> str:
    value = _text(entry, "address")
    if not _ADDRESS.fullmatch(value):
        raise ValueError("address is not IP:PORT")
    return value


def _time_left_s(entry: Mapping[str, Any]) -> float | None:
    left_ms = entry.get("time_left_ms")
    if left_ms is None:
        return None
    if not isinstance(left_ms, (int, float)):
        raise TypeError("time_left_ms is not a number")
    return left_ms / 1000
