"""Decisions on requests that take a stream up: at which software version it may go on.

What this entry relayed is certain. Other entries and the agents of engines are asked
for what it did not relay. The versions that lately served decide alone only if nobody
answers: the list of servers lags, so that a version which has just come into service
may be known to another entry first.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.deployment import AttemptId, RegisteredServer
from chervilgw.core.ids import ServiceName, SoftwareVersion
from chervilgw.core.states import RefusalReason
from chervilgw.routing.stream_origins import (
    ResumptionStep,
    StreamOrigins,
    decide_resumption,
    make_stream_origins,
)
from chervilgw.routing.version_history import (
    RecordedVersions,
    VersionHistory,
    make_version_history,
)

# An answer takes a round trip of a few ms; the query is repeated at each tick of 0.1 s.
ORIGIN_WAIT_S = 0.3
# If one version alone has served lately, a single query is enough.
SOLE_VERSION_WAIT_S = 0.1
# Fraction of the caller's wait for a first event that may go to the queries.
ORIGIN_WAIT_FRACTION = 0.2
# An entry that has just started has read the list and the record by then.
RETRY_AFTER_S = 0.5


class OriginSource(Enum):
    """How the version that began a stream is known."""

    RELAYED = "relayed"
    REPORTED = "reported"
    SOLE_VERSION = "sole_version"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class TakeUp:
    """A request that takes a stream up.

    ``begun_by`` is the attempt that brought its first event, empty if the caller does
    not name it. ``since_s`` is when the request arrived, ``max_wait_s`` how long its
    caller waits for an event.
    """

    service: ServiceName
    begun_by: AttemptId
    since_s: float
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class ServingVersions:
    """Versions of the servers in service, as this entry knows them.

    ``is_listed`` means that the list of servers was read, ``is_current`` that the store
    answers, so that the list cannot lack a version for long.
    """

    versions: frozenset[SoftwareVersion]
    is_listed: bool
    is_current: bool


@dataclass(frozen=True, slots=True)
class ResumptionDecision:
    """Where a stream may go on; ``reason`` and ``retry_after_s`` are of a refusal."""

    step: ResumptionStep
    version: SoftwareVersion | None = None
    source: OriginSource = OriginSource.NONE
    reason: RefusalReason | None = None
    retry_after_s: float | None = None


@dataclass(slots=True)
class Resumptions:
    """What an entry knows of streams' versions; see :func:`make_resumptions`."""

    _relayed: StreamOrigins = field(default_factory=make_stream_origins)
    _reported: StreamOrigins = field(default_factory=make_stream_origins)
    _history: VersionHistory = field(default_factory=make_version_history)
    _recorded: RecordedVersions | None = None

    def on_relayed(
        self,
        service: ServiceName,
        attempt: AttemptId,
        version: SoftwareVersion,
        now_s: float,
    ) -> None:
        """Record that this entry relayed events of a stream."""
        self._relayed.on_begun(service, attempt, version, now_s)

    def on_reported(
        self,
        service: ServiceName,
        attempt: AttemptId,
        version: SoftwareVersion,
        now_s: float,
    ) -> None:
        """Record what another process answered."""
        self._reported.on_begun(service, attempt, version, now_s)

    def find_relayed(
        self, service: ServiceName, attempt: AttemptId
    ) -> SoftwareVersion | None:
        """Return the version of a stream that this entry relayed, None if unknown."""
        return self._relayed.find(service, attempt)

    def on_servers(self, servers: Iterable[RegisteredServer], now_s: float) -> None:
        """Record the servers that are present now."""
        self._history.on_servers(servers, now_s)

    def on_record(self, recorded: RecordedVersions, now_s: float) -> None:
        """Apply what former processes recorded of the versions that served."""
        self._history.on_record(recorded, now_s)

    def on_records_read(self) -> None:
        """Record that the store was read, with or without a record."""
        self._history.on_records_read()

    def on_store_restored(self) -> None:
        """Record that the store may have lost the latest record."""
        self._recorded = None

    def take_changed_record(self) -> RecordedVersions | None:
        """Return what is to be recorded, None if it is recorded.

        A process that has not read the record yet would drop versions from it.
        """
        record = self._history.to_record()
        if not self._history.is_complete or record == (self._recorded or {}):
            return None
        self._recorded = record
        return record

    def decide(
        self, request: TakeUp, serving: ServingVersions, now_s: float
    ) -> ResumptionDecision:
        """Decide where a stream may go on, or whether to wait for answers.

        Parameters
        ----------
        request : TakeUp
        serving : ServingVersions
        now_s : float
            Monotonic time.
        """
        key = (request.service, request.begun_by)
        known, source = self._find(*key)
        waited_s = now_s - request.since_s
        limit_s = min(ORIGIN_WAIT_S, ORIGIN_WAIT_FRACTION * request.max_wait_s)
        recent = self._history.recent(request.service)
        is_started = serving.is_listed and recent is not None
        if not serving.is_current:
            recent = None
        is_askable = bool(request.begun_by) and not self._is_disputed(*key)
        if is_askable and waited_s < min(limit_s, SOLE_VERSION_WAIT_S):
            recent = None
        may_wait = waited_s < limit_s and (is_askable or not is_started)
        if not serving.is_listed:
            return self._wait_or_refuse(may_wait, is_transient=True)
        if known is None and recent is not None and len(recent) == 1:
            (known,), source = recent, OriginSource.SOLE_VERSION
        # Without any server the request is treated as others are.
        in_service = serving.versions or frozenset({known})
        step = decide_resumption(known, recent, in_service, may_wait).step
        if step is ResumptionStep.RESUME:
            return ResumptionDecision(step, known, source)
        if known is not None:
            # A version that has just come into service may not be listed here yet.
            is_new = source is OriginSource.REPORTED and known not in (
                self._history.recent(request.service) or ()
            )
            retry_after_s = RETRY_AFTER_S if is_new else None
            reason = RefusalReason.STREAM_VERSION_GONE
            return ResumptionDecision(step, known, source, reason, retry_after_s)
        is_transient = not is_started or not serving.is_current
        return self._wait_or_refuse(may_wait, is_transient)

    @staticmethod
    def _wait_or_refuse(may_wait: bool, is_transient: bool) -> ResumptionDecision:
        if may_wait:
            return ResumptionDecision(ResumptionStep.ASK)
        return ResumptionDecision(
            ResumptionStep.REFUSE,
            reason=RefusalReason.STREAM_VERSION_UNKNOWN,
            retry_after_s=RETRY_AFTER_S if is_transient else None,
        )

    def _find(
        self, service: ServiceName, attempt: AttemptId
    ) -> tuple[SoftwareVersion | None, OriginSource]:
        for origins, source in (
            (self._relayed, OriginSource.RELAYED),
            (self._reported, OriginSource.REPORTED),
        ):
            version = origins.find(service, attempt)
            if version is not None:
                return version, source
            if origins.is_disputed(service, attempt):
                break
        return None, OriginSource.NONE

    def _is_disputed(self, service: ServiceName, attempt: AttemptId) -> bool:
        origins = (self._relayed, self._reported)
        return any(each.is_disputed(service, attempt) for each in origins)


def make_resumptions() -> Resumptions:
    """Return the knowledge of an entry that has just started.

    Examples
    --------
    >>> resumptions = make_resumptions()
    >>> resumptions.on_relayed("llm", "a1", SoftwareVersion("2"), now_s=1.0)
    >>> serving = ServingVersions(frozenset({SoftwareVersion("2")}), True, True)
    >>> decision = resumptions.decide(TakeUp("llm", "a1", 2.0, 2.0), serving, 2.0)
    >>> decision.version, decision.source
    ('2', <OriginSource.RELAYED: 'relayed'>)
    >>> resumptions.decide(TakeUp("llm", "a2", 2.0, 2.0), serving, 2.0).step
    <ResumptionStep.ASK: 'ask'>
    """
    return Resumptions()
