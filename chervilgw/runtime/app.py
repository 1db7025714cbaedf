"""Assembly of tasks into one process."""

from __future__ import annotations

import time

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chervilgw.runtime.events import shut_down
from chervilgw.telemetry import log_event

POLL_EVERY_S = 0.002
HANDLER_FAILED = "handler_failed"
"""Log event of an error that no handler caught; always a defect."""


class Poller(EPoll):
    """Poller that does not poll before each batch of queued events.

    The library polls once per batch, about 20 times for one request; a system call
    costs more than most handlers. While events are queued, sockets are polled only
    every :data:`POLL_EVERY_S`.
    """

    def __init__(self):
        super().__init__()
        self._polled_s = 0.0

    def _generate_events(self, event):
        now_s = time.monotonic()
        if event.time_left == 0 and now_s - self._polled_s < POLL_EVERY_S:
            return
        super()._generate_events(event)
        self._polled_s = time.monotonic()


class App(BaseComponent):
    """Root of a process's tasks; see :func:`make_app`."""

    channel = "app"

    def __init__(self):
        super().__init__()
        Poller().register(self)

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        # Without this handler the library stops the process at once.
        event.stop()
        self.fire(shut_down(), "*")

    @handler("exception", channel="*", priority=-1)
    def _on_exception(self, kind, error, trace, handler=None, fevent=None):
        # The library would only print the trace. A failed handler is a defect, but the
        # process goes on serving its other requests. The message of an error may hold a
        # prompt, so only its type is logged.
        where = "".join(trace) if isinstance(trace, list) else str(trace)
        log_event(HANDLER_FAILED, level="error", error=kind.__name__, trace=where)


def make_app(*tasks: BaseComponent) -> App:
    """Return a process root with the given tasks registered in order.

    Parameters
    ----------
    *tasks : circuits.BaseComponent
        Tasks of the process.

    Returns
    -------
    App
    """
    app = App()
    for task in tasks:
        task.register(app)
    return app
