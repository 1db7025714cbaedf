"""Decisions on requests that take a stream up: at which software version it may go on.

What this entry relayed is certain. Other entries and the agents of engines are asked
for what it did not relay. The versions that lately served decide alone only if nobody
answers and the list of servers was read since the request arrived: an older list may
lack the version that began the stream.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.deployment import AttemptId, RegisteredServer
from chervilgw.core.ids import ServiceName, SoftwareVersion
from chervilgw.core.states import RefusalReason
from chervilgw.routing.stream_origins import StreamOrigins, make_stream_origins
from chervilgw.routing.version_history import (
    RecordedVersions,
    VersionHistory,
    make_version_history,
)

# An answer takes a round trip of a few ms; the query is repeated at each tick of 0.1 s.
# Only time in which the process ran counts.
ORIGIN_WAIT_S = 0.3
# If one version alone has served lately, a single query is enough.
SOLE_VERSION_WAIT_S = 0.1
# Fraction of the caller's wait for a first event that may go to the queries.
ORIGIN_WAIT_FRACTION = 0.2
# An entry that has just started has read the list and the record by then.
RETRY_AFTER_S = 0.5


class ResumptionStep(Enum):
    """What to do with a request that takes a stream up."""

    RESUME = "resume"
    ASK = "ask"
    REFUSE = "refuse"


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
    not name it. ``arrived_s`` is when the request was read, ``waited_s`` how long it
    has waited for answers while this process ran, and ``max_wait_s`` how long its
    caller waits for an event.
    """

    service: ServiceName
    begun_by: AttemptId
    arrived_s: float
    waited_s: float
    max_wait_s: float

    @property
    def limit_s(self) -> float:
        """Return how long the request may wait for answers."""
        return min(ORIGIN_WAIT_S, ORIGIN_WAIT_FRACTION * self.max_wait_s)


@dataclass(frozen=True, slots=True)
class ServingVersions:
    """Versions of the servers in service, as this entry knows them.

    ``is_listed`` means that the list of servers was read, ``is_reachable`` that the
    store answered the last call. ``asked_s`` is when the call was sent that read the
    list last: a server that registered later may be missing.
    """

    versions: frozenset[SoftwareVersion]
    is_listed: bool
    is_reachable: bool
    asked_s: float


@dataclass(frozen=True, slots=True)
class ResumptionDecision:
    """Where a stream may go on; ``reason`` and ``retry_after_s`` are of a refusal.

    ``needs_list`` is of a request that waits: a newer list of servers may decide it.
    """

    step: ResumptionStep
    version: SoftwareVersion | None = None
    source: OriginSource = OriginSource.NONE
    reason: RefusalReason | None = None
    retry_after_s: float | None = None
    needs_list: bool = False


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

    def on_list_gap(self, now_s: float) -> None:
        """Record that versions may have served unseen; the record names them."""
        self._history.on_gap(now_s)
        self.on_kept_elsewhere()

    def on_store_restored(self, now_s: float) -> None:
        """Record that the store may have lost the latest record."""
        self._recorded = None
        self._history.on_store_restored(now_s)

    def on_kept_elsewhere(self) -> None:
        """Record that another entry keeps the record, and may change it.

        An entry that may lack versions would write less than the other one has.
        """
        if not self._history.is_uncertain:
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

    def decide(self, request: TakeUp, serving: ServingVersions) -> ResumptionDecision:
        """Decide where a stream may go on, or whether to wait for answers."""
        key = (request.service, request.begun_by)
        known, source = self._find(*key)
        if not serving.is_listed:
            return _wait_or_refuse(request, is_transient=True)
        if known is not None:
            return self._decide_known(request, serving, known, source)
        recent = self._history.recent(request.service)
        is_askable = bool(request.begun_by) and not self._is_disputed(*key)
        if serving.is_reachable and recent is not None and len(recent) == 1:
            return _decide_sole(request, serving, *recent, is_askable)
        is_transient = recent is None or not serving.is_reachable
        if recent is not None and not is_askable:
            return _refuse_unknown(is_transient)
        return _wait_or_refuse(request, is_transient)

    def _decide_known(
        self,
        request: TakeUp,
        serving: ServingVersions,
        known: SoftwareVersion,
        source: OriginSource,
    ) -> ResumptionDecision:
        # Without any server the request is treated as others are.
        if known in (serving.versions or {known}):
            return ResumptionDecision(ResumptionStep.RESUME, known, source)
        # A version that has just come into service may not be listed here yet.
        is_new = source is OriginSource.REPORTED and known not in (
            self._history.recent(request.service) or ()
        )
        may_be_listed = serving.is_reachable and not _is_confirmed(request, serving)
        if is_new and may_be_listed and request.waited_s < request.limit_s:
            return _WAIT_FOR_LIST
        return ResumptionDecision(
            ResumptionStep.REFUSE,
            known,
            source,
            RefusalReason.STREAM_VERSION_GONE,
            RETRY_AFTER_S if is_new else None,
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


_WAIT_FOR_LIST = ResumptionDecision(ResumptionStep.ASK, needs_list=True)


def _decide_sole(
    request: TakeUp,
    serving: ServingVersions,
    sole: SoftwareVersion,
    is_askable: bool,
) -> ResumptionDecision:
    """Decide on a stream of unknown origin where one version alone lately served."""
    asked_long_enough_s = min(request.limit_s, SOLE_VERSION_WAIT_S)
    is_asked = not is_askable or request.waited_s >= asked_long_enough_s
    if _is_confirmed(request, serving) and is_asked:
        if sole in (serving.versions or {sole}):
            source = OriginSource.SOLE_VERSION
            return ResumptionDecision(ResumptionStep.RESUME, sole, source)
        reason = RefusalReason.STREAM_VERSION_GONE
        return ResumptionDecision(ResumptionStep.REFUSE, sole, reason=reason)
    if request.waited_s < request.limit_s:
        return _WAIT_FOR_LIST
    return _refuse_unknown(is_transient=True)


def _is_confirmed(request: TakeUp, serving: ServingVersions) -> bool:
    """Return whether the list names all servers that may have begun the stream.

    Its first event came before the request, from a server that another entry had read
    from the list.
    """
    return serving.asked_s >= request.arrived_s


def _wait_or_refuse(request: TakeUp, is_transient: bool) -> ResumptionDecision:
    if request.waited_s < request.limit_s:
        return ResumptionDecision(ResumptionStep.ASK)
    return _refuse_unknown(is_transient)


def _refuse_unknown(is_transient: bool) -> ResumptionDecision:
    return ResumptionDecision(
        ResumptionStep.REFUSE,
        reason=RefusalReason.STREAM_VERSION_UNKNOWN,
        retry_after_s=RETRY_AFTER_S if is_transient else None,
    )


def make_resumptions() -> Resumptions:
    """Return the knowledge of an entry that has just started.

    Examples
    --------
    >>> resumptions = make_resumptions()
    >>> resumptions.on_relayed("llm", "a1", SoftwareVersion("2"), now_s=1.0)
    >>> serving = ServingVersions(frozenset({SoftwareVersion("2")}), True, True, 1.5)
    >>> decision = resumptions.decide(TakeUp("llm", "a1", 2.0, 0.0, 2.0), serving)
    >>> decision.version, decision.source
    ('2', <OriginSource.RELAYED: 'relayed'>)
    >>> resumptions.decide(TakeUp("llm", "a2", 2.0, 0.0, 2.0), serving).step
    <ResumptionStep.ASK: 'ask'>
    """
    return Resumptions()
