"""Filters: choose the backend server of an attempt and build the message to it."""

from __future__ import annotations

from returns.result import Result, Success

from chervilgw.core.ids import CustomerId, KeyId, ModelName, Offset, ServiceName, ZoneId
from chervilgw.core.messages import Dispatch
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import BackendKind
from chervilgw.entry.messages import Attempt, Chosen, Routed
from chervilgw.routing.choice import RouteRequest
from chervilgw.routing.choice import choose as choose_server


def choose(message: Attempt, now_s: float) -> Result[Chosen, Refusal]:
    """Return the attempt with its backend server, or a refusal.

    Parameters
    ----------
    message : Attempt
        Request, fleet view and this entry's outstanding attempts.
    now_s : float
        Present time.

    Returns
    -------
    Result of Chosen or Refusal
    """
    priced = message.priced
    is_model = priced.kind is BackendKind.ENGINE
    request = RouteRequest(
        CustomerId(priced.identity.customer if priced.identity else ""),
        ZoneId(message.zone),
        ModelName(priced.model) if is_model else None,
        None if is_model else ServiceName(priced.target_name),
        priced.adapter,
        priced.pool,
        priced.size_bytes,
        message.cached_prefixes,
        message.excluded,
    )
    return choose_server(
        request,
        message.fleet.servers,
        message.outstanding,
        now_s,
        message.random_value,
    ).map(lambda choice: Chosen(message, choice))


def dispatch(message: Chosen, now_s: float) -> Result[Routed, Refusal]:
    """Return the message to the sidecar, with its VM.

    Parameters
    ----------
    message : Chosen
        Attempt with its chosen backend server.
    now_s : float
        Present time.

    Returns
    -------
    Result of Routed or Refusal
    """
    attempt, priced = message.attempt, message.attempt.priced
    identity = priced.identity
    return Success(
        Routed(
            message.choice,
            Dispatch(
                attempt.request_id,
                CustomerId(identity.customer if identity else ""),
                KeyId(identity.key_id if identity else ""),
                Offset(priced.config_offset),
                priced.target_name,
                priced.kind,
                priced.method,
                priced.path,
                priced.headers,
                priced.body,
                priced.stream,
                priced.urgency,
                priced.charge_tokens,
                priced.digest,
                priced.idempotency_key,
                priced.idempotent,
                attempt.deadline_s,
                attempt.resume_position,
                attempt.resume_text,
                attempt.suspect_of,
            ),
        )
    )
