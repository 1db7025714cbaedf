"""Agents that may know what the engines on their VMs have done lately."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import ServiceName


@dataclass(slots=True)
class RecentAgents:
    """Addresses of agents by service; see :func:`make_recent_agents`."""

    _retention_s: float
    _seen_s: dict[tuple[ServiceName, str], float] = field(default_factory=dict)

    def on_present(
        self, agents: Iterable[tuple[ServiceName, str]], now_s: float
    ) -> None:
        """Record the agents of the engines that are present now."""
        for key in agents:
            self._seen_s[key] = now_s
        for key, seen_s in list(self._seen_s.items()):
            if now_s - seen_s > self._retention_s:
                del self._seen_s[key]

    def addresses(self, service: ServiceName) -> list[str]:
        """Return the agents of a service's present engines and of those that left.

        An agent outlives its engine.
        """
        return [address for name, address in self._seen_s if name == service]


def make_recent_agents(retention_s: float) -> RecentAgents:
    """Return a memory without agents.

    Parameters
    ----------
    retention_s : float
        How long an agent is remembered after its engine has left.

    Examples
    --------
    >>> agents = make_recent_agents(60.0)
    >>> agents.on_present([("llm", "10.0.0.1:7700"), ("chat", "10.0.0.2:7700")], 0.0)
    >>> agents.on_present([("llm", "10.0.0.3:7700")], 60.0)
    >>> agents.addresses("llm"), agents.addresses("chat")
    (['10.0.0.1:7700', '10.0.0.3:7700'], ['10.0.0.2:7700'])
    >>> agents.on_present([], 61.0)
    >>> agents.addresses("llm")
    ['10.0.0.3:7700']
    """
    return RecentAgents(retention_s)
