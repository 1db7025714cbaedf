"""Messages by which a request goes to the server that was chosen for it."""

from __future__ import annotations

from chervilgw.core.ids import CustomerId
from chervilgw.core.messages import TurnRequest
from chervilgw.forward.caller_waits import urgency_of
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.exchange import Exchange
from chervilgw.forward.messages import ServerRequest
from chervilgw.membership.fleet_view import FleetView
from chervilgw.runtime.events import HttpCall

# A connection takes 1 to 6 ms. A lost packet costs a second, so that another server is
# quicker.
CONNECT_TIMEOUT_S = 0.4
# The gateway ends an attempt at its deadline; the HTTP client's timeout is a backstop.
HTTP_TIMEOUT_MARGIN_S = 1.0


def make_turn_request(
    exchange: Exchange, fleet: FleetView, now_s: float
) -> TurnRequest:
    """Return the request for a turn at the chosen engine.

    Parameters
    ----------
    exchange : Exchange
    fleet : FleetView
        Registrations of the servers.
    now_s : float
        Monotonic time.
    """
    admitted = exchange.admitted
    customer = admitted.customer
    max_wait_s = exchange.started_s + exchange.first_token_wait_s - now_s
    target_remaining_s = exchange.started_s + admitted.route.target_s - now_s
    goes_on = exchange.binding.version is not None
    return TurnRequest(
        exchange.turn,
        "",
        exchange.server,
        admitted.opaque.model,
        admitted.opaque.adapter or "",
        customer.customer if customer else CustomerId(""),
        exchange.unread_tokens,
        urgency_of(admitted.rank),
        max_wait_s,
        target_remaining_s,
        exchange.expected_output_tokens if exchange.is_stream else 0,
        exchange.stream_remaining_s(now_s),
        float(exchange.max_pause_s),
        float(exchange.other_tokens_per_s),
        fleet.directory.find(exchange.server).started_ms if goes_on else 0,
    )


def make_server_call(
    exchange: Exchange, fleet: FleetView, codec: FrontCodec, reply_to: str, now_s: float
) -> HttpCall:
    """Return the HTTP call to the chosen server.

    Parameters
    ----------
    exchange : Exchange
    fleet : FleetView
        Registrations of the servers.
    codec : FrontCodec
        Encoding of the front end.
    reply_to : str
        Channel of the task that gets the answer.
    now_s : float
        Monotonic time.
    """
    admitted = exchange.admitted
    opaque, customer = admitted.opaque, admitted.customer
    last_event = opaque.last_event
    if exchange.cutter is not None and exchange.cutter.last_event_id is not None:
        last_event = exchange.cutter.last_event_id
    remaining_s = exchange.deadline_s - now_s
    request = ServerRequest(
        opaque,
        exchange.server,
        remaining_s,
        customer.customer if customer else None,
        admitted.rank,
        last_event,
    )
    limit_s = max(0.0, remaining_s) + HTTP_TIMEOUT_MARGIN_S
    return HttpCall(
        exchange.call,
        reply_to,
        fleet.directory.find(exchange.server).address,
        opaque.method,
        opaque.target,
        codec.encode_request(request),
        opaque.body,
        timeout_s=limit_s,
        idle_timeout_s=limit_s,
        stream=True,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        forwarded=True,
        echo_header=codec.echo(opaque.attempt),
    )
