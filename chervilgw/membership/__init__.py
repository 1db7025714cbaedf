"""Each process's view of the fleet."""

from chervilgw.membership.view import (
    DialTarget,
    EntryView,
    FleetView,
    RegisteredVm,
    make_fleet_view,
)

__all__ = ["DialTarget", "EntryView", "FleetView", "RegisteredVm", "make_fleet_view"]
