"""Which requests an entry still accepts after it was asked to stop."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.deployment import RouteKind
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.forward.caller_waits import max_answer_wait_s
from chervilgw.forward.messages import AdmittedRequest
from chervilgw.membership.peer_entries import PeerEntries, make_peer_entries

# A draining entry accepts all requests for this long: by then the balancer has checked
# readiness twice, and accepted requests can end within the grace time.
ACCEPT_DURATION_S = 2.9
# A retry reaches another entry at once.
RETRY_AFTER_S = 0.05
# From the exit of a process to the first request of its successor.
RESTART_DURATION_S = 1.5
# An entry exits 0.6 s before the platform would kill it; requests that it still accepts
# must have ended before.
EXIT_MARGIN_S = 0.8


@dataclass(slots=True)
class DrainPolicy:
    """Admission at one entry while it drains; see :func:`make_drain_policy`.

    ``peers`` records which other entries accept requests.
    """

    peers: PeerEntries
    _grace_s: float
    _started_s: float | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether the entry was asked to stop."""
        return self._started_s is not None

    def begin(self, now_s: float) -> None:
        """Start draining; later calls have no effect."""
        if self._started_s is None:
            self._started_s = now_s

    def accepts_all(self, now_s: float) -> bool:
        """Return whether the entry accepts every request."""
        return self._started_s is None or now_s < self._started_s + ACCEPT_DURATION_S

    def is_closed(self, now_s: float) -> bool:
        """Return whether no request is accepted, as another entry accepts them."""
        return not self.accepts_all(now_s) and self.peers.any_accepting(now_s)

    def accepts(self, admitted: AdmittedRequest, now_s: float) -> bool:
        """Return whether a request is accepted.

        After :data:`ACCEPT_DURATION_S` only requests that certainly end before the
        process exits are accepted. A stream may last longer and would be cut off.
        """
        if self.accepts_all(now_s):
            return True
        if admitted.route.kind is RouteKind.STREAMING:
            return False
        return now_s + max_answer_wait_s(admitted) <= self._end_s()

    def may_send(self, answer_s: float, now_s: float) -> bool:
        """Return whether an accepted request may still be sent to a server.

        Parameters
        ----------
        answer_s : float
            The least time that its answer takes.
        now_s : float
            Monotonic time.
        """
        return self._started_s is None or now_s + answer_s <= self._end_s()

    def _end_s(self) -> float:
        return self._started_s + self._grace_s - EXIT_MARGIN_S

    def refusal(self, now_s: float) -> Refusal:
        """Return a refusal with the time at which an entry accepts requests."""
        retry_after_s = None
        if not self.peers.any_accepting(now_s):
            downtime_s = self._grace_s - ACCEPT_DURATION_S + RESTART_DURATION_S
            retry_after_s = self.peers.available_in_s(downtime_s, now_s)
        if retry_after_s is None:
            retry_after_s = RETRY_AFTER_S
        return make_refusal(
            RefusalReason.DRAINING, "this entry is draining", retry_after_s
        )


def make_drain_policy(grace_s: float) -> DrainPolicy:
    """Return the policy of an entry that is not draining yet.

    Parameters
    ----------
    grace_s : float
        Time from the request to stop until the platform kills the process.
    """
    return DrainPolicy(make_peer_entries(), grace_s)
