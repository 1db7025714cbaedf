"""Detects and blocks requests that crash the backend servers that run them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from returns.result import Result

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import CrashId, Digest, Incarnation, VmId
from chervilgw.core.messages import CrashReport
from chervilgw.core.refusals import Refusal
from chervilgw.crashes.tracker import make_crash_tracker

# Requests that crash servers are repeated within seconds.
BLOCK_DURATION_S = 60.0
# The operators allow no retry after the third crash. A lower limit would block requests
# that happened to run beside a crash twice.
CRASHES_TO_BLOCK = 3


@dataclass(slots=True)
class CrashWatch:
    """Crashes seen by this entry or reported by peers; see :func:`make_crash_watch`."""

    incarnation: Incarnation
    _tracker: object

    def on_connection_broken(
        self, server: ServerId, started_ms: int, digest: Digest, now_s: float
    ) -> CrashReport | None:
        """Record a request whose server broke the connection; return the report.

        Peers get the report as well.

        Parameters
        ----------
        server : ServerId
        started_ms : int
            Start of the server's incarnation: its crash counts once for each request.
        digest : Digest
        now_s : float
            Monotonic time.
        """
        now_ms = int(now_s * 1000)
        crash = CrashId(f"{server}/{started_ms}")
        report = CrashReport(crash, VmId(server), (digest,), now_ms)
        self._tracker.on_crash_report(report, now_ms)
        return report

    def on_report(self, report: CrashReport, now_s: float) -> None:
        """Record a peer's report, timed by the local clock as the peer's differs."""
        now_ms = int(now_s * 1000)
        self._tracker.on_crash_report(replace(report, time_ms=now_ms), now_ms)

    def on_completed(self, digest: Digest) -> None:
        """Clear a request that got a complete answer."""
        self._tracker.on_completed(digest)

    def check(self, digest: Digest, now_s: float) -> Result[None, Refusal]:
        """Refuse a request that crashes servers."""
        return self._tracker.check(digest, int(now_s * 1000))


def make_crash_watch(incarnation: Incarnation) -> CrashWatch:
    """Return a watch that has recorded no crash."""
    tracker = make_crash_tracker(BLOCK_DURATION_S, crashes_to_block=CRASHES_TO_BLOCK)
    return CrashWatch(incarnation, tracker)
