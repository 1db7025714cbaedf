"""View of the fleet that the decision modules use."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, CopyState, VmState


@dataclass(frozen=True, slots=True)
class ServerView:
    """One backend server in a process's view of the fleet.

    Parameters
    ----------
    incarnation : Incarnation
        The sidecar process.
    zone : ZoneId
        Availability zone.
    address : str
        ``ip:port`` of the sidecar's peer port.
    state : VmState
        Merged from the platform's list, heartbeats and drain notices.
    load : Load
        Newest load report.
    load_age_s : float
        Age of that report in seconds.
    connected : bool
        Whether this process has a working connection to the sidecar.

    Examples
    --------
    >>> load = Load(BackendKind.ENGINE, 100, 50, 0, 0, {"m": "loaded"})
    >>> server = ServerView(
    ...     Incarnation(VmId("b1"), 1), ZoneId("z1"), "", VmState.LIVE, load, 0.0, True
    ... )
    >>> server.holds("m")
    True
    """

    incarnation: Incarnation
    zone: ZoneId
    address: str
    state: VmState
    load: Load
    load_age_s: float
    connected: bool

    @property
    def vm(self) -> VmId:
        """Return the VM on which the sidecar runs."""
        return self.incarnation.vm

    def holds(self, name: str) -> bool:
        """Return whether a model or adapter is loaded, not only being loaded."""
        return self.load.resident.get(name) == CopyState.LOADED.value

    def is_engine(self, pool: str) -> bool:
        """Return whether this is a model engine of the given pool."""
        return self.load.kind is BackendKind.ENGINE and self.load.pool == pool
