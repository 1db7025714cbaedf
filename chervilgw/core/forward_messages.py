"""Messages between entries and agents on the path of opaque requests.

They are sent as datagrams: a message may be lost, and a later one of the same kind
replaces it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.ids import (
    CrashId,
    CustomerId,
    Incarnation,
    RequestId,
    RequestTrait,
)
from chervilgw.core.states import Urgency


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """Availability zones whose servers get no requests.

    ``positions`` maps a zone to the position in the operators' log of the record that
    evacuated it. ``end`` is the end of the part of the log that the set reflects.
    ``retained`` maps a zone that was evacuated before the log came back from a copy,
    and that the log has not stated since, to the seconds for which it still counts.
    """

    positions: dict[str, int]
    end: int
    retained: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Grants and load of an entry, sent to the other entries several times a second.

    ``granted`` maps a customer to the tokens granted within the quota window.
    ``running`` maps a server to the requests at it, and ``unread_tokens`` to the prompt
    tokens of those that have not produced anything yet. ``address`` is where datagrams
    reach the sender. ``grants_complete`` is False while the sender does not know what
    ended processes granted, ``accepts_requests`` while it starts or drains. ``leaving``
    maps a server that gave notice lately to the start time of its incarnation. ``zone``
    is the sender's availability zone, and ``draining`` says that it was asked to stop.
    ``evacuated`` is None while the sender knows no set of evacuated zones.
    ``unwritten_tokens`` maps a server to the output tokens that its requests are still
    expected to write, ``held_tokens`` to the memory that they will occupy.
    ``granted_ever`` maps a customer to the tokens granted since the sender started,
    less what was cancelled. ``sequence`` numbers the reports of a process from 1.
    ``configuration_version`` is the version in force, -1 before the first one.
    """

    sender: Incarnation
    address: str
    granted: dict[str, int]
    running: dict[str, int]
    unread_tokens: dict[str, int]
    grants_complete: bool = True
    accepts_requests: bool = True
    leaving: dict[str, int] = field(default_factory=dict)
    zone: str = ""
    draining: bool = False
    evacuated: EvacuatedZones | None = None
    unwritten_tokens: dict[str, int] = field(default_factory=dict)
    held_tokens: dict[str, int] = field(default_factory=dict)
    granted_ever: dict[str, int] = field(default_factory=dict)
    sequence: int = 0
    configuration_version: int = -1

    @property
    def may_plan(self) -> bool:
        """Return whether the sender may plan the models of the engines.

        An entry that was asked to stop still accepts requests for some seconds.
        """
        return self.accepts_requests and not self.draining


@dataclass(frozen=True, slots=True)
class AgedGrant:
    """Amount granted to a customer, and its age."""

    customer: str
    age_s: float
    amount: int


@dataclass(frozen=True, slots=True)
class KnownPeer:
    """Entry that another one knows, heard last some time ago, with its grants."""

    entry: Incarnation
    silent_s: float
    grants: tuple[AgedGrant, ...]


@dataclass(frozen=True, slots=True)
class GrantMemory:
    """What an entry remembers of grants within the quota window, for a started one.

    ``ended`` holds those of processes that have ended, ``peers`` the other entries that
    the sender knows.
    """

    sender: Incarnation
    ended: tuple[AgedGrant, ...]
    peers: tuple[KnownPeer, ...]


