"""View that an entry has of the backend servers of opaque requests.

It combines the platform's list, reports of agents, load and cached prefixes.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass

from chervilgw.core.deployment import (
    ModelSpec,
    OpaqueRequest,
    RegisteredServer,
    ServerId,
)
from chervilgw.core.ids import (
    Digest,
    ModelName,
    ServiceName,
    SoftwareVersion,
    VmId,
)
from chervilgw.core.messages import EngineReport
from chervilgw.membership.directory import ServerDirectory, make_server_directory
from chervilgw.routing.back_off import BackOffs, make_back_offs
from chervilgw.routing.board import LoadBoard, make_load_board
from chervilgw.routing.dispatch import Candidate
from chervilgw.routing.prefixes import make_prefix_index
from chervilgw.routing.server_work import ServerWork, make_server_work
from chervilgw.routing.service_times import (
    RequestLimits,
    ServiceTimes,
    make_request_limits,
    make_service_times,
)
from chervilgw.routing.token_times import TokenTimes, make_token_times
from chervilgw.routing.warm_up import ColdSource, WarmUp, make_warm_up
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S

# An older report is ignored. Agents send at least one report per second.
MAX_REPORT_AGE_S = 3.0
# An agent without a report for this long counts as silent.
REPORT_OVERDUE_S = 1.5

# From the first list of servers to the first reports of their agents: a subscription
# and its answer, and a second subscription if either is lost.
FIRST_REPORTS_S = 1.0
# Time from a request for a missing model to the load order: two reports, a plan and a
# datagram.
PLANNING_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Expected time until a model is loaded, and whether an engine is loading it."""

    ready_in_s: float
    is_loading: bool


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: EngineReport
    received_s: float
    adapters: dict[ModelName, frozenset[str]]


