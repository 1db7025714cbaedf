"""Which entries exchange which messages, so that the traffic grows slowly.

Up to :data:`MAX_MESH_ENTRIES` entries send their reports to each other. In a larger
fleet the entries of an availability zone exchange reports directly, and two of them,
the zone's relays, pass them on to the relays of the other zones. An engine's reports
reach one entry of each zone, which forwards them to the rest. No entry has a fixed
part: relays follow from the live members by rendezvous hashing, so that the next one
takes over when a report is overdue.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import Incarnation, ZoneId
from chervilgw.core.messages import EntryReport

# Direct exchange between more entries takes more bytes than the relays' batches.
MAX_MESH_ENTRIES = 12
# A member that missed three reports, 0.2 s apart, is no relay.
RELAY_SILENCE_TIMEOUT_S = 0.8
# A silent peer gets no more reports; a restarted process announces itself.
PEER_SILENCE_TIMEOUT_S = 30.0
# Two relays of a zone take turns, so that the loss of one only halves the rate.
RELAYS_PER_ZONE = 2
# Every so many reports go to all entries, so that entries find each other also if no
# relay knows them.
DISCOVERY_INTERVAL_REPORTS = 25
# An entry that has been silent for longer neither plans nor takes over.
CANDIDATE_SILENCE_TIMEOUT_S = 2.5
# Entries that are reminded of evidence at once; each of them reminds others in turn.
REMINDED_PEERS = 2
# Entries that are asked at once which version began a stream; in a larger fleet a
# repeated question goes to others.
MAX_ASKED_PEERS = 40
# Entries that get the demand: the one that plans and the one that would take over.
PLANNER_CANDIDATES = 2


@dataclass(slots=True)
class _Peer:
    zone: ZoneId | None
    start_ms: int
    last_seen_s: float
    may_plan: bool


@dataclass(slots=True)
class RelayTable:
    """Peers of one entry and their parts; see :func:`make_relay_table`."""

    _address: str
    _zone: ZoneId
    _incarnation: Incarnation
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _may_plan: bool = False
    # Reports of this zone, and when they arrived, that are in no batch yet.
    _fresh: dict[str, tuple[EntryReport, float]] = field(default_factory=dict)

    def on_listed(self, addresses: tuple[str, ...], now_s: float) -> None:
        """Record entries of the store's list; their zones are unknown yet."""
        for address in addresses:
            if address != self._address:
                peer = _Peer(None, 0, now_s, False)
                self._peers.setdefault(address, peer)

    def on_report(self, report: EntryReport, now_s: float) -> bool:
        """Record a report of a peer; return whether the peer is new."""
        if report.address == self._address:
            return False
        is_new = report.address not in self._peers
        zone = ZoneId(report.zone) if report.zone else None
        self._peers[report.address] = _Peer(
            zone, report.sender.start_ms, now_s, report.may_plan
        )
        if zone == self._zone:
            self._fresh[report.address] = (report, now_s)
        return is_new

    def on_own_report(self, report: EntryReport, now_s: float) -> None:
        """Record the report that this entry sends."""
        self._may_plan = report.may_plan
        self._fresh[self._address] = (report, now_s)

    def drop_silent(self, now_s: float) -> list[str]:
        """Drop and return the peers that have been silent for long."""
        silent = [
            address
            for address, peer in self._peers.items()
            if now_s - peer.last_seen_s > PEER_SILENCE_TIMEOUT_S
        ]
        for address in silent:
            del self._peers[address]
        return silent

    def peers(self) -> list[str]:
        """Return the addresses of all peers."""
        return list(self._peers)

    def uses_relays(self) -> bool:
        """Return whether the fleet is too large for direct exchange."""
        return 1 + len(self._peers) > MAX_MESH_ENTRIES

    def reminder_targets(self, number: int) -> list[str]:
        """Return the next peers that get a report which may have been lost.

        Parameters
        ----------
        number : int
            A number that grows between calls.
        """
        peers = sorted(self._peers)
        first = number % len(peers) if peers else 0
        return [*peers, *peers][first : first + REMINDED_PEERS][: len(peers)]

    def query_targets(self, number: int) -> list[str]:
        """Return which peers are asked for what any of them may know.

        Parameters
        ----------
        number : int
            A number that grows between calls.
        """
        peers = sorted(self._peers)
        if len(peers) <= MAX_ASKED_PEERS:
            return peers
        first = number * MAX_ASKED_PEERS % len(peers)
        return [*peers, *peers][first : first + MAX_ASKED_PEERS]

    def zone_members(self) -> list[str]:
        """Return the peers in the availability zone of this entry."""
        return [
            address for address, peer in self._peers.items() if peer.zone == self._zone
        ]

    def report_targets(self, number: int) -> list[str]:
        """Return which peers get this entry's report.

        Parameters
        ----------
        number : int
            Number of the report.
        """
        # Entries that start together announce themselves at different times.
        phase = xxhash.xxh32_intdigest(self._address) % DISCOVERY_INTERVAL_REPORTS
        is_discovery = number % DISCOVERY_INTERVAL_REPORTS == phase
        if is_discovery or not self.uses_relays():
            return self.peers()
        return [
            address
            for address, peer in self._peers.items()
            if peer.zone is None or peer.zone == self._zone
        ]

    def take_batch(self, now_s: float) -> tuple[EntryReport, ...]:
        """Return the reports of this zone since the last call, each once.

        An entry that has just become a relay leaves out those of entries that have
        ended since: their receivers would take them for alive.
        """
        reports = tuple(
            report
            for report, received_s in self._fresh.values()
            if now_s - received_s < RELAY_SILENCE_TIMEOUT_S
        )
        self._fresh.clear()
        return reports

    def batch_targets(self, number: int, now_s: float) -> list[str]:
        """Return the relays of other zones that get a batch now.

        The relays of a zone send in turns, each to one relay of every other zone.

        Parameters
        ----------
        number : int
            Number of this entry's report.
        now_s : float
            Monotonic time.
        """
        if not self.uses_relays():
            return []
        members = self._live_by_zone(now_s)
        own = [self._address, *members.pop(self._zone, [])]
        relays = _rank(own, self._zone)[:RELAYS_PER_ZONE]
        if self._address not in relays:
            return []
        turn, others = divmod(number, len(relays))
        if others != relays.index(self._address):
            return []
        targets = []
        for zone, addresses in members.items():
            ranked = _rank(addresses, zone)[:RELAYS_PER_ZONE]
            targets.append(ranked[turn % len(ranked)])
        return targets

    def _live_by_zone(self, now_s: float) -> dict[ZoneId, list[str]]:
        zones = defaultdict(list)
        for address, peer in self._peers.items():
            is_live = now_s - peer.last_seen_s < RELAY_SILENCE_TIMEOUT_S
            if peer.zone is not None and is_live:
                zones[peer.zone].append(address)
        # A zone whose entries are all overdue is still tried.
        for address, peer in self._peers.items():
            if peer.zone is not None and peer.zone not in zones:
                zones[peer.zone] = [address]
        return zones

    def followed(self, engines: Iterable[ServerId], now_s: float) -> list[ServerId]:
        """Return the engines to whose reports this entry subscribes."""
        if not self.uses_relays():
            return list(engines)
        members = [self._address, *self._live_by_zone(now_s).get(self._zone, [])]
        return [
            engine
            for engine in engines
            if min(members, key=lambda member: _hash(member, engine)) == self._address
        ]

    def is_in_zone(self, address: str) -> bool:
        """Return whether an address is that of a peer in this entry's zone."""
        peer = self._peers.get(address)
        return peer is not None and peer.zone == self._zone

    def demand_targets(self, now_s: float) -> list[str]:
        """Return which peers get this entry's report of its demand."""
        if not self.uses_relays():
            return self.peers()
        candidates = [
            (peer.start_ms, address)
            for address, peer in self._peers.items()
            if peer.may_plan and now_s - peer.last_seen_s < CANDIDATE_SILENCE_TIMEOUT_S
        ]
        if self._may_plan:
            candidates.append((self._incarnation.start_ms, self._address))
        chosen = sorted(candidates)[:PLANNER_CANDIDATES]
        return [address for _, address in chosen if address != self._address]


def _rank(addresses: list[str], salt: str) -> list[str]:
    """Return addresses by rendezvous hash, which all entries compute alike."""
    return sorted(addresses, key=lambda address: _hash(address, salt))


def _hash(address: str, salt: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{address}")


def make_relay_table(
    address: str, zone: ZoneId, incarnation: Incarnation
) -> RelayTable:
    """Return the table of an entry that knows no peer.

    Parameters
    ----------
    address : str
        Datagram address of the entry.
    zone : ZoneId
        Its availability zone.
    incarnation : Incarnation
    """
    return RelayTable(address, zone, incarnation)
