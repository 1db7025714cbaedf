"""Decides whether the local configuration is recent enough to use."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.core.ids import NO_OFFSET, Offset, VmId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

# Below the 3 s within which a revoked key must stop working everywhere.
MAX_CONFIRMATION_AGE_S = 2.5

_NEVER = float("-inf")


@dataclass(slots=True)
class _Peer:
    offset: Offset
    echoed_s: float


class Freshness:
    """Tracks the last time at which the local configuration was known to be the newest.

    A confirmation counts from the time at which the log read or the echoed heartbeat
    was sent, so a slow or paused connection cannot make old evidence look new.
    """

    def __init__(self, local_vm: VmId):
        self._local_vm = local_vm
        self._local_offset = NO_OFFSET
        self._confirmed_s = _NEVER
        self._quorum_confirmed_s = _NEVER
        self._claims: dict[VmId, tuple[Offset, float]] = {}
        self._peers: dict[VmId, _Peer] = {}
        self._newer_seen: tuple[Offset, float] | None = None
        self._paused_until_s = _NEVER

    def on_applied(self, offset: Offset) -> None:
        """Record the offset of the local configuration."""
        self._local_offset = max(offset, self._local_offset)
        for peer, (claimed, claim_s) in list(self._claims.items()):
            if claimed <= self._local_offset:
                self._confirmed_s = max(self._confirmed_s, claim_s)
                del self._claims[peer]

    def on_log_read(self, requested_s: float) -> None:
        """Record a read, sent at ``requested_s``, that found no newer record."""
        if requested_s >= self._paused_until_s:
            self._confirmed_s = max(self._confirmed_s, requested_s)

    def on_peer_heartbeat(
        self,
        peer: VmId,
        offset: Offset,
        config_age_s: float,
        now_s: float,
        *,
        echoed_s: float,
    ) -> None:
        """Record the configuration offset and age in a peer's heartbeat.

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
            When this process sent the heartbeat that this one echoes. The log confirmed
            the peer's configuration no earlier than ``echoed_s - config_age_s``.
        """
        if offset > self._local_offset and (
            self._newer_seen is None or self._newer_seen[0] <= self._local_offset
        ):
            self._newer_seen = (offset, now_s)
        if echoed_s < self._paused_until_s:
            return
        self._peers[peer] = _Peer(offset, echoed_s)
        claim_s = echoed_s - config_age_s
        if claim_s < self._paused_until_s:
            return
        if offset <= self._local_offset:
            self._confirmed_s = max(self._confirmed_s, claim_s)
        else:
            self._claims[peer] = (offset, claim_s)

    def on_peer_lost(self, peer: VmId) -> None:
        """Remove a peer. Its earlier confirmations stay valid until they expire."""
        self._peers.pop(peer, None)

    def on_pause_detected(self, now_s: float) -> None:
        """Drop all confirmations, since keys may have been revoked during the pause."""
        self._paused_until_s = now_s
        self._confirmed_s = self._quorum_confirmed_s = _NEVER
        self._claims.clear()
        self._peers.clear()

    def age_s(self, now_s: float) -> float:
        """Return the time since the log confirmed the state, directly or by a peer.

        Heartbeats carry this age. Confirmations by a quorum of peers do not count: a
        peer that reaches only this process would take one for a confirmation by the
        log.
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
            Registered VMs, including draining ones.
        reached_vms : collection of VmId
            VMs to which this process has a working connection.
        """
        if now_s <= self.valid_until_s(live_vms, reached_vms):
            return Success(None)
        return Failure(make_stale_refusal())

    def valid_until_s(
        self, live_vms: Collection[VmId], reached_vms: Collection[VmId]
    ) -> float:
        """Return the time until which the configuration may be used.

        The parameters are those of :meth:`check`.
        """
        quorum_s = self._find_quorum_confirmed_s(live_vms, reached_vms)
        self._quorum_confirmed_s = max(self._quorum_confirmed_s, quorum_s)
        return max(self._confirmed_s, self._quorum_confirmed_s) + MAX_CONFIRMATION_AGE_S

    def _find_quorum_confirmed_s(
        self, live_vms: Collection[VmId], reached_vms: Collection[VmId]
    ) -> float:
        """Return the latest time at which half of the other VMs had no newer offset.

        Together with this VM they are a majority, so of two partitions at most one
        passes.
        """
        if self._local_offset == NO_OFFSET:
            # Two processes that restart together would otherwise confirm to each other
            # that the configuration is empty.
            return _NEVER
        others = set(live_vms) - {self._local_vm}
        quorum_size = (len(others) + 1) // 2
        if not quorum_size:
            return _NEVER
        echo_times_s = sorted(
            (
                peer.echoed_s
                for vm, peer in self._peers.items()
                if vm in others
                and vm in reached_vms
                and peer.offset <= self._local_offset
            ),
            reverse=True,
        )
        if len(echo_times_s) < quorum_size:
            return _NEVER
        quorum_s = echo_times_s[quorum_size - 1]
        if self._newer_seen is not None and self._newer_seen[0] > self._local_offset:
            # Peers cannot confirm the local state after a newer one was seen.
            quorum_s = min(quorum_s, self._newer_seen[1])
        return quorum_s


def make_stale_refusal() -> Refusal:
    """Return the refusal for requests while the configuration is not confirmed."""
    return make_refusal(
        RefusalReason.CONFIGURATION_STALE,
        f"the configuration was not confirmed for {MAX_CONFIRMATION_AGE_S} s",
        retry_after_s=1.0,
    )


def make_freshness(local_vm: VmId) -> Freshness:
    """Return a tracker that refuses until the first confirmation.

    Parameters
    ----------
    local_vm : VmId
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
    return Freshness(local_vm)
