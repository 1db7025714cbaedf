"""Sends statsd metrics over UDP without blocking or raising."""

from __future__ import annotations

import re
from collections.abc import Callable

from statsd import StatsClient

from chervilgw.telemetry.table import Metric, MetricType

_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class _NonBlockingClient(StatsClient):
    """Statsd client whose socket drops a datagram instead of waiting."""

    def __init__(self, host: str, port: int, prefix: str):
        super().__init__(host, port, prefix=prefix, ipv6=":" in host)
        self._sock.setblocking(False)


class Metrics:
    """Sends declared metrics to a statsd server; without a client it does nothing."""

    def __init__(self, client: StatsClient | None):
        self._send: dict[MetricType, Callable[[str, float], None]] = {}
        if client is not None:
            self._send = {
                MetricType.COUNTER: client.incr,
                MetricType.GAUGE: client.gauge,
                MetricType.TIMING: client.timing,
            }

    def record(self, metric: Metric, value: float = 1, label: str = "") -> None:
        """Send one value.

        Parameters
        ----------
        metric : Metric
            A metric of the table in :mod:`chervilgw.telemetry.table`.
        value : float
            Increment of a counter, value of a gauge, or milliseconds.
        label : str
            Appended to the name if the metric declares a label.
        """
        send = self._send.get(metric.type)
        if send is None:
            return
        name = metric.name
        if metric.label and label:
            name = f"{name}.{_UNSAFE_CHARACTERS.sub('_', label)}"
        try:
            send(name, value)
        except (OSError, RuntimeError, ValueError, TypeError):
            # A metric that cannot be sent must not make its request fail.
            return


def make_metrics(address: str | None, vm: str) -> Metrics:
    """Return a sender of metrics.

    Parameters
    ----------
    address : str or None
        ``ip:port`` of the statsd server, or None to send nothing.
    vm : str
        Name of the VM, part of each metric's name.

    Returns
    -------
    Metrics

    Examples
    --------
    >>> from chervilgw.telemetry.table import REQUESTS
    >>> make_metrics(None, "entry-1").record(REQUESTS, label="acme")
    """
    if address is None:
        return Metrics(None)
    host, _, port = address.rpartition(":")
    prefix = f"chervilgw.{_UNSAFE_CHARACTERS.sub('_', vm)}"
    try:
        client = _NonBlockingClient(host.strip("[]"), int(port), prefix)
    except (OSError, ValueError):
        return Metrics(None)
    return Metrics(client)
