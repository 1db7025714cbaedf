"""Each process's view of the fleet."""

from chervilgw.membership.view import (
    DialTarget,
    EntryView,
    FleetView,
    ListedVm,
    make_fleet_view,
)

__all__ = ["DialTarget", "EntryView", "FleetView", "ListedVm", "make_fleet_view"]
