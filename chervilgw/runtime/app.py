"""Assembly of tasks into one process."""

from __future__ import annotations

import time

from circuits import BaseComponent, handler

from chervilgw.runtime.events import shut_down
from chervilgw.runtime.poller import HangupPoller
from chervilgw.telemetry import log_event

POLL_INTERVAL_S = 0.002
# Log event of an error that no handler caught; always a defect.
HANDLER_FAILED = "handler_failed"


class App(BaseComponent):
    """Root of a process's tasks; see :func:`make_app`."""

    channel = "app"

    def __init__(self):
        super().__init__()
        self._last_poll_s = 0.0
        HangupPoller().register(self)

    def tick(self, timeout=-1):
        """Handle a batch of events, and poll sockets and timers if a poll is due.

        The library polls after each batch, about 25 times for one request. While events
        are queued, this method polls only every :data:`POLL_INTERVAL_S`.
        """
        now_s = time.monotonic()
        if len(self._queue) and now_s - self._last_poll_s < POLL_INTERVAL_S:
            self.flush()
            return
        super().tick(timeout)
        self._last_poll_s = time.monotonic()

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        # The library would stop the process at once.
        event.stop()
        self.fire(shut_down(), "*")

    @handler("exception", channel="*", priority=-1)
    def _on_exception(self, kind, error, trace, handler=None, fevent=None):
        # The library would only print the trace. A failed handler is a defect, but the
        # process continues to serve other requests. An error message may contain a
        # prompt, so only the error type is logged.
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
