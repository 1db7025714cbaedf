"""Parts that both roles share when a process is put together."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping

from circuits import BaseComponent, Event, Timer, handler

from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.states import Role
from chervilgw.runtime.control_events import drain
from chervilgw.runtime.events import http_drain, http_stop_listening
from chervilgw.runtime.links import LinkOptions, Peer, make_peer_links
from chervilgw.telemetry import log_event

FLUSH_DELAY_S = 0.3
"""Time for the last bytes to leave the sockets before the process ends."""


Steps = Mapping[str, tuple[str, type[Event]] | None]


class notice_over(Event):  # noqa: N801
    """The load balancer had the time to notice that this entry is leaving."""


class exit_due(Event):  # noqa: N801
    """All work has ended and its bytes are sent."""


class ShutdownTask(BaseComponent):
    """Shutdown task; see :func:`make_shutdown_task`."""

    def __init__(self, steps: Steps, notice_s: float, channel):
        super().__init__(channel=channel)
        self._steps = steps
        self._notice_s = notice_s
        self._started = False

    @handler("shut_down", channel="*")
    def _on_shut_down(self):
        if self._started:
            return
        self._started = True
        log_event("shutdown_started")
        self.fire(drain(), "*")
        self.fire(http_drain(), "http")
        Timer(self._notice_s, notice_over(), self.channel).register(self)

    @handler("notice_over")
    def _on_notice_over(self):
        self.fire(http_stop_listening(), "*")

    @handler("drained")
    def _on_drained(self, task: str):
        following = self._steps[task]
        if following is not None:
            target, event_type = following
            self.fire(event_type(), target)
            return
        log_event("shutdown_finished")
        Timer(FLUSH_DELAY_S, exit_due(), self.channel).register(self)

    @handler("exit_due")
    def _on_exit_due(self):
        raise SystemExit(0)


class ReadyTask(BaseComponent):
    """Ready task; see :func:`make_ready_task`."""

    def __init__(self, addresses: dict[str, str], channel):
        super().__init__(channel=channel)
        self._addresses = addresses

    @handler("started", channel="*")
    def _on_started(self, *args):
        line = json.dumps({"event": "ready", **self._addresses})
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


def make_shutdown_task(steps: Steps, notice_s: float, channel="role") -> ShutdownTask:
    """Return the task that carries out a planned stop.

    Parameters
    ----------
    steps : mapping of str to (str, type of Event) or None
        For the name of a drained task, the channel and event that come next, or None
        if the process ends then.
    notice_s : float
        Time for the load balancer to notice that the process is not ready.
    channel : str
        Channel of the task.

    Returns
    -------
    ShutdownTask
    """
    return ShutdownTask(steps, notice_s, channel)


def make_ready_task(addresses: dict[str, str], channel="ready") -> ReadyTask:
    """Return the task that prints the addresses when the process serves.

    Parameters
    ----------
    addresses : dict
        Names and addresses that the process listens on.
    channel : str
        Channel of the task.

    Returns
    -------
    ReadyTask
    """
    return ReadyTask(addresses, channel)


def make_links(settings, role: Role, routes: Mapping[type, str]):
    """Return the peer link task of a process.

    Parameters
    ----------
    settings : CommonSettings
        Settings of the process.
    role : Role
        Role of the process.
    routes : mapping of type to str
        Channel of the task that gets each type of the peers' messages.

    Returns
    -------
    PeerLinks
    """
    host, _, port = settings.peer_listen.rpartition(":")
    start_ms = int(time.time() * 1000)
    me = Peer(
        Incarnation(VmId(settings.vm), start_ms),
        role,
        ZoneId(settings.zone),
        settings.peer_advertise or ("" if port == "0" else settings.peer_listen),
    )
    options = LinkOptions(
        me,
        host,
        int(port),
        settings.fleet_secret.get_secret_value().encode(),
        routes,
        settings.limits.max_frame_bytes,
    )
    return make_peer_links(options)