class FleetView:
    """Backend servers as seen by one entry; see :func:`make_fleet_view`."""

    def __init__(self):
        self.directory: ServerDirectory = make_server_directory()
        self.board: LoadBoard = make_load_board()
        self.back_offs: BackOffs = make_back_offs()
        self.work: ServerWork = make_server_work()
        self.token_times: TokenTimes = make_token_times()
        self.service_times: ServiceTimes = make_service_times()
        self.request_limits: RequestLimits = make_request_limits()
        self.warm_up: WarmUp = make_warm_up()
        self._reports: dict[ServerId, _ReceivedReport] = {}
        self._prefixes = make_prefix_index()
        self._loading_since: dict[tuple[ServerId, ModelName], float] = {}
        self._first_listed_s: float | None = None
        self.list_asked_s = float("-inf")

    def on_listed(self, now_s: float) -> None:
        """Record that the list of servers was read."""
        if self._first_listed_s is None:
            self._first_listed_s = now_s

    def on_list_confirmed(self, asked_s: float) -> None:
        """Record that the list was read to its end by a call sent at this time."""
        self.list_asked_s = max(self.list_asked_s, asked_s)

    @property
    def is_listed(self) -> bool:
        """Return whether the list of servers was read."""
        return self._first_listed_s is not None

    def awaits_first_reports(self, now_s: float) -> bool:
        """Return whether this entry has just started and its agents report soon."""
        since_s = self._first_listed_s
        return since_s is not None and now_s - since_s < FIRST_REPORTS_S

    def on_report(self, report: EngineReport, now_s: float) -> bool:
        """Store the report of an engine's agent; return whether it was accepted."""
        server = ServerId(report.server)
        if not self.is_current(report):
            return False
        last = self._reports.get(server)
        is_same = last is not None and last.report.started_ms == report.started_ms
        if is_same and report.orders < last.report.orders:
            return False
        adapters = {
            ModelName(model): frozenset(names)
            for model, names in report.adapters.items()
        }
        self._reports[server] = _ReceivedReport(report, now_s, adapters)
        self._record_loading(server, ModelName(report.loading), now_s)
        self.warm_up.on_stated(
            server, report.started_ms, ColdSource.REPORT, report.cold_s, now_s
        )
        if report.draining:
            self.directory.on_draining_reported(server, report.started_ms, now_s)
        return True

    def is_current(self, report: EngineReport) -> bool:
        """Return whether a report is of the registered incarnation of its server."""
        registered = self.directory.find(ServerId(report.server))
        return registered is not None and registered.started_ms == report.started_ms

    def _record_loading(self, server: ServerId, model: ModelName, now_s: float) -> None:
        key = (server, model)
        if key not in self._loading_since:
            for former in [item for item in self._loading_since if item[0] == server]:
                del self._loading_since[former]
            if model:
                self._loading_since[key] = now_s

    def fresh_report(
        self, server: RegisteredServer, now_s: float
    ) -> EngineReport | None:
        """Return the recent report of this incarnation of a server, or None."""
        received = self._reports.get(server.server)
        if received is None or now_s - received.received_s > MAX_REPORT_AGE_S:
            return None
        if received.report.started_ms != server.started_ms:
            return None
        return received.report

    def loaded_models(
        self, server: RegisteredServer, now_s: float
    ) -> Mapping[ModelName, frozenset[str]]:
        """Return the loaded models of a server with their loaded adapters."""
        if self.fresh_report(server, now_s) is None:
            return server.adapters
        return self._reports[server.server].adapters

    def candidates(
        self,
        service: ServiceName,
        request: OpaqueRequest,
        excluded: Container[ServerId],
        local_limit: int,
        now_s: float,
        version: SoftwareVersion | None = None,
    ) -> list[Candidate]:
        """Return the servers that a request may be sent to.

        Of those that do not hold its model one is returned, to tell that there are any.

        Parameters
        ----------
        service : ServiceName
        request : OpaqueRequest
        excluded : container of ServerId
            Servers that the request was already sent to.
        local_limit : int
            Maximum number of requests of this entry at one server.
        now_s : float
            Monotonic time.
        version : SoftwareVersion or None
            Version that began the stream which the request goes on with, if any.
        """
        servers = [
            server
            for server in self.directory.usable(service, now_s, version)
            if server.server not in excluded
            and not self.board.is_ejected(server.server, now_s)
            and not self._back_off_s(server, now_s)
            and self.board.local_running(server.server) < local_limit
        ]
        # Most servers of a large fleet do not hold the model. One of them stands for
        # all, as their load is of no use.
        self.work.drop_silent(now_s)
        holders, other = [], None
        for server in servers:
            if self._holds_model(server, request, now_s):
                holders.append(server)
            elif other is None:
                other = Candidate(server, 0, 0, 0.0, False, False)
        cached = self._cached_tokens(holders, request, now_s)
        found = [self._candidate(server, request, cached, now_s) for server in holders]
        return found if other is None else [*found, other]

    def _back_off_s(self, server: RegisteredServer, now_s: float) -> float:
        return self.back_offs.remaining_s(server.server, server.started_ms, now_s)

    def accepts(self, server: ServerId, now_s: float) -> bool:
        """Return whether a server that was chosen earlier may still get a request."""
        registered = self.directory.find(server)
        return self.directory.is_usable(server, now_s) and not self._back_off_s(
            registered, now_s
        )

    def shortest_back_off_s(
        self,
        service: ServiceName,
        request: OpaqueRequest,
        excluded: Container[ServerId],
        now_s: float,
        version: SoftwareVersion | None = None,
    ) -> float | None:
        """Return when the first server that asked for a pause may get the request.

        None is returned if no server that holds its model asked for a pause.
        """
        return min(
            (
                back_off_s
                for server in self.directory.usable(service, now_s, version)
                if server.server not in excluded
                and (back_off_s := self._back_off_s(server, now_s)) > 0
                and self._holds_model(server, request, now_s)
            ),
            default=None,
        )

    def is_held(
        self, service: ServiceName, request: OpaqueRequest, now_s: float
    ) -> bool:
        """Return whether a server of any software version holds a request's model."""
        return any(
            self._holds_model(server, request, now_s)
            for server in self.directory.usable(service, now_s)
        )

    def _holds_model(self, server, request: OpaqueRequest, now_s: float) -> bool:
        return request.model is None or request.model in self.loaded_models(
            server, now_s
        )

    def _candidate(self, server, request, cached, now_s) -> Candidate:
        name, board = server.server, self.board
        model = request.model
        models = self.loaded_models(server, now_s) if model else {}
        adapters = models.get(model)
        report = self.fresh_report(server, now_s)
        token_s = report.token_s.get(model, 0.0) if report else 0.0
        return Candidate(
            server,
            board.running(name, now_s),
            board.unread_tokens(name, now_s),
            board.failure_fraction(name),
            adapters is not None,
            request.adapter is None or request.adapter in (adapters or ()),
            cached.get(name, 0),
            report is not None and report.busy,
            report is not None
            and now_s - self._reports[name].received_s > REPORT_OVERDUE_S,
            (report.prefill_tokens_per_s if report else 0.0) or DEFAULT_TOKENS_PER_S,
            self.work.unwritten_tokens(name),
            self.work.held_tokens(name),
            max(0.0, report.model_speeds.get(model, 0.0)) if report else 0.0,
            token_s if token_s > 0.0 else self.token_times.token_s(name, model),
        )

    def _cached_tokens(
        self, servers: Sequence[RegisteredServer], request: OpaqueRequest, now_s: float
    ) -> dict[ServerId, int]:
        if not request.prompt_parts:
            return {}
        counts = self._prefixes.cached(
            [VmId(server.server) for server in servers], prefix_digests(request), now_s
        )
        sizes = [size for _, size in request.prompt_parts]
        return {name: sum(sizes[:count]) for name, count in counts.items()}

    def on_sent(
        self, server: ServerId, request: OpaqueRequest, unread: int, now_s: float
    ) -> None:
        """Record a request that was sent to a server."""
        self.board.on_sent(server, unread)
        if request.prompt_parts:
            self._prefixes.on_dispatch(VmId(server), prefix_digests(request), now_s)

    def estimate_load(
        self,
        service: ServiceName,
        spec: ModelSpec,
        now_s: float,
        version: SoftwareVersion | None = None,
    ) -> LoadEstimate:
        """Estimate when an engine will have loaded a model that none holds.

        Parameters
        ----------
        service : ServiceName
        spec : ModelSpec
            The model.
        now_s : float
            Monotonic time.
        version : SoftwareVersion or None
            Version of the engines that are of use, None for all.
        """
        shortest_s, is_loading = spec.load_s + PLANNING_DELAY_S, False
        for server in self.directory.usable(service, now_s, version):
            report = self.fresh_report(server, now_s)
            if report is None:
                continue
            is_local = spec.name in report.local_models
            load_s = spec.disk_load_s if is_local else spec.load_s
            if report.loading == spec.name:
                since_s = self._loading_since.get((server.server, spec.name), now_s)
                remaining_s = max(0.0, since_s + load_s - now_s)
                if not is_loading or remaining_s < shortest_s:
                    shortest_s, is_loading = remaining_s, True
            elif not is_loading:
                shortest_s = min(shortest_s, load_s + PLANNING_DELAY_S)
        return LoadEstimate(shortest_s, is_loading)

    def drop_server(self, server: ServerId) -> None:
        """Drop the state of a server that is gone."""
        self.board.drop_server(server)
        self.token_times.drop_server(server)
        self.service_times.drop_server(server)
        self.request_limits.drop_server(server)
        self.warm_up.on_removed(server)
        self._reports.pop(server, None)
        self._prefixes.drop_server(VmId(server))


def prefix_digests(request: OpaqueRequest) -> tuple[Digest, ...]:
    """Return the digests of a prompt's parts, which differ by model and adapter."""
    namespace = f"{request.model}/{request.adapter or ''}:"
    return tuple(Digest(namespace + part) for part, _ in request.prompt_parts)


def make_fleet_view() -> FleetView:
    """Return a view without servers."""
    return FleetView()
