"""Requests that may have crashed a backend server, as one entry knows them."""

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
    """Crash counts and unconfirmed losses; see :func:`make_suspects`."""

    def __init__(self) -> None:
        self._crashes = make_crash_tracker()
        self._lost = make_lost_servers()
        self._lifted: Mapping[Digest, int] = {}

    def configure(self, crash_block_s: float, lifted: Mapping[Digest, int]) -> None:
        """Use the block time and the lifted blocks of a newer configuration."""
        self._crashes.set_block_s(crash_block_s)
        self._lifted = lifted

    def check(self, digest: Digest, now_ms: int) -> Result[None, Refusal]:
        """Return a refusal if the request is blocked after crashes."""
        return self._crashes.check(digest, now_ms, self._lifted)

    def crashes_of(self, digest: Digest) -> tuple[CrashId, ...]:
        """Return the crashes at which an equal request was running."""
        return self._crashes.suspect_crashes(digest)

    def on_report(self, report: CrashReport, now_ms: int) -> None:
        """Take a report of a crash, or of a suspect that was cleared."""
        self._crashes.on_crash_report(report, now_ms)

    def on_crash(self, request: Inflight, crash: CrashId, now_ms: int) -> None:
        """Count a crash that a sidecar reported for a request in flight."""
        request.add_crash(crash)
        digests = (request.priced.digest,)
        self.on_report(CrashReport(crash, request.server.vm, digests, now_ms), now_ms)

    def on_lost(self, request: Inflight, now_s: float) -> None:
        """Suspect a running request of what made its backend server disappear."""
        if request.started:
            digest = request.priced.digest
            request.add_crash(self._lost.note(request.server, digest, now_s))

    def confirmed(
        self, fleet: FleetSnapshot, now_s: float, now_ms: int
    ) -> list[CrashReport]:
        """Return reports of lost servers that are now known to have failed."""
        return self._lost.confirmed(fleet.servers, fleet.gone, now_s, now_ms)

    def on_complete(self, request: Inflight, now_ms: int) -> CrashReport | None:
        """Return the report that a suspect ran to its end, so that it is innocent.

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
        self._lost.forget(digest)
        if not (request.suspect_of or self.crashes_of(digest)):
            return None
        name = CrashId(f"{request.request_id}/cleared")
        return CrashReport(name, request.server.vm, (digest,), now_ms, True)


def make_suspects() -> Suspects:
    """Return a record without suspects.

    Returns
    -------
    Suspects
    """
    return Suspects()
