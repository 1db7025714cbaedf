"""Tracks suspects at one entry: requests that may have crashed a backend server."""

from __future__ import annotations

from collections.abc import Mapping

from returns.result import Result

from chervilgw.core.ids import CrashId, Digest
from chervilgw.core.messages import CrashReport
from chervilgw.core.refusals import Refusal
from chervilgw.crashes import make_crash_tracker
from chervilgw.entry.inflight import Inflight
from chervilgw.entry.lost_servers import make_lost_servers
from chervilgw.membership.task import FleetSnapshot


class Suspects:
    """Crash counts and unconfirmed server losses; see :func:`make_suspects`."""

    def __init__(self) -> None:
        self._crashes = make_crash_tracker()
        self._lost = make_lost_servers()
        self._lifted_blocks: Mapping[Digest, int] = {}

    def configure(
        self, crash_block_s: float, lifted_blocks: Mapping[Digest, int]
    ) -> None:
        """Use the block time and the lifted blocks of a newer configuration."""
        self._crashes.set_block_s(crash_block_s)
        self._lifted_blocks = lifted_blocks

    def check(self, digest: Digest, now_ms: int) -> Result[None, Refusal]:
        """Return a refusal if the request is blocked after crashes."""
        return self._crashes.check(digest, now_ms, self._lifted_blocks)

    def crashes_of(self, digest: Digest) -> tuple[CrashId, ...]:
        """Return the crashes at which a request with this digest was running."""
        return self._crashes.suspect_crashes(digest)

    def on_crash_report(self, report: CrashReport, now_ms: int) -> None:
        """Apply the report of a crash, or of a cleared suspect."""
        self._crashes.on_crash_report(report, now_ms)

    def on_crash(self, request: Inflight, crash: CrashId, now_ms: int) -> None:
        """Record a crash that a sidecar reported for a request in flight."""
        request.record_crash(crash)
        digests = (request.priced.digest,)
        self.on_crash_report(
            CrashReport(crash, request.server.vm, digests, now_ms), now_ms
        )

    def on_server_lost(self, request: Inflight, now_s: float) -> None:
        """Record a running request as a suspect of its backend server's loss."""
        if request.started:
            digest = request.priced.digest
            request.record_crash(self._lost.record(request.server, digest, now_s))

    def pop_confirmed(
        self, fleet: FleetSnapshot, now_s: float, now_ms: int
    ) -> list[CrashReport]:
        """Remove the lost servers that have failed, and return their reports."""
        return self._lost.pop_confirmed(fleet.servers, fleet.gone, now_s, now_ms)

    def on_complete(self, request: Inflight, now_ms: int) -> CrashReport | None:
        """Return the report that clears a suspect, as it ran to its end.

        Parameters
        ----------
        request : Inflight
            A request with a complete answer.
        now_ms : int
            Wall-clock time for the report.

        Returns
        -------
        CrashReport or None
            None if the request was no suspect.
        """
        digest = request.priced.digest
        self._lost.remove(digest)
        if not (request.suspect_of or self.crashes_of(digest)):
            return None
        crash = CrashId(f"{request.request_id}/cleared")
        return CrashReport(crash, request.server.vm, (digest,), now_ms, True)


def make_suspects() -> Suspects:
    """Return a tracker without suspects.

    Returns
    -------
    Suspects
    """
    return Suspects()
