"""HTTP front of the weight store: ``python -m standins.store``."""

from __future__ import annotations

import time

import fire
from circuits import Event, handler

from standins.faults import make_faults
from standins.http import HttpFront, Routes, serve
from standins.messages import Answer, Call, CallId
from standins.store_state import StoreLimits, StoreState


class finish_load(Event):  # noqa: N801
    """A load's time is over: ``finish_load(call_id, name)``."""


class StoreFront(HttpFront):
    """Task that owns the store's counts."""

    def __init__(self, listen: str, state: StoreState) -> None:
        super().__init__(listen, make_faults())
        self._state = state

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {("POST", "loads"): self._load, ("GET", "state"): self._report}

    def _load(self, call: Call) -> Answer | None:
        name = call.body["name"]
        duration_s = self._state.limits.duration_s(int(call.body["size_bytes"]))
        if not self._state.start(time.monotonic()):
            return Answer(429, {"error": "too many loads"})
        # A load whose caller leaves still occupies the store until its time is over.
        event = finish_load(call.call_id, name)
        self.alarm.fire_after(duration_s, event, self.channel)
        return None

    @handler("finish_load")
    def _on_finish_load(self, call_id: CallId, name: str) -> None:
        self._state.finish()
        self.answer(call_id, Answer(200, {"name": name}))

    def _report(self, call: Call) -> Answer:
        state = self._state
        body = {
            "started": state.started,
            "refused": state.refused,
            "running": state.running,
            "peak_at_once": state.peak_at_once,
        }
        return Answer(200, body)


def main(
    listen: str = "127.0.0.1:0",
    loads_per_s: float = 3,
    burst: float = 0,
    at_once: int = 10,
    load_ms: float = 500,
    bytes_per_s: float = 0,
) -> None:
    """Run the weight store until SIGTERM; burst 0 means one second's loads."""
    limits = StoreLimits(
        loads_per_s, burst or max(1, loads_per_s), at_once, load_ms / 1000, bytes_per_s
    )
    serve(StoreFront(listen, StoreState(limits, time.monotonic())))


if __name__ == "__main__":
    fire.Fire(main)
