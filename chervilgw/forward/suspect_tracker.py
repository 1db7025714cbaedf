"""Base of the gateway task: rules on requests whose traits are suspects.

It owns the evidence on traits, and exchanges it with the other entries.
"""

from __future__ import annotations

import time

from circuits import handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import CrashId, Incarnation, RequestTrait, VmId
from chervilgw.core.messages import EngineReport, SuspicionReport
from chervilgw.crashes.stopped_runs import make_stopped_runs
from chervilgw.crashes.suspicion import Verdict, make_suspicion_table
from chervilgw.forward.events import suspicion_reminder_due, suspicion_report_due
from chervilgw.forward.exchange import Exchange
from chervilgw.forward.metrics_task import trial_counted
from chervilgw.forward.origin_tracker import OriginTracker
from chervilgw.forward.request_log import (
    log_blame,
    log_evidence,
    log_late_blame,
    log_traits_blocked,
    log_trial_ended,
)


class SuspectTracker(OriginTracker):
    """Task that owns a :class:`SuspicionTable`.

    Subclasses define ``on_blocked``, which stops the requests with blocked traits.
    """

    def __init__(self, incarnation: Incarnation, channel):
        super().__init__(channel)
        self.incarnation = incarnation
        self.suspicions = make_suspicion_table(incarnation)
        self.stopped_runs = make_stopped_runs()
        self._peer_starts: dict[VmId, int] = {}

    def rule_on(self, exchange: Exchange, now_s: float) -> Verdict:
        """Return what may be done with a request, given its traits."""
        return self.suspicions.verdict(exchange.traits, now_s)

    def begin_trial(self, exchange: Exchange, now_s: float):
        """Record that a request is sent as the trial of its suspect traits, if any."""
        if exchange.suspects:
            exchange.on_trial = True
            self.suspicions.begin_trial(exchange.number, exchange.suspects)
            self._publish(now_s)

    def end_trial(self, exchange: Exchange, outcome: str, now_s: float):
        """Record that a request is not on trial any more, if it was."""
        if not exchange.on_trial:
            return
        exchange.on_trial = False
        self.suspicions.end_trial(exchange.number)
        log_trial_ended(exchange, outcome)
        self.fire(trial_counted(outcome), "metrics")
        self._publish(now_s)

    def on_survived(self, exchange: Exchange, now_s: float):
        """Record that a server got past the beginning of an answer."""
        if exchange.survived:
            return
        exchange.survived = True
        self.suspicions.on_survived(exchange.traits, now_s)
        self.end_trial(exchange, "survived", now_s)
        self._publish(now_s)

    def on_server_lost(self, exchange: Exchange, now_s: float):
        """Blame a request for the loss of its server, if that began its answer last."""
        if exchange.survived:
            return
        crash = CrashId(f"{exchange.server}/{exchange.server_started_ms}")
        log_blame(exchange, crash)
        blocked = self.suspicions.on_crash(
            crash, exchange.traits, exchange.known_strikes, now_s
        )
        self.end_trial(exchange, "crashed", now_s)
        self._publish(now_s)
        self._stop_blocked(blocked, now_s)

    def on_run_stopped(self, exchange: Exchange, now_s: float):
        """Keep a run that was given up, as it may still crash its server."""
        if exchange.survived or exchange.server not in exchange.may_have_run:
            return
        self.stopped_runs.on_stopped(
            exchange.server,
            exchange.server_started_ms,
            exchange.traits,
            exchange.known_strikes,
            now_s,
        )

    def on_server_ended(self, server: ServerId, started_ms: int, now_s: float):
        """Blame the runs that were given up just before a server ended."""
        crash = CrashId(f"{server}/{started_ms}")
        runs = self.stopped_runs.take_ended(server, started_ms, now_s)
        for run in runs:
            log_late_blame(run, crash, now_s)
            blocked = self.suspicions.on_crash(crash, run.traits, run.strikes, now_s)
            self._stop_blocked(blocked, now_s)
        if runs:
            self._publish(now_s)

    def _publish(self, now_s: float):
        evidence = self.suspicions.take_changed(now_s)
        if evidence:
            report = SuspicionReport(self.incarnation, evidence)
            self.fire(suspicion_report_due(report, None), "gossip")

    def _stop_blocked(self, blocked: tuple[RequestTrait, ...], now_s: float):
        if blocked:
            log_traits_blocked(blocked)
            self.on_blocked(frozenset(blocked), now_s)

    @handler("suspicion_reported")
    def _on_suspicion_report(self, report: SuspicionReport, address: str):
        now_s = time.monotonic()
        blocked, lacking = self.suspicions.merge(report, now_s)
        if blocked or lacking:
            log_evidence(report)
        if lacking:
            evidence = self.suspicions.evidence(lacking, now_s)
            reply = SuspicionReport(self.incarnation, evidence)
            self.fire(suspicion_report_due(reply, address), "gossip")
        self._publish(now_s)
        self._stop_blocked(blocked, now_s)

    def on_peer_seen(self, peer: Incarnation, address: str, now_s: float):
        """Tell a process that has just started what is known."""
        if self._peer_starts.get(peer.vm) == peer.start_ms:
            return
        self._peer_starts[peer.vm] = peer.start_ms
        evidence = self.suspicions.all_evidence(now_s)
        if evidence:
            report = SuspicionReport(self.incarnation, evidence)
            self.fire(suspicion_report_due(report, address), "gossip")

    def on_engine_alive(self, report: EngineReport, now_s: float):
        """Refute a crash of an engine that goes on reporting."""
        if len(self.suspicions):
            crash = CrashId(f"{report.server}/{report.started_ms}")
            self.suspicions.on_server_alive(crash, now_s)
            self._publish(now_s)

    def remind_of_suspicions(self, now_s: float):
        """Drop past evidence, and send the rest to a few entries."""
        self.suspicions.drop_past(now_s)
        self.stopped_runs.drop_past(now_s)
        evidence = self.suspicions.reminders(now_s)
        if evidence:
            report = SuspicionReport(self.incarnation, evidence)
            self.fire(suspicion_reminder_due(report), "gossip")
