"""Selection of the backend server for one attempt of an opaque request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.core.deployment import RegisteredServer, ServerId
from chervilgw.core.ids import ModelName, ZoneId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

PREFILL_TOKENS_PER_S = 20_000.0
"""Prompt tokens that an engine reads in a second; the deployments' sheets say 19,000
to 22,000."""
RUNNING_COST_S = 0.004
"""What each running request adds to the wait of a new one, as its tokens are produced
between the pieces of the prompt."""
OTHER_ZONE_COST_S = 0.010
"""Bytes between zones are priced; a server in the same zone is chosen unless it is this
much slower."""
ADAPTER_COST_S = 0.020
"""Time of loading an adapter, the longest on the deployments' sheets."""
BUSY_ADAPTER_COST_S = 1.0
"""An engine that loads a model loads no adapter until it has ended, after 0.8 s if the
weights are at hand."""
FAILURE_COST_S = 2.0
"""A server that fails each request counts as this much slower."""
SILENT_COST_S = 1.0
"""An engine whose agent has missed a report may be dark with its VM."""
PLAIN_SLOT_COST_S = 0.05
"""A running request of a plain service costs about one service time over its slots."""
NO_SERVER_RETRY_S = 0.5
"""A server that lapsed or restarts is usually found again within a second."""
MIN_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take the request, with what is known of its work.

    ``cached_tokens`` is how much of the prompt the server probably keeps. ``is_busy``
    says that it carries out an order, and loads no adapter meanwhile; ``is_silent``
    says that its agent has missed a report.
    """

    server: RegisteredServer
    running: int
    unread_tokens: int
    failure_fraction: float
    has_model: bool = True
    has_adapter: bool = True
    cached_tokens: int = 0
    is_busy: bool = False
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """What the selection needs to know of a request.

    ``first_token_limit_s`` is the longest wait for a first token that still serves the
    caller.
    """

    zone: ZoneId
    model: ModelName | None
    prompt_tokens: int
    first_token_limit_s: float


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """The selected server, and what it has to read of the prompt."""

    server: ServerId
    unread_tokens: int


def choose_server(
    request: DispatchRequest, candidates: Sequence[Candidate]
) -> Result[ServerChoice, Refusal]:
    """Return the server with the shortest expected wait, or a refusal.

    Parameters
    ----------
    request : DispatchRequest
    candidates : sequence of Candidate
        Servers of the service that are ready and not excluded.

    Returns
    -------
    Result[ServerChoice, Refusal]
        A refusal says that the request was not run and when room is expected.
    """
    if not candidates:
        text = "no backend server of the service is ready"
        return _refuse(RefusalReason.NO_BACKEND_SERVER, text, NO_SERVER_RETRY_S)
    if request.model is None:
        return _choose_plain(request, candidates)
    holders = [each for each in candidates if each.has_model]
    if not holders:
        text = f"no ready engine holds {request.model}"
        return _refuse(RefusalReason.MODEL_NOT_LOADED, text, None)
    best = min(holders, key=lambda each: _engine_cost_s(request, each))
    wait_s = best.unread_tokens / PREFILL_TOKENS_PER_S + RUNNING_COST_S * best.running
    if wait_s > request.first_token_limit_s:
        text = f"the shortest queue takes {wait_s:.2f} s"
        retry_s = max(MIN_RETRY_S, wait_s - request.first_token_limit_s / 2)
        return _refuse(RefusalReason.QUEUE_FULL, text, retry_s)
    unread = max(0, request.prompt_tokens - best.cached_tokens)
    choice = ServerChoice(best.server.server, unread)
    return Success(choice)


def refuse_without_turn(
    request: DispatchRequest, holders: Sequence[Candidate]
) -> Refusal:
    """Return the refusal of a request that got no turn at any holder of its model.

    The requests that wait there now have been served or refused once each has waited as
    long as its caller does.

    Parameters
    ----------
    request : DispatchRequest
    holders : sequence of Candidate
        Engines that hold the model and refused the request.
    """
    wait_s = min(each.unread_tokens for each in holders) / PREFILL_TOKENS_PER_S
    text = f"no engine that holds {request.model} has a turn in time"
    retry_s = max(wait_s, request.first_token_limit_s)
    return make_refusal(RefusalReason.QUEUE_FULL, text, retry_s)


def _choose_plain(
    request: DispatchRequest, candidates: Sequence[Candidate]
) -> Result[ServerChoice, Refusal]:
    best = min(candidates, key=lambda each: _plain_cost_s(request, each))
    wait_s = PLAIN_SLOT_COST_S * best.running / max(1, best.server.slots)
    if wait_s > request.first_token_limit_s:
        text = f"the shortest queue takes {wait_s:.2f} s"
        return _refuse(RefusalReason.QUEUE_FULL, text, max(MIN_RETRY_S, wait_s / 2))
    return Success(ServerChoice(best.server.server, 0))


def _plain_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    busy = candidate.running / max(1, candidate.server.slots)
    cost_s = PLAIN_SLOT_COST_S * busy + FAILURE_COST_S * candidate.failure_fraction
    return cost_s + _zone_cost_s(request, candidate)


def _engine_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    unread = candidate.unread_tokens + request.prompt_tokens - candidate.cached_tokens
    cost_s = unread / PREFILL_TOKENS_PER_S + RUNNING_COST_S * candidate.running
    if not candidate.has_adapter:
        cost_s += BUSY_ADAPTER_COST_S if candidate.is_busy else ADAPTER_COST_S
    if candidate.is_silent:
        cost_s += SILENT_COST_S
    cost_s += FAILURE_COST_S * candidate.failure_fraction
    return cost_s + _zone_cost_s(request, candidate)


def _zone_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    return 0.0 if candidate.server.zone == request.zone else OTHER_ZONE_COST_S


def _refuse(reason: RefusalReason, text: str, retry_s: float | None):
    return Failure(make_refusal(reason, text, retry_s))
