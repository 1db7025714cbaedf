"""Base of the gateway task: reports its grants, load and demand to other entries."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from itertools import count

from circuits import handler

from chervilgw.core.deployment import Deployment
from chervilgw.core.ids import Incarnation, ZoneId
from chervilgw.core.messages import DemandReport, EntryReport, GrantMemory
from chervilgw.forward.answer_relay import AnswerRelay
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.drain_policy import make_drain_policy
from chervilgw.forward.events import (
    demand_report_due,
    entry_report_due,
    grant_memory_due,
    software_versions_due,
    usage_record_due,
)
from chervilgw.membership.configuration_lag import make_configuration_lag
from chervilgw.placement.demand_rate import make_demand_rates
from chervilgw.quota.window import QuotaTolerance, make_window_quota
from chervilgw.settings.vm import Bounds
from chervilgw.telemetry import log_event

# Fraction of the tokens tolerated beyond a customer's limit that may be granted. The
# rest covers the lag of reports between entries and what killed entries had granted,
# which was 15% of a limit after all entries were killed at once.
GRANTED_TOLERANCE_FRACTION = 0.25
# In ticks of 0.1 s. Between reports an entry does not see the load and the quota that
# its peers have used.
REPORT_INTERVAL_TICKS = 2
# Demand is an average over seconds; a request for a model that no engine holds is
# reported at the next tick.
DEMAND_REPORT_INTERVAL_TICKS = 10
# A longer interval would leave more of a limit unknown after a restart of all entries;
# each record is one call of the store, by one entry.
USAGE_RECORD_INTERVAL_TICKS = 10


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Identity of this entry, and the bounds of the deployment.

    ``first_start`` is true if no process of the system has run before. ``address`` is
    the datagram address under which other entries know this one.
    """

    incarnation: Incarnation
    zone: ZoneId
    bounds: Bounds
    first_start: bool
    address: str = ""


class EntryReporter(AnswerRelay):
    """Task that owns what an entry reports: quota windows, demand and its draining."""

    def __init__(self, options: GatewayOptions, codec: FrontCodec, channel):
        super().__init__(options.incarnation, codec, channel)
        bounds = options.bounds
        self._deployment: Deployment | None = None
        started_s = None if options.first_start else time.monotonic()
        tolerance = QuotaTolerance(
            tokens=GRANTED_TOLERANCE_FRACTION * bounds.quota_over_tokens
        )
        self._quota = make_window_quota(bounds.quota_window_s, tolerance, started_s)
        self._report_numbers = count(1)
        self._demand = make_demand_rates()
        # Report the demand at the next tick, as a request needs a model.
        self.is_demand_urgent = False
        self._drain_policy = make_drain_policy(bounds.grace_s)
        self._lag = make_configuration_lag(time.monotonic())

    @handler("usage_recorded", channel="*")
    def _on_usage_recorded(self, used, age_s):
        self._quota.on_recorded(used, age_s)

    def on_grants(self, report: EntryReport, now_s: float):
        """Record a peer's grants and its configuration.

        A peer that has started is told of the grants before it.
        """
        sender, informed = report.sender, report.grants_complete
        self._on_peer_version(report, now_s)
        self._quota.on_report(
            sender,
            report.granted,
            now_s,
            informed,
            report.granted_ever,
            report.sequence,
        )
        if informed:
            return
        memory = self._quota.memory_for(sender.vm, self.incarnation, now_s)
        if memory is not None:
            self.fire(grant_memory_due(memory, report.address), "gossip")

    def is_behind(self, now_s: float) -> bool:
        """Return whether to wait for a newer configuration, as peers have it.

        While the store does not answer, this entry serves what it knows.
        """
        if self._deployment is None or self.fleet.directory.is_store_lost:
            return False
        return self._lag.is_behind(self._deployment.version, now_s)

    def _on_peer_version(self, report: EntryReport, now_s: float):
        is_news = self._lag.on_peer(report.configuration_version)
        if is_news and self.is_behind(now_s):
            log_event(
                "configuration_behind",
                level="warning",
                version=self._deployment.version,
                peer_version=report.configuration_version,
                source=str(report.sender.vm),
            )

    @handler("grants_remembered")
    def _on_grants_remembered(self, memory: GrantMemory):
        if self._quota.on_memory(memory, time.monotonic()):
            log_event(
                "grants_remembered",
                source=str(memory.sender),
                ended=sum(grant.amount for grant in memory.ended),
                peers=len(memory.peers),
            )

    @handler("entry_list_read", channel="*")
    def _on_entry_list_read(self, addresses):
        # Until a peer has answered, customers within their limits are refused.
        now_s = time.monotonic()
        if not self._quota.is_informed(now_s):
            self._report(now_s)

    def report_due(self, ticks: int, now_s: float):
        """Send and record what is due at a tick."""
        if ticks % REPORT_INTERVAL_TICKS == 0:
            self._report(now_s)
            self._record_versions(now_s)
        if ticks % DEMAND_REPORT_INTERVAL_TICKS == 0 or self.is_demand_urgent:
            self.is_demand_urgent = False
            self._report_demand(now_s)
        if ticks % USAGE_RECORD_INTERVAL_TICKS == 0:
            self._record_usage(now_s)

    def _report(self, now_s: float):
        running, unread_tokens = self.fleet.board.report()
        unwritten_tokens, held_tokens = self.fleet.work.report()
        report = EntryReport(
            self.incarnation,
            "",
            self._quota.granted(now_s),
            running,
            unread_tokens,
            self._quota.is_informed(now_s),
            self._deployment is not None and self._drain_policy.accepts_all(now_s),
            self.fleet.directory.leaving(now_s),
            draining=self._drain_policy.is_draining,
            evacuated=self.fleet.directory.evacuations.report(now_s),
            unwritten_tokens=unwritten_tokens,
            held_tokens=held_tokens,
            granted_ever=self._quota.granted_ever(),
            sequence=next(self._report_numbers),
            configuration_version=self._deployment.version if self._deployment else -1,
        )
        self.fire(entry_report_due(report), "gossip")
        self.publish_servers(now_s)

    def _report_demand(self, now_s: float):
        report = DemandReport(
            self.incarnation,
            "",
            self._demand.rates(now_s),
            self._demand.recent_rates(now_s),
            self._running_by_model(),
            self._drain_policy.is_draining,
        )
        self.fire(demand_report_due(report), "gossip")

    def _running_by_model(self) -> dict[str, int]:
        """Return the requests in progress by model, including waiting ones."""
        models = [
            exchange.admitted.opaque.model for exchange in self._exchanges.values()
        ]
        return dict(Counter(model for model in models if model is not None))

    def _record_usage(self, now_s: float):
        """Record the usage in the store, for a restart of all entries at once."""
        used = self._quota.used(now_s)
        if used and self._quota.is_recorder(self.incarnation.vm, now_s):
            self.fire(usage_record_due(used), "store")

    def _record_versions(self, now_s: float):
        """Record in the store which software versions lately served, if that changed.

        A stream may be taken up after all entries were lost and its version has left.
        """
        self.resumptions.on_servers(self.fleet.directory.present(now_s), now_s)
        if not self._quota.is_recorder(self.incarnation.vm, now_s):
            self.resumptions.on_kept_elsewhere()
            return
        versions = self.resumptions.take_changed_record()
        if versions is not None:
            self.fire(software_versions_due(versions), "store")
