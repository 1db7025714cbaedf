"""Hops between nodes when each keeps links to a few peers; a design not yet built.

Each node chooses peers by rendezvous hash: some in its zone, some in other zones of its
region, some in the other region. Links count in both directions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from benchmarks.slopes_inputs import ZONES, Row
from chervilgw.core.ids import VmId
from chervilgw.routing.order import rank

CHOSEN = (3, 3, 2)
"""Peers chosen in the own zone, in other zones of the region, in the other region."""


def graph_rows() -> Iterator[Row]:
    """Links per node, hops to the farthest node, and both after the loss of a zone."""
    for nodes in (100, 390, 990):
        for case, lost in (("all zones", None), ("a zone lost", 0)):
            # The list still has the lost zone's VMs, so nobody has chosen again.
            links = _keep(_links(nodes), lost)
            degrees = [len(each) for each in links.values()]
            hops = [_hops(links, start) for start in list(links)[:40]]
            reached = min(len(each) for each in hops) / len(links)
            farthest = max(max(each.values()) for each in hops)
            yield Row(
                f"links, {case}: mean per node", "", nodes, sum(degrees) / len(links)
            )
            yield Row(f"links, {case}: most at one node", "", nodes, max(degrees))
            yield Row(f"links, {case}: part reached", "", nodes, reached)
            yield Row(f"links, {case}: hops to the farthest", "", nodes, farthest)


def _links(nodes: int) -> dict[int, set[int]]:
    links: dict[int, set[int]] = {node: set() for node in range(nodes)}
    for node in links:
        ordered = sorted(links, key=lambda n, me=node: rank(f"{me}", VmId(f"vm-{n}")))
        groups: tuple[list[int], ...] = ([], [], [])
        for other in ordered:
            if other != node:
                groups[_distance(node, other)].append(other)
        for group, wanted in zip(groups, CHOSEN, strict=True):
            for other in group[:wanted]:
                links[node].add(other)
                links[other].add(node)
    return links


def _distance(one: int, other: int) -> int:
    if one % ZONES == other % ZONES:
        return 0
    return 1 if one % 2 == other % 2 else 2


def _keep(links: dict[int, set[int]], lost: int | None) -> dict[int, set[int]]:
    left = {node for node in links if node % ZONES != lost}
    return {node: links[node] & left for node in left}


def _hops(links: dict[int, set[int]], start: int) -> dict[int, int]:
    hops, waiting = {start: 0}, deque([start])
    while waiting:
        node = waiting.popleft()
        for other in links[node] - hops.keys():
            hops[other] = hops[node] + 1
            waiting.append(other)
    return hops
