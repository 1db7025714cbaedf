"""Selection of the backend server for one request."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import CustomerId, ModelName, ServiceName, VmId, ZoneId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, CopyState, RefusalReason, VmState
from chervilgw.routing.order import preferred_order

# In units of one queued request. A loaded adapter saves a cold start of up to 20 ms, a
# cached prefix the prefill of about 100 tokens, and the same zone 1 ms.
ADAPTER_BONUS = 1.0
PREFIX_BONUS = 1.0
ZONE_BONUS = 0.25
# Extra cost of a server that is still loading the model, in queued requests: a queue of
# this length takes about as long as the remaining load.
LOADING_COST = 8.0
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that select its server.

    Either ``model`` (with ``pool`` and optionally ``adapter``) or ``service`` is set.
    ``size_bytes`` is the model's weight size. ``cached_prefixes`` maps a VM to the
    number of the prompt's prefixes that it probably has cached, from the prefix index.
    """

    customer: CustomerId
    zone: ZoneId
    model: ModelName | None = None
    service: ServiceName | None = None
    adapter: str | None = None
    pool: str = "default"
    size_bytes: int = 0
    cached_prefixes: Mapping[VmId, int] | None = None
    excluded: frozenset[VmId] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """The selected server; ``needs_load`` if the model is not loaded there yet."""

    vm: VmId
    needs_load: bool = False


def choose(
    request: RouteRequest,
    servers: Iterable[ServerView],
    local_outstanding: Mapping[VmId, int],
    now_s: float,
    random_value: float,
) -> Result[Choice, Refusal]:
    """Return the backend server for a request, or a refusal.

    Parameters
    ----------
    request : RouteRequest
        Properties of the request.
    servers : iterable of ServerView
        The fleet view; only live, connected servers are considered.
    local_outstanding : mapping of VmId to int
        Requests that this process sent to a server since its last load report.
    now_s : float
        Current time, in seconds.
    random_value : float
        Uniform in [0, 1); selects the two servers that are compared.

    Returns
    -------
    Result[Choice, Refusal]

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation
    >>> from chervilgw.core.messages import Load
    >>> def server(vm, running, resident):
    ...     load = Load(BackendKind.ENGINE, 100, 50, running, 0, resident)
    ...     return ServerView(
    ...         Incarnation(VmId(vm), 1), ZoneId("z"), "", VmState.LIVE, load, 0.0, True
    ...     )
    >>> request = RouteRequest(CustomerId("c"), ZoneId("z"), ModelName("m"))
    >>> fleet = [server("a", 9, {"m": "loaded"}), server("b", 1, {"m": "loaded"})]
    >>> choose(request, fleet, {}, 0.0, 0.3).unwrap()
    Choice(vm='b', needs_load=False)
    """
    servers = tuple(servers)
    if request.service is None:
        # Few servers hold a model, so filtering by model first is cheap. The other
        # servers are examined only if no holder is usable.
        name = request.model or ""
        with_copy = [s for s in servers if name in s.load.resident]
        with_copy = [s for s in with_copy if _is_usable(request, s)]
        holders = [s for s in with_copy if s.holds(name)]
    else:
        holders = [s for s in servers if _is_usable(request, s)]
    if holders:
        if request.service is None:
            holders += [s for s in with_copy if _is_loading(request, s)]
        # Sorted, so that a random value selects the same pair in each process.
        holders.sort(key=lambda server: server.vm)
        best = min(
            _candidates(request, holders, random_value),
            key=lambda server: _cost(request, server, local_outstanding),
        )
        return Success(Choice(best.vm, _is_loading(request, best)))
    usable = [s for s in servers if _is_usable(request, s)]
    if request.service is not None or not usable:
        text = f"no live backend server for {request.service or request.model}"
        return Failure(
            make_refusal(RefusalReason.NO_BACKEND_SERVER, text, RETRY_AFTER_S)
        )
    return _choose_loader(request, usable)


def _is_usable(request: RouteRequest, server: ServerView) -> bool:
    return (
        server.state is VmState.LIVE
        and server.connected
        and server.vm not in request.excluded
        and _offers_target(request, server)
    )


def _is_loading(request: RouteRequest, server: ServerView) -> bool:
    state = server.load.resident.get(request.model or "")
    return state == CopyState.LOADING.value


def _offers_target(request: RouteRequest, server: ServerView) -> bool:
    if request.service is not None:
        is_service = server.load.kind is BackendKind.SERVICE
        return is_service and request.service in server.load.services
    return server.is_engine(request.pool)


def _candidates(
    request: RouteRequest, holders: list[ServerView], random_value: float
) -> list[ServerView]:
    """Return two random holders, and the one with most cached prefixes of the prompt.

    Two random holders seldom include the server that has the prompt cached.
    """
    candidates = _pick_two(holders, random_value)
    cached = request.cached_prefixes
    if cached:
        candidates.append(max(holders, key=lambda server: cached.get(server.vm, 0)))
    return candidates


def _pick_two(holders: list[ServerView], random_value: float) -> list[ServerView]:
    count = len(holders)
    if count == 1:
        return list(holders)
    pair = min(int(random_value * count * (count - 1)), count * (count - 1) - 1)
    first, second = divmod(pair, count - 1)
    return [holders[first], holders[second + (second >= first)]]


def _cost(
    request: RouteRequest, server: ServerView, local_outstanding: Mapping[VmId, int]
) -> float:
    load = server.load
    cost = float(load.running + load.queued + local_outstanding.get(server.vm, 0))
    if request.adapter is not None and server.holds(request.adapter):
        cost -= ADAPTER_BONUS
    cost -= PREFIX_BONUS * (request.cached_prefixes or {}).get(server.vm, 0)
    if server.zone == request.zone:
        cost -= ZONE_BONUS
    if _is_loading(request, server):
        cost += LOADING_COST
    return cost


def _choose_loader(
    request: RouteRequest, usable: list[ServerView]
) -> Result[Choice, Refusal]:
    name = request.model or ""
    order = preferred_order(name, usable)
    loading = CopyState.LOADING.value
    for server in order:
        if server.load.resident.get(name) == loading:
            return Success(Choice(server.vm, needs_load=True))
    for server in order:
        if server.load.free_bytes >= request.size_bytes:
            return Success(Choice(server.vm, needs_load=True))
    # No server has enough free memory. The first one that is large enough unloads an
    # idle copy, or a copy that another server also holds.
    for server in order:
        if server.load.capacity_bytes >= request.size_bytes:
            return Success(Choice(server.vm, needs_load=True))
    text = f"{name} is larger than every live backend server of its pool"
    return Failure(make_refusal(RefusalReason.NO_ROOM, text, RETRY_AFTER_S))
