"""Outstanding work and health of each backend server.

Engine reports lag, so the board counts requests at the entries: those that this entry
has sent, plus those in the latest report of each peer entry.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import VmId

# The counts of a peer that missed five reports are ignored: its requests have ended, or
# end with its process.
PEER_SILENCE_TIMEOUT_S = 1.0
MIN_EJECTION_S = 0.5
# Engines restart within a few seconds and must be tried again soon after.
MAX_EJECTION_S = 4.0
# Weight of the newest answer in the moving average of failures, which covers about the
# last five answers.
FAILURE_WEIGHT = 0.2


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
    last_seen_s: float


@dataclass(slots=True)
class LoadBoard:
    """Work and health of servers; see :func:`make_load_board`."""

    _local: dict[ServerId, _Work] = field(default_factory=lambda: defaultdict(_Work))
    _peers: dict[VmId, _PeerWork] = field(default_factory=dict)
    _health: dict[ServerId, _Health] = field(
        default_factory=lambda: defaultdict(_Health)
    )

    def on_sent(self, server: ServerId, unread_tokens: int) -> None:
        """Record a sent request; ``unread_tokens`` of its prompt need prefill."""
        work = self._local[server]
        work.running += 1
        work.unread_tokens += unread_tokens

    def on_started(self, server: ServerId, unread_tokens: int) -> None:
        """Record that a request has produced its first token."""
        self._local[server].unread_tokens -= unread_tokens

    def on_ended(self, server: ServerId, unread_tokens: int) -> None:
        """Record the end of a request; ``unread_tokens`` is 0 if it had started."""
        work = self._local[server]
        work.running -= 1
        work.unread_tokens -= unread_tokens
        if not work.running:
            del self._local[server]

    def on_peer_report(
        self,
        vm: VmId,
        running: Mapping[str, int],
        unread_tokens: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Record the work that another entry has at each server."""
        self._peers[vm] = _PeerWork(running, unread_tokens, now_s)

    def running(self, server: ServerId, now_s: float) -> int:
        """Return the requests that all entries have at a server."""
        local = self._local[server].running if server in self._local else 0
        return local + sum(
            peer.running.get(server, 0)
            for peer in self._peers.values()
            if now_s - peer.last_seen_s < PEER_SILENCE_TIMEOUT_S
        )

    def unread_tokens(self, server: ServerId, now_s: float) -> int:
        """Return the prompt tokens at a server that are not prefilled yet."""
        local = self._local[server].unread_tokens if server in self._local else 0
        return local + sum(
            peer.unread_tokens.get(server, 0)
            for peer in self._peers.values()
            if now_s - peer.last_seen_s < PEER_SILENCE_TIMEOUT_S
        )

    def local_running(self, server: ServerId) -> int:
        """Return the requests that this entry has at a server."""
        return self._local[server].running if server in self._local else 0

    def report(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return running requests and unread tokens of this entry, for its peers."""
        running = {server: work.running for server, work in self._local.items()}
        unread = {
            server: work.unread_tokens
            for server, work in self._local.items()
            if work.unread_tokens > 0
        }
        return running, unread

    def on_answer(self, server: ServerId, failed: bool) -> None:
        """Record a success, or a failure that the server caused."""
        health = self._health[server]
        health.failure_fraction += FAILURE_WEIGHT * (
            float(failed) - health.failure_fraction
        )
        if not failed:
            health.ejections = 0

    def on_unreachable(self, server: ServerId, now_s: float) -> float:
        """Eject a server that refused a connection; return for how many seconds."""
        health = self._health[server]
        if now_s < health.ejected_until_s:
            return health.ejected_until_s - now_s
        length_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + length_s
        return length_s

    def is_ejected(self, server: ServerId, now_s: float) -> bool:
        """Return whether a server is ejected and gets no requests."""
        health = self._health.get(server)
        return health is not None and now_s < health.ejected_until_s

    def failure_fraction(self, server: ServerId) -> float:
        """Return the fraction of failures among the latest answers, 0 to 1."""
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
