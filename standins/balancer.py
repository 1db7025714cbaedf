"""The platform's load balancer: ``python -m standins.balancer``."""

from __future__ import annotations

from typing import Any

import fire
from circuits import Event, handler
from circuits.net.events import close

from standins.balancer_state import BalancerState
from standins.client import Fetch
from standins.faults import make_faults
from standins.forward import Forwarder
from standins.http import Alarm, HttpFront, Process, Routes
from standins.messages import Answer, Call


class check_targets(Event):  # noqa: N801
    """The next check of all targets is due."""


class set_targets(Event):  # noqa: N801
    """New targets from the control port: ``set_targets(targets)``."""


class targets_changed(Event):  # noqa: N801
    """The targets or their health changed: ``targets_changed(report)``."""


class BalancerForwarder(Forwarder):
    """Task that owns the targets, their checks and the forwarded connections."""

    def __init__(
        self, listen: str, state: BalancerState, interval_s: float, path: str
    ) -> None:
        super().__init__(listen, state)
        self._state = state
        self._interval_s = interval_s
        self._path = path
        self._checks: dict[str, Fetch] = {}
        self._alarm = Alarm().register(self)
        self.fire(check_targets())

    @handler("check_targets")
    def _on_check_targets(self) -> None:
        for check in self._checks.values():
            # No answer within one interval counts as a failed check.
            self.fire(close(), check.channel)
        self._checks = {}
        for address in self._state.addresses():
            try:
                check = Fetch(address, address, "GET", self._path, None, self.channel)
            except OSError:
                self._state.checked(address, False)
            else:
                self._checks[address] = check.register(self)
        self._publish()
        self._alarm.fire_after(self._interval_s, check_targets(), self.channel)

    @handler("fetched")
    def _on_fetched(self, address: str, status: int) -> None:
        self._checks.pop(address, None)
        self._state.checked(address, status == 200)
        self._publish()

    @handler("set_targets")
    def _on_set_targets(self, targets: list[tuple[str, int]]) -> None:
        self._state.replace(targets)
        self._publish()

    def _publish(self) -> None:
        self.fire(targets_changed(self._state.report()), BalancerControl.channel)


class BalancerControl(HttpFront):
    """Task that owns the control port."""

    def __init__(self, listen: str) -> None:
        super().__init__(listen, make_faults())
        self._report: list[dict[str, Any]] = []

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {("GET", "targets"): self._get, ("PUT", "targets"): self._put}

    @handler("targets_changed")
    def _on_targets_changed(self, report: list[dict[str, Any]]) -> None:
        self._report = report

    def _get(self, call: Call) -> Answer:
        return Answer(200, {"targets": self._report})

    def _put(self, call: Call) -> Answer:
        targets = [(t["address"], int(t["weight"])) for t in call.body["targets"]]
        BalancerState(targets)
        self.fire(set_targets(targets), BalancerForwarder.channel)
        return Answer(200, {"targets": len(targets)})


def parse_targets(text: str | tuple[str, ...]) -> list[tuple[str, int]]:
    """Parse ``ip:port=weight`` items, separated by commas.

    Examples
    --------
    >>> parse_targets("127.0.0.1:1=80,127.0.0.1:2=20")
    [('127.0.0.1:1', 80), ('127.0.0.1:2', 20)]
    """
    # Fire passes a text with commas as a tuple in some forms.
    items = text.split(",") if isinstance(text, str) else text
    pairs = [item.partition("=") for item in items if item]
    return [(address, int(weight or 1)) for address, _, weight in pairs]


def main(
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    targets: str = "",
    check_interval_ms: float = 1000,
    check_path: str = "/readyz",
) -> None:
    """Run the balancer until SIGTERM."""
    state = BalancerState(parse_targets(targets))
    forwarder = BalancerForwarder(listen, state, check_interval_ms / 1000, check_path)
    front = BalancerControl(control)
    process = Process(
        forwarder, address=lambda: forwarder.address, control=lambda: front.address
    )
    front.register(process)
    process.run()


if __name__ == "__main__":
    fire.Fire(main)
