"""Gossip task of an entry: datagrams to the other entries and to the engines' agents.

Entries find each other in the store once, at their start; from then on each report
carries the address of its sender, so that entries that started earlier learn of it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from circuits import BaseComponent, handler

from chervilgw.core.deployment import RegisteredServer, ServerId
from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import (
    CrashReport,
    DemandReport,
    EngineReport,
    EntryReport,
    ReportSubscription,
    TurnGranted,
    TurnRefused,
    TurnRequest,
)
from chervilgw.forward.events import (
    announce_entry,
    crash_reported,
    demand_reported,
    engine_reported,
    entry_reported,
    turn_answered,
)
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.telemetry import log_event

SILENT_PEER_S = 30.0
"""An address that says nothing for this long gets no reports any more: a process that
is started again there announces itself."""
WATCH_EVERY_S = 1.0
"""Agents send reports for three times as long as this after each watch."""


@dataclass(frozen=True, slots=True)
class GossipOptions:
    """Identity of the entry and where it and the agents are reached.

    ``agent_port`` is the port of the agents, the same on all VMs.
    """

    me: Incarnation
    address: str
    agent_port: int


class Gossip(BaseComponent):
    """Gossip task; see :func:`make_gossip`."""

    def __init__(self, options: GossipOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._peers: dict[str, float] = {}
        self._engines: dict[ServerId, RegisteredServer] = {}
        self._engine_services: frozenset = frozenset()
        self._watched_s = float("-inf")

    @handler("started", channel="*")
    def _on_started(self, *args):
        options = self._options
        self.fire(announce_entry(options.me.vm, options.address), "store")

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._engine_services = frozenset(
            name for name, rule in deployment.services.items() if rule.engine
        )

    @handler("entries_listing", channel="*")
    def _on_entries(self, addresses):
        now_s = time.monotonic()
        for address in addresses:
            if address != self._options.address:
                self._peers.setdefault(address, now_s)
        log_event("entries_listed", count=len(addresses))

    @handler("datagram_received")
    def _on_datagram(self, message, sender: str):
        match message:
            case EntryReport():
                if message.address not in self._peers:
                    log_event("entry_found", entry=str(message.sender))
                self._peers[message.address] = time.monotonic()
                self.fire(entry_reported(message), "gateway")
            case DemandReport():
                self.fire(demand_reported(message), "planner")
            case EngineReport():
                self.fire(engine_reported(message), "gateway", "planner")
            case TurnGranted() | TurnRefused():
                self.fire(turn_answered(message), "gateway")
            case CrashReport():
                self.fire(crash_reported(message), "gateway")

    @handler("entry_report_due")
    def _on_report_due(self, report: EntryReport):
        now_s = time.monotonic()
        for address, heard_s in list(self._peers.items()):
            if now_s - heard_s > SILENT_PEER_S:
                del self._peers[address]
                log_event("entry_silent", address=address, silent_s=SILENT_PEER_S)
        report = replace(report, address=self._options.address)
        self._send(report, list(self._peers))

    @handler("demand_report_due")
    def _on_demand_due(self, report: DemandReport):
        report = replace(report, address=self._options.address)
        self.fire(demand_reported(report), "planner")
        self._send(report, list(self._peers))

    @handler("crash_shared")
    def _on_crash_shared(self, report: CrashReport):
        self._send(report, list(self._peers))

    @handler("servers_known")
    def _on_servers(self, servers: list[RegisteredServer]):
        self._engines = {
            server.server: server
            for server in servers
            if server.service in self._engine_services
        }
        now_s = time.monotonic()
        if now_s - self._watched_s < WATCH_EVERY_S:
            return
        self._watched_s = now_s
        for server in self._engines.values():
            watch = ReportSubscription(
                self._options.me,
                self._options.address,
                server.server,
                server.started_ms,
            )
            self._send(watch, [self._agent_of(server)])

    @handler("agent_send")
    def _on_agent_send(self, server: ServerId, message):
        engine = self._engines.get(server)
        if isinstance(message, TurnRequest):
            message = replace(message, address=self._options.address)
        if engine is not None:
            self._send(message, [self._agent_of(engine)])

    def _agent_of(self, server: RegisteredServer) -> str:
        host = server.address.rpartition(":")[0]
        return f"{host}:{self._options.agent_port}"

    def _send(self, message, addresses: list[str]):
        if addresses:
            self.fire(datagram_send(message, addresses), "datagrams")


def make_gossip(options: GossipOptions, channel="gossip") -> Gossip:
    """Return a gossip task.

    Parameters
    ----------
    options : GossipOptions
        Identity and addresses.
    channel : str
        Channel of the task.
    """
    return Gossip(options, channel)
