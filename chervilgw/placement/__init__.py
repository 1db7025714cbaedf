"""Placement of model copies: the memory ledger of one engine and copy decisions."""

from chervilgw.placement.memory import MemoryLedger, make_memory_ledger

__all__ = ["MemoryLedger", "make_memory_ledger"]
