"""Expected remaining work of each server: output tokens and memory.

An entry counts its own requests, and adds the latest report of each peer entry. The
sums over the peers are kept as reports arrive, as every choice of a server reads them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import VmId
from chervilgw.routing.board import PEER_SILENCE_TIMEOUT_S


@dataclass(slots=True)
class _Request:
    """A request at a server; ``counted_from`` tokens of its output came before."""

    server: ServerId
    unwritten: int
    held: int
    expected: int
    counted_from: int


@dataclass(frozen=True, slots=True)
class _PeerReport:
    unwritten: Mapping[str, int]
    held: Mapping[str, int]
    received_s: float


@dataclass(slots=True)
class ServerWork:
    """Unwritten and held tokens of servers; see :func:`make_server_work`.

    Unwritten tokens are output tokens that are expected and have not arrived yet, held
    tokens those that the requests occupy in memory at their peak: prompt and output.
    """

    _requests: dict[int, _Request] = field(default_factory=dict)
    _own_unwritten: dict[str, int] = field(default_factory=dict)
    _own_held: dict[str, int] = field(default_factory=dict)
    _peers: dict[VmId, _PeerReport] = field(default_factory=dict)
    _peers_unwritten: dict[str, int] = field(default_factory=dict)
    _peers_held: dict[str, int] = field(default_factory=dict)

    def begin(
        self,
        number: int,
        server: ServerId,
        prompt_tokens: int,
        output_tokens: int,
        written_tokens: int = 0,
        is_sent: bool = True,
    ) -> None:
        """Count a request at a server, and no longer at its former one.

        Parameters
        ----------
        number : int
            Number of the exchange.
        server : ServerId
        prompt_tokens : int
        output_tokens : int
            Output tokens that are expected of this server.
        written_tokens : int
            Output tokens that other servers have written.
        is_sent : bool
            False for a request that waits for a turn: it occupies no memory yet.
        """
        self.end(number)
        held = prompt_tokens + written_tokens + output_tokens if is_sent else 0
        self._requests[number] = _Request(
            server, output_tokens, held, output_tokens, written_tokens
        )
        _add(self._own_unwritten, server, output_tokens)
        _add(self._own_held, server, held)

    def on_written(self, number: int, written_tokens: int) -> None:
        """Record how many output tokens of a request have arrived in all."""
        request = self._requests.get(number)
        if request is None:
            return
        here = written_tokens - request.counted_from
        remaining = max(0, request.expected - here)
        _add(self._own_unwritten, request.server, remaining - request.unwritten)
        request.unwritten = remaining
        if here > request.expected:
            # The output exceeds its estimate, and so does the memory.
            _add(self._own_held, request.server, here - request.expected)
            request.held += here - request.expected
            request.expected = here

    def end(self, number: int) -> None:
        """Record that a request has left its server; do nothing if it is at none."""
        request = self._requests.pop(number, None)
        if request is not None:
            _add(self._own_unwritten, request.server, -request.unwritten)
            _add(self._own_held, request.server, -request.held)

    def report(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return unwritten and held tokens of this entry's requests, for its peers."""
        return dict(self._own_unwritten), dict(self._own_held)

    def on_peer_report(
        self,
        vm: VmId,
        unwritten: Mapping[str, int],
        held: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Record the work that another entry has at each server."""
        self._drop_peer(vm)
        self._peers[vm] = _PeerReport(unwritten, held, now_s)
        for server, tokens in unwritten.items():
            _add(self._peers_unwritten, server, tokens)
        for server, tokens in held.items():
            _add(self._peers_held, server, tokens)

    def drop_silent(self, now_s: float) -> None:
        """Drop the work of peers whose reports have ceased."""
        silent = [
            vm
            for vm, report in self._peers.items()
            if now_s - report.received_s >= PEER_SILENCE_TIMEOUT_S
        ]
        for vm in silent:
            self._drop_peer(vm)

    def _drop_peer(self, vm: VmId) -> None:
        former = self._peers.pop(vm, None)
        if former is None:
            return
        for server, tokens in former.unwritten.items():
            _add(self._peers_unwritten, server, -tokens)
        for server, tokens in former.held.items():
            _add(self._peers_held, server, -tokens)

    def unwritten_tokens(self, server: ServerId) -> int:
        """Return the output tokens that a server is expected to write yet."""
        own = self._own_unwritten.get(server, 0)
        return own + self._peers_unwritten.get(server, 0)

    def held_tokens(self, server: ServerId) -> int:
        """Return the memory that the requests at a server will occupy, in tokens."""
        return self._own_held.get(server, 0) + self._peers_held.get(server, 0)


def _add(totals: dict[str, int], server: str, tokens: int) -> None:
    total = totals.get(server, 0) + tokens
    if total:
        totals[server] = total
    else:
        totals.pop(server, None)


def make_server_work() -> ServerWork:
    """Return counts without work.

    Examples
    --------
    >>> work = make_server_work()
    >>> work.begin(1, ServerId("a"), prompt_tokens=1000, output_tokens=90)
    >>> work.on_written(1, 30)
    >>> work.on_peer_report(VmId("entry-2"), {"a": 40}, {"a": 500}, now_s=0.0)
    >>> work.unwritten_tokens(ServerId("a")), work.held_tokens(ServerId("a"))
    (100, 1590)
    """
    return ServerWork()
