"""Tracks the requests that ran at backend servers when the entry lost them."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import CrashId, Digest, Incarnation
from chervilgw.core.messages import CrashReport

RETENTION_S = 60.0


@dataclass(slots=True)
class _Lost:
    since_s: float
    digests: set[Digest] = field(default_factory=set)


class LostServers:
    """Lost servers with an unconfirmed failure; see :func:`make_lost_servers`.

    A lost connection alone is no crash. A crash is reported once the platform's list or
    a later incarnation of the VM shows that the process is gone.
    """

    def __init__(self) -> None:
        self._lost: dict[Incarnation, _Lost] = {}

    def record(self, server: Incarnation, digest: Digest, now_s: float) -> CrashId:
        """Record a request that was running; return the id of the possible crash."""
        self._lost.setdefault(server, _Lost(now_s)).digests.add(digest)
        return _crash_id(server)

    def remove(self, digest: Digest) -> None:
        """Remove a request that has since completed at another server."""
        for lost in self._lost.values():
            lost.digests.discard(digest)

    def pop_confirmed(
        self,
        servers: Iterable[ServerView],
        gone: Collection[Incarnation],
        now_s: float,
        now_ms: int,
    ) -> list[CrashReport]:
        """Remove the servers that have failed, and return reports of their crashes.

        Parameters
        ----------
        servers : iterable of ServerView
            Fleet view with the newest incarnation of each VM.
        gone : collection of Incarnation
            Incarnations whose VM is gone.
        now_s : float
            Present time.
        now_ms : int
            Wall-clock time for the reports.

        Returns
        -------
        list of CrashReport
        """
        newest = {server.vm: server.incarnation for server in servers}
        reports = []
        for server, lost in list(self._lost.items()):
            failed = newest.get(server.vm, server) != server or server in gone
            if failed and lost.digests:
                digests = tuple(sorted(lost.digests))
                crash = _crash_id(server)
                reports.append(CrashReport(crash, server.vm, digests, now_ms))
            if failed or now_s - lost.since_s > RETENTION_S:
                del self._lost[server]
        return reports


def _crash_id(server: Incarnation) -> CrashId:
    return CrashId(f"{server}/lost")


def make_lost_servers() -> LostServers:
    """Return a tracker without lost servers.

    Returns
    -------
    LostServers

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> lost, server = make_lost_servers(), Incarnation(VmId("b1"), 7)
    >>> lost.record(server, Digest("d"), now_s=0.0)
    'b1/7/lost'
    >>> lost.pop_confirmed([], {server}, 1.0, 1000)[0].digests
    ('d',)
    """
    return LostServers()
