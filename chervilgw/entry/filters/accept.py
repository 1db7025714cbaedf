"""Filter: find the route of a caller's request and check its format."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from chervilgw.codec.openai import Endpoint, parse_request
from chervilgw.configuration.lookups import service_route
from chervilgw.configuration.values import Kind
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.entry.messages import (
    Accepted,
    Incoming,
    ListTarget,
    ModelTarget,
    ServiceTarget,
    Target,
)
from chervilgw.keys.authenticate import strip_bearer_scheme

SERVICES_PREFIX = "/services/"
MODELS_PATH = "/v1/models"


def accept(message: Incoming, now_s: float) -> Result[Accepted, Refusal]:
    """Return the request with its target, or a refusal.

    Parameters
    ----------
    message : Incoming
        Request of a caller.
    now_s : float
        Present time.

    Returns
    -------
    Result of Accepted or Refusal
    """
    key_text = strip_bearer_scheme(message.http.headers.get("authorization"))
    refusal = _refuse_leaked_key(message, key_text)
    if refusal is not None:
        return Failure(refusal)
    return _find_target(message).map(
        lambda target: Accepted(message.http, message.state, target, key_text)
    )


def _refuse_leaked_key(message: Incoming, key_text: str) -> Refusal | None:
    """Refuse a key outside the Authorization header, as the backend would get it."""
    if not key_text:
        return None
    http = message.http
    secret = key_text.encode()
    other_headers = [
        value for name, value in http.headers.items() if name != _KEY_HEADER
    ]
    if (
        any(key_text in text for text in (http.path, http.query, *other_headers))
        or secret in http.body
    ):
        detail = "the key may only be in the Authorization header"
        return make_refusal(RefusalReason.BAD_REQUEST, detail)
    return None


_KEY_HEADER = "authorization"


def _find_target(message: Incoming) -> Result[Target, Refusal]:
    http = message.http
    for endpoint in Endpoint:
        if http.path == endpoint.value:
            if http.method != "POST":
                return _refuse_unknown_route(message)
            parsed = parse_request(endpoint, http.body, http.headers.items())
            return parsed.map(ModelTarget).alt(lambda error: error.to_refusal())
    if http.method == "GET" and http.path == MODELS_PATH:
        return Success(ListTarget())
    if http.method == "GET" and http.path.startswith(f"{MODELS_PATH}/"):
        return Success(ListTarget(http.path.removeprefix(f"{MODELS_PATH}/")))
    if http.path.startswith(SERVICES_PREFIX):
        return _find_service(message)
    return _refuse_unknown_route(message)


def _find_service(message: Incoming) -> Result[Target, Refusal]:
    http = message.http
    name, _, rest = http.path.removeprefix(SERVICES_PREFIX).partition("/")
    item = message.state.items[Kind.SERVICE].get(name)
    if item is None:
        detail = f"there is no service {name!r}"
        return Failure(make_refusal(RefusalReason.UNKNOWN_SERVICE, detail))
    path = f"/{rest}"
    route = service_route(item.value, http.method, path)
    if route is None:
        return _refuse_unknown_route(message)
    if http.query:
        path += f"?{http.query}"
    return Success(ServiceTarget(name, path, route))


def _refuse_unknown_route(message: Incoming) -> Result[Target, Refusal]:
    detail = f"there is no route {message.http.method} {message.http.path}"
    return Failure(make_refusal(RefusalReason.UNKNOWN_ROUTE, detail))
