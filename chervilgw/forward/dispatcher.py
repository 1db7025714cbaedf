"""Decisions on one attempt: choice of the server, waiting, and what to send."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import random

from returns.pipeline import is_successful

from chervilgw.core.deployment import Deployment, ModelSpec, ServerId
from chervilgw.core.ids import ServiceName, ZoneId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.crashes.suspicion import Verdict
from chervilgw.forward.cold_dispatch import ColdDispatch, make_cold_dispatch
from chervilgw.forward.decisions import (
    Decision,
    Refuse,
    RequestTurn,
    SendNow,
    WaitForList,
    WaitForModel,
    WaitForServer,
)
from chervilgw.forward.exchange import Exchange
from chervilgw.membership.fleet_view import PLANNING_DELAY_S, FleetView, LoadEstimate
from chervilgw.routing.completion import ExpectedWork
from chervilgw.routing.dispatch import (
    Candidate,
    DispatchRequest,
    ServerChoice,
    choose_server,
    refuse_without_turn,
)
from chervilgw.routing.resumptions import RETRY_AFTER_S as VERSION_RETRY_AFTER_S
from chervilgw.routing.return_times import RetryTimes, make_retry_times
from chervilgw.routing.service_times import PlainServer
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S
from chervilgw.settings.vm import Bounds

# Fraction of the caller's wait that may go to loading the model; the rest is for the
# queue and the prompt.
MODEL_WAIT_FRACTION = 0.85
# A load that has not begun by then is not planned: other models have more demand.
MAX_PLAN_WAIT_S = 1.0
# A trial ends when its answer has got past its beginning, or with the server.
TRIAL_RETRY_AFTER_S = 1.0
# From the end of a load to its report, with a margin for callers' clocks.
LOAD_REPORT_MARGIN_S = 0.3
# Fraction of a server's connections that the entries use together; the rest covers
# those that are still closing.
CONNECTION_FRACTION = 0.9
# Engines that may refuse a turn because another engine may serve the request sooner.
# Each costs a round trip.
MAX_REFUSED_FOR_OTHERS = 2
# How long a stream that goes on waits for the list of servers while the process runs:
# a call of the store and its repeat.
MAX_LIST_WAIT_S = 0.5

_NO_SERVER_REASONS = (RefusalReason.NO_BACKEND_SERVER, RefusalReason.MODEL_NOT_LOADED)


@dataclass(slots=True)
class Dispatcher:
    """Decisions of one entry; see :func:`make_dispatcher`."""

    fleet: FleetView
    zone: ZoneId
    retry_times: RetryTimes
    cold: ColdDispatch
    random: Callable[[], float] = random
    _choices: int = 0

    def decide(
        self, exchange: Exchange, deployment: Deployment, entries: int, now_s: float
    ) -> Decision:
        """Return what to do with a request that is not at a server.

        Parameters
        ----------
        exchange : Exchange
        deployment : Deployment
            Configuration in force.
        entries : int
            Number of entries that share the servers' connections.
        now_s : float
            Monotonic time in seconds.
        """
        opaque, service = exchange.admitted.opaque, exchange.admitted.service
        connection_limit = _connection_limit(deployment, service, entries)
        usable = self.fleet.candidates(
            service,
            opaque,
            exchange.tried,
            connection_limit,
            now_s,
            exchange.binding.version,
        )
        candidates = [
            candidate
            for candidate in usable
            if candidate.server.server not in exchange.refused_by
        ]
        exchange.other_tokens_per_s = 0.0
        warm, cold = self.cold.split(service, opaque.model, candidates, now_s)
        request = self._dispatch_request(exchange, deployment, candidates, now_s)
        chosen = choose_server(request, warm)
        if is_successful(chosen):
            exchange.other_tokens_per_s = _other_tokens_per_s(
                exchange, chosen.unwrap().server, candidates, request.expected
            )
            return self._send_or_request_turn(exchange, chosen.unwrap(), now_s)
        refusal = chosen.failure()
        if cold:
            return self._use_cold(exchange, deployment, request, cold, refusal, now_s)
        if refusal.reason in _NO_SERVER_REASONS:
            paused = self._wait_or_refuse(exchange, entries, now_s)
            if paused is not None:
                return paused
        if refusal.reason is RefusalReason.MODEL_NOT_LOADED:
            busy = [
                candidate
                for candidate in usable
                if candidate.server.server in exchange.busy_at
            ]
            is_held = bool(busy) or self._is_held_by_another_version(exchange, now_s)
            if self._is_loaded_in_time(exchange, deployment, is_held, now_s):
                return WaitForModel()
            if busy:
                refusal = refuse_without_turn(request, busy)
            else:
                refusal = self._with_load_retry_time(
                    exchange, deployment, refusal, now_s
                )
        return self._refuse(exchange, refusal, entries, now_s)

    def _dispatch_request(
        self, exchange: Exchange, deployment, candidates: list[Candidate], now_s: float
    ) -> DispatchRequest:
        opaque = exchange.admitted.opaque
        return DispatchRequest(
            self.zone,
            opaque.model,
            opaque.prompt_tokens or 0,
            exchange.first_token_wait_s,
            bool(exchange.suspects),
            self._expected_work(exchange, deployment, now_s),
            self._plain_servers(exchange, candidates, now_s),
            exchange.head_forwarded,
        )

    def _expected_work(
        self, exchange: Exchange, deployment: Deployment, now_s: float
    ) -> ExpectedWork | None:
        """Return what a request is expected to cost, None where that is unknown."""
        rule = deployment.services.get(exchange.admitted.service)
        engine, estimate = rule and rule.engine, exchange.estimate
        if engine is None or not engine.states_capacity:
            return None
        if estimate is None or not estimate.is_learned:
            return None
        self._choices += 1
        return ExpectedWork(
            exchange.admitted.opaque.prompt_tokens or 0,
            exchange.expected_output_tokens,
            engine.cache_tokens,
            exchange.started_s + exchange.admitted.route.target_s - now_s,
            exchange.deadline_s - now_s,
            engine.slots,
            self._choices,
            self.random(),
        )

    def _plain_servers(
        self, exchange: Exchange, candidates: list[Candidate], now_s: float
    ) -> Mapping[ServerId, PlainServer]:
        """Return what is known of servers of a plain service, nothing for engines."""
        if exchange.admitted.opaque.model is not None:
            return {}
        route, known = exchange.admitted.route.name, {}
        for candidate in candidates:
            name, slots = candidate.server.server, candidate.server.slots
            plain = self.fleet.service_times.expected(route, name)
            # A server that is registered without slots keeps the former cost.
            if plain is not None and slots:
                limit = self.fleet.request_limits.limit(name, slots, now_s)
                known[name] = replace(plain, limit=limit)
        return known

    def _send_or_request_turn(
        self, exchange, choice: ServerChoice, now_s: float
    ) -> Decision:
        self.cold.slots.cancel(exchange.number)
        if self._has_agent(exchange, choice.server, now_s):
            return RequestTurn(choice.server, choice.unread_tokens, choice.cost_s)
        if self._awaits_agent(exchange, now_s):
            return WaitForServer()
        # Without an agent only the list says whether the server was started anew.
        if exchange.binding.needs_list(self.fleet.list_asked_s, now_s):
            return self._wait_for_list(exchange, now_s)
        return SendNow(choice.server, choice.unread_tokens, choice.cost_s)

    def _wait_for_list(self, exchange, now_s: float) -> Decision:
        """Decide on a stream that may go on only by a newer list of servers."""
        if exchange.binding.list_wait.advance(now_s) < MAX_LIST_WAIT_S:
            return WaitForList()
        text = "the list of servers is out of date and cannot be read"
        reason = RefusalReason.STREAM_VERSION_UNKNOWN
        return Refuse(Refusal(reason, exchange.run_state, text, VERSION_RETRY_AFTER_S))

    def _awaits_agent(self, exchange, now_s: float) -> bool:
        """Return whether the agents' first reports decide on this request.

        The list of servers does not name the adapters that were loaded since their last
        entry in it, and without an agent nobody loads one.
        """
        admitted = exchange.admitted
        wait_s = now_s - exchange.started_s
        return (
            admitted.opaque.model is not None
            and not exchange.head_forwarded
            and wait_s < MODEL_WAIT_FRACTION * exchange.first_token_wait_s
            and self.fleet.awaits_first_reports(now_s)
        )

    def _has_agent(self, exchange, name: ServerId, now_s: float) -> bool:
        """Return whether the request needs a turn at a server."""
        server = self.fleet.directory.find(name)
        has_agent = self.fleet.fresh_report(server, now_s) is not None
        return exchange.admitted.opaque.model is not None and has_agent

    def _use_cold(
        self, exchange, deployment, request, cold, warm_refusal: Refusal, now_s: float
    ) -> Decision:
        """Decide on a request that no warm server can serve in time."""
        outcome = self.cold.choose(
            exchange.number,
            request,
            cold,
            lambda server: self._has_agent(exchange, server, now_s),
            _max_cold_wait_s(exchange, now_s),
            now_s,
        )
        if outcome.choice is not None:
            return self._send_or_request_turn(exchange, outcome.choice, now_s)
        if outcome.refusal is None:
            return WaitForServer()
        if self._is_loaded_in_time(exchange, deployment, True, now_s):
            return WaitForModel()
        refusal, warm_retry_s = outcome.refusal, warm_refusal.retry_after_s
        if warm_refusal.reason is RefusalReason.QUEUE_FULL and warm_retry_s:
            retry_s = min(warm_retry_s, refusal.retry_after_s)
            refusal = _with_retry_after(refusal, retry_s)
        return self._refuse(exchange, refusal, self.cold.entries.share().entries, now_s)

    def _wait_or_refuse(self, exchange, entries: int, now_s: float) -> Decision | None:
        """Decide on a request whose servers asked for a pause, or return None.

        A server that refused the request may get it from its caller after the pause,
        but not from this entry.
        """
        admitted = exchange.admitted
        service, opaque = admitted.service, admitted.opaque
        version = exchange.binding.version
        pause_s = self.fleet.shortest_back_off_s(
            service, opaque, exchange.tried, now_s, version
        )
        service_s = (opaque.prompt_tokens or 0) / DEFAULT_TOKENS_PER_S
        in_time_s = exchange.started_s + admitted.route.target_s - now_s - service_s
        if pause_s is not None and not exchange.head_forwarded and pause_s < in_time_s:
            return WaitForServer()
        back_off_s = self.fleet.shortest_back_off_s(
            service, opaque, exchange.may_have_run, now_s, version
        )
        if back_off_s is None:
            return None
        text = f"all backend servers asked for a pause of {back_off_s:.2f} s or more"
        refusal = make_refusal(RefusalReason.QUEUE_FULL, text, back_off_s)
        return self._refuse(exchange, refusal, entries, now_s)

    def _is_held_by_another_version(self, exchange, now_s: float) -> bool:
        """Return whether the model is held only where the stream may not go on."""
        if exchange.binding.version is None:
            return False
        admitted = exchange.admitted
        return self.fleet.is_held(admitted.service, admitted.opaque, now_s)

    def _is_loaded_in_time(
        self, exchange, deployment, is_loaded: bool, now_s: float
    ) -> bool:
        """Return whether to wait for a load of the request's model.

        Another copy of a model that an engine already holds is not planned for one
        request, so that only a load in progress helps it.
        """
        estimate = self._load_estimate(exchange, deployment, now_s)
        if estimate is None or (is_loaded and not estimate.is_loading):
            return False
        return _is_in_time(exchange, estimate, now_s)

    def _load_estimate(self, exchange, deployment, now_s: float) -> LoadEstimate | None:
        spec = _model_spec(deployment, exchange)
        if spec is None or not exchange.may_retry():
            return None
        return self.fleet.estimate_load(
            exchange.admitted.service, spec, now_s, exchange.binding.version
        )

    def _with_load_retry_time(
        self, exchange, deployment, refusal, now_s: float
    ) -> Refusal:
        """Return the refusal with the time at which the model can be loaded, if any."""
        estimate = self._load_estimate(exchange, deployment, now_s)
        if estimate is None:
            return refusal
        # Local weights would be loading by now, so expect a load from the store.
        ready_in_s = _model_spec(deployment, exchange).load_s + PLANNING_DELAY_S
        if estimate.is_loading:
            ready_in_s = estimate.ready_in_s
        return _with_retry_after(refusal, ready_in_s + LOAD_REPORT_MARGIN_S)

    def _refuse(self, exchange, refusal, entries: int, now_s: float) -> Decision:
        refusal = self._with_spread_retry_time(exchange, refusal, entries, now_s)
        if exchange.retry_after_s is not None:
            refusal = _with_retry_after(refusal, exchange.retry_after_s)
        run = exchange.run_state
        if run is not RunState.NOT_RUN:
            refusal = Refusal(refusal.reason, run, refusal.detail)
        return Refuse(refusal)

    def _with_spread_retry_time(
        self, exchange, refusal: Refusal, entries: int, now_s: float
    ) -> Refusal:
        """Return the refusal with a retry time that spreads callers of one model."""
        opaque = exchange.admitted.opaque
        if opaque.model is None or refusal.retry_after_s is None:
            return refusal
        gap_s = entries * (opaque.prompt_tokens or 0) / DEFAULT_TOKENS_PER_S
        remaining_s = exchange.deadline_s - now_s
        retry_after_s = self.retry_times.retry_after_s(
            opaque.model, refusal.retry_after_s, gap_s, remaining_s, now_s
        )
        return _with_retry_after(refusal, retry_after_s)


def refuse_blocked(exchange: Exchange, verdict: Verdict) -> Refusal:
    """Return the refusal of a request with a trait that crashes servers."""
    text = f"requests with {verdict.suspects[0]} crashed servers and are blocked"
    reason = RefusalReason.BLOCKED_AFTER_CRASHES
    return Refusal(reason, exchange.run_state, text, verdict.blocked_s)


def refuse_during_trial(exchange: Exchange) -> Refusal:
    """Return the refusal of a request that cannot wait for the trial of another."""
    text = "a request with a part that was present at a crash is being tried"
    reason = RefusalReason.SUSPECT_BUSY
    return Refusal(reason, exchange.run_state, text, TRIAL_RETRY_AFTER_S)


def _other_tokens_per_s(
    exchange: Exchange,
    chosen: ServerId,
    candidates: list[Candidate],
    work: ExpectedWork | None,
) -> float:
    """Return the speed of the fastest engine but the chosen one, 0 if there is none.

    The agent compares it with its own speed for the model of the request, so that the
    mean over all models is used only where that is unknown. Full engines do not count.
    After some refusals the next engine has to take the request if it can.
    """
    if len(exchange.refused_by) >= MAX_REFUSED_FOR_OTHERS:
        return 0.0
    return max(
        (
            candidate.model_tokens_per_s or candidate.prefill_tokens_per_s
            for candidate in candidates
            if candidate.has_model
            and candidate.server.server != chosen
            and (work is None or work.fits(candidate.held_tokens))
        ),
        default=0.0,
    )


def _connection_limit(
    deployment: Deployment, service: ServiceName, entries: int
) -> int:
    rule = deployment.services.get(service)
    if rule is None:
        return 0
    return max(1, int(CONNECTION_FRACTION * rule.max_connections / entries))


def _model_spec(deployment: Deployment, exchange: Exchange) -> ModelSpec | None:
    rule = deployment.services.get(exchange.admitted.service)
    if rule is None or rule.engine is None:
        return None
    return rule.engine.models.get(exchange.admitted.opaque.model)


def _max_cold_wait_s(exchange: Exchange, now_s: float) -> float:
    """Return how long a request may wait for a slot at a cold server.

    A stream that goes on elsewhere waits no longer than its caller would.
    """
    admitted = exchange.admitted
    if exchange.head_forwarded:
        limit_s = MODEL_WAIT_FRACTION * exchange.first_token_wait_s
        return exchange.last_byte_s + limit_s - now_s
    service_s = (admitted.opaque.prompt_tokens or 0) / DEFAULT_TOKENS_PER_S
    return exchange.started_s + admitted.route.target_s - now_s - service_s


def _is_in_time(exchange: Exchange, estimate, now_s: float) -> bool:
    since_s = exchange.last_byte_s if exchange.head_forwarded else exchange.started_s
    waited_s = now_s - since_s
    limit_s = MODEL_WAIT_FRACTION * exchange.first_token_wait_s
    in_time = waited_s + estimate.ready_in_s <= limit_s
    return in_time and (estimate.is_loading or waited_s < MAX_PLAN_WAIT_S)


def _with_retry_after(refusal: Refusal, retry_after_s: float) -> Refusal:
    return Refusal(refusal.reason, refusal.run, refusal.detail, retry_after_s)


def make_dispatcher(
    fleet: FleetView, zone: ZoneId, cold: ColdDispatch | None = None
) -> Dispatcher:
    """Return the dispatcher of an entry in a zone.

    Without ``cold`` the entry has the default bounds and knows no other one.
    """
    cold = cold or make_cold_dispatch(fleet.warm_up, Bounds())
    return Dispatcher(fleet, zone, make_retry_times(), cold)
