"""Decoding of the platform's list of backend servers into :class:`RegisteredServer`."""

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
    """Decode a backend server's entry in the list.

    Parameters
    ----------
    key : str
        Key of the record, which is the id of the server.
    value : bytes
        Value of the record.

    Raises
    ------
    DecodeError
        If a field is missing or has another type, for instance because another
        program wrote the record.
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
            slots=_non_negative_int(entry, "slots"),
            state=ServerState(entry["state"]),
            started_ms=_non_negative_int(entry, "born"),
            adapters=decode_models(entry.get("models") or ()),
            orders=_non_negative_int(entry, "sequence"),
            remaining_s=_remaining_s(entry),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise DecodeError(f"server {key}: {type(error).__name__}: {error}") from error


def decode_models(entries: Any) -> dict[ModelName, frozenset[str]]:
    """Return the loaded adapters of each loaded model.

    Raises
    ------
    TypeError, KeyError
        If the list does not have the expected form.
    """
    return {
        ModelName(_text(entry, "name")): frozenset(
            map(str, entry.get("adapters") or ())
        )
        for entry in entries
    }


def _text(entry: Mapping[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def _non_negative_int(entry: Mapping[str, Any], name: str) -> int:
    value = entry[name]
    if type(value) is not int or value < 0:
        raise TypeError(f"{name} is not a non-negative integer")
    return value


def _address(entry: Mapping[str, Any]) -> str:
    value = _text(entry, "address")
    if not _ADDRESS.fullmatch(value):
        raise ValueError("address is not IP:PORT")
    return value


def _remaining_s(entry: Mapping[str, Any]) -> float | None:
    remaining_ms = entry.get("time_left_ms")
    if remaining_ms is None:
        return None
    if not isinstance(remaining_ms, (int, float)):
        raise TypeError("time_left_ms is not a number")
    return remaining_ms / 1000
