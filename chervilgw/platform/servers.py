"""Decoding of the platform's list of backend servers into :class:`RegisteredServer`."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated

from pydantic import Field

from chervilgw.core.deployment import RegisteredServer, ServerId, ServerState
from chervilgw.core.ids import ModelName, ServiceName, SoftwareVersion, ZoneId
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.records import (
    MAX_ITEMS,
    MAX_NAME_LENGTH,
    MAX_SERVER_RECORD_BYTES,
    MAX_SLOTS,
    Count,
    Name,
    Record,
    ServerAddress,
    StrictRecord,
    TimeMs,
    parse_record,
)

# A server's id is sent in a header of each request to it.
_SERVER_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")


class LoadedModel(Record):
    """A model that an engine holds, and its loaded adapters."""

    name: Name
    adapters: Annotated[tuple[Name, ...] | None, Field(max_length=MAX_ITEMS)] = None


class _ServerEntry(StrictRecord):
    service: Name
    address: ServerAddress
    zone: Name
    slots: Annotated[int, Field(ge=0, le=MAX_SLOTS)]
    state: ServerState
    # Unix time at which the server started.
    born: Count
    models: Annotated[tuple[LoadedModel, ...] | None, Field(max_length=MAX_ITEMS)] = (
        None
    )
    # Number of orders that the server accepted.
    sequence: Count
    time_left_ms: TimeMs | None = None
    cold_left_ms: TimeMs | None = None
    # Version of the server's software.
    version: Annotated[str, Field(max_length=MAX_NAME_LENGTH)] | None = None


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
        If a field is missing, has another type or is out of bounds, for instance
        because another program wrote the record.
    """
    if not _SERVER_ID.fullmatch(key):
        raise DecodeError(f"server {key[:MAX_NAME_LENGTH]!a}: the id is not printable")
    entry = parse_record(_ServerEntry, value, MAX_SERVER_RECORD_BYTES, f"server {key}")
    return RegisteredServer(
        server=ServerId(key),
        service=ServiceName(entry.service),
        address=entry.address,
        zone=ZoneId(entry.zone),
        slots=entry.slots,
        state=entry.state,
        started_ms=entry.born,
        adapters=adapters_by_model(entry.models or ()),
        orders=entry.sequence,
        remaining_s=to_seconds(entry.time_left_ms),
        cold_s=to_seconds(entry.cold_left_ms),
        software_version=SoftwareVersion(entry.version or ""),
    )


def adapters_by_model(
    models: Iterable[LoadedModel],
) -> dict[ModelName, frozenset[str]]:
    """Return the loaded adapters of each loaded model."""
    return {ModelName(model.name): frozenset(model.adapters or ()) for model in models}


def to_seconds(duration_ms: float | None) -> float | None:
    """Return a duration in s, or None without one."""
    return None if duration_ms is None else duration_ms / 1000
