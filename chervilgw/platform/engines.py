"""Decoding of engines' reports and encoding of orders to engines."""

from __future__ import annotations

import json
from typing import Annotated, Any

from pydantic import Field

from chervilgw.core.deployment import ServerId, ServerState
from chervilgw.placement.engine_orders import (
    EngineState,
    Order,
    OrderKind,
    OrderReply,
)
from chervilgw.platform.records import (
    MAX_ITEMS,
    MAX_SERVER_RECORD_BYTES,
    Amount,
    Count,
    Name,
    Record,
    TimeMs,
    parse_record,
)
from chervilgw.platform.requests import decode_signals, encode_refusal
from chervilgw.platform.servers import LoadedModel, adapters_by_model, to_seconds
from chervilgw.runtime.events import Headers

REPORT_PATH = "/report"
ORDER_PATH = "/order"

_OPERATIONS = {OrderKind.LOAD: "model_load", OrderKind.UNLOAD: "model_unload"}
_REPLY_BY_STATUS = {
    200: OrderReply.ALREADY_DONE,
    202: OrderReply.ACCEPTED,
    409: OrderReply.CONFLICT,
    412: OrderReply.FENCED,
    421: OrderReply.OTHER_SERVER,
}


Names = Annotated[tuple[Name, ...], Field(max_length=MAX_ITEMS)]


class _LocalWeights(Record):
    in_memory: Names | None = None
    on_disk: Names | None = None


class _Report(Record):
    # Unix time at which the engine started.
    born: Count | None = None
    # Number of orders that the engine accepted.
    sequence: Count
    busy: bool
    # Omitted while the engine takes requests.
    state: str | None = None
    time_left_ms: TimeMs | None = None
    models: Annotated[tuple[LoadedModel, ...], Field(max_length=MAX_ITEMS)]
    # Adapters in transit, each as MODEL/NAME@VERSION.
    coming: Names | None = None
    # Models whose weights are in the VM's memory or on its disk.
    at_hand: _LocalWeights | None = None
    waiting: Amount | None = None
    running: Amount | None = None
    kv_used: Amount | None = None
    cold_left_ms: TimeMs | None = None


def decode_report(body: bytes) -> EngineState:
    """Decode an engine's report of its state.

    Raises
    ------
    DecodeError
        If the body is not a valid report.
    """
    report = parse_record(_Report, body, MAX_SERVER_RECORD_BYTES, "report")
    weights = report.at_hand or _LocalWeights()
    return EngineState(
        started_ms=report.born or 0,
        orders=report.sequence,
        busy=report.busy,
        draining=report.state not in (None, ServerState.READY.value),
        remaining_s=to_seconds(report.time_left_ms),
        adapters=adapters_by_model(report.models),
        adapters_in_transit=tuple(map(_decode_adapter_in_transit, report.coming or ())),
        local_models=frozenset(weights.in_memory or ())
        | frozenset(weights.on_disk or ()),
        waiting=int(report.waiting or 0),
        running=int(report.running or 0),
        used_tokens=int(report.kv_used or 0),
        cold_s=to_seconds(report.cold_left_ms),
    )


def _decode_adapter_in_transit(text: str) -> tuple[str, str]:
    """Return the model and the adapter's name in ``MODEL/NAME@VERSION``."""
    model, _, rest = text.partition("/")
    return model, rest.partition("@")[0]


def encode_order(order: Order, holder: str, fencing_token: int) -> bytes:
    """Return the body of an order."""
    fields: dict[str, Any] = {
        "op": _OPERATIONS[order.kind],
        "model": order.model,
        "expected": order.expected_orders,
        "holder": holder,
        "fence": fencing_token,
    }
    if order.adapter is not None:
        fields["adapter"] = order.adapter
    return json.dumps(fields).encode()


def order_headers(server: ServerId) -> Headers:
    """Return the headers of an order; a server with another id refuses it."""
    return (("Content-Type", "application/json"), ("X-Expect-Instance", server))


def decode_reply(status: int) -> OrderReply:
    """Decode an engine's reply to an order from its HTTP status."""
    return _REPLY_BY_STATUS.get(status, OrderReply.REFUSED)


class PlatformEngineCodec:
    """Message format of the platform's engines, used by the agents."""

    report_path = REPORT_PATH
    order_path = ORDER_PATH
    decode_report = staticmethod(decode_report)
    encode_order = staticmethod(encode_order)
    order_headers = staticmethod(order_headers)
    decode_reply = staticmethod(decode_reply)
    encode_refusal = staticmethod(encode_refusal)
    decode_signals = staticmethod(decode_signals)
