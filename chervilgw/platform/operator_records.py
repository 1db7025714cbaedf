"""Decoding of the operators' records: the configuration and the evacuated zones.

Both are keys of one topic. A listing of the topic may come in several pages, and the
configuration may be on an earlier page than the zones. The first configuration is
therefore held back until the first listing is complete, as a process becomes ready with
its first configuration.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import Deployment
from chervilgw.core.ids import NO_POSITION, LogPosition, ZoneId
from chervilgw.platform import log_format
from chervilgw.platform.configuration import decode_configuration
from chervilgw.platform.errors import DecodeError
from chervilgw.telemetry import log_event


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A newer configuration, and the position of its record."""

    deployment: Deployment
    position: LogPosition


@dataclass(frozen=True, slots=True)
class ZoneRecordRead:
    """A record that evacuates a zone or revokes its evacuation."""

    zone: ZoneId
    is_evacuated: bool
    position: LogPosition


@dataclass(frozen=True, slots=True)
class ZonesListed:
    """All evacuated zones with the positions of their records, as of ``end``."""

    positions: dict[ZoneId, LogPosition]
    end: LogPosition


Output = ConfigurationRead | ZoneRecordRead | ZonesListed


@dataclass(slots=True)
class OperatorRecords:
    """Operators' records read by one process; see :func:`make_operator_records`."""

    _version: int = -1
    _config_position: LogPosition = NO_POSITION
    _is_listed: bool = False
    _held: ConfigurationRead | None = None
    _zones: dict[ZoneId, LogPosition] = field(default_factory=dict)

    def on_record(self, record: log_format.KeyedRecord) -> list[Output]:
        """Decode a record of a read; return what it changes."""
        if record.key == log_format.CONFIGURATION_KEY:
            read = self._decode_configuration(record)
            return [read] if read is not None else []
        zone = log_format.evacuated_zone(record.key)
        if zone is None:
            return []
        return [ZoneRecordRead(zone, bool(record.value), record.position)]

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
            self._zones[zone] = record.position
        return []

    def on_listing_ended(self, end: LogPosition) -> list[Output]:
        """Return what takes effect at the end of a listing, in order.

        Parameters
        ----------
        end : LogPosition
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
        if record.position == self._config_position:
            return None
        try:
            deployment = decode_configuration(record.value)
        except DecodeError as error:
            log_event("configuration_malformed", level="error", detail=str(error))
            return None
        if deployment.version < self._version:
            self._log_ignored(record, "of an older version")
            return None
        is_newer = deployment.version > self._version
        self._version, self._config_position = deployment.version, record.position
        if not is_newer:
            return None
        return ConfigurationRead(deployment, record.position)

    def _log_ignored(self, record: log_format.KeyedRecord, detail: str) -> None:
        log_event(
            "configuration_ignored",
            level="warning",
            position=record.position,
            version_in_force=self._version,
            position_in_force=self._config_position,
            detail=detail,
        )


def make_operator_records() -> OperatorRecords:
    """Return the decoder of a process that has read no record."""
    return OperatorRecords()
