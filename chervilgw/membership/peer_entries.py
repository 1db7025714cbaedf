"""Tracks which peer entries take requests.

In a rolling restart that is faster than an entry drains, all entries can be draining at
once. An entry without a peer that takes requests still takes those that surely end
before it stops.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import VmId

# Reports come every 0.2 s; an entry that missed three counts as taking no requests.
PEER_SILENCE_TIMEOUT_S = 0.8


@dataclass(slots=True)
class _Entry:
    accepts_requests: bool
    last_seen_s: float
    closed_s: float | None


@dataclass(slots=True)
class PeerEntries:
    """State of the peer entries; see :func:`make_peer_entries`."""

    _entries: dict[VmId, _Entry] = field(default_factory=dict)

    def on_report(self, vm: VmId, accepts_requests: bool, now_s: float) -> None:
        """Record the report of a peer entry."""
        former = self._entries.get(vm)
        closed_s = None
        if not accepts_requests:
            was_closed = former is not None and former.closed_s is not None
            closed_s = former.closed_s if was_closed else now_s
        self._entries[vm] = _Entry(accepts_requests, now_s, closed_s)

    def any_accepting(self, now_s: float) -> bool:
        """Return whether any peer entry takes requests."""
        return any(
            entry.accepts_requests
            and now_s - entry.last_seen_s < PEER_SILENCE_TIMEOUT_S
            for entry in self._entries.values()
        )

    def available_in_s(self, restart_s: float, now_s: float) -> float | None:
        """Return in how many seconds the first draining entry restarts, or None.

        Parameters
        ----------
        restart_s : float
            How long an entry takes no requests while it is restarted.
        now_s : float
            Monotonic time.
        """
        available_in_s = [
            entry.closed_s + restart_s - now_s
            for entry in self._entries.values()
            if entry.closed_s is not None and entry.closed_s + restart_s > now_s
        ]
        return min(available_in_s, default=None)


def make_peer_entries() -> PeerEntries:
    """Return the state before any report of a peer entry.

    Examples
    --------
    >>> peers = make_peer_entries()
    >>> peers.on_report(VmId("entry-2"), True, now_s=1.0)
    >>> peers.any_accepting(now_s=1.5), peers.any_accepting(now_s=3.0)
    (True, False)
    >>> peers.on_report(VmId("entry-2"), False, now_s=4.0)
    >>> peers.any_accepting(now_s=4.0), peers.available_in_s(restart_s=7.0, now_s=6.0)
    (False, 5.0)
    """
    return PeerEntries()
