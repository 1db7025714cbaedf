"""HTTP calls to the engine or service behind a sidecar, and refusals of attempts."""

from __future__ import annotations

from chervilgw.core.ids import CrashId, RequestId
from chervilgw.core.messages import Dispatch, Refused
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.runtime.events import Headers, HttpCall
from chervilgw.sidecar.generation import engine_request_body

FIRST_TOKEN_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 5.0
SERVICE_TIMEOUT_S = 30.0
ANSWER_HEADERS = frozenset({"content-type", "location", "etag", "cache-control"})


def make_backend_call(
    dispatch: Dispatch, call: str, reply_to: str, address: str, is_engine: bool
) -> HttpCall:
    """Return the HTTP call that runs an attempt.

    Parameters
    ----------
    dispatch : Dispatch
        The attempt.
    call : str
        Call id.
    reply_to : str
        Channel for the result.
    address : str
        Address of the engine or service.
    is_engine : bool
        Whether the address is a model engine's, which streams its answer.

    Returns
    -------
    HttpCall
    """
    if is_engine:
        return HttpCall(
            call,
            reply_to,
            address,
            "POST",
            dispatch.path,
            (("Content-Type", "application/json"),),
            engine_request_body(dispatch),
            timeout_s=FIRST_TOKEN_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            new_connection=True,
            stream=True,
            notify_sent=True,
        )
    return HttpCall(
        call,
        reply_to,
        address,
        dispatch.method,
        dispatch.path,
        dispatch.headers,
        dispatch.body,
        timeout_s=SERVICE_TIMEOUT_S,
        # If the service closed a reused connection at that moment, the outcome of a
        # booking would be unknown; idempotent requests can be repeated.
        new_connection=not dispatch.idempotent,
        notify_sent=True,
    )


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a service's answer that are forwarded to the caller."""
    return tuple((n, v) for n, v in headers if n.lower() in ANSWER_HEADERS)


def refusal_of_status(status: int) -> Refusal:
    """Return the refusal for an engine's HTTP error status.

    Parameters
    ----------
    status : int
        HTTP status, not 200.

    Returns
    -------
    Refusal
    """
    if status == 404:
        detail = "the model is not loaded on the engine"
        return make_refusal(RefusalReason.MODEL_NOT_LOADED, detail, 0.5)
    detail = f"the engine answered with status {status}"
    return make_refusal(RefusalReason.BACKEND_ERROR, detail, 0.5)


def refuse_backend_lost(run: RunState, detail: str) -> Refusal:
    """Return the refusal of an attempt whose answer is incomplete."""
    return Refusal(RefusalReason.BACKEND_LOST, run, detail, 0.0)


def refuse_engine_down() -> Refusal:
    """Return the refusal of an attempt at a server whose engine is down."""
    detail = "the backend server's engine is down"
    return make_refusal(RefusalReason.BACKEND_LOST, detail, 0.5)


def make_refused(
    request_id: RequestId, refusal: Refusal, crash: CrashId | None = None
) -> Refused:
    """Return the message that reports a refusal to the entry.

    Parameters
    ----------
    request_id : RequestId
        The attempt.
    refusal : Refusal
        Why it has no complete answer.
    crash : CrashId or None
        Engine crash that ended the attempt.

    Returns
    -------
    Refused
    """
    return Refused(
        request_id,
        refusal.reason,
        refusal.run,
        refusal.detail,
        refusal.retry_after_s,
        crash,
    )
