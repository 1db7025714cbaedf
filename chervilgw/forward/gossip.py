"""Gossip task of an entry: datagrams to the other entries and to the engines' agents.

An entry reads its peers from the store once, at its start. Each report carries the
address of its sender, so that entries that started earlier discover it.
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

# A silent peer gets no more reports; a restarted process announces itself.
PEER_SILENCE_TIMEOUT_S = 30.0
# After each subscription, agents send reports for three times this long.
SUBSCRIPTION_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class GossipOptions:
    """Identity and datagram address of the entry, and the port of the agents.

    ``agent_port`` is the same on all VMs.
    """

    incarnation: Incarnation
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
        self._last_subscription_s = float("-inf")

    @handler("started", channel="*")
    def _on_started(self, *args):
        options = self._options
        self.fire(announce_entry(options.incarnation.vm, options.address), "store")

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._engine_services = frozenset(
            name for name, rule in deployment.services.items() if rule.engine
        )

    @handler("entry_list_read", channel="*")
    def _on_entry_list_read(self, addresses):
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
    def _on_entry_report_due(self, report: EntryReport):
        now_s = time.monotonic()
        for address, last_seen_s in list(self._peers.items()):
            if now_s - last_seen_s > PEER_SILENCE_TIMEOUT_S:
                del self._peers[address]
                log_event(
                    "entry_silent", address=address, silent_s=PEER_SILENCE_TIMEOUT_S
                )
        report = replace(report, address=self._options.address)
        self._send(report, list(self._peers))

    @handler("demand_report_due")
    def _on_demand_report_due(self, report: DemandReport):
        report = replace(report, address=self._options.address)
        self.fire(demand_reported(report), "planner")
        self._send(report, list(self._peers))

    @handler("crash_report_due")
    def _on_crash_report_due(self, report: CrashReport):
        self._send(report, list(self._peers))

    @handler("servers_updated")
    def _on_servers(self, servers: list[RegisteredServer]):
        self._engines = {
            server.server: server
            for server in servers
            if server.service in self._engine_services
        }
        now_s = time.monotonic()
        if now_s - self._last_subscription_s < SUBSCRIPTION_INTERVAL_S:
            return
        self._last_subscription_s = now_s
        for server in self._engines.values():
            subscription = ReportSubscription(
                self._options.incarnation,
                self._options.address,
                server.server,
                server.started_ms,
            )
            self._send(subscription, [self._agent_address(server)])

    @handler("agent_send")
    def _on_agent_send(self, server: ServerId, message):
        engine = self._engines.get(server)
        if isinstance(message, TurnRequest):
            message = replace(message, address=self._options.address)
        if engine is not None:
            self._send(message, [self._agent_address(engine)])

    def _agent_address(self, server: RegisteredServer) -> str:
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
