"""Gossip task of an entry: datagrams to the other entries and to the engines' agents.

An entry reads its peers from the store once, at its start. Each report carries the
address of its sender, so that entries that started earlier discover it. Which peer gets
which message follows from :mod:`chervilgw.membership.relays`.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from circuits import BaseComponent, handler

from chervilgw.core.deployment import AttemptId, RegisteredServer, ServerId
from chervilgw.core.ids import Incarnation, ServiceName, SoftwareVersion, ZoneId
from chervilgw.core.messages import (
    DemandReport,
    EngineReport,
    EngineRestarted,
    EntryReport,
    EntryReportBatch,
    GrantMemory,
    ReportSubscription,
    StreamOrigin,
    StreamOriginQuery,
    SuspicionReport,
    TurnGranted,
    TurnRefused,
    TurnRequest,
)
from chervilgw.forward.events import (
    announce_entry,
    demand_reported,
    engine_reported,
    entry_reported,
    grants_remembered,
    server_list_outdated,
    stream_origin_queried,
    stream_origin_reported,
    suspicion_reported,
    turn_answered,
)
from chervilgw.membership.recent_agents import make_recent_agents
from chervilgw.membership.relays import PEER_SILENCE_TIMEOUT_S, make_relay_table
from chervilgw.routing.stream_origins import MAX_ATTEMPT_LENGTH, RETENTION_S
from chervilgw.runtime.datagrams import datagram_send
from chervilgw.telemetry import log_event

# After each subscription, agents send reports for three times this long.
SUBSCRIPTION_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class GossipOptions:
    """Identity, datagram address and zone of the entry, and the port of the agents.

    ``agent_port`` is the same on all VMs.
    """

    incarnation: Incarnation
    address: str
    zone: ZoneId
    agent_port: int


class Gossip(BaseComponent):
    """Gossip task; see :func:`make_gossip`."""

    def __init__(self, options: GossipOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._relays = make_relay_table(
            options.address, options.zone, options.incarnation
        )
        self._reports = 0
        self._engines: dict[ServerId, RegisteredServer] = {}
        self._engine_services: frozenset = frozenset()
        self._subscribed_s: dict[ServerId, float] = {}
        self._cold_rates: dict[ServiceName, tuple[float, float]] = {}
        self._agents = make_recent_agents(RETENTION_S)
        self._origin_queries = 0

    @handler("started", channel="*")
    def _on_started(self, *args):
        options = self._options
        self.fire(announce_entry(options.incarnation.vm, options.address), "store")

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._engine_services = frozenset(
            name for name, rule in deployment.services.items() if rule.engine
        )
        self._cold_rates = {
            name: (rule.cold_start_s, rule.cold_per_s)
            for name, rule in deployment.services.items()
        }

    @handler("entry_list_read", channel="*")
    def _on_entry_list_read(self, addresses):
        self._relays.on_listed(addresses, time.monotonic())
        log_event("entries_listed", count=len(addresses))

    @handler("datagram_received")
    def _on_datagram(self, message, sender: str):
        match message:
            case EntryReport():
                self._on_entry_report(message)
            case EntryReportBatch():
                for report in message.reports:
                    self._on_entry_report(report)
                if not self._relays.is_in_zone(sender):
                    self._send(message, self._relays.zone_members())
            case GrantMemory():
                self.fire(grants_remembered(message), "gateway")
            case DemandReport():
                self.fire(demand_reported(message), "planner")
            case EngineReport():
                self.fire(engine_reported(message), "gateway", "planner")
                self._forward_from_agent(message, sender)
            case EngineRestarted():
                self._on_engine_restarted(message)
                self._forward_from_agent(message, sender)
            case TurnGranted() | TurnRefused():
                self.fire(turn_answered(message), "gateway")
            case StreamOriginQuery():
                self.fire(stream_origin_queried(message), "gateway")
            case StreamOrigin():
                reported = stream_origin_reported(
                    ServiceName(message.service),
                    AttemptId(message.attempt),
                    SoftwareVersion(message.version),
                )
                self.fire(reported, "gateway")
            case SuspicionReport():
                self.fire(suspicion_reported(message, sender), "gateway")

    def _on_entry_report(self, report: EntryReport):
        if report.address == self._options.address:
            return
        if self._relays.on_report(report, time.monotonic()):
            log_event("entry_found", entry=str(report.sender))
        self.fire(entry_reported(report), "gateway", "planner")

    def _on_engine_restarted(self, message: EngineRestarted):
        """Read the list again if it names the former start of an engine."""
        server = self._engines.get(ServerId(message.server))
        if server is not None and message.started_ms > server.started_ms:
            self.fire(server_list_outdated(), "store")

    def _forward_from_agent(self, report: EngineReport | EngineRestarted, sender: str):
        """Pass a message on in this zone if it came from the agent itself."""
        if not self._relays.uses_relays():
            return
        server = self._engines.get(ServerId(report.server))
        if server is None or sender != self._agent_address(server):
            return
        if self._relays.followed([server.server], time.monotonic()):
            self._send(report, self._relays.zone_members())

    @handler("entry_report_due")
    def _on_entry_report_due(self, report: EntryReport):
        now_s, options = time.monotonic(), self._options
        for address in self._relays.drop_silent(now_s):
            log_event("entry_silent", address=address, silent_s=PEER_SILENCE_TIMEOUT_S)
        report = replace(report, address=options.address, zone=options.zone)
        self._relays.on_own_report(report, now_s)
        self._reports += 1
        self._send(report, self._relays.report_targets(self._reports))
        targets = self._relays.batch_targets(self._reports, now_s)
        if targets:
            self._send(EntryReportBatch(self._relays.take_batch(now_s)), targets)

    @handler("grant_memory_due")
    def _on_grant_memory_due(self, memory: GrantMemory, address: str):
        self._send(memory, [address])

    @handler("demand_report_due")
    def _on_demand_report_due(self, report: DemandReport):
        report = replace(report, address=self._options.address)
        self.fire(demand_reported(report), "planner")
        self._send(report, self._relays.demand_targets(time.monotonic()))

    @handler("suspicion_report_due")
    def _on_suspicion_report_due(self, report: SuspicionReport, address: str | None):
        targets = self._relays.peers() if address is None else [address]
        self._send(report, targets)

    @handler("suspicion_reminder_due")
    def _on_suspicion_reminder_due(self, report: SuspicionReport):
        self._send(report, self._relays.reminder_targets(self._reports))

    @handler("servers_updated")
    def _on_servers(self, servers: list[RegisteredServer]):
        self._engines = {
            server.server: server
            for server in servers
            if server.service in self._engine_services
        }
        now_s = time.monotonic()
        present = [
            (server.service, self._agent_address(server))
            for server in self._engines.values()
        ]
        self._agents.on_present(present, now_s)
        for name in self._subscribed_s.keys() - self._engines.keys():
            del self._subscribed_s[name]
        for name in self._relays.followed(self._engines, now_s):
            server = self._engines[name]
            since_s = now_s - self._subscribed_s.get(name, float("-inf"))
            if since_s < SUBSCRIPTION_INTERVAL_S:
                continue
            self._subscribed_s[name] = now_s
            subscription = ReportSubscription(
                self._options.incarnation,
                self._options.address,
                server.server,
                server.started_ms,
                server.cold_s,
                *self._cold_rates.get(server.service, (0.0, 0.0)),
                server.software_version,
            )
            self._send(subscription, [self._agent_address(server)])

    @handler("stream_origin_requested")
    def _on_stream_origin_requested(self, service: ServiceName, attempt: AttemptId):
        """Ask the agents of the service's engines, and other entries."""
        if not 0 < len(attempt) <= MAX_ATTEMPT_LENGTH:
            return
        query = StreamOriginQuery(service, attempt, self._options.address)
        self._origin_queries += 1
        peers = self._relays.query_targets(self._origin_queries)
        self._send(query, [*self._agents.addresses(service), *peers])

    @handler("stream_origin_answered")
    def _on_stream_origin_answered(self, address: str, origin: StreamOrigin):
        self._send(origin, [address])

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
