"""Placement of model copies: memory ledger of an engine and copy decisions."""

from chervilgw.placement.copies import (
    CopyLimits,
    LoadCopy,
    ModelSpec,
    UnloadCopy,
    decide_copy_changes,
)
from chervilgw.placement.demand import (
    DemandThresholds,
    DemandTracker,
    make_demand_tracker,
)
from chervilgw.placement.memory import MemoryLedger, make_memory_ledger

__all__ = [
    "CopyLimits",
    "DemandThresholds",
    "DemandTracker",
    "LoadCopy",
    "MemoryLedger",
    "ModelSpec",
    "UnloadCopy",
    "decide_copy_changes",
    "make_demand_tracker",
    "make_memory_ledger",
]
