"""Filter: check the customer's permissions and price the request in tokens."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from chervilgw.codec.openai import (
    CompletionRequest,
    encode_engine_body,
    estimate_prompt_tokens,
)
from chervilgw.configuration.lookups import (
    effective_value,
    may_use_model,
    may_use_service,
    resolve_model,
)
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import Digest
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, RefusalReason, Urgency
from chervilgw.crashes import request_digest
from chervilgw.entry.messages import Authenticated, ModelTarget, Priced, ServiceTarget

# Plain service calls cost tokens too, so that the quota also limits them.
SERVICE_CALL_TOKENS = 1
PREFIX_CHARACTERS = 512
MAX_PREFIXES = 8

_DEADLINE_FIELDS = {
    Urgency.INTERACTIVE: "interactive_deadline_ms",
    Urgency.STANDARD: "standard_deadline_ms",
    Urgency.OVERNIGHT: "overnight_deadline_ms",
}

# Hop-by-hop headers, and those that would reveal the caller's key to the service.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-api-key",
    }
)


def price(message: Authenticated, now_s: float) -> Result[Priced, Refusal]:
    """Return the request with its price, or a refusal.

    Parameters
    ----------
    message : Authenticated
        Request with a checked key; its target is a model or a service.
    now_s : float
        Present time.

    Returns
    -------
    Result of Priced or Refusal
    """
    match message.target:
        case ModelTarget(request):
            return _price_model(message, request)
        case ServiceTarget():
            return _price_service(message, message.target)
        case _:
            detail = "the request has no backend server"
            return Failure(make_refusal(RefusalReason.UNKNOWN_ROUTE, detail))


def _price_model(
    message: Authenticated, request: CompletionRequest
) -> Result[Priced, Refusal]:
    state, identity = message.state, message.identity
    resolved = resolve_model(state, request.model)
    if resolved is None:
        detail = f"there is no model {request.model!r}"
        return Failure(make_refusal(RefusalReason.UNKNOWN_MODEL, detail))
    if not may_use_model(state, identity.customer, request.model):
        detail = f"the customer may not use model {request.model!r}"
        return Failure(make_refusal(RefusalReason.NOT_ALLOWED, detail))
    scope = {"customer": identity.customer, "model": resolved.name}
    limit = int(effective_value(state, "max_tokens_limit", **scope))
    default = min(limit, int(effective_value(state, "max_tokens_default", **scope)))
    max_tokens = request.max_tokens or default
    prompt_tokens = estimate_prompt_tokens(request)
    if max_tokens > limit:
        return _refuse_too_large(f"max_tokens is {max_tokens}, the limit is {limit}")
    if prompt_tokens + max_tokens > resolved.model.context_tokens:
        detail = f"the context of {request.model!r}, {resolved.model.context_tokens}"
        return _refuse_too_large(f"prompt and max_tokens exceed {detail} tokens")
    body = encode_engine_body(request, max_tokens)
    return Success(
        Priced(
            message.http.exchange,
            identity,
            state.offset,
            BackendKind.ENGINE,
            request.model,
            resolved.name,
            resolved.adapter_name,
            resolved.model.pool,
            resolved.model.size_bytes,
            "POST",
            request.endpoint.value,
            (),
            body,
            request.stream,
            request.urgency,
            request.deadline_s or _deadline_s(state, request.urgency, scope),
            prompt_tokens,
            prompt_tokens + max_tokens,
            request_digest(identity.customer, request.model, body),
            prompt_prefixes(request),
            "",
            True,
            request,
        )
    )


def _price_service(
    message: Authenticated, target: ServiceTarget
) -> Result[Priced, Refusal]:
    http, state, identity = message.http, message.state, message.identity
    customer = "" if identity is None else identity.customer
    if identity is not None and not may_use_service(state, customer, target.service):
        detail = f"the customer may not use service {target.service!r}"
        return Failure(make_refusal(RefusalReason.NOT_ALLOWED, detail))
    scope = {"customer": customer or None, "service": target.service}
    idempotency_key = http.headers.get("idempotency-key", "")
    if len(idempotency_key) > 255:
        return _refuse_too_large("Idempotency-Key is longer than 255 characters")
    pool = state.items[Kind.SERVICE][target.service].value.pool
    content = f"{http.method} {target.path}\n".encode() + http.body
    return Success(
        Priced(
            http.exchange,
            identity,
            state.offset,
            BackendKind.SERVICE,
            target.service,
            "",
            None,
            pool,
            0,
            http.method,
            target.path,
            forwarded_headers(http.headers),
            http.body,
            False,
            Urgency.STANDARD,
            _deadline_s(state, Urgency.STANDARD, scope),
            0,
            SERVICE_CALL_TOKENS,
            request_digest(customer, target.service, content),
            (),
            idempotency_key,
            target.route.idempotent,
        )
    )


def forwarded_headers(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers that a plain service receives.

    Parameters
    ----------
    headers : dict
        Headers of the caller's request, names in lower case.

    Returns
    -------
    tuple of (str, str)

    Examples
    --------
    >>> forwarded_headers({"authorization": "Bearer k", "accept": "*/*"})
    (('accept', '*/*'),)
    """
    return tuple(
        (name, value) for name, value in headers.items() if name not in _DROPPED_HEADERS
    )


def prompt_prefixes(request: CompletionRequest) -> tuple[Digest, ...]:
    """Return digests of the prompt's prefixes, shortest first.

    Parameters
    ----------
    request : CompletionRequest
        Request; an engine may have cached prefixes of its prompt.

    Returns
    -------
    tuple of Digest
        One per :data:`PREFIX_CHARACTERS`, at most :data:`MAX_PREFIXES`.
    """
    text = request.prompt or "\n".join(
        str(message.get("content")) for message in request.messages
    )
    ends = range(PREFIX_CHARACTERS, len(text) + 1, PREFIX_CHARACTERS)
    return tuple(
        request_digest("", request.model, text[:end].encode())
        for end in ends[:MAX_PREFIXES]
    )


def _deadline_s(state: ConfigurationState, urgency: Urgency, scope: dict) -> float:
    return effective_value(state, _DEADLINE_FIELDS[urgency], **scope) / 1000


def _refuse_too_large(detail: str) -> Result[Priced, Refusal]:
    return Failure(make_refusal(RefusalReason.BAD_REQUEST, detail))
