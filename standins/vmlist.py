"""HTTP front of the VM list: ``python -m standins.vmlist``."""

from __future__ import annotations

import dataclasses
import time

import fire

from standins.faults import make_faults
from standins.http import HttpFront, Routes, serve
from standins.messages import Answer, Call
from standins.vmlist_state import ListState, Vm, VmId, VmList


class VmListFront(HttpFront):
    """Task that owns the list."""

    def __init__(self, listen: str, state: VmList) -> None:
        super().__init__(listen, make_faults())
        self._state = state

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {
            ("GET", "vms"): self._listing,
            ("PUT", "vms/*"): self._put,
            ("DELETE", "vms/*"): self._delete,
        }

    def _listing(self, call: Call) -> Answer:
        vms = self._state.listing(time.monotonic())
        entries = [dataclasses.asdict(vm) | {"state": vm.state.value} for vm in vms]
        return Answer(200, {"vms": entries})

    def _put(self, call: Call, vm_id: str) -> Answer:
        body = call.body
        state = ListState(body.get("state", "live"))
        vm = Vm(VmId(vm_id), body["role"], body["zone"], body["address"], state)
        self._state.put(vm, time.monotonic())
        return Answer(200, {"vm": vm_id})

    def _delete(self, call: Call, vm_id: str) -> Answer:
        if self._state.delete(VmId(vm_id), time.monotonic()):
            return Answer(200, {"vm": vm_id})
        return Answer(404, {"error": "no such VM"})


def main(listen: str = "127.0.0.1:0", lag_ms: float = 500) -> None:
    """Run the VM list until SIGTERM."""
    serve(VmListFront(listen, VmList(lag_ms / 1000)))


if __name__ == "__main__":
    fire.Fire(main)
