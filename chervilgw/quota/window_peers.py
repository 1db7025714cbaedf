"""What one entry knows of the grants of all others, those of ended processes included.

A process that starts again knows nothing of them. It asks its peers, whose answer, a
:class:`~chervilgw.core.messages.GrantMemory`, it passes on in turn: what one of the
entries remembers is known to all as long as any of them is left.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import inf

from chervilgw.core.forward_messages import AgedGrant, GrantMemory, KnownPeer
from chervilgw.core.ids import CustomerId, Incarnation, VmId
from chervilgw.quota.grant_history import STEP_S, GrantHistory, make_grant_history

# Reports come every 0.2 s; a peer counts as silent after three missed reports.
PEER_SILENCE_TIMEOUT_S = 0.8
# Platforms restart a process within a few seconds, so a peer that is silent for longer
# does not come back.
PEER_REMOVAL_TIMEOUT_S = 20.0
# Entries that tell a started one what they remember. Of one answer the datagram may be
# lost; answers of all would be many in a large fleet.
MAX_INFORMANTS = 3
# Steps of the grants to a customer that are told of all processes which are silent or
# have ended; more are told as one for each process.
MAX_TOLD_STEPS = 100


@dataclass(slots=True)
class _Peer:
    incarnation: Incarnation
    granted: Mapping[CustomerId, int]
    history: GrantHistory
    last_seen_s: float
    is_informed: bool
    sequence: int = 0


class WindowPeers:
    """Grants of other processes as seen by one entry; see :func:`make_window_peers`."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._peers: dict[VmId, _Peer] = {}
        # Processes that ended lately. What others remembered of processes that ended
        # before this one started is not told apart by process.
        self._ended: dict[Incarnation, GrantHistory] = {}
        self._inherited = make_grant_history(window_s)

    def on_report(
        self,
        sender: Incarnation,
        granted: Mapping[CustomerId, int],
        now_s: float,
        is_informed: bool,
        granted_ever: Mapping[CustomerId, int],
        sequence: int,
    ) -> None:
        """Record the report of a peer.

        That of a restarted peer lacks the grants of its former process, which count
        until they are outside the window. Delayed reports are ignored: those of a
        process that has ended, and those that a later number overtook. Starts are not
        compared, as clocks may be set back.
        """
        if sender in self._ended:
            return
        peer = self._peers.get(sender.vm)
        is_same = peer is not None and peer.incarnation == sender
        if is_same and 0 < sequence <= peer.sequence:
            return
        if peer is not None and not is_same:
            self.drop_past(now_s)
            self._ended[peer.incarnation] = peer.history
            peer = None
        history = peer.history if peer else make_grant_history(self._window_s)
        history.on_report(granted, granted_ever, now_s)
        self._peers[sender.vm] = _Peer(
            sender, granted, history, now_s, is_informed, sequence
        )

    def live(self, now_s: float) -> list[_Peer]:
        """Return the peers that run, or may come back."""
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.last_seen_s < PEER_REMOVAL_TIMEOUT_S
        ]

    def heard(self, now_s: float) -> list[_Peer]:
        """Return the peers whose reports arrive."""
        return [
            peer for peer in self._peers.values() if not self._is_silent(peer, now_s)
        ]

    def granted(self, customer: CustomerId, limit: float, now_s: float) -> float:
        """Return what others have granted a customer within the window.

        A silent peer counts with an equal share of the limit at least, as it may go on
        where this entry does not hear it.
        """
        live = self.live(now_s)
        equal_share = limit / (1 + len(live))
        total = float(self._inherited.total(customer, now_s))
        for history in self._ended.values():
            total += history.total(customer, now_s)
        for peer in live:
            if self._is_silent(peer, now_s):
                total += max(peer.history.total(customer, now_s), equal_share)
            else:
                total += peer.granted.get(customer, 0)
        return total

    def ended_steps(
        self, customer: CustomerId, now_s: float
    ) -> Iterator[tuple[float, int]]:
        """Yield the times and amounts of grants to a customer by ended processes."""
        for history in (self._inherited, *self._ended.values()):
            yield from history.steps(customer, now_s)

    def is_informant(self, vm: VmId, receiver: VmId, now_s: float) -> bool:
        """Return whether an entry tells another one what it remembers."""
        names = [
            name
            for name, peer in self._peers.items()
            if peer.is_informed
            and name != receiver
            and not self._is_silent(peer, now_s)
        ]
        return sum(name < vm for name in names) < MAX_INFORMANTS

    def memory(self, sender: Incarnation, receiver: VmId, now_s: float) -> GrantMemory:
        """Return what this entry knows, for one that has started."""
        self.drop_past(now_s)
        peers = [peer for peer in self.live(now_s) if peer.incarnation.vm != receiver]
        silent = [peer for peer in peers if self._is_silent(peer, now_s)]
        step_s = _step_s(len(self._ended) + len(silent), self._window_s)
        known = tuple(
            KnownPeer(
                peer.incarnation,
                now_s - peer.last_seen_s,
                # What others grant is heard from themselves soon.
                _aged([peer.history], step_s if peer in silent else inf, now_s),
            )
            for peer in peers
        )
        ended = [self._inherited, *self._ended.values()]
        return GrantMemory(sender, _aged(ended, step_s, now_s), known)

    def on_memory(self, memory: GrantMemory, now_s: float) -> None:
        """Take over what a peer remembers; once, as its grants bear no names."""
        _add_aged(self._inherited, memory.ended, now_s)
        for known in memory.peers:
            vm = known.entry.vm
            if vm in self._peers or known.entry in self._ended:
                continue
            history = make_grant_history(self._window_s)
            _add_aged(history, known.grants, now_s)
            granted = {
                customer: history.total(customer, now_s)
                for customer in history.customers()
            }
            seen_s = now_s - max(0.0, known.silent_s)
            self._peers[vm] = _Peer(known.entry, granted, history, seen_s, False)

    def _is_silent(self, peer: _Peer, now_s: float) -> bool:
        return now_s - peer.last_seen_s > PEER_SILENCE_TIMEOUT_S

    def drop_past(self, now_s: float) -> None:
        """Drop ended processes whose grants are all outside the window."""
        for ended in [
            name for name, history in self._ended.items() if history.is_empty(now_s)
        ]:
            del self._ended[ended]


