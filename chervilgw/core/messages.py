"""Messages between processes.

Every message is a frozen dataclass whose fields are plain values, identifiers, enums or
other messages. :mod:`chervilgw.codec.frames` turns them into frames and back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from chervilgw.core.forward_messages import (
    DemandReport,
    EngineReport,
    EngineRestarted,
    EntryReport,
    EntryReportBatch,
    GrantMemory,
    ModelLoadRequest,
    ReportSubscription,
    StreamEnded,
    StreamOrigin,
    StreamOriginQuery,
    SuspicionReport,
    TurnGranted,
    TurnRefused,
    TurnReleased,
    TurnRequest,
)
from chervilgw.core.ids import (
    BudgetName,
    CrashId,
    CustomerId,
    Digest,
    Incarnation,
    KeyId,
    Offset,
    RequestId,
    VmId,
    ZoneId,
)
from chervilgw.core.states import (
    BackendKind,
    RefusalReason,
    Role,
    RunState,
    Urgency,
    VmState,
)


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side: a nonce to sign with the fleet secret."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """Identity of a process, with proof that it knows the fleet secret.

    ``nonce`` is the sender's challenge; the accepting side answers with a ``Hello``
    whose proof signs it.
    """

    incarnation: Incarnation
    role: Role
    zone: ZoneId
    address: str
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one backend server as observed by its sidecar.

    ``resident`` maps a model or adapter name to its copy state value; ``queue_tokens``
    maps a model name to the tokens waiting for it. ``pool`` is the group of engines
    that may hold the same models.
    """

    kind: BackendKind
    capacity_bytes: int
    free_bytes: int
    running: int
    queued: int
    resident: dict[str, str] = field(default_factory=dict)
    queue_tokens: dict[str, int] = field(default_factory=dict)
    services: tuple[str, ...] = ()
    pool: str = "default"

    def total_queue_tokens(self) -> int:
        """Return the tokens waiting for all models."""
        return sum(self.queue_tokens.values())


@dataclass(frozen=True, slots=True)
class VmReport:
    """State of a VM as seen by one process, relayed so that all views agree.

    ``sequence`` grows with each report that the incarnation makes of itself; reports
    with a lower sequence are ignored. ``load`` is None for an entry.
    """

    incarnation: Incarnation
    role: Role
    zone: ZoneId
    address: str
    state: VmState
    sequence: int
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message from both ends of each connection.

    ``config_age_s`` is the time since the sender's configuration was last confirmed.
    ``echo`` is the ``sequence`` of the newest heartbeat received from the peer.
    """

    sequence: int
    echo: int
    config_offset: Offset
    ledger_offset: Offset
    config_age_s: float
    reports: tuple[VmReport, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt of a request, sent from an entry to a sidecar.

    ``body`` is the caller's body for services and a normalised OpenAI body for models.
    ``resume_text`` and ``resume_position`` continue a stream after that many tokens.
    ``suspect_of`` names the crashes at which the request was running.
    """

    request_id: RequestId
    customer: CustomerId
    key: KeyId
    config_offset: Offset
    target: str
    kind: BackendKind
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    urgency: Urgency
    charge_tokens: int
    digest: Digest
    idempotency_key: str = ""
    idempotent: bool = True
    deadline_s: float | None = None
    resume_position: int = 0
    resume_text: str = ""
    suspect_of: tuple[CrashId, ...] = ()


