"""Decoding of the records of followed topics into the events that they cause."""

from __future__ import annotations

from dataclasses import dataclass, field

from circuits import Event

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import LogPosition
from chervilgw.forward.events import (
    deployment_changed,
    evacuations_listed,
    server_registered,
    server_unregistered,
    software_versions_recorded,
    usage_recorded,
    zone_record_read,
)
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.log_format import USAGE_KEY, VERSIONS_KEY, KeyedRecord
from chervilgw.platform.operator_records import (
    ConfigurationRead,
    Output,
    ZoneRecordRead,
    ZonesListed,
)
from chervilgw.platform.servers import decode_server
from chervilgw.platform.software_versions import decode_versions
from chervilgw.platform.store_era import StoreEra
from chervilgw.platform.usage import decode_usage
from chervilgw.telemetry import log_event

# Malformed entries whose versions are remembered, so that each is logged once.
MAX_IGNORED_KEYS = 1_000


@dataclass(slots=True)
class ServerRecords:
    """Decoder of the list of servers; see :func:`make_server_records`."""

    _ignored: dict[str, LogPosition] = field(default_factory=dict)

    def decode(self, record: KeyedRecord) -> Event | None:
        """Return the event that a record causes, or None for a malformed one."""
        if record.value is None:
            return server_unregistered(ServerId(record.key), record.position)
        try:
            entry = decode_server(record.key, record.value)
        except DecodeError as error:
            self._log_ignored(record, str(error))
            return None
        return server_registered(entry, record.position)

    def _log_ignored(self, record: KeyedRecord, detail: str) -> None:
        """Log a malformed record once, although each listing returns it again."""
        if self._ignored.get(record.key) == record.position:
            return
        if len(self._ignored) >= MAX_IGNORED_KEYS:
            self._ignored.clear()
        self._ignored[record.key] = record.position
        log_event(
            "server_entry_ignored",
            level="warning",
            server=record.key,
            position=record.position,
            detail=detail,
        )


def make_server_records() -> ServerRecords:
    """Return the decoder of a process that has read no record."""
    return ServerRecords()


def make_operator_event(output: Output) -> Event:
    """Return the event of a change by the operators."""
    match output:
        case ConfigurationRead(deployment, position):
            log_event(
                "configuration_applied",
                version=deployment.version,
                position=position,
                routes=len(deployment.routes),
            )
            return deployment_changed(deployment)
        case ZoneRecordRead(zone, is_evacuated, position):
            return zone_record_read(zone, is_evacuated, position)
        case ZonesListed(positions, end):
            return evacuations_listed(positions, end)


def decode_shared_record(
    record: KeyedRecord, era: StoreEra | None, now_unix_s: float
) -> Event | None:
    """Return the event that a record in the topic of the entries causes.

    It is None for the address of an entry, and for a malformed record of another
    writer.

    Parameters
    ----------
    record : KeyedRecord
    era : StoreEra or None
        Era of the store in which the record was read.
    now_unix_s : float
        Wall-clock time, from which the age of some records follows.
    """
    if record.value is None:
        return None
    if record.key == USAGE_KEY:
        return _decode_usage_record(record.value, era, now_unix_s)
    if record.key == VERSIONS_KEY:
        return _decode_versions_record(record.value)
    return None


def _decode_versions_record(value: bytes) -> Event | None:
    try:
        versions = decode_versions(value)
    except DecodeError as error:
        log_event("software_versions_ignored", level="warning", detail=str(error))
        return None
    log_event("software_versions_read", versions=versions)
    return software_versions_recorded(versions)


def _decode_usage_record(
    value: bytes, era: StoreEra | None, now_unix_s: float
) -> Event | None:
    try:
        used, unix_ms = decode_usage(value, era)
    except DecodeError as error:
        log_event("quota_usage_ignored", level="warning", detail=str(error))
        return None
    age_s = now_unix_s - unix_ms / 1000
    log_event("quota_usage_read", used=used, age_s=round(age_s, 3))
    return usage_recorded(used, age_s)
