"""Which backend servers are cold: slow after a start, and limited to a request rate.

Several sources state how much longer a server is cold: the platform's list, the report
of its agent, a header of its answers, and the subscriptions of entries at the agent.
Where they disagree the longest time counts, since a cold server that gets too many
requests crashes, while a warm one that gets few is only idle.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.deployment import RegisteredServer, ServerId, ServiceRule
from chervilgw.core.ids import LogPosition, ServiceName

# A process that was not scheduled for longer than this may have missed that a server
# became cold.
MAX_GAP_S = 1.0
# After such a gap a server counts as cold until a source states its time, at most for
# this long: agents report once a second, and the list is read every 1.6 s.
REFRESH_S = 2.0


class ColdSource(Enum):
    """Where a statement on a server's remaining cold time comes from."""

    LIST = "list"
    REPORT = "report"
    ANSWER = "answer"
    SUBSCRIPTION = "subscription"


@dataclass(slots=True)
class ColdState:
    """What is known of one incarnation of a server; times are monotonic.

    ``started_s`` is when the server started. ``stated_s`` is when a source last stated
    the remaining cold time.
    """

    started_ms: int
    started_s: float
    stated_s: float = float("-inf")
    _until_s: dict[ColdSource, float] = field(default_factory=dict)

    def on_stated(self, source: ColdSource, cold_s: float | None, now_s: float) -> None:
        """Record a statement, which replaces the former one of the same source.

        Subscriptions come from many entries, of which the longest time counts.
        """
        if cold_s is None:
            return
        until_s = now_s + cold_s
        if source is ColdSource.SUBSCRIPTION:
            until_s = max(until_s, self._until_s.get(source, until_s))
        self._until_s[source] = until_s
        self.stated_s = now_s

    @property
    def is_stated(self) -> bool:
        """Return whether any source has stated a time."""
        return bool(self._until_s)

    def remaining_s(self, cold_start_s: float, now_s: float) -> float:
        """Return how much longer the server is cold, 0 if it is warm.

        Parameters
        ----------
        cold_start_s : float
            How long a server is cold after its start. It counts only while no source
            has stated a time.
        now_s : float
            Monotonic time.
        """
        start_s = self.started_s + cold_start_s
        return max(0.0, max(self._until_s.values(), default=start_s) - now_s)

    def stated_s_without(self, excluded: ColdSource, now_s: float) -> float | None:
        """Return the longest time that other sources stated, None if none did."""
        stated = [
            until_s for source, until_s in self._until_s.items() if source != excluded
        ]
        return max(0.0, max(stated) - now_s) if stated else None


@dataclass(slots=True)
class RunGaps:
    """Times in which this process did not run, as it was frozen or starved."""

    _observed_s: float | None = None
    _resumed_s: float = float("-inf")

    def observe(self, now_s: float) -> None:
        """Record that the process runs; called at each tick and each decision."""
        if self._observed_s is not None and now_s - self._observed_s > MAX_GAP_S:
            self._resumed_s = now_s
        self._observed_s = now_s

    def doubt_s(self, state: ColdState, now_s: float) -> float:
        """Return for how long a server counts as cold because of a gap."""
        if state.stated_s >= self._resumed_s:
            return 0.0
        return max(0.0, self._resumed_s + REFRESH_S - now_s)


@dataclass(slots=True)
class _Server:
    service: ServiceName
    position: LogPosition
    state: ColdState
    is_registered: bool = True


