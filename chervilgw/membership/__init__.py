"""View of the fleet that each process builds from lists, reports and connections."""

from chervilgw.membership.view import (
    DialTarget,
    EntryView,
    FleetView,
    RegisteredVm,
    make_fleet_view,
)

__all__ = ["DialTarget", "EntryView", "FleetView", "RegisteredVm", "make_fleet_view"]
