"""Readiness and the planned stop of a process on the users' platform."""

from __future__ import annotations

import time
from collections.abc import Callable

from circuits import BaseComponent, Event, Timer, handler

from chervilgw.core.errors import ChervilError
from chervilgw.forward.events import end_requests, settings_changed
from chervilgw.runtime.control_events import drain
from chervilgw.runtime.events import (
    HttpReply,
    HttpRequest,
    http_close_idle,
    http_drain,
    http_reply,
    http_stop_listening,
)
from chervilgw.runtime.role import FLUSH_S
from chervilgw.settings.vm import VmSettings
from chervilgw.telemetry import log_event

NOTICE_S = 3.0
"""The balancer asks once a second and takes a process out after two misses; one more
second is for connections that are being opened."""
CLOSE_IDLE_S = 2.1
"""By then the balancer has taken the process out, and callers that are idle on a kept
connection are better off with one to another entry."""
GRACE_MARGIN_S = 0.6
"""The process ends by itself this long before the platform would kill it."""


CHECK_EVERY_TICKS = 10
"""Ticks of 0.1 s between looks at the settings file: it may change without a signal."""


class exit_due(Event):  # noqa: N801
    """All work has ended and its bytes are sent."""


class ReadyTask(BaseComponent):
    """Answers the balancer's question; see :func:`make_ready_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._configured = False
        self._leaving = False

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._configured = True

    @handler("drain", channel="*")
    def _on_drain(self):
        self._leaving = True

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        is_ready = self._configured and not self._leaving and http.path == "/ready"
        reply = HttpReply(http.exchange, 200 if is_ready else 503, (), b"")
        self.fire(http_reply(reply), http.server)


class StopTask(BaseComponent):
    """Carries out a planned stop; see :func:`make_stop_task`."""

    def __init__(self, grace_s: float, has_callers: bool, channel):
        super().__init__(channel=channel)
        self._grace_s = grace_s
        self._has_callers = has_callers
        self._since_s: float | None = None
        self._drained = not has_callers
        self._exiting = False
        self._closed_idle = False

    @handler("shut_down", channel="*")
    def _on_shut_down(self):
        if self._since_s is not None:
            return
        self._since_s = time.monotonic()
        log_event("shutdown_started")
        self.fire(drain(), "*")
        self.fire(http_drain(), "http")

    @handler("entry_drained", channel="*")
    def _on_drained(self):
        self._drained = True

    @handler("http_request", channel="gateway", priority=1)
    def _on_request(self, http):
        self._drained = False

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        if self._since_s is None or self._exiting:
            return
        waited_s = now_s - self._since_s
        if self._has_callers and not self._closed_idle and waited_s >= CLOSE_IDLE_S:
            self._closed_idle = True
            self.fire(http_close_idle(), "http")
        noticed = waited_s >= NOTICE_S or not self._has_callers
        if (noticed and self._drained) or waited_s >= self._grace_s - GRACE_MARGIN_S:
            self._exiting = True
            self.fire(end_requests(), "gateway")
            log_event("shutdown_finished", drained=self._drained, waited_s=waited_s)
            self.fire(http_stop_listening(), "*")
            Timer(FLUSH_S, exit_due(), self.channel).register(self)

    @handler("exit_due")
    def _on_exit_due(self):
        raise SystemExit(0)


class ReloadTask(BaseComponent):
    """Reads the settings again; see :func:`make_reload_task`."""

    def __init__(self, read: Callable[[], VmSettings], settings: VmSettings, channel):
        super().__init__(channel=channel)
        self._read = read
        self._settings = settings
        self._ticks = 0

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._ticks += 1
        if self._ticks % CHECK_EVERY_TICKS == 0:
            self._check()

    @handler("reload_requested", channel="*")
    def _on_reload_wanted(self):
        log_event("settings_signal")
        self._check()

    def _check(self):
        try:
            settings = self._read()
        except ChervilError as error:
            log_event("settings_unusable", level="warning", detail=str(error))
            return
        if settings == self._settings:
            return
        changed = sorted(
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self._settings, name)
        )
        self._settings = settings
        log_event("settings_changed", fields=changed)
        self.fire(settings_changed(settings), "*")


def make_ready_task(channel="ready") -> ReadyTask:
    """Return the task that says whether this entry takes callers."""
    return ReadyTask(channel)


def make_stop_task(grace_s: float, has_callers: bool, channel="stop") -> StopTask:
    """Return the task that stops the process on SIGTERM.

    Parameters
    ----------
    grace_s : float
        Time after which the platform kills the process.
    has_callers : bool
        Whether a balancer has to notice first.
    channel : str
        Channel of the task.
    """
    return StopTask(grace_s, has_callers, channel)


def make_reload_task(
    read: Callable[[], VmSettings], settings: VmSettings, channel="reload"
) -> ReloadTask:
    """Return the task that notices changes of the settings.

    Parameters
    ----------
    read : callable
        Reads the settings again; raises `ChervilError` if it cannot.
    settings : VmSettings
        Those that the process started with.
    channel : str
        Channel of the task.
    """
    return ReloadTask(read, settings, channel)
