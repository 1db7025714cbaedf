"""Work at each backend server as the entries together see it.

Reports of engines lag, and a process sees only what it sent itself. The board adds what
this entry has sent and what the other entries last said that they have sent.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import VmId

PEER_AGE_S = 1.0
"""A peer's counts are dropped when it has been silent for five of its reports: its
requests have ended or will end with it."""
FIRST_EJECTION_S = 0.5
LAST_EJECTION_S = 4.0
"""Engines restart within some seconds; one that is back is found again by then."""
FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the share of failures: about the last five count."""


@dataclass(slots=True)
class _Work:
    running: int = 0
    unread_tokens: int = 0


@dataclass(slots=True)
class _Health:
    failure_fraction: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0


@dataclass(slots=True)
class _PeerWork:
    running: Mapping[str, int]
    unread_tokens: Mapping[str, int]
    heard_s: float


@dataclass(slots=True)
class LoadBoard:
    """Work and health of servers; see :func:`make_load_board`."""

    _own: dict[ServerId, _Work] = field(default_factory=lambda: defaultdict(_Work))
    _peers: dict[VmId, _PeerWork] = field(default_factory=dict)
    _health: dict[ServerId, _Health] = field(
        default_factory=lambda: defaultdict(_Health)
    )

    # Work.

    def on_sent(self, server: ServerId, unread_tokens: int) -> None:
        """Note that a request with this much unread prompt was sent."""
        work = self._own[server]
        work.running += 1
        work.unread_tokens += unread_tokens

    def on_started(self, server: ServerId, unread_tokens: int) -> None:
        """Note that a request has produced its first token."""
        self._own[server].unread_tokens -= unread_tokens

    def on_ended(self, server: ServerId, unread_tokens: int) -> None:
        """Note the end of a request; ``unread_tokens`` is 0 if it had started."""
        work = self._own[server]
        work.running -= 1
        work.unread_tokens -= unread_tokens
        if not work.running:
            del self._own[server]

    def on_peer_report(
        self,
        vm: VmId,
        running: Mapping[str, int],
        unread_tokens: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Take what another entry has at each server."""
        self._peers[vm] = _PeerWork(running, unread_tokens, now_s)

    def running(self, server: ServerId, now_s: float) -> int:
        """Return the requests that all entries have at a server."""
        own = self._own[server].running if server in self._own else 0
        return own + sum(
            peer.running.get(server, 0)
            for peer in self._peers.values()
            if now_s - peer.heard_s < PEER_AGE_S
        )

    def unread_tokens(self, server: ServerId, now_s: float) -> int:
        """Return the prompt tokens that wait at a server."""
        own = self._own[server].unread_tokens if server in self._own else 0
        return own + sum(
            peer.unread_tokens.get(server, 0)
            for peer in self._peers.values()
            if now_s - peer.heard_s < PEER_AGE_S
        )

    def local_running(self, server: ServerId) -> int:
        """Return the requests that this entry has at a server."""
        return self._own[server].running if server in self._own else 0

    def report(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return running requests and unread tokens of this entry, for its peers."""
        running = {server: work.running for server, work in self._own.items()}
        unread = {
            server: work.unread_tokens
            for server, work in self._own.items()
            if work.unread_tokens > 0
        }
        return running, unread

    # Health.

    def on_answer(self, server: ServerId, failed: bool) -> None:
        """Note an answer that was a success or a failure of the server's own."""
        health = self._health[server]
        health.failure_fraction += FAILURE_WEIGHT * (
            float(failed) - health.failure_fraction
        )
        if not failed:
            health.ejections = 0

    def on_unreachable(self, server: ServerId, now_s: float) -> float:
        """Eject a server that refused a connection; return for how long, in seconds."""
        health = self._health[server]
        if now_s < health.ejected_until_s:
            return health.ejected_until_s - now_s
        length_s = min(LAST_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + length_s
        return length_s

    def is_ejected(self, server: ServerId, now_s: float) -> bool:
        """Return whether a server gets no work for now."""
        health = self._health.get(server)
        return health is not None and now_s < health.ejected_until_s

    def failure_fraction(self, server: ServerId) -> float:
        """Return the share of failures among the latest answers."""
        health = self._health.get(server)
        return health.failure_fraction if health is not None else 0.0

    def drop_server(self, server: ServerId) -> None:
        """Drop the health of a server that is gone."""
        self._health.pop(server, None)


def make_load_board() -> LoadBoard:
    """Return a board without work.

    Examples
    --------
    >>> board = make_load_board()
    >>> board.on_sent(ServerId("a"), 100)
    >>> board.on_peer_report(VmId("entry-2"), {"a": 2}, {"a": 50}, now_s=0.0)
    >>> board.running("a", now_s=0.1), board.unread_tokens("a", now_s=0.1)
    (3, 150)
    """
    return LoadBoard()
