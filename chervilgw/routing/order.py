"""Preference order of backend servers, the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import VmId


def rank(name: str, vm: VmId) -> tuple[int, VmId]:
    """Return a server's fixed rank for a model; lower is earlier.

    The order of two servers does not depend on which others are live, so processes with
    different views agree on it. The rank is by VM and not by incarnation, so that a
    restarted sidecar keeps it.

    Parameters
    ----------
    name : str
        Model or service name.
    vm : VmId
        The server.

    Returns
    -------
    tuple of int and VmId

    Examples
    --------
    >>> rank("m", VmId("a")) == rank("m", VmId("a"))
    True
    """
    return (-xxhash.xxh64_intdigest(f"{name}\0{vm}"), vm)


def preferred_order(name: str, servers: Iterable[ServerView]) -> tuple[ServerView, ...]:
    """Return servers in rendezvous order, alternating zones at the front.

    The highest-ranked server of each zone comes first, by rank, then all others by
    rank. Removing a server moves up only servers of its zone and of the zones right
    behind it.

    Parameters
    ----------
    name : str
        Model or service name.
    servers : iterable of ServerView
        Candidates; their states are ignored.

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
    ranked = sorted(servers, key=lambda server: rank(name, server.vm))
    front: list[ServerView] = []
    rest: list[ServerView] = []
    seen = set()
    for server in ranked:
        (rest if server.zone in seen else front).append(server)
        seen.add(server.zone)
    return tuple(front + rest)
