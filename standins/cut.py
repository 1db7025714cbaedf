"""Forwarder that can go silent or cut connections: ``python -m standins.cut``."""

from __future__ import annotations

import itertools
import socket

import fire
from circuits import Event, handler

from standins.cut_state import CutFaults, CutState, Direction, PairAction, PairId, Scope
from standins.faults import make_faults
from standins.forward import Forwarder
from standins.http import HttpFront, Process, Routes
from standins.messages import Answer, Call

CUT_FAULTS = {
    "silence": Scope.OFF,
    "direction": Direction.BOTH,
    "cut": Scope.OFF,
}


class change_faults(Event):  # noqa: N801
    """New fault values from the control port: ``change_faults(faults)``."""


class pairs_changed(Event):  # noqa: N801
    """Numbers of open and of silent pairs: ``pairs_changed(open, silent)``."""


class OneTarget:
    """Target choice with one target."""

    def __init__(self, address: str) -> None:
        self._address = address

    def pick(self) -> str | None:
        """Return the target."""
        return self._address


class CutForwarder(Forwarder):
    """Task that owns the forwarded connections and silences or resets them."""

    def __init__(self, listen: str, target: str, state: CutState) -> None:
        super().__init__(listen, OneTarget(target))
        self._state = state
        self._pairs: dict[PairId, tuple[socket.socket, socket.socket]] = {}
        self._ids = itertools.count(1)

    def on_pair_opened(self, caller: socket.socket, target: socket.socket) -> None:
        """Apply the current faults to a new pair."""
        pair = PairId(next(self._ids))
        self._pairs[pair] = (caller, target)
        action = self._state.opened(pair)
        if action is not None:
            self._apply(pair, action)
        self._publish()

    def on_pair_closed(self, sock: socket.socket) -> None:
        """Forget the pair of a closed connection."""
        for pair, sockets in list(self._pairs.items()):
            if sock in sockets:
                del self._pairs[pair]
                self._state.closed(pair)
        self._publish()

    @handler("change_faults")
    def _on_change_faults(self, faults: CutFaults) -> None:
        for pair, action in self._state.change(faults):
            self._apply(pair, action)
        self._publish()

    def _apply(self, pair: PairId, action: PairAction) -> None:
        caller, target = self._pairs[pair]
        direction = self._state.faults.direction
        if action is PairAction.RESET:
            del self._pairs[pair]
            self.reset_pair(caller)
        elif action is PairAction.RELEASE:
            self.release(caller)
            self.release(target)
        else:
            if direction is not Direction.TO_CALLER:
                self.hold(caller)
            if direction is not Direction.TO_TARGET:
                self.hold(target)

    def _publish(self) -> None:
        counts = len(self._state.open), len(self._state.silent)
        self.fire(pairs_changed(*counts), CutControl.channel)


class CutControl(HttpFront):
    """Task that owns the control port."""

    def __init__(self, listen: str) -> None:
        super().__init__(listen, make_faults(CUT_FAULTS))
        self._open = 0
        self._silent = 0

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {("GET", "connections"): self._connections}

    def on_faults_changed(self) -> None:
        """Pass the new values to the forwarder."""
        values = self.faults.values()
        faults = CutFaults(
            Scope(values["silence"]),
            Direction(values["direction"]),
            Scope(values["cut"]),
        )
        self.fire(change_faults(faults), CutForwarder.channel)

    @handler("pairs_changed")
    def _on_pairs_changed(self, open_pairs: int, silent_pairs: int) -> None:
        self._open = open_pairs
        self._silent = silent_pairs

    def _connections(self, call: Call) -> Answer:
        return Answer(200, {"open": self._open, "silent": self._silent})


def main(
    target: str, listen: str = "127.0.0.1:0", control: str = "127.0.0.1:0"
) -> None:
    """Run the forwarder until SIGTERM."""
    forwarder = CutForwarder(listen, target, CutState())
    front = CutControl(control)
    process = Process(
        forwarder, address=lambda: forwarder.address, control=lambda: front.address
    )
    front.register(process)
    process.run()


if __name__ == "__main__":
    fire.Fire(main)
