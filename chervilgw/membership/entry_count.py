"""Number of entries that share a rate without coordination.

The number decides how much this entry may send to a cold server, so that an entry that
cannot hear its peers must not take it for small. It falls more slowly than the counts
of :mod:`chervilgw.membership.relays`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from chervilgw.routing.cold_slots import EntryShare

# Entries of the largest deployment to be expected before the list of entries is read.
EXPECTED_ENTRIES = 25
# Entries report five times a second, through relays once a second.
HEARD_S = 3.0
# A peer that announced its stop does not come back at once.
LEFT_S = 5.0
# A peer that fell silent without notice may be frozen or cut off.
SILENT_S = 60.0
# While fewer than half of the peers are heard, this entry is probably cut off itself.
ISOLATED_SILENT_S = 600.0
# Longest time between two calls, one a second, that counts as running: the peers of a
# frozen process are silent only to itself.
MAX_STEP_S = 1.5


@dataclass(slots=True)
class _Peer:
    heard_s: float
    left: bool = False


@dataclass(slots=True)
class EntryCount:
    """Known entries; see :func:`make_entry_count`."""

    address: str
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _gone: set[str] = field(default_factory=set)
    _is_listed: bool = False
    _running_s: float = 0.0
    _last_s: float | None = None
    _share: EntryShare | None = None

    def on_listed(self, addresses: tuple[str, ...], now_s: float) -> None:
        """Record the entries on the platform's list, which may hold former ones.

        What this entry has heard of a peer itself counts more than a repeated listing.
        """
        self._advance(now_s)
        self._is_listed = True
        for address in addresses:
            if address not in self._peers and address not in self._gone:
                self._add(address, False)

    def on_report(self, address: str, is_draining: bool, now_s: float) -> None:
        """Record a report of a peer."""
        self._advance(now_s)
        self._gone.discard(address)
        self._add(address, is_draining)

    def _add(self, address: str, left: bool) -> None:
        if address == self.address or not address:
            return
        if address not in self._peers:
            self._share = None
        self._peers[address] = _Peer(self._running_s, left)

    def _advance(self, now_s: float) -> None:
        if self._last_s is not None:
            self._running_s += min(MAX_STEP_S, max(0.0, now_s - self._last_s))
        self._last_s = now_s

    def drop_silent(self, now_s: float) -> None:
        """Drop peers that are gone; called once a second."""
        self._advance(now_s)
        silences_s = {
            address: self._running_s - peer.heard_s
            for address, peer in self._peers.items()
        }
        heard = sum(silence_s <= HEARD_S for silence_s in silences_s.values())
        is_isolated = 2 * heard < len(self._peers)
        limit_s = ISOLATED_SILENT_S if is_isolated else SILENT_S
        for address, silence_s in silences_s.items():
            if silence_s > (LEFT_S if self._peers[address].left else limit_s):
                del self._peers[address]
                self._gone.add(address)
                self._share = None

    def share(self) -> EntryShare:
        """Return the position of this entry and the number of entries."""
        if self._share is None:
            self._share = self._make_share()
        return self._share

    def _make_share(self) -> EntryShare:
        # In the order of the addresses, entries that started together would be
        # neighbours. If they know other peers than the rest, their slots would be those
        # of the rest for a while, and twice the rate would be sent.
        known = sorted(
            {self.address, *self._peers},
            key=lambda address: (xxhash.xxh32_intdigest(address), address),
        )
        if self._is_listed or len(known) >= EXPECTED_ENTRIES:
            return EntryShare(known.index(self.address), len(known))
        rank = xxhash.xxh32_intdigest(self.address) % EXPECTED_ENTRIES
        return EntryShare(rank, EXPECTED_ENTRIES)


def make_entry_count(address: str) -> EntryCount:
    """Return the count of an entry that knows no peer.

    Examples
    --------
    >>> entries = make_entry_count("10.0.0.2:7600")
    >>> entries.share().entries
    25
    >>> entries.on_listed(("10.0.0.1:7600", "10.0.0.2:7600"), now_s=1.0)
    >>> entries.share().entries
    2
    """
    return EntryCount(address)