class WarmUp:
    """Cold servers as seen by one entry; see :func:`make_warm_up`."""

    def __init__(self):
        self._rules: dict[ServiceName, ServiceRule] = {}
        self._servers: dict[ServerId, _Server] = {}
        self._gaps = RunGaps()
        self._reported_cold: set[ServerId] = set()

    def set_rules(self, services: Mapping[ServiceName, ServiceRule]) -> None:
        """Use the cold rates of a configuration; services without one have no limit."""
        self._rules = {
            name: rule for name, rule in services.items() if rule.cold_per_s > 0
        }

    def rule(self, service: ServiceName) -> ServiceRule | None:
        """Return the rule of a service with a cold rate, or None."""
        return self._rules.get(service)

    def on_registered(
        self, entry: RegisteredServer, position: LogPosition, age_s: float, now_s: float
    ) -> None:
        """Apply an entry of the list that the directory has accepted.

        Parameters
        ----------
        entry : RegisteredServer
        position : LogPosition
            Position in the list's log. A full listing repeats earlier entries; these
            say nothing of the present.
        age_s : float
            Time since the server's start, by the clocks of the two machines.
        now_s : float
            Monotonic time.
        """
        server = self._servers.get(entry.server)
        if server is not None:
            if position <= server.position:
                return
            server.position, server.is_registered = position, True
        if server is None or entry.started_ms != server.state.started_ms:
            state = ColdState(entry.started_ms, now_s - max(0.0, age_s))
            server = _Server(entry.service, position, state)
            self._servers[entry.server] = server
        server.state.on_stated(ColdSource.LIST, entry.cold_s, now_s)

    def on_stated(
        self,
        server: ServerId,
        started_ms: int,
        source: ColdSource,
        cold_s: float | None,
        now_s: float,
    ) -> None:
        """Apply a statement on one incarnation of a server; others are ignored."""
        known = self._servers.get(server)
        if known is not None and known.state.started_ms == started_ms:
            known.state.on_stated(source, cold_s, now_s)

    def on_state_unknown(self, server: ServerId, now_s: float) -> None:
        """Count a server as cold for the whole cold time, for instance after it idled.

        The next statement of the list replaces this one.
        """
        known = self._servers.get(server)
        rule = self._rules.get(known.service) if known is not None else None
        if rule is not None:
            known.state.on_stated(ColdSource.LIST, rule.cold_start_s, now_s)

    def on_removed(self, server: ServerId) -> None:
        """Record that a server is off the list; its state is kept while it is cold.

        An outage of the store removes live servers for some seconds.
        """
        known = self._servers.get(server)
        if known is not None:
            known.is_registered = False

    def observe(self, now_s: float) -> None:
        """Record that the process runs; call it at each tick and each decision."""
        self._gaps.observe(now_s)

    def remaining_s(self, server: ServerId, now_s: float) -> float:
        """Return how much longer a server is cold, 0 if it is warm or has no limit."""
        known = self._servers.get(server)
        rule = self._rules.get(known.service) if known is not None else None
        if rule is None:
            return 0.0
        remaining_s = known.state.remaining_s(rule.cold_start_s, now_s)
        return max(remaining_s, self._gaps.doubt_s(known.state, now_s))

    def stated_without_agent_s(self, server: ServerId, now_s: float) -> float | None:
        """Return the remaining cold time that other sources than the agent stated.

        The agent gets it. Its own statement would come back to it later each time.
        """
        known = self._servers.get(server)
        if known is None or known.service not in self._rules:
            return None
        return known.state.stated_s_without(ColdSource.REPORT, now_s)

    def is_cold(self, server: ServerId, now_s: float) -> bool:
        """Return whether a server is cold and its service has a cold rate."""
        return bool(self._rules) and self.remaining_s(server, now_s) > 0

    def changes(self, now_s: float) -> list[tuple[ServerId, float]]:
        """Return the servers that became cold or warm since the last call.

        Each comes with its remaining cold time, 0 if it became warm. Servers that are
        warm and off the list are dropped.
        """
        changed = []
        for name, server in list(self._servers.items()):
            remaining_s = self.remaining_s(name, now_s)
            if (remaining_s > 0) != (name in self._reported_cold):
                self._reported_cold ^= {name}
                changed.append((name, remaining_s))
            if not server.is_registered and not remaining_s:
                del self._servers[name]
        return changed

    def count_cold(self) -> int:
        """Return the number of cold servers at the last call of :meth:`changes`."""
        return len(self._reported_cold)


def make_warm_up() -> WarmUp:
    """Return a view without servers.

    Examples
    --------
    >>> warm_up = make_warm_up()
    >>> warm_up.set_rules({"s": ServiceRule("s", 8, None, 10.0, 4.0)})
    >>> entry = RegisteredServer("i-1", "s", "10.0.0.1:80", "a", 8, "ready", 7)
    >>> warm_up.on_registered(entry, 1, age_s=2.0, now_s=100.0)
    >>> warm_up.remaining_s("i-1", now_s=105.0), warm_up.is_cold("i-1", now_s=108.0)
    (3.0, False)
    """
    return WarmUp()
