"""Construction of the metrics tasks and of HTTP server options."""

from __future__ import annotations

from circuits import BaseComponent

from chervilgw.forward.metrics_task import make_metrics_task
from chervilgw.runtime.opaque_server import OpaqueServerOptions, make_opaque_server

MAX_METRICS_CONNECTIONS = 16


def make_metrics_tasks(ip: str, port: int | None, refuse) -> list[BaseComponent]:
    """Return the metrics task, and an HTTP server for it if ``port`` is set."""
    tasks: list[BaseComponent] = [make_metrics_task()]
    if port is not None:
        options = server_options(
            f"{ip}:{port}", "metrics", refuse, MAX_METRICS_CONNECTIONS
        )
        tasks.append(make_opaque_server(options, "metrics-http"))
    return tasks


def server_options(listen: str, owner: str, refuse, connections: int):
    """Return the options of an HTTP server task that listens on ``host:port``."""
    host, _, port = listen.rpartition(":")
    return OpaqueServerOptions(host, int(port), owner, refuse, connections)
