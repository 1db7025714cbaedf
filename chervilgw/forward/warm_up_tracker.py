"""Base of the gateway task: keeps track of cold servers and of the entries' number."""

from __future__ import annotations

import time
from dataclasses import replace

from circuits import BaseComponent, handler

from chervilgw.core.deployment import RegisteredServer
from chervilgw.core.messages import EntryReport
from chervilgw.forward.cold_dispatch import ColdDispatch, make_cold_dispatch
from chervilgw.forward.metrics_task import cold_requests_counted, cold_servers_counted
from chervilgw.membership.fleet_view import make_fleet_view
from chervilgw.settings.vm import Bounds
from chervilgw.telemetry import log_event

# In ticks of 0.1 s.
_REPORT_INTERVAL_TICKS = 10


class WarmUpTracker(BaseComponent):
    """Task that owns a :class:`FleetView` and what an entry knows of cold servers."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self.fleet = make_fleet_view()
        # Later steps of the wall clock must not make a cold server look old.
        self._clock_offset_s = time.time() - time.monotonic()
        self._cold: ColdDispatch | None = None
        self._cold_ticks = 0

    def make_cold_decisions(self, bounds: Bounds, address: str) -> ColdDispatch:
        """Return the decisions on cold servers, which this task updates from now on."""
        self._cold = make_cold_dispatch(
            self.fleet.warm_up, bounds, address, self._clock_offset_s
        )
        return self._cold

    # Before the gateway admits the requests that waited for the configuration.
    @handler("deployment_changed", channel="*", priority=1)
    def _on_cold_rules(self, deployment):
        self.fleet.warm_up.set_rules(deployment.services)

    @handler("entry_list_read", channel="*")
    def _on_entry_list_read(self, addresses):
        self._cold.entries.on_listed(tuple(addresses), time.monotonic())

    @handler("entry_reported")
    def _on_entry_seen(self, report: EntryReport):
        self._cold.entries.on_report(report.address, report.draining, time.monotonic())

    def on_cold_listed(self, entry: RegisteredServer, position):
        """Apply what an entry of the platform's list says of a server's start."""
        now_s = time.monotonic()
        age_s = now_s + self._clock_offset_s - entry.started_ms / 1000
        self.fleet.warm_up.on_registered(entry, position, age_s, now_s)

    def with_cold_times(
        self, servers: list[RegisteredServer], now_s: float
    ) -> list[RegisteredServer]:
        """Return the servers with their cold times, for the subscriptions at agents.

        Only what sources other than the agent stated is included.
        """
        warm_up = self.fleet.warm_up
        return [
            server
            if warm_up.rule(server.service) is None
            else replace(
                server,
                cold_s=warm_up.stated_without_agent_s(server.server, now_s),
            )
            for server in servers
        ]

    @handler("clock_tick", channel="*")
    def _on_warm_up_tick(self, now_s, paused):
        self.fleet.warm_up.observe(now_s)
        self._cold_ticks += 1
        if self._cold_ticks % _REPORT_INTERVAL_TICKS:
            return
        self._cold.entries.drop_silent(now_s)
        self._cold.slots.drop_past(now_s)
        for server, cold_s in self.fleet.warm_up.changes(now_s):
            if cold_s > 0:
                log_event("server_cold", server=server, cold_s=round(cold_s, 3))
            else:
                log_event("server_warm", server=server)
        for decision, number in self._cold.counts.items():
            self.fire(cold_requests_counted(decision, number), "metrics")
        self._cold.counts.clear()
        self.fire(cold_servers_counted(self.fleet.warm_up.count_cold()), "metrics")
