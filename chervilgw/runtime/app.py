"""Assembly of tasks into one process."""

from __future__ import annotations

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chervilgw.runtime.events import shut_down


class App(BaseComponent):
    """Root of a process's tasks; see :func:`make_app`."""

    channel = "app"

    def __init__(self):
        super().__init__()
        EPoll().register(self)

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        # Without this handler the library stops the process at once.
        event.stop()
        self.fire(shut_down(), "*")


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
