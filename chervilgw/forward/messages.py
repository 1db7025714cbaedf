"""Messages between the filters and tasks of the forwarding path."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.answers import AnswerHead, ServerSignals
from chervilgw.core.deployment import (
    CustomerRule,
    Deployment,
    OpaqueRequest,
    RouteRule,
    ServerId,
)
from chervilgw.core.ids import CustomerId, ServiceName

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request and the deployment in force when it arrived."""

    opaque: OpaqueRequest
    deployment: Deployment


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and the service selected among the destinations."""

    opaque: OpaqueRequest
    deployment: Deployment
    route: RouteRule
    service: ServiceName


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An authenticated request and its charge.

    ``customer`` is None on an anonymous route. ``charge`` is in tokens, or 1 if the
    customer's quota counts requests.
    """

    opaque: OpaqueRequest
    route: RouteRule
    service: ServiceName
    customer: CustomerRule | None
    charge: int

    @property
    def rank(self) -> int:
        """Return the urgency rank: the customer's if it has one, else the route's."""
        if self.customer is not None and self.customer.rank is not None:
            return self.customer.rank
        return self.route.rank


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """One attempt at a backend server; its deadline is in ``remaining_s``."""

    opaque: OpaqueRequest
    server: ServerId | None
    remaining_s: float | None
    customer: CustomerId | None
    rank: int | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Head of an answer.

    ``not_run`` is true if the server certainly did not run the request, ``sealed`` if
    the answer carries the server's signature, and ``encoded`` if its body has a content
    encoding, which no backend server uses. ``is_event_stream`` is true if the body is a
    series of events, ``framed`` if its end is marked by a length or a last chunk.
    ``signals`` is what the server says of itself.
    """

    status: int
    headers: Headers
    not_run: bool
    sealed: bool
    encoded: bool
    length_bytes: int | None
    is_event_stream: bool = False
    framed: bool = True
    signals: ServerSignals = ServerSignals()

    @property
    def head(self) -> AnswerHead:
        """Return the properties that decide on the use of the answer."""
        from_server = self.sealed and not self.encoded
        return AnswerHead(self.status, self.not_run, from_server, self.is_event_stream)
