"""The platform's list of VMs, shown as it was a while ago."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

VmId = NewType("VmId", str)


class ListState(Enum):
    """State of a VM on the list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the list."""

    vm: VmId
    role: str
    zone: str
    address: str
    state: ListState


class VmList:
    """The list and its past.

    Parameters
    ----------
    lag_s : float
        Age of the list that readers get.

    Examples
    --------
    >>> vms = VmList(lag_s=1.0)
    >>> vms.put(Vm("e1", "entry", "z1", "127.0.0.1:1", ListState.LIVE), now_s=0.0)
    >>> len(vms.listing(0.5)), len(vms.listing(1.0))
    (0, 1)
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, dict[VmId, Vm]]] = [(float("-inf"), {})]

    def put(self, vm: Vm, now_s: float) -> None:
        """Add or replace an entry."""
        self._versions.append((now_s, self._versions[-1][1] | {vm.vm: vm}))

    def delete(self, vm_id: VmId, now_s: float) -> bool:
        """Remove an entry; False if there is none."""
        newest = dict(self._versions[-1][1])
        if newest.pop(vm_id, None) is None:
            return False
        self._versions.append((now_s, newest))
        return True

    def listing(self, now_s: float) -> list[Vm]:
        """Return the list as it was the lag ago."""
        at_s = now_s - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= at_s:
            del self._versions[0]
        return sorted(self._versions[0][1].values(), key=lambda vm: vm.vm)
