"""Construction of the metrics tasks and of HTTP server options."""

from __future__ import annotations

from circuits import BaseComponent

from chervilgw.forward.metrics_task import make_metrics_task
from chervilgw.runtime.memory_totals import make_memory_totals
from chervilgw.runtime.opaque_options import OpaqueServerOptions
from chervilgw.runtime.opaque_server import make_opaque_server
from chervilgw.settings.vm import VmSettings

MAX_METRICS_CONNECTIONS = 16
# Fraction of the process's totals for a listener that the platform alone should use.
PLATFORM_FRACTION = 0.0625


def make_metrics_tasks(
    settings: VmSettings, port: int | None, refuse
) -> list[BaseComponent]:
    """Return the metrics task, and an HTTP server for it if ``port`` is set."""
    tasks: list[BaseComponent] = [make_metrics_task()]
    if port is not None:
        listen = f"{settings.ip}:{port}"
        options = platform_options(
            settings, listen, "metrics", refuse, MAX_METRICS_CONNECTIONS
        )
        tasks.append(make_opaque_server(options, "metrics-http"))
    return tasks


def caller_options(settings: VmSettings, owner: str, refuse, connections: int):
    """Return the options of the HTTP server task for callers."""
    totals = make_memory_totals(settings.memory_mb)
    return _server_options(settings.front_listen, owner, refuse, connections, totals)


def platform_options(
    settings: VmSettings, listen: str, owner: str, refuse, connections: int
):
    """Return the options of an HTTP server task for the platform's own requests."""
    totals = make_memory_totals(settings.memory_mb, PLATFORM_FRACTION)
    return _server_options(listen, owner, refuse, connections, totals)


def _server_options(listen: str, owner: str, refuse, connections: int, totals):
    host, _, port = listen.rpartition(":")
    return OpaqueServerOptions(host, int(port), owner, refuse, connections, totals)