def _step_s(processes: int, window_s: float) -> float:
    """Return how finely grants are told, so that they fit into a datagram.

    Examples
    --------
    >>> _step_s(3, 8.0), _step_s(100, 8.0)
    (0.4, 8.0)
    """
    return max(STEP_S, min(window_s, processes * window_s / MAX_TOLD_STEPS))


def _aged(
    histories: Iterable[GrantHistory], step_s: float, now_s: float
) -> tuple[AgedGrant, ...]:
    """Return grants by age, oldest first; a step has the age of its last grant."""
    ages: dict[tuple[CustomerId, float], tuple[float, int]] = {}
    for history in histories:
        for customer in history.customers():
            for at_s, amount in history.steps(customer, now_s):
                age_s = max(0.0, now_s - at_s)
                key = (customer, age_s // step_s)
                least_s, total = ages.get(key, (age_s, 0))
                ages[key] = (min(least_s, age_s), total + amount)
    aged = [
        AgedGrant(customer, age_s, amount)
        for (customer, _), (age_s, amount) in ages.items()
    ]
    return tuple(sorted(aged, key=lambda grant: -grant.age_s))


def _add_aged(history: GrantHistory, grants: Iterable[AgedGrant], now_s: float) -> None:
    """Add grants that another entry told, oldest first."""
    for grant in grants:
        at_s = now_s - max(0.0, grant.age_s)
        history.add(CustomerId(grant.customer), grant.amount, at_s)


def make_window_peers(window_s: float) -> WindowPeers:
    """Return the peers of an entry that has heard of none.

    Examples
    --------
    >>> peers, first = make_window_peers(8.0), Incarnation(VmId("e1"), 1)
    >>> peers.on_report(first, {CustomerId("a"): 40}, 0.0, True, {}, 1)
    >>> peers.on_report(Incarnation(VmId("e1"), 2), {}, 1.0, False, {}, 1)
    >>> peers.granted(CustomerId("a"), 100.0, now_s=1.0)
    40.0
    >>> peers.on_report(Incarnation(VmId("e1"), 2), {}, 8.0, True, {}, 2)
    >>> peers.granted(CustomerId("a"), 100.0, now_s=8.0)
    0.0
    """
    return WindowPeers(window_s)
