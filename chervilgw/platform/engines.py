"""Decoding of engines' reports and encoding of orders to engines."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from chervilgw.core.deployment import ServerId
from chervilgw.placement.engine_orders import (
    EngineState,
    Order,
    OrderKind,
    OrderReply,
)
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.requests import encode_refusal
from chervilgw.platform.servers import decode_models
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


def decode_report(body: bytes) -> EngineState:
    """Decode an engine's report of its state.

    Raises
    ------
    DecodeError
        If the body is not a valid report.
    """
    try:
        report = json.loads(body)
        local_weights: Mapping[str, Any] = report.get("at_hand") or {}
        return EngineState(
            started_ms=int(report.get("born") or 0),
            orders=int(report["sequence"]),
            busy=bool(report["busy"]),
            # "state" is omitted while the engine takes requests.
            draining=report.get("state") not in (None, "ready"),
            remaining_s=_to_seconds(report.get("time_left_ms")),
            adapters=decode_models(report["models"]),
            adapters_in_transit=tuple(
                _decode_adapter_in_transit(item) for item in report.get("coming") or ()
            ),
            local_models=frozenset(local_weights.get("in_memory") or ())
            | frozenset(local_weights.get("on_disk") or ()),
            waiting=int(report.get("waiting") or 0),
            running=int(report.get("running") or 0),
            used_tokens=int(report.get("kv_used") or 0),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DecodeError(f"report: {type(error).__name__}: {error}") from error


def _to_seconds(duration_ms: Any) -> float | None:
    return None if duration_ms is None else float(duration_ms) / 1000


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
