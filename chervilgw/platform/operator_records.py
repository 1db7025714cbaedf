"""Decoding of the operators' records: the configuration and the evacuated zones.

Both are keys of one topic. A listing of the topic may come in several pages, and the
configuration may be on an earlier page than the zones. The first configuration is
therefore held back until the first listing is complete, as a process becomes ready with
its first configuration.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import Deployment
from chervilgw.core.ids import NO_OFFSET, Offset, ZoneId
from chervilgw.platform import log_format
from chervilgw.platform.configuration import decode_configuration
from chervilgw.platform.errors import DecodeError
from chervilgw.telemetry import log_event


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A newer configuration, and the offset of its record."""

    deployment: Deployment
    offset: Offset


@dataclass(frozen=True, slots=True)
class ZoneRecordRead:
    """A record that evacuates a zone or revokes its evacuation."""

    zone: ZoneId
    is_evacuated: bool
    offset: Offset


@dataclass(frozen=True, slots=True)
class ZonesListed:
    """All evacuated zones with the offsets of their records, as of offset ``end``."""

    offsets: dict[ZoneId, Offset]
    end: Offset


Output = ConfigurationRead | ZoneRecordRead | ZonesListed


@dataclass(slots=True)
class OperatorRecords:
    """Operators' records read by one process; see :func:`make_operator_records`."""

    _version: int = -1
    _config_offset: Offset = NO_OFFSET
    _is_listed: bool = False
    _held: ConfigurationRead | None = None
    _zones: dict[ZoneId, Offset] = field(default_factory=dict)

    def on_record(self, record: log_format.KeyedRecord) -> list[Output]:
        """Decode a record of a read; return what it changes."""
        if record.key == log_format.CONFIGURATION_KEY:
            read = self._decode_configuration(record)
            return [read] if read is not None else []
        zone = log_format.evacuated_zone(record.key)
        if zone is None:
            return []
        return [ZoneRecordRead(zone, bool(record.value), record.offset)]

    def on_listing_started(self) -> None:
        """Forget the zones of a listing that was not completed."""
        self._zones = {}

    def on_listed(self, record: log_format.KeyedRecord) -> list[Output]:
        """Decode a record of a listing; return what takes effect before its end."""
        if record.key == log_format.CONFIGURATION_KEY:
            read = self._decode_configuration(record)
            if read is None or self._is_listed:
                return [read] if read is not None else []
            self._held = read
            return []
        zone = log_format.evacuated_zone(record.key)
        if zone is not None and record.value:
            self._zones[zone] = record.offset
        return []

    def on_listing_ended(self, end: Offset) -> list[Output]:
        """Return what takes effect at the end of a listing, in order.

        Parameters
        ----------
        end : Offset
            End of the log before the listing was read.
        """
        listed = ZonesListed(self._zones, end)
        held, self._held = self._held, None
        self._is_listed, self._zones = True, {}
        return [listed] if held is None else [listed, held]

    def _decode_configuration(self, record) -> ConfigurationRead | None:
        """Return the configuration of a record, or None if it is not newer."""
        if record.value is None:
            return None
        if record.offset <= self._config_offset:
            if record.offset < self._config_offset:
                self._log_ignored(record, "read at a lower offset")
            return None
        try:
            deployment = decode_configuration(record.value)
        except DecodeError as error:
            log_event("configuration_malformed", level="error", detail=str(error))
            return None
        if deployment.version <= self._version:
            if deployment.version < self._version:
                self._log_ignored(record, "of an older version")
            return None
        self._version, self._config_offset = deployment.version, record.offset
        return ConfigurationRead(deployment, record.offset)

    def _log_ignored(self, record: log_format.KeyedRecord, detail: str) -> None:
        log_event(
            "configuration_ignored",
            level="warning",
            offset=record.offset,
            version_in_force=self._version,
            offset_in_force=self._config_offset,
            detail=detail,
        )


def make_operator_records() -> OperatorRecords:
    """Return the decoder of a process that has read no record."""
    return OperatorRecords()
