"""Encoding of the engine's orders and of its state report."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from standins.engine_batch import LoadReport
from standins.engine_memory import Action, CopyKind, EngineMemory, Order, OrderId


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """How long orders take.

    Below ``adapter_knee`` adapter loads in flight each takes ``adapter_s``, beyond it
    proportionally longer.
    """

    load_s: float
    unload_s: float
    adapter_s: float
    adapter_knee: int

    def adapter(self, in_flight: int) -> float:
        """Return the load time of an adapter.

        Examples
        --------
        >>> EngineTimes(1.0, 0.0, 0.005, 10).adapter(20)
        0.01
        """
        return self.adapter_s * max(1.0, in_flight / self.adapter_knee)


def parse_order(body: Mapping[str, Any]) -> Order:
    """Return the order in a request's body.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or not valid.

    Examples
    --------
    >>> body = {"order_id": "o1", "action": "load", "kind": "model", "name": "m"}
    >>> parse_order(body).action
    <Action.LOAD: 'load'>
    """
    return Order(
        OrderId(body["order_id"]),
        Action(body["action"]),
        CopyKind(body["kind"]),
        body["name"],
        str(body.get("version", "")),
        body.get("base_model") or "",
        int(body.get("size_bytes", 0)),
        int(body.get("fencing", 0)),
    )


def state_body(memory: EngineMemory, load: LoadReport, crashes: int) -> dict[str, Any]:
    """Return the body of ``GET /state``."""
    resident = [
        {
            "kind": copy.order.kind.value,
            "name": copy.order.name,
            "version": copy.order.version,
            "size_bytes": copy.order.size_bytes,
            "state": copy.state.value,
            "order_id": copy.changed_by,
        }
        for copy in memory.copies
    ]
    return {
        "capacity_bytes": memory.capacity_bytes,
        "used_bytes": memory.used_bytes,
        "overcommits": memory.overcommits,
        "highest_fencing": memory.highest_fencing if memory.fenced else None,
        "resident": resident,
        "orders": {name: state.value for name, state in memory.orders.items()},
        "load": dataclasses.asdict(load),
        "crashes": crashes,
    }