@dataclass(frozen=True, slots=True)
class Started:
    """The attempt was sent to the engine or service; its tokens count from now."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Chunk:
    """Part of an answer.

    ``position`` is the number of tokens (models) or bytes (services) before this part,
    ``count`` the number in it.
    """

    request_id: RequestId
    position: int
    count: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """End of an answer, with the values that verify its completeness.

    ``length`` is the final position; ``checksum`` is xxh64 over all chunk data since
    the attempt's first chunk.
    """

    request_id: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    length: int
    checksum: int
    prompt_tokens: int = 0
    finish_reason: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt ended without a complete answer."""

    request_id: RequestId
    reason: RefusalReason
    run: RunState
    detail: str
    retry_after_s: float | None = None
    crash: CrashId | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop the attempt and release its engine work."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AttemptQuery:
    """Query the outcome of an attempt after its connection was lost.

    The sidecar resends the recorded chunks from ``position`` on, or ``Refused``.
    """

    request_id: RequestId
    position: int


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Request configuration records after ``offset`` from a peer."""

    offset: Offset


@dataclass(frozen=True, slots=True)
class ConfigRecords:
    """Configuration records in offset order: pairs of offset and record mapping.

    ``after`` is the offset that the receiver must have reached to apply them.
    """

    after: Offset
    records: tuple[tuple[int, dict[str, Any]], ...]


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """The complete configuration at an offset, in the form of a snapshot record."""

    offset: Offset
    snapshot: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Request units of a budget, or only tokens, from an entry.

    With ``spare_only``, the receiver transfers only what its demand does not use.
    ``tokens`` is set if the sender's cap suffices: apart from spare units it needs only
    bucket level.
    """

    budget: BudgetName
    units: int
    ledger_offset: Offset
    spare_only: bool = False
    tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareTransfer:
    """Transfer of units of a budget, which the sender has already given up.

    ``level`` is the bucket level that is transferred with the units, or alone if there
    are none.
    """

    transfer_id: str
    budget: BudgetName
    units: int
    level: float
    ledger_offset: Offset


@dataclass(frozen=True, slots=True)
class ShareReply:
    """Answer to a transfer: accepted, or refused because a newer collection is known.

    ``returned_level`` is the part of an accepted level that exceeded the receiver's
    headroom; it goes back to the sender of the transfer.
    """

    transfer_id: str
    accepted: bool
    returned_level: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareSnapshot:
    """A member's units at the fold of a collection, including unacknowledged transfers.

    ``units`` maps a budget name to units.
    """

    collection_offset: Offset
    member: Incarnation
    units: dict[str, int]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request one use of fleet-wide budgets, such as one weight load, from an entry."""

    permit_id: str
    budgets: tuple[BudgetName, ...]


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Answer to a permit request.

    With ``is_withheld`` the request stays queued, and a process that was lost may hold
    the permits that it waits for.
    """

    permit_id: str
    granted: bool
    retry_after_s: float = 0.0
    is_withheld: bool = False


@dataclass(frozen=True, slots=True)
class PermitRelease:
    """The use of a granted permit has ended."""

    permit_id: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A backend server crashed while requests with these digests were running.

    ``time_ms`` is the wall-clock time of the crash; blocks end relative to it. With
    ``cleared`` the requests have since completed, so that they are not suspects.
    """

    crash: CrashId
    vm: VmId
    digests: tuple[Digest, ...]
    time_ms: int
    cleared: bool = False


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The sender accepts no new requests from now on and finishes those it has."""

    incarnation: Incarnation


Message = (
    Challenge
    | Hello
    | Heartbeat
    | Dispatch
    | Started
    | Chunk
    | End
    | Refused
    | Cancel
    | AttemptQuery
    | ConfigRequest
    | ConfigRecords
    | ConfigSnapshot
    | ShareRequest
    | ShareTransfer
    | ShareReply
    | ShareSnapshot
    | PermitRequest
    | PermitGrant
    | PermitRelease
    | CrashReport
    | DrainNotice
    | EntryReport
    | EntryReportBatch
    | GrantMemory
    | DemandReport
    | ReportSubscription
    | SuspicionReport
    | EngineReport
    | EngineRestarted
    | TurnRequest
    | TurnGranted
    | TurnRefused
    | TurnReleased
    | StreamEnded
    | StreamOrigin
    | StreamOriginQuery
    | ModelLoadRequest
)
