"""Datagram ports of entries and agents, which may run on the same VM."""

from __future__ import annotations

from chervilgw.settings.vm import VmSettings


def entry_port(settings: VmSettings) -> int:
    """Return the port on which entries receive datagrams."""
    return settings.peer_ports[0]


def agent_port(settings: VmSettings) -> int:
    """Return the port on which agents receive datagrams."""
    return settings.peer_ports[0] + 1
