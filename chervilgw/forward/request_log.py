"""Log events of the forwarding path, one for each decision on a request."""

from __future__ import annotations

from chervilgw.core.deployment import OpaqueRequest, ServerId
from chervilgw.core.ids import CrashId, RequestId, RequestTrait
from chervilgw.core.messages import SuspicionReport, TurnRefused
from chervilgw.core.refusals import Refusal
from chervilgw.crashes.stopped_runs import StoppedRun
from chervilgw.forward.exchange import Exchange
from chervilgw.routing.resumptions import ResumptionDecision
from chervilgw.runtime.events import CallFailed
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.scheduling.stream_budget import DelayReason
from chervilgw.telemetry import log_event


def log_early_refusal(
    opaque: OpaqueRequest | None, refusal: Refusal, status: int, version: int | None
) -> None:
    """Log a request that was refused before a server was chosen.

    ``opaque`` is None if the request could not be decoded.
    """
    log_event(
        "request_refused",
        request=opaque.attempt if opaque else "",
        path=_path(opaque) if opaque else None,
        prompt_tokens=opaque.prompt_tokens if opaque else None,
        output_tokens=opaque.output_tokens if opaque else None,
        reason=refusal.reason,
        detail=refusal.detail,
        status=status,
        retry_after_s=refusal.retry_after_s,
        version=version,
    )


def log_turn_refused(exchange: Exchange, answer: TurnRefused) -> None:
    """Log at an entry that an engine's agent refused a turn."""
    log_event(
        "turn_refused",
        request=exchange.admitted.opaque.attempt,
        server=answer.server,
        turn=answer.turn,
        unread_tokens=exchange.unread_tokens,
        retry_after_s=answer.retry_after_s,
        detail=answer.detail,
    )


def log_turn_answered(
    result: str, turn: RequestId, unread_tokens: int, **fields
) -> None:
    """Log at an engine's agent whether it granted a turn, with the reason."""
    log_event(
        "turn_answered", turn=turn, result=result, unread_tokens=unread_tokens, **fields
    )


def log_turn_delayed(
    item: QueuedItem, reason: DelayReason, remaining_s: float, running: int
) -> None:
    """Log at an engine's agent why the next request waits for running streams."""
    log_event(
        "turn_delayed",
        turn=item.request_id,
        reason=reason,
        unread_tokens=item.tokens,
        remaining_s=remaining_s,
        running=running,
    )


def log_attempt_not_served(exchange: Exchange, detail: str) -> None:
    """Log an answer that is not relayed to the caller."""
    log_event(
        "attempt_not_served",
        request=exchange.admitted.opaque.attempt,
        server=exchange.server,
        status=exchange.answer.status,
        not_run=exchange.answer.not_run,
        detail=detail,
    )


def log_attempt_failed(
    exchange: Exchange, failed: CallFailed, ejected_s: float | None, now_s: float
) -> None:
    """Log an attempt without a complete answer, and how far its answer had come."""
    since_s = exchange.answer_started_s
    log_event(
        "attempt_failed",
        request=exchange.admitted.opaque.attempt,
        server=exchange.server,
        sent=failed.sent,
        connection_lost=failed.connection_lost,
        server_started_ms=exchange.server_started_ms,
        prompt_parts=list(exchange.admitted.opaque.shared_parts),
        head_passed=exchange.head_forwarded,
        answering_s=None if since_s is None else round(now_s - since_s, 4),
        answer_reads=exchange.answer_reads,
        ejected_s=ejected_s,
        detail=failed.detail,
    )


def log_late_blame(run: StoppedRun, crash: CrashId, now_s: float) -> None:
    """Log that a run which had been given up is blamed for the end of its server."""
    log_event(
        "crash_blamed",
        crash=crash,
        traits=list(run.traits),
        known_strikes=list(run.strikes),
        stopped_before_s=round(now_s - run.stopped_s, 3),
    )


def log_chosen(
    exchange: Exchange, server: ServerId, unread_tokens: int, cost_s: float | None
) -> None:
    """Log a server that was chosen by expected completion, with the estimate."""
    if cost_s is None:
        return
    log_event(
        "server_chosen",
        request=exchange.admitted.opaque.attempt,
        server=server,
        unread_tokens=unread_tokens,
        expected_output_tokens=exchange.expected_output_tokens,
        cost_s=round(cost_s, 4),
    )