@dataclass(frozen=True, slots=True)
class EntryReportBatch:
    """Reports of the entries of one availability zone, from one of its relays."""

    reports: tuple[EntryReport, ...]


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand for models at an entry, sent to the other entries once a second.

    ``rates`` maps a model to the requests per second for it, ``recent_rates`` to those
    of the last two seconds, and ``running`` to the requests in progress.
    """

    sender: Incarnation
    address: str
    rates: dict[str, float]
    recent_rates: dict[str, float]
    running: dict[str, int]
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ReportSubscription:
    """Subscribe to the reports of an engine's agent for a few seconds.

    ``server`` and ``started_ms`` identify the server registered at the engine's
    address. The agent puts them into its orders, and any other server refuses those.
    ``cold_s`` is how much longer the server is cold as far as the entry knows from
    other sources than the agent, None if it does not know. ``cold_start_s`` and
    ``cold_per_s`` are those of the server's service, for an agent that has not read the
    configuration. ``software_version`` is that of the registered server.
    """

    sender: Incarnation
    address: str
    server: str
    started_ms: int
    cold_s: float | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, read by the agent on its VM.

    ``adapters`` maps a loaded model to its loaded adapters. ``orders`` counts the
    orders that the engine accepted; ``busy`` says that one is in progress, and
    ``loading`` which model it loads or is to load. ``local_models`` lists models whose
    weights are in the VM's memory or on its disk, where a load is short and does not
    count as a load from the weight store. ``responding`` is False if the engine does
    not answer its agent. ``prefill_tokens_per_s`` is the measured mean speed at which
    the engine reads prompts, 0 if the agent does not measure it. ``model_speeds`` maps
    a model with enough samples to its speed, and ``token_s`` to the seconds per output
    token of a running stream while no prompt is prefilled. ``cold_s`` is how much
    longer the engine is cold, None if the agent does not know.
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
    local_models: tuple[str, ...] = ()
    responding: bool = True
    prefill_tokens_per_s: float = 0.0
    model_speeds: dict[str, float] = field(default_factory=dict)
    token_s: dict[str, float] = field(default_factory=dict)
    cold_s: float | None = None


@dataclass(frozen=True, slots=True)
class EngineRestarted:
    """The engine of a registered server has started anew and is not registered yet.

    ``server`` is the former registration, ``started_ms`` the start of the engine that
    answers at its address now.
    """

    server: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """Request a turn from an engine's agent: the right to send one prompt.

    ``tokens`` is what the engine has to read of the prompt. The agent loads the adapter
    first if there is one. ``max_wait_s`` is how long the caller waits for a token, and
    ``target_remaining_s`` how long until the first token is late. ``address`` is where
    the agent sends its answer. ``output_tokens`` is the expected output,
    ``deadline_remaining_s`` how long until the stream has to end, and ``max_pause_s``
    the longest pause between its events; 0 means unknown. ``other_tokens_per_s`` is the
    prefill speed of the fastest other engine that may take the request, 0 if there is
    none. ``started_ms`` is the start of the engine that the entry knows, in ms of the
    Unix epoch; it is stated for a stream that goes on, 0 otherwise.
    """

    turn: RequestId
    address: str
    server: str
    model: str
    adapter: str
    customer: CustomerId
    tokens: int
    urgency: Urgency
    max_wait_s: float
    target_remaining_s: float
    output_tokens: int = 0
    deadline_remaining_s: float = 0.0
    max_pause_s: float = 0.0
    other_tokens_per_s: float = 0.0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class TurnGranted:
    """The request may be sent to the engine now.

    ``waited_s`` is the time from the arrival of the first request for this turn at the
    agent to the grant. The entry derives from it how old the grant may be.
    """

    turn: RequestId
    server: str
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TurnRefused:
    """The engine cannot read the prompt in time, or accepts no more requests.

    ``is_busy`` says that the engine could serve the request, but not in time.
    """

    turn: RequestId
    server: str
    retry_after_s: float
    detail: str
    is_busy: bool = True


@dataclass(frozen=True, slots=True)
class TurnReleased:
    """The engine has read the prompt (``was_read``), or the request was withdrawn.

    ``begun_by`` is the caller's attempt if the engine has begun its stream; such a
    message follows the release once the first event has arrived in whole.
    """

    turn: RequestId
    server: str
    was_read: bool = False
    begun_by: str = ""


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A request with a granted turn runs no longer at the engine, whatever the reason.

    ``output_tokens`` are those of the events that arrived, and ``took_s`` is the time
    from the first of them to the last. ``whole`` says that they are the whole output.
    """

    turn: RequestId
    server: str
    output_tokens: int
    took_s: float
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ModelLoadRequest:
    """Request that an engine's agent load a model after it has unloaded others."""

    server: str
    model: str
    unload: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StreamOriginQuery:
    """Ask an entry or agent which software version began a stream.

    ``attempt`` is the caller's attempt that brought its first event, ``address`` where
    the answer is sent. Who does not know the version does not answer.
    """

    service: str
    attempt: str
    address: str


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version that began a stream."""

    service: str
    attempt: str
    version: str


@dataclass(frozen=True, slots=True)
class CrashBlame:
    """One crash of a server at which a trait was present.

    ``strike`` is 1 plus the strikes that were known when the request was sent: crashes
    of requests that were under way together have the same number. ``age_s`` is the time
    since the sender heard of the crash.
    """

    crash: CrashId
    strike: int
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashRefutal:
    """A crash that a trait did not cause, as a run with the trait survived since."""

    crash: CrashId
    age_s: float


@dataclass(frozen=True, slots=True)
class TraitEvidence:
    """What an entry knows for and against one trait of requests.

    ``proven_age_s`` is the time since a run with the trait survived, or None.
    ``on_trial`` says that the sender is trying a request with the trait.
    """

    trait: RequestTrait
    blames: tuple[CrashBlame, ...]
    refutals: tuple[CrashRefutal, ...]
    proven_age_s: float | None
    on_trial: bool


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """Evidence on traits, sent to other entries when it changes."""

    sender: Incarnation
    evidence: tuple[TraitEvidence, ...]
