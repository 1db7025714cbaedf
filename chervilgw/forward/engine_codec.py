"""Protocol of an engine's encoding, as the agent uses it."""

from __future__ import annotations

from typing import Protocol

from chervilgw.core.answers import ServerSignals
from chervilgw.core.deployment import ServerId
from chervilgw.core.refusals import Refusal
from chervilgw.placement.engine_orders import EngineState, Order, OrderReply
from chervilgw.runtime.events import Headers


class EngineCodec(Protocol):
    """Decodes reports of an engine and encodes orders to it."""

    report_path: str
    order_path: str

    def decode_report(self, body: bytes) -> EngineState:
        """Return a report; raises `ChervilError` if it is malformed."""
        ...

    def encode_order(self, order: Order, holder: str, fencing_token: int) -> bytes:
        """Return the body of an order."""
        ...

    def order_headers(self, server: ServerId) -> Headers:
        """Return the headers that bind an order to one incarnation of the server."""
        ...

    def decode_reply(self, status: int) -> OrderReply:
        """Return the engine's reply to an order."""
        ...

    def decode_signals(self, status: int, headers: Headers) -> ServerSignals:
        """Return what the engine says of itself beside an answer."""
        ...

    def encode_refusal(self, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, headers and body for a refused caller."""
        ...
