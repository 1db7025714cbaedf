"""Readiness, graceful stop and settings reload of a process."""

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
from chervilgw.runtime.role import FLUSH_DELAY_S
from chervilgw.settings.vm import VmSettings
from chervilgw.telemetry import log_event

# The balancer checks once a second and removes a process after two failures; one more
# second covers connections that are being opened.
BALANCER_NOTICE_S = 3.0
# By then the balancer has removed the process, so that callers with an idle connection
# reconnect to another entry.
CLOSE_IDLE_AFTER_S = 2.1
# The process exits this long before the platform would kill it.
GRACE_MARGIN_S = 0.6
# In ticks of 0.1 s; the settings file may change without a signal.
SETTINGS_CHECK_INTERVAL_TICKS = 10


class exit_due(Event):  # noqa: N801
    """All work has ended and its output is flushed."""


class ReadyTask(BaseComponent):
    """Answers readiness checks of the balancer; see :func:`make_ready_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._configured = False
        self._draining = False

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        self._configured = True

    @handler("drain", channel="*")
    def _on_drain(self):
        self._draining = True

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        is_ready = self._configured and not self._draining and http.path == "/ready"
        reply = HttpReply(http.exchange, 200 if is_ready else 503, (), b"")
        self.fire(http_reply(reply), http.server)


class StopTask(BaseComponent):
    """Drains and exits the process; see :func:`make_stop_task`."""

    def __init__(self, grace_s: float, has_callers: bool, channel):
        super().__init__(channel=channel)
        self._grace_s = grace_s
        self._has_callers = has_callers
        self._stop_started_s: float | None = None
        self._drained = not has_callers
        self._exiting = False
        self._closed_idle = False

    @handler("shut_down", channel="*")
    def _on_shut_down(self):
        if self._stop_started_s is not None:
            return
        self._stop_started_s = time.monotonic()
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
        if self._stop_started_s is None or self._exiting:
            return
        waited_s = now_s - self._stop_started_s
        if (
            self._has_callers
            and not self._closed_idle
            and waited_s >= CLOSE_IDLE_AFTER_S
        ):
            self._closed_idle = True
            self.fire(http_close_idle(), "http")
        balancer_noticed = waited_s >= BALANCER_NOTICE_S or not self._has_callers
        if (
            balancer_noticed and self._drained
        ) or waited_s >= self._grace_s - GRACE_MARGIN_S:
            self._exiting = True
            self.fire(end_requests(), "gateway")
            log_event("shutdown_finished", drained=self._drained, waited_s=waited_s)
            self.fire(http_stop_listening(), "*")
            Timer(FLUSH_DELAY_S, exit_due(), self.channel).register(self)

    @handler("exit_due")
    def _on_exit_due(self):
        raise SystemExit(0)


class ReloadTask(BaseComponent):
    """Detects changed settings; see :func:`make_reload_task`."""

    def __init__(self, read: Callable[[], VmSettings], settings: VmSettings, channel):
        super().__init__(channel=channel)
        self._read_settings = read
        self._settings = settings
        self._ticks = 0

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._ticks += 1
        if self._ticks % SETTINGS_CHECK_INTERVAL_TICKS == 0:
            self._check()

    @handler("reload_requested", channel="*")
    def _on_reload_requested(self):
        log_event("settings_signal")
        self._check()

    def _check(self):
        try:
            settings = self._read_settings()
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
    """Return the task that answers whether this entry accepts requests."""
    return ReadyTask(channel)


def make_stop_task(grace_s: float, has_callers: bool, channel="stop") -> StopTask:
    """Return the task that stops the process on SIGTERM.

    Parameters
    ----------
    grace_s : float
        Time after which the platform kills the process.
    has_callers : bool
        Whether a balancer has to remove the process before it exits.
    channel : str
        Channel of the task.
    """
    return StopTask(grace_s, has_callers, channel)


def make_reload_task(
    read: Callable[[], VmSettings], settings: VmSettings, channel="reload"
) -> ReloadTask:
    """Return the task that detects changes of the settings.

    Parameters
    ----------
    read : callable
        Reads the settings; raises `ChervilError` if they are unusable.
    settings : VmSettings
        Settings that the process started with.
    channel : str
        Channel of the task.
    """
    return ReloadTask(read, settings, channel)
