"""Incarnations of backend servers that drain, however that became known."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId

# How long a server's notice is passed on to other entries. Within it the platform's
# list names the server as draining.
LEAVING_REPORT_S = 10.0


@dataclass(slots=True)
class _Drain:
    """When a drain became known; ``is_reported`` says that other entries are told."""

    since_s: float
    is_reported: bool


@dataclass(slots=True)
class DrainingServers:
    """Incarnations that drain; see :func:`make_draining_servers`."""

    _drains: dict[tuple[ServerId, int], _Drain] = field(default_factory=dict)

    def __contains__(self, incarnation: tuple[ServerId, int]) -> bool:
        """Return whether an incarnation drains: server and start time."""
        return incarnation in self._drains

    def begin(
        self, server: ServerId, started_ms: int, is_reported: bool, now_s: float
    ) -> bool:
        """Record that an incarnation drains; return whether that is new.

        A drain that other entries are told of is new even if the list named it before.
        """
        known = self._drains.get((server, started_ms))
        if known is None:
            self._drains[server, started_ms] = _Drain(now_s, is_reported)
            return True
        if not is_reported or known.is_reported:
            return False
        known.is_reported, known.since_s = True, now_s
        return True

    def on_store_restored(self, now_s: float) -> None:
        """Tell other entries of all drains again.

        An entry that starts now may read of none of them.
        """
        for drain in self._drains.values():
            drain.is_reported, drain.since_s = True, now_s

    def reported(self, now_s: float) -> dict[str, int]:
        """Return the servers that other entries are told of, and their start times."""
        return {
            server: started_ms
            for (server, started_ms), drain in self._drains.items()
            if drain.is_reported and now_s - drain.since_s < LEAVING_REPORT_S
        }

    def drop_former(
        self,
        is_current: Callable[[ServerId, int], bool],
        max_age_s: float,
        now_s: float,
    ) -> None:
        """Drop drains of incarnations that are not current, after a while."""
        for (server, started_ms), drain in list(self._drains.items()):
            if now_s - drain.since_s > max_age_s and not is_current(server, started_ms):
                del self._drains[server, started_ms]


def make_draining_servers() -> DrainingServers:
    """Return the set of a process that knows no server.

    Examples
    --------
    >>> draining = make_draining_servers()
    >>> draining.begin(ServerId("i-1"), 7, is_reported=False, now_s=0.0)
    True
    >>> (ServerId("i-1"), 7) in draining, draining.reported(now_s=1.0)
    (True, {})
    """
    return DrainingServers()
