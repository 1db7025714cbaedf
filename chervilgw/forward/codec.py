"""Protocol of a front end's encoding, as the forwarding path uses it."""

from __future__ import annotations

from typing import Protocol

from chervilgw.core.deployment import AttemptId, OpaqueRequest
from chervilgw.core.refusals import Refusal
from chervilgw.forward.messages import ServerAnswer, ServerRequest
from chervilgw.runtime.events import Headers, HttpRequest


class FrontCodec(Protocol):
    """Translates between callers, backend servers and the forwarding path."""

    def decode_request(self, http: HttpRequest) -> OpaqueRequest:
        """Return the request of a caller; raises `ChervilError` if it is malformed."""
        ...

    def encode_request(self, request: ServerRequest) -> Headers:
        """Return the headers for a backend server."""
        ...

    def decode_answer(self, status: int, headers: Headers) -> ServerAnswer:
        """Return the head of a backend server's answer."""
        ...

    def encode_refusal(self, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, headers and body for a refused caller."""
        ...

    def echo(self, attempt: AttemptId) -> tuple[str, str] | None:
        """Return the header by which an answer identifies its attempt, or None."""
        ...
