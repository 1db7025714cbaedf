"""HTTP server tasks of a process, and the one that serves its metrics."""

from __future__ import annotations

from circuits import BaseComponent

from chervilgw.forward.metrics_task import make_metrics_task
from chervilgw.runtime.opaque_server import OpaqueServerOptions, make_opaque_server

METRICS_CALLERS = 16
"""Connections of collectors, which are few."""


def make_metrics_tasks(ip: str, port: int | None, refuse) -> list[BaseComponent]:
    """Return the task that counts, with a server for its text if there is a port."""
    tasks: list[BaseComponent] = [make_metrics_task()]
    if port is not None:
        options = server_options(f"{ip}:{port}", "metrics", refuse, METRICS_CALLERS)
        tasks.append(make_opaque_server(options, "metrics-http"))
    return tasks


def server_options(listen: str, owner: str, refuse, connections: int):
    """Return the options of an HTTP server task on an address."""
    host, _, port = listen.rpartition(":")
    return OpaqueServerOptions(host, int(port), owner, refuse, connections)
