"""Recognises requests that crash the backend servers that run them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from returns.result import Result

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import CrashId, Digest, Incarnation, VmId
from chervilgw.core.messages import CrashReport
from chervilgw.core.refusals import Refusal
from chervilgw.crashes.tracker import make_crash_tracker

BLOCK_S = 60.0
"""A request that crashes servers comes again within seconds."""
CRASHES_TO_BLOCK = 3
"""The operators allow no retry after the third crash. Below that, a request that stands
beside a crash by chance twice would be blocked."""


@dataclass(slots=True)
class CrashWatch:
    """Crashes that this entry saw or heard of; see :func:`make_crash_watch`."""

    me: Incarnation
    _tracker: object

    def on_broken(
        self, server: ServerId, started_ms: int, digest: Digest, now_s: float
    ) -> CrashReport | None:
        """Count a request whose server broke off; return what the others should know.

        Parameters
        ----------
        server : ServerId
        started_ms : int
            Incarnation of the server: its crash counts once for a request.
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
        """Take the report of another entry, whose clock is another one."""
        now_ms = int(now_s * 1000)
        self._tracker.on_crash_report(replace(report, time_ms=now_ms), now_ms)

    def on_completed(self, digest: Digest) -> None:
        """Clear a request that got a whole answer."""
        self._tracker.on_completed(digest)

    def check(self, digest: Digest, now_s: float) -> Result[None, Refusal]:
        """Refuse a request that crashes servers."""
        return self._tracker.check(digest, int(now_s * 1000))


def make_crash_watch(me: Incarnation) -> CrashWatch:
    """Return a watch without crashes."""
    tracker = make_crash_tracker(BLOCK_S, crashes_to_block=CRASHES_TO_BLOCK)
    return CrashWatch(me, tracker)
