"""Crash task: forwards crash reports, so that all processes count the same crashes."""

from __future__ import annotations

import time
from collections import OrderedDict

from circuits import BaseComponent, handler

from chervilgw.clients.log import Stream
from chervilgw.clients.log_events import log_append
from chervilgw.core.ids import CrashId, Digest, Incarnation, VmId
from chervilgw.core.messages import CrashReport
from chervilgw.core.states import Role
from chervilgw.runtime.control_events import crash_known
from chervilgw.runtime.events import peer_send

MAX_SEEN_REPORTS = 2000
MAX_REPORT_AGE_MS = 86_400_000


class CrashTask(BaseComponent):
    """Crash task; see :func:`make_crash_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._seen: OrderedDict[tuple, None] = OrderedDict()
        self._peers: dict[Incarnation, Role] = {}

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        self._peers[peer.incarnation] = peer.role

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        self._peers.pop(peer.incarnation, None)

    @handler("crash_seen")
    def _on_seen(self, report: CrashReport):
        if self._record_report(report):
            self._forward(report, None)
            if report.cleared:
                return
            record = {
                "crash": report.crash,
                "vm": report.vm,
                "digests": list(report.digests),
                "time_ms": report.time_ms,
            }
            # Only processes that start later read the log, so a lost append is not
            # retried.
            append = log_append("crash", Stream.CRASHES, [record], self.channel)
            self.fire(append, "log")

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        for report in messages:
            if self._record_report(report):
                self._forward(report, peer.incarnation)

    @handler("log_page")
    def _on_page(self, stream, page, requested_s):
        for _, _, record in page.records:
            try:
                report = CrashReport(
                    CrashId(record["crash"]),
                    VmId(record["vm"]),
                    tuple(Digest(digest) for digest in record["digests"]),
                    int(record["time_ms"]),
                )
            except (KeyError, TypeError, ValueError):
                continue
            if time.time() * 1000 - report.time_ms < MAX_REPORT_AGE_MS:
                self._record_report(report)

    def _record_report(self, report: CrashReport) -> bool:
        key = (report.crash, report.digests)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_REPORTS:
            self._seen.popitem(last=False)
        self.fire(crash_known(report), "*")
        return True

    def _forward(self, report: CrashReport, source: Incarnation | None):
        """Send the report to all peers but its source; each process does so once."""
        for incarnation in self._peers:
            if incarnation != source:
                self.fire(peer_send(incarnation, report), "links")


def make_crash_task(channel: str = "crashes") -> CrashTask:
    """Return a crash task.

    Parameters
    ----------
    channel : str
        Channel of the task.

    Returns
    -------
    CrashTask
    """
    return CrashTask(channel)
