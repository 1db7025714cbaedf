"""Which entries take requests, as one entry hears it from the others.

During a rolling restart that is faster than one entry stops, all entries can be leaving
at the same time. An entry that knows of no other that takes requests goes on with those
that surely end before it does.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import VmId

HEARD_S = 0.8
"""Reports come every 0.2 s; after three are missing an entry is not counted on."""


@dataclass(slots=True)
class _Entry:
    takes_requests: bool
    heard_s: float
    closed_s: float | None


@dataclass(slots=True)
class PeerEntries:
    """State of the other entries; see :func:`make_peer_entries`."""

    _entries: dict[VmId, _Entry] = field(default_factory=dict)

    def on_report(self, vm: VmId, takes_requests: bool, now_s: float) -> None:
        """Take what another entry says of itself."""
        known = self._entries.get(vm)
        closed_s = None
        if not takes_requests:
            was_closed = known is not None and known.closed_s is not None
            closed_s = known.closed_s if was_closed else now_s
        self._entries[vm] = _Entry(takes_requests, now_s, closed_s)

    def any_accepting(self, now_s: float) -> bool:
        """Return whether another entry is known to take requests."""
        return any(
            each.takes_requests and now_s - each.heard_s < HEARD_S
            for each in self._entries.values()
        )

    def available_in_s(self, away_s: float, now_s: float) -> float | None:
        """Return when the first of the entries that left should be back, or None.

        Parameters
        ----------
        away_s : float
            How long an entry takes no requests when it is restarted.
        now_s : float
            Monotonic time.
        """
        left_s = [
            each.closed_s + away_s - now_s
            for each in self._entries.values()
            if each.closed_s is not None and each.closed_s + away_s > now_s
        ]
        return min(left_s, default=None)


def make_peer_entries() -> PeerEntries:
    """Return the state of an entry that has heard of no other.

    Examples
    --------
    >>> peers = make_peer_entries()
    >>> peers.on_report(VmId("entry-2"), True, now_s=1.0)
    >>> peers.any_accepting(now_s=1.5), peers.any_accepting(now_s=3.0)
    (True, False)
    >>> peers.on_report(VmId("entry-2"), False, now_s=4.0)
    >>> peers.any_accepting(now_s=4.0), peers.available_in_s(away_s=7.0, now_s=6.0)
    (False, 5.0)
    """
    return PeerEntries()