def log_ended(
    exchange: Exchange, outcome: str, now_s: float, refusal: Refusal | None
) -> None:
    """Log the end of a request, with its outcome and timing."""
    fields = {}
    if refusal is not None:
        fields = {
            "run": refusal.run,
            "detail": refusal.detail,
            "retry_after_s": refusal.retry_after_s,
        }
    opaque = exchange.admitted.opaque
    first_s = exchange.first_byte_after_s
    log_event(
        "request_ended",
        request=opaque.attempt,
        route=exchange.admitted.route.name,
        path=_path(opaque),
        model=opaque.model,
        adapter=opaque.adapter,
        prompt_tokens=opaque.prompt_tokens,
        output_tokens=opaque.output_tokens,
        hinted_output_tokens=opaque.hinted_output_tokens,
        expected_output_tokens=exchange.estimate and exchange.estimate.tokens,
        written_tokens=exchange.written_tokens,
        prompt_parts=list(opaque.shared_parts),
        server=exchange.server,
        software_version=exchange.binding.version,
        outcome=outcome,
        sends=exchange.sends,
        turns=[str(turn) for turn in exchange.turns],
        turn_wait_s=round(exchange.turn_wait_s, 4),
        first_byte_s=None if first_s is None else round(first_s, 4),
        longest_pause_s=round(exchange.longest_pause_s, 4),
        took_s=round(now_s - exchange.started_s, 4),
        **fields,
    )


def log_resumed(
    exchange: Exchange, decision: ResumptionDecision, list_asked_s: float, now_s: float
) -> None:
    """Log that a stream may go on, and how its software version is known."""
    _log_resumption("stream_resumed", exchange, decision, list_asked_s, now_s)


def log_not_resumed(
    exchange: Exchange, decision: ResumptionDecision, list_asked_s: float, now_s: float
) -> None:
    """Log that a stream may not go on, with the reason."""
    _log_resumption(
        "stream_not_resumed",
        exchange,
        decision,
        list_asked_s,
        now_s,
        reason=decision.reason,
        retry_after_s=decision.retry_after_s,
    )


def _log_resumption(
    event: str,
    exchange: Exchange,
    decision: ResumptionDecision,
    list_asked_s: float,
    now_s: float,
    **fields,
) -> None:
    opaque = exchange.admitted.opaque
    log_event(
        event,
        request=opaque.attempt,
        begun_by=opaque.begun_by,
        service=exchange.admitted.service,
        software_version=decision.version,
        source=decision.source,
        waited_s=round(now_s - exchange.started_s, 4),
        list_age_s=round(now_s - list_asked_s, 4) if list_asked_s > 0 else None,
        **fields,
    )


def log_blame(exchange: Exchange, crash: CrashId) -> None:
    """Log that a request may have crashed its server."""
    log_event(
        "crash_blamed",
        request=exchange.admitted.opaque.attempt,
        crash=crash,
        traits=list(exchange.traits),
        known_strikes=list(exchange.known_strikes),
        on_trial=exchange.on_trial,
    )


def log_trial_ended(exchange: Exchange, outcome: str) -> None:
    """Log the outcome of the trial of a request with suspect traits."""
    log_event(
        "trial_ended",
        request=exchange.admitted.opaque.attempt,
        server=exchange.server,
        outcome=outcome,
    )


def log_evidence(report: SuspicionReport) -> None:
    """Log evidence on traits that another entry sent."""
    log_event(
        "evidence_received",
        entry=str(report.sender),
        traits={
            item.trait: [
                max((blame.strike for blame in item.blames), default=0),
                len(item.refutals),
                item.on_trial,
            ]
            for item in report.evidence
        },
    )


def log_traits_blocked(traits: tuple[RequestTrait, ...]) -> None:
    """Log that requests with these traits are refused from now on."""
    log_event("traits_blocked", level="warning", traits=list(traits))


def _path(opaque: OpaqueRequest) -> str:
    return opaque.target.partition("?")[0]
