"""Selection of the backend server for one attempt of an opaque request."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from chervilgw.core.deployment import RegisteredServer, ServerId
from chervilgw.core.ids import ModelName, ZoneId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.routing.completion import (
    ExpectedWork,
    ServerLoad,
    expect,
    select_server,
)
from chervilgw.routing.service_times import (
    PlainServer,
    plain_cost_s,
    queue_wait_s,
)
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S

# Added wait per running request: its tokens are decoded between chunks of a prefill.
RUNNING_REQUEST_COST_S = 0.004
# Traffic between zones is charged, so a server in the same zone is chosen unless it is
# this much slower.
OTHER_ZONE_COST_S = 0.010
# Longest load time of an adapter on the deployments' sheets.
ADAPTER_COST_S = 0.020
# An engine that loads a model loads no adapter until that load ends, which takes 0.8 s
# from local weights.
ADAPTER_WAIT_COST_S = 1.0
# Cost of a server whose recent requests all failed.
FAILURE_COST_S = 2.0
# The VM of an engine may be unreachable if its agent has missed a report.
SILENT_AGENT_COST_S = 1.0
# A running request of a plain service costs about one service time over its slots.
PLAIN_SLOT_COST_S = 0.05
# A server whose registration lapsed, or that restarts, usually returns within a second.
NO_SERVER_RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.1
# A stream takes one to three seconds, and any that ends frees memory.
MEMORY_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take the request, with its load and state.

    ``unread_tokens`` are prompt tokens sent to the server and not prefilled yet.
    ``failure_fraction`` is the fraction of recent requests that failed.
    ``cached_tokens`` is the part of the prompt that the server probably has cached.
    ``is_busy`` means that it carries out an order and loads no adapter meanwhile,
    ``is_silent`` that its agent has missed a report. ``prefill_tokens_per_s`` is the
    speed at which it reads prompts. ``unwritten_tokens`` are output tokens expected of
    its requests, ``held_tokens`` the memory that these will occupy.
    ``model_tokens_per_s`` is its prefill speed for the request's model, 0 if unknown,
    and ``token_s`` the time per output token of that model. ``is_cold`` means that it
    has just started and is slow yet.
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
    prefill_tokens_per_s: float = DEFAULT_TOKENS_PER_S
    unwritten_tokens: int = 0
    held_tokens: int = 0
    model_tokens_per_s: float = 0.0
    token_s: float = 0.0
    is_cold: bool = False


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Properties of a request that select its server.

    ``first_token_limit_s`` is the longest wait for a first token that is of use to the
    caller. ``may_crash`` means that the request may crash its server: the one with the
    fewest requests is chosen. ``expected`` is what it is expected to cost at an engine,
    or None where the former cost applies. ``plain`` is what is known of the servers of
    a plain service. ``has_begun`` means that the caller has a part of the answer: the
    estimates do not refuse the request, as that would cut its stream.
    """

    zone: ZoneId
    model: ModelName | None
    prompt_tokens: int
    first_token_limit_s: float
    may_crash: bool = False
    expected: ExpectedWork | None = None
    plain: Mapping[ServerId, PlainServer] = field(default_factory=dict)
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """The selected server, and the prompt tokens that it has to prefill.

    ``cost_s`` is the estimate by which it was chosen, None without one.
    """

    server: ServerId
    unread_tokens: int
    cost_s: float | None = None


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
        A refusal states that the request was not run, and when to retry.
    """
    if not candidates:
        text = "no backend server of the service is ready"
        return _refuse(RefusalReason.NO_BACKEND_SERVER, text, NO_SERVER_RETRY_AFTER_S)
    if request.model is None:
        return _choose_plain(request, candidates)
    holders = [candidate for candidate in candidates if candidate.has_model]
    if not holders:
        text = f"no ready engine holds {request.model}"
        return _refuse(RefusalReason.MODEL_NOT_LOADED, text, None)
    if request.expected is not None:
        chosen = _choose_by_completion(request, request.expected, holders)
        if is_successful(chosen) or not request.has_begun:
            return chosen
    return _choose_by_queue(request, holders)


def _choose_by_queue(
    request: DispatchRequest, holders: Sequence[Candidate]
) -> Result[ServerChoice, Refusal]:
    best = min(holders, key=lambda candidate: _engine_rank(request, candidate))
    wait_s = (
        best.unread_tokens / best.prefill_tokens_per_s
        + RUNNING_REQUEST_COST_S * best.running
    )
    if wait_s > request.first_token_limit_s:
        return _refuse_queued(request, wait_s)
    unread = max(0, request.prompt_tokens - best.cached_tokens)
    choice = ServerChoice(best.server.server, unread)
    return Success(choice)


def _choose_by_completion(
    request: DispatchRequest, work: ExpectedWork, holders: Sequence[Candidate]
) -> Result[ServerChoice, Refusal]:
    if work.held_tokens > work.cache_tokens:
        text = f"{work.held_tokens} tokens exceed the memory of any engine"
        return _refuse(RefusalReason.REQUEST_TOO_LARGE, text, None)
    loads = [_server_load(request, work, candidate) for candidate in holders]
    expected = [expect(work, load) for load in loads]
    limit_s = request.first_token_limit_s
    index = select_server(work, loads, expected, request.may_crash, limit_s)
    if index is None:
        text = f"no engine that holds {request.model} has memory for the request"
        return _refuse(RefusalReason.QUEUE_FULL, text, MEMORY_RETRY_AFTER_S)
    if expected[index].wait_s > limit_s:
        return _refuse_queued(request, expected[index].wait_s)
    best = holders[index]
    unread = max(0, request.prompt_tokens - best.cached_tokens)
    choice = ServerChoice(best.server.server, unread, expected[index].cost_s)
    return Success(choice)


def _server_load(
    request: DispatchRequest, work: ExpectedWork, candidate: Candidate
) -> ServerLoad:
    return ServerLoad(
        candidate.running,
        candidate.server.slots or work.slots,
        candidate.unread_tokens,
        candidate.unwritten_tokens,
        candidate.held_tokens,
        candidate.cached_tokens,
        candidate.model_tokens_per_s or candidate.prefill_tokens_per_s,
        candidate.token_s,
        _overhead_s(request, candidate),
        candidate.failure_fraction,
        candidate.is_silent,
        candidate.is_cold,
    )


def _refuse_queued(request: DispatchRequest, wait_s: float):
    text = f"the shortest queue takes {wait_s:.2f} s"
    retry_s = max(MIN_RETRY_AFTER_S, wait_s - request.first_token_limit_s / 2)
    return _refuse(RefusalReason.QUEUE_FULL, text, retry_s)


def refuse_without_turn(
    request: DispatchRequest, holders: Sequence[Candidate]
) -> Refusal:
    """Return the refusal of a request that was granted no turn at any holder.

    The retry time is at least ``first_token_limit_s``: by then the requests waiting at
    the holders have been served or refused.

    Parameters
    ----------
    request : DispatchRequest
    holders : sequence of Candidate
        Engines that hold the model and refused the request.
    """
    wait_s = min(
        candidate.unread_tokens / candidate.prefill_tokens_per_s
        for candidate in holders
    )
    text = f"no engine that holds {request.model} can grant a turn in time"
    retry_s = max(wait_s, request.first_token_limit_s)
    return make_refusal(RefusalReason.QUEUE_FULL, text, retry_s)


def _choose_plain(
    request: DispatchRequest, candidates: Sequence[Candidate]
) -> Result[ServerChoice, Refusal]:
    accepting = [item for item in candidates if _accepts_more(request, item)]
    if not accepting:
        text = "each server of the service has as many requests as it takes"
        return _refuse(RefusalReason.QUEUE_FULL, text, MIN_RETRY_AFTER_S)
    best = min(accepting, key=lambda candidate: _plain_rank(request, candidate))
    wait_s = _plain_wait_s(request, best)
    if wait_s > request.first_token_limit_s:
        text = f"the shortest queue takes {wait_s:.2f} s"
        return _refuse(
            RefusalReason.QUEUE_FULL, text, max(MIN_RETRY_AFTER_S, wait_s / 2)
        )
    return Success(ServerChoice(best.server.server, 0))


def _accepts_more(request: DispatchRequest, candidate: Candidate) -> bool:
    plain = request.plain.get(candidate.server.server)
    return plain is None or candidate.running < plain.limit


def _plain_wait_s(request: DispatchRequest, candidate: Candidate) -> float:
    """Return the least time that a request probably waits at a plain service."""
    slots = max(1, candidate.server.slots)
    plain = request.plain.get(candidate.server.server)
    if plain is None:
        return PLAIN_SLOT_COST_S * candidate.running / slots
    return queue_wait_s(plain, candidate.running, slots) - plain.spread_s


def _plain_rank(request: DispatchRequest, candidate: Candidate) -> tuple[int, float]:
    running = candidate.running if request.may_crash else 0
    return running, _plain_cost_s(request, candidate)


def _engine_rank(request: DispatchRequest, candidate: Candidate) -> tuple[int, float]:
    running = candidate.running if request.may_crash else 0
    return running, _engine_cost_s(request, candidate)


def _plain_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    slots = max(1, candidate.server.slots)
    plain = request.plain.get(candidate.server.server)
    if plain is None:
        cost_s = PLAIN_SLOT_COST_S * candidate.running / slots
    else:
        cost_s = plain_cost_s(plain, candidate.running, slots)
    cost_s += FAILURE_COST_S * candidate.failure_fraction
    return cost_s + _zone_cost_s(request, candidate)


def _engine_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    unread = candidate.unread_tokens + request.prompt_tokens - candidate.cached_tokens
    cost_s = unread / candidate.prefill_tokens_per_s
    cost_s += RUNNING_REQUEST_COST_S * candidate.running
    return cost_s + _overhead_s(request, candidate)


def _overhead_s(request: DispatchRequest, candidate: Candidate) -> float:
    """Return the expected wait for other causes than the work of the server."""
    cost_s = 0.0
    if not candidate.has_adapter:
        cost_s += ADAPTER_WAIT_COST_S if candidate.is_busy else ADAPTER_COST_S
    if candidate.is_silent:
        cost_s += SILENT_AGENT_COST_S
    cost_s += FAILURE_COST_S * candidate.failure_fraction
    return cost_s + _zone_cost_s(request, candidate)


def _zone_cost_s(request: DispatchRequest, candidate: Candidate) -> float:
    return 0.0 if candidate.server.zone == request.zone else OTHER_ZONE_COST_S


def _refuse(reason: RefusalReason, text: str, retry_s: float | None):
    return Failure(make_refusal(reason, text, retry_s))
