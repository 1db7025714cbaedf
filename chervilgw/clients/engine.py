"""Requests to a model engine's control interface, and its state reports."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from chervilgw.clients.errors import PlatformError
from chervilgw.codec.documents import load_document, to_integer
from chervilgw.core.ids import ModelName
from chervilgw.core.states import CopyState
from chervilgw.placement.orders import (
    EngineCopy,
    EngineReport,
    Fence,
    Order,
    OrderAnswer,
    OrderProgress,
)
from chervilgw.runtime.events import CallDone, HttpCall

CONTROL_TIMEOUT_S = 2.0
_JSON = (("Content-Type", "application/json"),)


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports; ``orders`` maps order ids to their progress."""

    capacity_bytes: int
    report: EngineReport
    adapters: frozenset[str]
    orders: Mapping[str, OrderProgress] = field(default_factory=dict)
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class EngineClientSpec:
    """Address of the engine and the channel of the task that gets its answers."""

    address: str
    reply_to: str


def make_state_call(spec: EngineClientSpec, call: str) -> HttpCall:
    """Return the call that reads the engine's state."""
    return HttpCall(
        call,
        spec.reply_to,
        spec.address,
        "GET",
        "/state",
        timeout_s=CONTROL_TIMEOUT_S,
        new_connection=True,
    )


def make_order_call(
    spec: EngineClientSpec, call: str, order: Order, base_model: str | None
) -> HttpCall:
    """Return the call that sends an order to the engine.

    Parameters
    ----------
    spec : EngineClientSpec
        Address of the engine and channel for the answer.
    call : str
        Call id.
    order : Order
        What to load or unload.
    base_model : str or None
        Base model of an adapter; None if the order is for a model.

    Returns
    -------
    HttpCall
    """
    body = {
        "order_id": order.order_id,
        "action": order.kind.value,
        "kind": "model" if base_model is None else "adapter",
        "name": order.name,
        "version": order.version,
        "base_model": base_model or "",
        "size_bytes": order.size_bytes,
        "fencing": order.fencing_token,
    }
    return _post(spec, call, "/orders", body)


def parse_order_status(status: int) -> OrderAnswer | None:
    """Return the outcome of an order from the HTTP status; None if it was accepted.

    An accepted order is not complete: a later state report shows its effect.

    Examples
    --------
    >>> parse_order_status(409), parse_order_status(202)
    (<OrderAnswer.REFUSED: 'refused'>, None)
    """
    if status == 202:
        return None
    return OrderAnswer.REFUSED if status == 409 else OrderAnswer.LOST


def make_fence_call(spec: EngineClientSpec, call: str, fence: Fence) -> HttpCall:
    """Return the call that raises the engine's fencing token."""
    return _post(spec, call, "/fence", {"fencing": fence.fencing_token})


def parse_state(answer: CallDone) -> Result[EngineState, PlatformError]:
    """Parse the engine's state.

    Parameters
    ----------
    answer : CallDone
        Answer of the engine.

    Returns
    -------
    Result of EngineState or PlatformError

    Examples
    --------
    >>> body = b'{"capacity_bytes": 10, "resident": [], "highest_fencing": null}'
    >>> parse_state(CallDone("1", 200, (), body)).unwrap().report.highest_fencing_token
    0
    """
    if answer.status != 200:
        text = f"the engine answered with status {answer.status}"
        return Failure(PlatformError(text, may_have_run=False))
    try:
        body = load_document(answer.body)
        resident, orders = body["resident"], body.get("orders", {})
        copies = tuple(
            EngineCopy(
                ModelName(item["name"]),
                str(item["version"]),
                to_integer(item["size_bytes"]),
                CopyState(item["state"]),
                str(item["order_id"]),
            )
            for item in resident
        )
        adapters = {item["name"] for item in resident if item["kind"] == "adapter"}
        report = EngineReport(copies, to_integer(body.get("highest_fencing") or 0))
        return Success(
            EngineState(
                to_integer(body["capacity_bytes"]),
                report,
                frozenset(adapters),
                {name: OrderProgress(p) for name, p in orders.items()},
                to_integer(body.get("crashes", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        text = f"malformed answer of the engine: {error}"
        return Failure(PlatformError(text, may_have_run=False))


def _post(spec: EngineClientSpec, call: str, path: str, body) -> HttpCall:
    return HttpCall(
        call,
        spec.reply_to,
        spec.address,
        "POST",
        path,
        _JSON,
        json.dumps(body).encode(),
        timeout_s=CONTROL_TIMEOUT_S,
        new_connection=True,
    )
