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


class App(BaseComponent):
    """Root of a process's tasks; see :func:`make_app`."""

    channel = "app"

    def __init__(self):
        super().__init__()
        self._polled_s = 0.0
        EPoll().register(self)

    def tick(self, timeout=-1):
        """Handle a batch of events, and poll sockets and timers if that is due.

        The library does both for each batch, about 25 times for one request. While
        events are queued, this polls only every :data:`POLL_EVERY_S`.
        """
        now_s = time.monotonic()
        if len(self._queue) and now_s - self._polled_s < POLL_EVERY_S:
            self.flush()
            return
        super().tick(timeout)
        self._polled_s = time.monotonic()

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
