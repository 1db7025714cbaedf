"""Base of the gateway task: keeps a stream to the software version that began it."""

from __future__ import annotations

import time

from circuits import handler

from chervilgw.core.deployment import AttemptId
from chervilgw.core.ids import ServiceName, SoftwareVersion
from chervilgw.core.messages import StreamOrigin, StreamOriginQuery
from chervilgw.core.refusals import make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.forward.cost_tracker import CostTracker
from chervilgw.forward.events import (
    agent_send,
    server_list_wanted,
    software_versions_due,
    stream_origin_answered,
    stream_origin_requested,
)
from chervilgw.forward.exchange import Exchange, Stage
from chervilgw.forward.metrics_task import resumption_counted
from chervilgw.forward.request_log import log_not_resumed, log_resumed
from chervilgw.routing.resumptions import (
    ResumptionDecision,
    ResumptionStep,
    ServingVersions,
    TakeUp,
    make_resumptions,
)

_REFUSAL_TEXTS = {
    RefusalReason.STREAM_VERSION_UNKNOWN: (
        "the software version that began the stream is not known"
    ),
    RefusalReason.STREAM_VERSION_GONE: (
        "no backend server of the software version that began the stream is in service"
    ),
}


class OriginTracker(CostTracker):
    """Task that knows which software versions began streams.

    Subclasses define ``exchanges_in``, which returns the requests of a stage,
    ``attempt``, which chooses a server, and ``fail``, which refuses a request.
    """

    def __init__(self, channel):
        super().__init__(channel)
        self.resumptions = make_resumptions()

    def is_version_settled(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a server may be chosen; else hold or refuse the request."""
        if not exchange.is_taken_up or exchange.binding.version is not None:
            return True
        decision = self._decide_resumption(exchange, now_s)
        match decision.step:
            case ResumptionStep.RESUME:
                exchange.binding.version = decision.version
                exchange.binding.on_interrupted(exchange.started_s)
                log_resumed(exchange, decision, self.fleet.list_asked_s, now_s)
                self.fire(resumption_counted(decision.source.value), "metrics")
                return True
            case ResumptionStep.ASK:
                self._ask(exchange, decision.needs_list)
            case ResumptionStep.REFUSE:
                self._refuse_resumption(exchange, decision, now_s)
        return False

    def _decide_resumption(self, exchange: Exchange, now_s: float):
        admitted, directory = exchange.admitted, self.fleet.directory
        self.resumptions.on_servers(directory.present(now_s), now_s)
        versions = frozenset(
            server.software_version
            for server in directory.usable(admitted.service, now_s)
        )
        serving = ServingVersions(
            versions,
            self.fleet.is_listed,
            not directory.is_store_lost,
            self.fleet.list_asked_s,
        )
        request = TakeUp(
            admitted.service,
            admitted.opaque.begun_by,
            exchange.started_s,
            exchange.binding.wait.advance(now_s),
            exchange.first_token_wait_s,
        )
        return self.resumptions.decide(request, serving)

    def _ask(self, exchange: Exchange, needs_list: bool):
        if needs_list:
            self.fire(server_list_wanted(), "store")
        exchange.stage, exchange.server = Stage.WAITING_FOR_ORIGIN, None
        admitted = exchange.admitted
        if admitted.opaque.begun_by:
            query = stream_origin_requested(admitted.service, admitted.opaque.begun_by)
            self.fire(query, "gossip")

    def _refuse_resumption(
        self, exchange: Exchange, decision: ResumptionDecision, now_s: float
    ):
        log_not_resumed(exchange, decision, self.fleet.list_asked_s, now_s)
        self.fire(resumption_counted(decision.reason.value), "metrics")
        text = _REFUSAL_TEXTS[decision.reason]
        refusal = make_refusal(decision.reason, text, decision.retry_after_s)
        self.fail(exchange, refusal, now_s)

    def record_origin(self, exchange: Exchange, now_s: float) -> bool:
        """Remember the version of a stream whose events are relayed.

        Return whether the agent of its server was informed.
        """
        binding, opaque = exchange.binding, exchange.admitted.opaque
        if exchange.cutter is None or not binding.take_unrecorded():
            return False
        attempt = opaque.begun_by if exchange.is_taken_up else opaque.attempt
        service = exchange.admitted.service
        self.resumptions.on_relayed(service, attempt, binding.version, now_s)
        if exchange.stream_turn is not None or exchange.is_taken_up:
            return False
        # Without a turn the agent does not know the request.
        origin = StreamOrigin(service, attempt, binding.version)
        self.fire(agent_send(exchange.server, origin), "gossip")
        return True

    @handler("stream_origin_reported")
    def _on_stream_origin(
        self, service: ServiceName, attempt: AttemptId, version: SoftwareVersion
    ):
        now_s = time.monotonic()
        self.resumptions.on_reported(service, attempt, version, now_s)
        for exchange in self.exchanges_in(Stage.WAITING_FOR_ORIGIN):
            admitted = exchange.admitted
            if (admitted.service, admitted.opaque.begun_by) == (service, attempt):
                self.attempt(exchange, now_s)

    @handler("stream_origin_queried")
    def _on_stream_origin_query(self, query: StreamOriginQuery):
        service, attempt = ServiceName(query.service), AttemptId(query.attempt)
        version = self.resumptions.find_relayed(service, attempt)
        if version is not None:
            answer = StreamOrigin(service, attempt, version)
            self.fire(stream_origin_answered(query.address, answer), "gossip")

    @handler("server_list_confirmed", channel="*")
    def _on_list_confirmed(self, asked_s):
        now_s = time.monotonic()
        waiting = self.exchanges_in(Stage.WAITING_FOR_ORIGIN)
        for exchange in self.exchanges_in(Stage.WAITING_FOR_SERVER):
            if exchange.binding.version is not None:
                waiting.append(exchange)
        for exchange in waiting:
            self.attempt(exchange, now_s)

    @handler("server_list_gap", channel="*")
    def _on_server_list_gap(self):
        self.resumptions.on_list_gap(time.monotonic())

    @handler("software_versions_recorded", channel="*")
    def _on_versions_recorded(self, versions):
        self.resumptions.on_record(versions, time.monotonic())

    @handler("entry_list_read", "software_versions_listed", channel="*")
    def _on_records_read(self, *args):
        self.resumptions.on_records_read()

    @handler("store_restored", channel="*")
    def _on_record_lost(self):
        self.resumptions.on_store_restored(time.monotonic())
        # Each entry writes: the one that keeps the record may be out of step.
        versions = self.resumptions.take_changed_record()
        if versions is not None:
            self.fire(software_versions_due(versions), "store")
