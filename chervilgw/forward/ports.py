"""Ports of the system's own processes; one VM may run an entry and an agent."""

from __future__ import annotations

from chervilgw.settings.vm import VmSettings


def entry_port(settings: VmSettings) -> int:
    """Return the port at which entries get datagrams."""
    return settings.peer_ports[0]


def agent_port(settings: VmSettings) -> int:
    """Return the port at which agents get datagrams."""
    return settings.peer_ports[0] + 1
