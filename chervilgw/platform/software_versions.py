"""Record of the software versions that lately served, for later processes."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from chervilgw.core.ids import ServiceName, SoftwareVersion
from chervilgw.platform.records import (
    MAX_ITEMS,
    MAX_NAME_LENGTH,
    MAX_SERVER_RECORD_BYTES,
    Name,
    StrictRecord,
    parse_record,
)
from chervilgw.routing.stream_origins import RETENTION_S
from chervilgw.routing.version_history import MAX_VERSIONS, RecordedVersions

# Servers may state no version.
_Version = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
_Versions = Annotated[tuple[_Version, ...], Field(max_length=MAX_VERSIONS)]


class _Record(StrictRecord):
    versions: Annotated[dict[Name, _Versions], Field(max_length=MAX_ITEMS)]


def encode_versions(versions: RecordedVersions) -> bytes:
    """Return the record of the versions that lately served, by service."""
    listed = {service: list(names) for service, names in versions.items()}
    return json.dumps({"versions": listed}, sort_keys=True).encode()


def decode_versions(value: bytes) -> RecordedVersions:
    """Decode a record: the versions that lately served, by service.

    Raises
    ------
    DecodeError
        If the record is malformed.

    Examples
    --------
    >>> decode_versions(encode_versions({ServiceName("llm"): ("1.4", "1.5")}))
    {'llm': ('1.4', '1.5')}
    """
    record = parse_record(_Record, value, MAX_SERVER_RECORD_BYTES, "software versions")
    return {
        ServiceName(service): tuple(map(SoftwareVersion, names))
        for service, names in record.versions.items()
    }


@dataclass(slots=True)
class VersionRecord:
    """What to write next into the record; see :func:`make_version_record`."""

    _due: RecordedVersions | None = None
    # Former record, and when it was read.
    _listed: RecordedVersions = field(default_factory=dict)
    _listed_s: float | None = None
    _written: RecordedVersions = field(default_factory=dict)
    _written_s: float = float("-inf")

    def on_due(self, versions: RecordedVersions) -> None:
        """Record what this process knows of the versions that lately served."""
        self._due = versions

    def on_record(self, versions: RecordedVersions) -> None:
        """Record what a former process wrote."""
        self._listed = versions

    def on_listed(self, now_s: float) -> None:
        """Record that the store was read, with or without a record."""
        self._listed_s = now_s

    def on_restored(self, now_s: float) -> None:
        """Record that the store lost what was written since its copy."""
        self._listed, self._listed_s = {}, None
        if self._due is None and now_s - self._written_s <= RETENTION_S:
            self._due = self._written

    def take_due(self, now_s: float) -> RecordedVersions | None:
        """Return what to write now, or None.

        Nothing is written before the former record was read, which it replaces. For a
        while the versions of that record are kept: what is due may have been determined
        before they were known.
        """
        if self._due is None or self._listed_s is None:
            return None
        due, self._due = self._due, None
        if now_s - self._listed_s <= RETENTION_S:
            due = _merge(due, self._listed)
        self._written, self._written_s = due, now_s
        return due


def _merge(newer: RecordedVersions, former: RecordedVersions) -> RecordedVersions:
    services = sorted({*newer, *former})
    merged = {}
    for service in services:
        # A dictionary keeps the order, so that the former versions yield to the bound.
        names = dict.fromkeys((*newer.get(service, ()), *former.get(service, ())))
        merged[service] = tuple(sorted(list(names)[:MAX_VERSIONS]))
    return merged


def make_version_record() -> VersionRecord:
    """Return the state of a process that has neither read nor written the record.

    Examples
    --------
    >>> record = make_version_record()
    >>> record.on_due({"llm": ("1.5",)})
    >>> record.take_due(now_s=1.0) is None
    True
    >>> record.on_record({"llm": ("1.4",)})
    >>> record.on_listed(now_s=2.0)
    >>> record.take_due(now_s=2.0)
    {'llm': ('1.4', '1.5')}
    """
    return VersionRecord()
