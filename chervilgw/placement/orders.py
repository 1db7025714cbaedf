"""Orders to an engine, and the engine's report."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from chervilgw.core.ids import ModelName
from chervilgw.core.states import CopyState


class OrderKind(Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderAnswer(Enum):
    """Outcome of one attempt to deliver an order."""

    OK = "ok"
    REFUSED = "refused"
    LOST = "lost"


class OrderProgress(Enum):
    """Progress of an order according to the engine's report."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Order:
    """Load or unload one copy; an engine runs each ``order_id`` at most once."""

    order_id: str
    kind: OrderKind
    name: ModelName
    version: str
    size_bytes: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Make the engine reject orders with a lower fencing token."""

    fencing_token: int


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's list of resident copies."""


@dataclass(frozen=True, slots=True)
class EngineCopy:
    """One copy in the engine's report; ``order_id`` is the order that loaded it."""

    name: ModelName
    version: str
    size_bytes: int
    state: CopyState
    order_id: str


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The engine's resident copies and its highest fencing token."""

    copies: tuple[EngineCopy, ...]
    highest_fencing_token: int = 0
