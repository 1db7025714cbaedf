"""Base of the gateway task: applies the evacuation of availability zones."""

from __future__ import annotations

import time

from circuits import handler

from chervilgw.core.ids import LogPosition, ZoneId
from chervilgw.core.messages import EntryReport
from chervilgw.forward.fleet_tracker import FleetTracker
from chervilgw.forward.metrics_task import evacuated_zones_counted
from chervilgw.membership.evacuations import EvacuationChange
from chervilgw.telemetry import log_event


class EvacuationTracker(FleetTracker):
    """Task that keeps the set of evacuated zones in its view of the fleet.

    Subclasses define ``on_evacuated``, which takes back the requests that are on their
    way to a server of such a zone.
    """

    @handler("zone_record_read", channel="*")
    def _on_zone_record(self, zone: ZoneId, is_evacuated: bool, position: LogPosition):
        evacuations = self.fleet.directory.evacuations
        now_s = time.monotonic()
        changes = evacuations.on_record(zone, is_evacuated, position, now_s)
        self._apply_changes(changes, "store", LogPosition(position + 1))

    @handler("evacuations_listed", channel="*")
    def _on_evacuations_listed(
        self, positions: dict[ZoneId, LogPosition], end: LogPosition
    ):
        now_s = time.monotonic()
        changes = self.fleet.directory.evacuations.on_set(positions, end, now_s)
        self._apply_changes(changes, "store", end)

    @handler("entry_reported")
    def _on_peer_evacuations(self, report: EntryReport):
        if report.evacuated is None:
            return
        end = LogPosition(report.evacuated.end)
        positions = {
            ZoneId(zone): LogPosition(position)
            for zone, position in report.evacuated.positions.items()
        }
        now_s = time.monotonic()
        retained = {
            ZoneId(zone): remaining_s
            for zone, remaining_s in report.evacuated.retained.items()
        }
        evacuations = self.fleet.directory.evacuations
        changes = evacuations.on_set(positions, end, now_s)
        changes += evacuations.on_retained(retained, end, now_s)
        self._apply_changes(changes, str(report.sender.vm), end)

    @handler("clock_tick", channel="*")
    def _on_evacuations_tick(self, now_s, paused):
        evacuations = self.fleet.directory.evacuations
        changes = evacuations.expire(now_s)
        self._apply_changes(changes, "restore", evacuations.end)

    def _apply_changes(
        self, changes: tuple[EvacuationChange, ...], source: str, end: LogPosition
    ):
        if not changes:
            return
        for change in changes:
            event = "zone_evacuated" if change.is_evacuated else "evacuation_revoked"
            log_event(event, zone=change.zone, source=source, end=end)
        number = len(self.fleet.directory.evacuations)
        self.fire(evacuated_zones_counted(number), "metrics")
        now_s = time.monotonic()
        self._doubt_warmth(
            {change.zone for change in changes if not change.is_evacuated}, now_s
        )
        if any(change.is_evacuated for change in changes):
            self.publish_servers(now_s)
            self.on_evacuated(now_s)

    def _doubt_warmth(self, zones: set[ZoneId], now_s: float):
        """Count the servers of zones that take requests again as cold.

        They idled, or were started anew before the evacuation. The next entry of the
        list says how long they are cold in truth.
        """
        for server in self.fleet.directory.present(now_s):
            if server.zone in zones:
                self.fleet.warm_up.on_state_unknown(server.server, now_s)
