"""Messages between the entry's filters, in the order of the path."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from chervilgw.codec.openai import CompletionRequest
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Route
from chervilgw.core.ids import (
    BudgetName,
    CrashId,
    Digest,
    RequestId,
    VmId,
)
from chervilgw.core.messages import Dispatch
from chervilgw.core.states import BackendKind, Urgency
from chervilgw.keys.authenticate import KeyIdentity
from chervilgw.membership.task import FleetSnapshot
from chervilgw.quota.budget_names import customer_budget
from chervilgw.routing.choice import Choice
from chervilgw.runtime.events import HttpRequest


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request with the configuration at its arrival."""

    http: HttpRequest
    state: ConfigurationState


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """A completion request."""

    request: CompletionRequest


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A plain service call; ``path`` is relative to the service, with the query."""

    service: str
    path: str
    route: Route


@dataclass(frozen=True, slots=True)
class ListTarget:
    """A request for the model list, or for one model if ``name`` is set."""

    name: str | None = None


Target = ModelTarget | ServiceTarget | ListTarget


@dataclass(frozen=True, slots=True)
class Accepted:
    """A well-formed request with a known route."""

    http: HttpRequest
    state: ConfigurationState
    target: Target
    key_text: str


@dataclass(frozen=True, slots=True)
class Authenticated:
    """A request with a checked key; ``identity`` is None on an open route."""

    http: HttpRequest
    state: ConfigurationState
    target: Target
    identity: KeyIdentity | None


@dataclass(frozen=True, slots=True)
class Priced:
    """A permitted request with its price; later steps need no key and no prompt.

    ``charge_tokens`` is the prompt's estimate plus ``max_tokens``. ``target_name`` is
    the adapter's name for a request to an adapter; ``model`` is always the model's.
    """

    exchange: int
    identity: KeyIdentity | None
    config_offset: int
    kind: BackendKind
    target_name: str
    model: str
    adapter: str | None
    pool: str
    size_bytes: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    urgency: Urgency
    deadline_s: float | None
    prompt_tokens: int
    charge_tokens: int
    digest: Digest
    prefixes: tuple[Digest, ...]
    idempotency_key: str
    idempotent: bool
    request: CompletionRequest | None = None

    @property
    def budget(self) -> BudgetName | None:
        """Return the customer's budget, or None on an open route."""
        if self.identity is None:
            return None
        return customer_budget(self.identity.customer)


@dataclass(frozen=True, slots=True)
class Attempt:
    """Input for choosing the backend server of one attempt."""

    priced: Priced
    request_id: RequestId
    fleet: FleetSnapshot
    zone: str
    outstanding: Mapping[VmId, int]
    cached_prefixes: Mapping[VmId, int]
    excluded: frozenset[VmId]
    suspect_of: tuple[CrashId, ...]
    random_value: float
    resume_position: int = 0
    resume_text: str = ""
    deadline_s: float | None = None


@dataclass(frozen=True, slots=True)
class Chosen:
    """An attempt with its chosen backend server."""

    attempt: Attempt
    choice: Choice


@dataclass(frozen=True, slots=True)
class Routed:
    """The message of an attempt and the server to send it to."""

    choice: Choice
    message: Dispatch

    @property
    def vm(self) -> VmId:
        """Return the VM of the server."""
        return self.choice.vm
