"""Preference order of backend servers, the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from chervilgw.core.fleet import ServerView


def preferred_order(name: str, servers: Iterable[ServerView]) -> tuple[ServerView, ...]:
    """Return servers in rendezvous order, alternating zones at the front.

    The first server is the one with the highest hash. Each next one comes from a zone
    that has none yet, until every zone has one; the rest follow by hash. Removing a
    server moves up only servers of its own zone and of the zones right behind it.

    Parameters
    ----------
    name : str
        Model or service name.
    servers : iterable of ServerView
        Candidates; their states are not looked at.

    Returns
    -------
    tuple of ServerView

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId, ZoneId
    >>> from chervilgw.core.messages import Load
    >>> from chervilgw.core.states import BackendKind, VmState
    >>> load = Load(BackendKind.ENGINE, 100, 50, 0, 0)
    >>> servers = [
    ...     ServerView(
    ...         Incarnation(VmId(f"b{i}"), 1), ZoneId(f"z{i % 2}"), "",
    ...         VmState.LIVE, load, 0.0, True,
    ...     )
    ...     for i in range(4)
    ... ]
    >>> first, second, *rest = preferred_order("m", servers)
    >>> first.zone != second.zone
    True
    """
    # The VM and not its incarnation: a restarted sidecar keeps its place.
    ranked = sorted(
        servers, key=lambda s: (-xxhash.xxh64_intdigest(f"{name}\0{s.vm}"), s.vm)
    )
    front: list[ServerView] = []
    rest: list[ServerView] = []
    seen = set()
    for server in ranked:
        (rest if server.zone in seen else front).append(server)
        seen.add(server.zone)
    return tuple(front + rest)
