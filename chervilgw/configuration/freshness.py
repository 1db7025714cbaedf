"""Whether this process may rely on its configuration."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.core.ids import NO_OFFSET, Offset, VmId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

MAX_CONFIRMATION_AGE_S = 2.5
"""Below the 3 s within which a revoked key must stop working everywhere."""

_NEVER = float("-inf")


@dataclass(slots=True)
class _Peer:
    offset: Offset
    echoed_s: float


class Freshness:
    """Tracks until when the configuration is known to have been the newest.

    All confirmations count from a time before the evidence was produced (a read's or an
    echoed heartbeat's sending time), so a slow or paused connection cannot make old
    evidence look new.
    """

    def __init__(self, me: VmId):
        self._me = me
        self._own_offset = NO_OFFSET
        self._confirmed_s = _NEVER
        self._quorum_s = _NEVER
        self._claims: dict[VmId, tuple[Offset, float]] = {}
        self._peers: dict[VmId, _Peer] = {}
        self._newer: tuple[Offset, float] | None = None
        self._paused_until_s = _NEVER

    def on_applied(self, offset: Offset) -> None:
        """Take this process's own offset."""
        self._own_offset = max(offset, self._own_offset)
        for peer, (claimed, claim_s) in list(self._claims.items()):
            if claimed <= self._own_offset:
                self._confirmed_s = max(self._confirmed_s, claim_s)
                del self._claims[peer]

    def on_log_read(self, asked_s: float) -> None:
        """Take a read, sent at ``asked_s``, that found nothing beyond the state."""
        if asked_s >= self._paused_until_s:
            self._confirmed_s = max(self._confirmed_s, asked_s)

    def on_peer_heartbeat(
        self,
        peer: VmId,
        offset: Offset,
        config_age_s: float,
        now_s: float,
        *,
        echoed_s: float,
    ) -> None:
        """Take a peer's heartbeat.

        Parameters
        ----------
        peer : VmId
            Sender.
        offset : Offset
            The sender's configuration offset.
        config_age_s : float
            Time since the sender's configuration was last confirmed by the log.
        now_s : float
            Time of arrival.
        echoed_s : float
            When this process sent the heartbeat that this one echoes. The peer's
            evidence is at least as new as that less ``config_age_s``.
        """
        if offset > self._own_offset and (
            self._newer is None or self._newer[0] <= self._own_offset
        ):
            self._newer = (offset, now_s)
        if echoed_s < self._paused_until_s:
            return
        self._peers[peer] = _Peer(offset, echoed_s)
        claim_s = echoed_s - config_age_s
        if claim_s < self._paused_until_s:
            return
        if offset <= self._own_offset:
            self._confirmed_s = max(self._confirmed_s, claim_s)
        else:
            self._claims[peer] = (offset, claim_s)

    def on_peer_lost(self, peer: VmId) -> None:
        """Forget a peer; what it confirmed earlier still holds until it ages."""
        self._peers.pop(peer, None)

    def on_pause_detected(self, now_s: float) -> None:
        """Drop all evidence, since keys may have been revoked during the pause."""
        self._paused_until_s = now_s
        self._confirmed_s = self._quorum_s = _NEVER
        self._claims.clear()
        self._peers.clear()

    def age_s(self, now_s: float) -> float:
        """Return the time since the log confirmed the state, directly or by a peer.

        Goes into heartbeats. A quorum does not count here: a peer that reaches only
        this process would otherwise take it for a confirmation by the log.
        """
        return now_s - self._confirmed_s

    def check(
        self, now_s: float, live_vms: Collection[VmId], reached_vms: Collection[VmId]
    ) -> Result[None, Refusal]:
        """Return success if the configuration may be used.

        Parameters
        ----------
        now_s : float
            Current time.
        live_vms : collection of VmId
            VMs on the platform's list, leaving ones included.
        reached_vms : collection of VmId
            VMs to which this process has a working connection.
        """
        if now_s <= self.until_s(live_vms, reached_vms):
            return Success(None)
        return Failure(make_stale_refusal())

    def until_s(
        self, live_vms: Collection[VmId], reached_vms: Collection[VmId]
    ) -> float:
        """Return the time until which the configuration may be used.

        The parameters are those of :meth:`check`.
        """
        quorum_s = self._heard_by_quorum_s(live_vms, reached_vms)
        self._quorum_s = max(self._quorum_s, quorum_s)
        return max(self._confirmed_s, self._quorum_s) + MAX_CONFIRMATION_AGE_S

    def _heard_by_quorum_s(
        self, live_vms: Collection[VmId], reached_vms: Collection[VmId]
    ) -> float:
        """Return up to when half of the other VMs knew no newer configuration.

        With this process that is a majority, so no two separate groups both pass.
        """
        if self._own_offset == NO_OFFSET:
            # A process without any configuration has nothing to confirm: two that were
            # restarted together would otherwise confirm to each other that it is empty.
            return _NEVER
        others = set(live_vms) - {self._me}
        needed = (len(others) + 1) // 2
        if not needed:
            return _NEVER
        heard = sorted(
            (
                peer.echoed_s
                for vm, peer in self._peers.items()
                if vm in others
                and vm in reached_vms
                and peer.offset <= self._own_offset
            ),
            reverse=True,
        )
        if len(heard) < needed:
            return _NEVER
        quorum_s = heard[needed - 1]
        if self._newer is not None and self._newer[0] > self._own_offset:
            # A newer configuration exists: what confirms the old one ends here.
            quorum_s = min(quorum_s, self._newer[1])
        return quorum_s


def make_stale_refusal() -> Refusal:
    """Return the refusal of a process whose configuration is not confirmed."""
    return make_refusal(
        RefusalReason.CONFIGURATION_STALE,
        f"the configuration was not confirmed for {MAX_CONFIRMATION_AGE_S} s",
        retry_after_s=1.0,
    )


def make_freshness(me: VmId) -> Freshness:
    """Return a tracker without evidence, which refuses.

    Parameters
    ----------
    me : VmId
        The VM of this process.

    Returns
    -------
    Freshness

    Examples
    --------
    >>> freshness = make_freshness(VmId("entry-1"))
    >>> freshness.on_log_read(10.0)
    >>> freshness.check(12.0, [], [])
    <Success: None>
    >>> freshness.check(13.0, [], []).failure().reason
    <RefusalReason.CONFIGURATION_STALE: 'configuration_stale'>
    """
    return Freshness(me)
