"""Planner task of an entry: requests models in demand from the engines' agents.

Every entry collects the reports, but only the one that has run longest among the
entries that are not silent plans.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from circuits import BaseComponent, handler

from chervilgw.core.deployment import (
    Deployment,
    RegisteredServer,
    ServerId,
    ServerState,
)
from chervilgw.core.ids import ModelName
from chervilgw.core.messages import (
    DemandReport,
    EngineReport,
    EntryReport,
    ModelLoadRequest,
)
from chervilgw.forward.events import agent_send
from chervilgw.placement.demand_rate import make_fleet_demand
from chervilgw.placement.planner import EngineView, make_planner
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S
from chervilgw.telemetry import log_event

# An entry that has missed two reports does not plan, and its demand is dropped.
ENTRY_SILENCE_TIMEOUT_S = 2.5
# Engines without a report for this long are left out of the plan.
ENGINE_REPORT_TIMEOUT_S = 3.0


@dataclass(slots=True)
class _Engine:
    report: EngineReport
    last_seen_s: float


class PlannerTask(BaseComponent):
    """Planner task; see :func:`make_planner_task`."""

    def __init__(self, address: str, channel):
        super().__init__(channel=channel)
        self._address = address
        self._planner = make_planner()
        self._demand = make_fleet_demand()
        self._deployment: Deployment | None = None
        self._entries: dict[str, tuple[DemandReport, float]] = {}
        self._peers: dict[str, tuple[EntryReport, float]] = {}
        self._engines: dict[str, _Engine] = {}
        self._servers: list[RegisteredServer] = []
        self._is_planning = False

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._deployment = deployment

    @handler("demand_reported")
    def _on_demand(self, report: DemandReport):
        self._entries[report.address] = (report, time.monotonic())

    @handler("entry_reported")
    def _on_entry(self, report: EntryReport):
        self._peers[report.address] = (report, time.monotonic())

    @handler("engine_reported")
    def _on_engine(self, report: EngineReport):
        if report.responding:
            self._engines[report.server] = _Engine(report, time.monotonic())
        else:
            self._engines.pop(report.server, None)

    @handler("servers_updated")
    def _on_servers(self, servers):
        self._servers = servers

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if self._deployment is None or paused:
            return
        self._drop_silent(now_s)
        live = self._live_entries()
        # The process that has run longest has recorded most of the demand.
        is_planner = bool(live) and min(live)[1] == self._address
        if is_planner != self._is_planning:
            self._is_planning = is_planner
            log_event("planning_changed", plans=is_planner, entries=len(live))
        if is_planner:
            self._plan(now_s)

    def _live_entries(self) -> set[tuple[int, str]]:
        """Return start time and address of the entries that may plan.

        Demand comes from few entries in a large fleet, the other reports from all.
        """
        demands = (report for report, _ in self._entries.values())
        peers = (report for report, _ in self._peers.values())
        live = {(r.sender.start_ms, r.address) for r in demands if not r.draining}
        return live | {(r.sender.start_ms, r.address) for r in peers if r.may_plan}

    def _drop_silent(self, now_s: float):
        for reports in (self._entries, self._peers):
            for address, (_, last_seen_s) in list(reports.items()):
                if now_s - last_seen_s > ENTRY_SILENCE_TIMEOUT_S:
                    del reports[address]
        for server, engine in list(self._engines.items()):
            if now_s - engine.last_seen_s > ENGINE_REPORT_TIMEOUT_S:
                del self._engines[server]

    def _plan(self, now_s: float):
        reports = [report for report, _ in self._entries.values()]
        demand = self._demand.update(
            [report.rates for report in reports],
            [report.recent_rates for report in reports],
            [report.running for report in reports],
            now_s,
        )
        for service, rule in self._deployment.services.items():
            if rule.engine is None:
                continue
            engines = self._engine_views(service)
            for move in self._planner.plan(rule.engine, engines, demand, now_s):
                log_event(
                    "model_move",
                    server=move.server,
                    model=move.model,
                    unload=move.unload,
                    rate_per_s=round(demand[move.model].per_s, 2),
                    running=round(demand[move.model].running, 1),
                    from_store=move.from_store,
                )
                request = ModelLoadRequest(move.server, move.model, move.unload)
                self.fire(agent_send(move.server, request), "gossip")

    def _engine_views(self, service) -> list[EngineView]:
        views = []
        for server in self._servers:
            engine = self._engines.get(server.server)
            if engine is None or server.service != service or engine.report.draining:
                continue
            if server.state is not ServerState.READY:
                continue
            report = engine.report
            views.append(
                EngineView(
                    ServerId(report.server),
                    server.zone,
                    frozenset(map(ModelName, report.adapters)),
                    report.loading,
                    report.busy,
                    frozenset(report.local_models),
                    report.running,
                    report.prefill_tokens_per_s or DEFAULT_TOKENS_PER_S,
                )
            )
        return views


def make_planner_task(address: str, channel="planner") -> PlannerTask:
    """Return the planner task of an entry.

    Parameters
    ----------
    address : str
        Datagram address of this entry.
    channel : str
        Channel of the task.
    """
    return PlannerTask(address, channel)
