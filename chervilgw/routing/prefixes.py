"""Approximate index of the prompt prefixes that each server has cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from chervilgw.core.ids import Digest, VmId


class PrefixIndex:
    """Cached prefixes per server; see :func:`make_prefix_index`."""

    def __init__(self, per_server: int, age_s: float):
        self._per_server = per_server
        self._age_s = age_s
        self._seen: dict[VmId, OrderedDict[Digest, float]] = {}
        self._sequence: dict[VmId, int] = {}

    def on_dispatch(self, vm: VmId, digests: Sequence[Digest], now_s: float) -> None:
        """Record that a server probably caches the prefixes of a request sent to it."""
        seen = self._seen.setdefault(vm, OrderedDict())
        for digest in digests:
            seen[digest] = now_s
            seen.move_to_end(digest)
        while len(seen) > self._per_server:
            seen.popitem(last=False)

    def on_event(
        self,
        vm: VmId,
        sequence: int,
        stored: Iterable[Digest],
        evicted: Iterable[Digest],
        now_s: float,
    ) -> None:
        """Apply a cache event of a server.

        A gap in the sequence may hide an eviction, so it clears the server's digests.
        An event that is not newer than the last one applied is ignored.
        """
        last = self._sequence.get(vm)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence != last + 1:
            self._seen.pop(vm, None)
        self._sequence[vm] = sequence
        self.on_dispatch(vm, tuple(stored), now_s)
        for digest in evicted:
            self._seen[vm].pop(digest, None)

    def drop_server(self, vm: VmId) -> None:
        """Drop the digests of a server that is gone or whose engine restarted."""
        self._seen.pop(vm, None)
        self._sequence.pop(vm, None)

    def cached(
        self, vms: Iterable[VmId], digests: Sequence[Digest], now_s: float
    ) -> dict[VmId, int]:
        """Return the number of leading digests each server has cached, if not 0."""
        counts = {}
        for vm in vms:
            seen = self._seen.get(vm)
            length = 0
            for digest in digests if seen else ():
                seen_s = seen.get(digest)
                if seen_s is None or now_s - seen_s > self._age_s:
                    break
                length += 1
            if length:
                counts[vm] = length
        return counts


def make_prefix_index(per_server: int = 4096, age_s: float = 300.0) -> PrefixIndex:
    """Return an empty index.

    Parameters
    ----------
    per_server : int
        Most digests retained per server; the least recently used is dropped first.
    age_s : float
        Age, in seconds, at which a digest is ignored, as evictions may be unreported.

    Returns
    -------
    PrefixIndex

    Examples
    --------
    >>> index = make_prefix_index()
    >>> index.on_dispatch(VmId("a"), [Digest("1"), Digest("2")], now_s=0.0)
    >>> digests = [Digest("1"), Digest("2"), Digest("3"), Digest("4")]
    >>> index.cached([VmId("a"), VmId("b")], digests, now_s=1.0)
    {'a': 2}
    """
    return PrefixIndex(per_server, age_s)
