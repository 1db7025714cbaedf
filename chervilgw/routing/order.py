"""Preference order of backend servers, the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import VmId


def rank(name: str, vm: VmId) -> tuple[int, VmId]:
    """Return a server's fixed rank for a model; lower is earlier.

    The ranks of two servers do not depend on which others are alive, so two processes
    with different views still agree which of the two is earlier. They are by VM and not
    by incarnation: a restarted sidecar keeps its place.

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
    ranked = sorted(servers, key=lambda server: rank(name, server.vm))
    front: list[ServerView] = []
    rest: list[ServerView] = []
    seen = set()
    for server in ranked:
        (rest if server.zone in seen else front).append(server)
        seen.add(server.zone)
    return tuple(front + rest)
