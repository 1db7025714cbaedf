"""Messages between entries and agents on the path of opaque requests.

They go by datagram: each may be lost, and a later one of its kind replaces it.
"""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.ids import CustomerId, Incarnation, RequestId
from chervilgw.core.states import Urgency


@dataclass(frozen=True, slots=True)
class EntryReport:
    """What an entry that forwards tells the others, several times a second.

    ``granted`` maps a customer to the tokens granted within the quota window.
    ``running`` maps a server to the requests at it, and ``unread_tokens`` to the prompt
    tokens of those that have not produced anything yet. ``address`` is where datagrams
    reach the sender. ``remembers`` is False while the sender may have forgotten grants
    of its former process, ``takes_requests`` while it starts or leaves.
    """

    sender: Incarnation
    address: str
    granted: dict[str, int]
    running: dict[str, int]
    unread_tokens: dict[str, int]
    remembers: bool = True
    takes_requests: bool = True


@dataclass(frozen=True, slots=True)
class DemandReport:
    """What an entry tells the others of the demand for models, once a second.

    ``rates`` maps a model to the requests per second for it, ``sudden`` to those of the
    last two seconds, and ``running`` to those in progress.
    """

    sender: Incarnation
    address: str
    rates: dict[str, float]
    sudden: dict[str, float]
    running: dict[str, int]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class EngineWatch:
    """Ask the agent beside an engine for reports; valid for a few seconds.

    ``server`` and ``started_ms`` are what the platform's list says is at the engine's
    address; the agent puts them into its orders, and another server refuses those.
    """

    sender: Incarnation
    address: str
    server: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, read by the agent beside it.

    ``adapters`` maps a loaded model to its loaded adapters. ``orders`` counts the
    orders that the engine accepted; ``busy`` says that one is under way, and
    ``loading`` which model it loads or is to load. ``near`` lists models whose weights
    are in the VM's memory or on its disk, where a load is short and not counted.
    ``answers`` is False if the engine does not answer its agent.
    """

    server: str
    started_ms: int
    orders: int
    draining: bool
    busy: bool
    loading: str
    adapters: dict[str, tuple[str, ...]]
    waiting: int
    running: int
    used_tokens: int
    near: tuple[str, ...] = ()
    answers: bool = True


@dataclass(frozen=True, slots=True)
class TurnWanted:
    """Ask an engine's agent for the turn to send a request.

    ``tokens`` is what the engine has to read of the prompt. The agent loads the adapter
    first if there is one. ``patience_s`` is how long the caller waits for a token, and
    ``target_in_s`` how long until the first token is late.
    ``address`` is where the agent answers.
    """

    turn: RequestId
    address: str
    server: str
    model: str
    adapter: str
    customer: CustomerId
    tokens: int
    urgency: Urgency
    patience_s: float
    target_in_s: float


@dataclass(frozen=True, slots=True)
class TurnGiven:
    """The request may be sent to the engine now."""

    turn: RequestId
    server: str


@dataclass(frozen=True, slots=True)
class TurnRefused:
    """The engine will not read the request in time, or takes none any more.

    ``is_busy`` says that the engine could serve the request, but not in time.
    """

    turn: RequestId
    server: str
    retry_after_s: float
    detail: str
    is_busy: bool = True


@dataclass(frozen=True, slots=True)
class TurnEnded:
    """The engine has read the request, or it is not wanted any more."""

    turn: RequestId
    server: str


@dataclass(frozen=True, slots=True)
class ModelWanted:
    """Ask an engine's agent to load a model, and to unload others before that."""

    server: str
    model: str
    unload: tuple[str, ...]
