"""What an entry may decide on a request that is not at a server."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.deployment import ServerId
from chervilgw.core.refusals import Refusal


@dataclass(frozen=True, slots=True)
class SendNow:
    """Send the request to this server now.

    ``cost_s`` is the estimate by which the server was chosen, if any.
    """

    server: ServerId
    unread_tokens: int
    cost_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestTurn:
    """Request a turn from the agent of this engine, as in :class:`SendNow`."""

    server: ServerId
    unread_tokens: int
    cost_s: float | None = None


@dataclass(frozen=True, slots=True)
class WaitForModel:
    """Hold the request: its model will be loaded while the caller still waits."""


@dataclass(frozen=True, slots=True)
class WaitForServer:
    """Hold the request: a server that asked for a pause takes it in time."""


@dataclass(frozen=True, slots=True)
class WaitForList:
    """Hold the request until the list of servers was read again."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request."""

    refusal: Refusal


Decision = SendNow | RequestTurn | WaitForModel | WaitForServer | WaitForList | Refuse
