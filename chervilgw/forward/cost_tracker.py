"""Base of the gateway task: learns what requests cost at the servers."""

from __future__ import annotations

from chervilgw.core.deployment import Deployment, ServerId
from chervilgw.core.messages import EntryReport
from chervilgw.forward.evacuation_tracker import EvacuationTracker
from chervilgw.forward.exchange import Exchange
from chervilgw.forward.metrics_task import output_counted
from chervilgw.routing.request_cost import make_request_costs
from chervilgw.telemetry import log_event


class CostTracker(EvacuationTracker):
    """Task that owns the estimates of requests' outputs and service times."""

    def __init__(self, channel):
        super().__init__(channel)
        self.costs = make_request_costs()

    def estimate_output(self, exchange: Exchange, deployment: Deployment):
        """Estimate the output of a request to an engine when it arrives."""
        admitted = exchange.admitted
        rule = deployment.services.get(admitted.service)
        if rule is None or rule.engine is None or admitted.opaque.model is None:
            return
        exchange.estimate = self.costs.estimate(
            exchange.kind, exchange.stated_output, rule.engine.tokens_per_event
        )

    def begin_work(self, exchange: Exchange, is_sent: bool = True):
        """Count the expected output of a request at its engine, and its memory if sent.

        Streams that run may free the memory before a request that waits is sent.
        """
        if exchange.estimate is not None:
            self.fleet.work.begin(
                exchange.number,
                exchange.server,
                exchange.admitted.opaque.prompt_tokens or 0,
                exchange.expected_output_tokens,
                exchange.written_tokens,
                is_sent,
            )

    def on_peer_work(self, report: EntryReport, now_s: float):
        """Count the expected work of another entry's requests."""
        self.fleet.work.on_peer_report(
            report.sender.vm, report.unwritten_tokens, report.held_tokens, now_s
        )

    def record_complete(self, exchange: Exchange, now_s: float):
        """Learn from a complete answer, before its server is released."""
        if exchange.answer.status != 200:
            return
        if exchange.admitted.opaque.model is None:
            self._record_service_time(exchange, now_s)
        elif exchange.admitted.opaque.last_event is None and exchange.written_tokens:
            self._record_stream(exchange)

    def _record_service_time(self, exchange: Exchange, now_s: float):
        server = exchange.server
        registered = self.fleet.directory.find(server)
        if registered is None:
            return
        load = self.fleet.board.running(server, now_s) / max(1, registered.slots)
        took_s = now_s - exchange.sent_s
        route = exchange.admitted.route.name
        self.fleet.service_times.on_answered(route, server, took_s, load)

    def _record_stream(self, exchange: Exchange):
        """Learn from a stream; one that was resumed ran at several servers."""
        estimate, tokens = exchange.estimate, exchange.written_tokens
        self.costs.on_ended(exchange.kind, exchange.stated_output, tokens)
        if estimate.is_learned:
            self.fire(output_counted(estimate.tokens / tokens), "metrics")
        # The times of a server that has left the list were dropped.
        is_listed = self.fleet.directory.is_listed(exchange.server)
        if exchange.sends == 1 and is_listed:
            took_s = exchange.last_byte_s - exchange.first_byte_s
            later_tokens = tokens - estimate.tokens_per_event
            server, model = exchange.server, exchange.admitted.opaque.model
            self.fleet.token_times.on_stream(server, model, later_tokens, took_s)

    def record_interrupted(self, exchange: Exchange):
        """Learn from a stream that did not end as a whole."""
        if exchange.written_tokens:
            self.costs.on_interrupted(
                exchange.kind, exchange.stated_output, exchange.written_tokens
            )

    def record_refused(self, exchange: Exchange, now_s: float):
        """Limit the requests at a plain service that refused one as too many."""
        server = self.fleet.directory.find(ServerId(exchange.server))
        is_plain = exchange.admitted.opaque.model is None
        if server is None or not is_plain or not exchange.is_refused_as_busy:
            return
        running = self.fleet.board.running(server.server, now_s)
        limit = self.fleet.request_limits.on_refused(
            server.server, running, max(1, server.slots), now_s
        )
        log_event("server_limited", server=server.server, running=running, limit=limit)
