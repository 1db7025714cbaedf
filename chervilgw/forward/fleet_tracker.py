"""Base of the gateway task: keeps the view of the backend servers up to date."""

from __future__ import annotations

import time

from circuits import handler

from chervilgw.core.answers import ServerSignals
from chervilgw.core.deployment import (
    Deployment,
    RegisteredServer,
    ServerId,
    ServerState,
)
from chervilgw.forward.events import servers_updated
from chervilgw.forward.warm_up_tracker import WarmUpTracker
from chervilgw.routing.warm_up import ColdSource
from chervilgw.telemetry import log_event


class FleetTracker(WarmUpTracker):
    """Task that owns a :class:`FleetView` and updates it from the platform's list.

    Subclasses define ``on_server_ended``, which learns of servers that have ended
    without notice.
    """

    @handler("deployment_changed", channel="*")
    def _on_services_changed(self, deployment: Deployment):
        self.fleet.directory.set_services(deployment.services)

    @handler("server_registered", channel="*")
    def _on_server_registered(self, entry: RegisteredServer, position):
        directory = self.fleet.directory
        now_s = time.monotonic()
        ended = directory.ended_by(entry, position)
        changed = directory.on_entry(entry, position, now_s)
        # The directory may doubt an entry of a server that was gone.
        is_listed = directory.is_listed(entry.server)
        if is_listed and directory.find(entry.server).started_ms == entry.started_ms:
            self.on_cold_listed(entry, position)
        for server, started_ms in ended:
            self.on_server_ended(server, started_ms, now_s)
        if changed:
            log_event(
                "server_changed",
                server=entry.server,
                service=entry.service,
                state=entry.state,
                address=entry.address,
                models=sorted(entry.adapters),
                started_ms=entry.started_ms,
                position=position,
            )

    @handler("server_unregistered", channel="*")
    def _on_server_unregistered(self, server: ServerId, position):
        now_s, directory = time.monotonic(), self.fleet.directory
        if directory.on_removed(server, position, now_s):
            log_event("server_removed", server=server, position=position)
            removed = directory.find(server)
            if removed.state is ServerState.READY:
                self.on_server_ended(server, removed.started_ms, now_s)
            self.fleet.drop_server(server)

    @handler("server_list_read", channel="*")
    def _on_server_list_read(self, listed, end):
        now_s = time.monotonic()
        self.fleet.on_listed(now_s)
        for server in self.fleet.directory.on_listing(listed, end, now_s):
            log_event("server_removed", server=server, position=end)
            self.fleet.warm_up.on_removed(server)

    # Before the requests that wait for the list are decided on.
    @handler("server_list_confirmed", channel="*", priority=1)
    def _on_server_list_confirmed(self, asked_s):
        self.fleet.on_list_confirmed(asked_s)

    @handler("store_lost", channel="*")
    def _on_store_lost(self):
        self.fleet.directory.on_store_lost(time.monotonic())

    @handler("store_recovered", channel="*")
    def _on_store_recovered(self):
        self.fleet.directory.on_store_recovered(time.monotonic())

    @handler("store_restored", channel="*")
    def _on_store_restored(self):
        self.fleet.directory.on_store_restored(time.monotonic())

    def on_signals(
        self, server: ServerId, started_ms: int, signals: ServerSignals, now_s: float
    ):
        """Apply what a server said of itself beside an answer."""
        if signals.leaving:
            self.on_leaving(server, started_ms, "answer", now_s)
        if signals.retry_after_s is not None:
            pause_s = self.fleet.back_offs.on_refused(
                server, started_ms, signals.retry_after_s, now_s
            )
            log_event("server_pauses", server=server, pause_s=round(pause_s, 3))
        self.fleet.warm_up.on_stated(
            server, started_ms, ColdSource.ANSWER, signals.cold_s, now_s
        )

    def on_disowned(self, server: ServerId, started_ms: int):
        """Apply the answer of another server at a server's address."""
        if self.fleet.directory.on_disowned(server, started_ms):
            log_event("server_disowned", server=server, started_ms=started_ms)

    def on_leaving(self, server: ServerId, started_ms: int, source: str, now_s: float):
        """Apply a server's notice that it leaves, from an answer or another entry."""
        if self.fleet.directory.on_leaving(server, started_ms, now_s):
            log_event(
                "server_leaving", server=server, started_ms=started_ms, source=source
            )

    def publish_servers(self, now_s: float):
        """Send the list of present servers to the gossip and planner tasks.

        Copies of models in evacuated zones serve no request and are not planned with.
        """
        directory = self.fleet.directory
        servers = self.with_cold_times(directory.present(now_s), now_s)
        self.fire(servers_updated(servers), "gossip")
        planned = [each for each in servers if each.zone not in directory.evacuations]
        self.fire(servers_updated(planned), "planner")
