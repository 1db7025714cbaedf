"""Messages between the filters and tasks of the forwarding path."""

from __future__ import annotations

from dataclasses import dataclass

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
class Incoming:
    """A caller's request with the deployment in force at its arrival."""

    opaque: OpaqueRequest
    deployment: Deployment


@dataclass(frozen=True, slots=True)
class OnRoute:
    """A request with its route and the service selected among the destinations."""

    opaque: OpaqueRequest
    deployment: Deployment
    route: RouteRule
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Admitted:
    """A permitted request with its price; ``customer`` is None on an open route."""

    opaque: OpaqueRequest
    route: RouteRule
    service: ServiceName
    customer: CustomerRule | None
    charge: int

    @property
    def rank(self) -> int:
        """Return the urgency: a customer's own goes before the route's."""
        if self.customer is not None and self.customer.rank is not None:
            return self.customer.rank
        return self.route.rank


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """One attempt at a backend server, ``remaining_s`` before its deadline."""

    opaque: OpaqueRequest
    server: ServerId | None
    remaining_s: float | None
    customer: CustomerId | None
    rank: int | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Head of an answer.

    ``not_run`` says that the server certainly did not run the request. ``sealed`` says
    that the answer carries the server's signature, ``encoded`` that its body has a
    content encoding, which no backend server uses.
    """

    status: int
    headers: Headers
    not_run: bool
    sealed: bool
    encoded: bool
    length_bytes: int | None

    @property
    def is_own(self) -> bool:
        """Return whether it is an answer of the server's own to the request."""
        return self.sealed and not self.encoded and not self.not_run
