"""What an entry still takes once it was told to stop."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.deployment import RouteKind
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.forward.exchange import answer_limit_s
from chervilgw.forward.messages import Admitted
from chervilgw.membership.peer_entries import PeerEntries, make_peer_entries

ACCEPT_S = 2.9
"""An entry that is leaving takes requests for this long: by then the balancer has asked
twice, and what has been taken can end within the grace time."""
RETRY_S = 0.05
"""A retry reaches another entry."""
RESTART_S = 1.5
"""From the end of a process to the first request of the next one."""
END_MARGIN_S = 0.8
"""An entry ends 0.6 s before the platform would kill it; what it still takes must have
ended before."""


@dataclass(slots=True)
class Leaving:
    """Decisions of one entry about its own stop; see :func:`make_leaving`.

    ``peers`` holds which of the other entries take requests.
    """

    peers: PeerEntries
    _grace_s: float
    _since_s: float | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the entry was told to stop."""
        return self._since_s is not None

    def begin(self, now_s: float) -> None:
        """Note that the entry was told to stop."""
        if self._since_s is None:
            self._since_s = now_s

    def takes_all(self, now_s: float) -> bool:
        """Return whether the entry takes requests as ever."""
        return self._since_s is None or now_s < self._since_s + ACCEPT_S

    def is_closed(self, now_s: float) -> bool:
        """Return whether no request is taken, as callers have another entry."""
        return not self.takes_all(now_s) and self.peers.any_accepting(now_s)

    def takes(self, admitted: Admitted, now_s: float) -> bool:
        """Return whether a request is taken.

        After a while that is one which surely ends before the process does. A stream
        may last longer, and would be cut.
        """
        if self.takes_all(now_s):
            return True
        if admitted.route.kind is RouteKind.STREAMING:
            return False
        end_s = self._since_s + self._grace_s - END_MARGIN_S
        return now_s + answer_limit_s(admitted) <= end_s

    def refusal(self, now_s: float) -> Refusal:
        """Return a refusal that sends the caller to an entry that takes requests."""
        retry_s = None
        if not self.peers.any_accepting(now_s):
            away_s = self._grace_s - ACCEPT_S + RESTART_S
            retry_s = self.peers.available_in_s(away_s, now_s)
        if retry_s is None:
            retry_s = RETRY_S
        return make_refusal(RefusalReason.DRAINING, "this entry is leaving", retry_s)


def make_leaving(grace_s: float) -> Leaving:
    """Return the decisions of an entry that was not told to stop.

    Parameters
    ----------
    grace_s : float
        Time from the request to stop until the platform kills the process.
    """
    return Leaving(make_peer_entries(), grace_s)
