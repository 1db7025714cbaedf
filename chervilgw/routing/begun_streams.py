"""Streams that the engines of one VM began, as their agent remembers them.

The memory outlives the engine and the entry that relayed a stream.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import AttemptId
from chervilgw.core.ids import RequestId, ServiceName, SoftwareVersion
from chervilgw.core.messages import StreamOrigin, StreamOriginQuery
from chervilgw.routing.stream_origins import StreamOrigins, make_stream_origins

# Turns whose stream has not begun; entries may be lost before they report.
MAX_GRANTED_TURNS = 10_000


@dataclass(slots=True)
class BegunStreams:
    """Streams that engines began; see :func:`make_begun_streams`."""

    _service: ServiceName
    _started_ms: int = 0
    _version: SoftwareVersion = SoftwareVersion("")
    _granted: dict[RequestId, SoftwareVersion] = field(default_factory=dict)
    _origins: StreamOrigins = field(default_factory=make_stream_origins)

    def on_registered(self, started_ms: int, version: SoftwareVersion) -> None:
        """Record the version of the registered engine.

        An entry of an earlier release states none.
        """
        if version or started_ms != self._started_ms:
            self._started_ms, self._version = started_ms, version

    def on_granted(self, turn: RequestId) -> None:
        """Record that the engine gets a request.

        The version is that of this moment: the engine may have been replaced when the
        entry reports the stream.
        """
        self._granted[turn] = self._version
        if len(self._granted) > MAX_GRANTED_TURNS:
            del self._granted[next(iter(self._granted))]

    def on_ended(self, turn: RequestId) -> None:
        """Record that a request runs no longer at the engine."""
        self._granted.pop(turn, None)

    def on_begun(self, turn: RequestId, attempt: AttemptId, now_s: float) -> None:
        """Record that a caller got the first event of a stream."""
        version = self._granted.pop(turn, SoftwareVersion(""))
        if version:
            self._origins.on_begun(self._service, attempt, version, now_s)

    def on_stated(self, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream that the engine began without a turn, as its entry states."""
        if self._service in ("", origin.service):
            attempt, version = (
                AttemptId(origin.attempt),
                SoftwareVersion(origin.version),
            )
            self._origins.on_begun(self._service, attempt, version, now_s)

    def answer(self, query: StreamOriginQuery) -> StreamOrigin | None:
        """Return the version that began a stream, or None if it is not known."""
        if self._service and query.service != self._service:
            return None
        version = self._origins.find(self._service, AttemptId(query.attempt))
        if version is None:
            return None
        return StreamOrigin(query.service, query.attempt, version)


def make_begun_streams(service: ServiceName) -> BegunStreams:
    """Return the memory of an agent that has just started.

    Parameters
    ----------
    service : ServiceName
        Service of the VM's engines, empty if the settings do not state it.

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> turn = RequestId(Incarnation(VmId("e1"), 1), 1)
    >>> streams = make_begun_streams(ServiceName("llm"))
    >>> streams.on_registered(7, SoftwareVersion("2.0"))
    >>> streams.on_granted(turn)
    >>> streams.on_registered(8, SoftwareVersion("2.1"))
    >>> streams.on_begun(turn, AttemptId("a1"), now_s=5.0)
    >>> streams.answer(StreamOriginQuery("llm", "a1", "10.0.0.1:7600")).version
    '2.0'
    """
    return BegunStreams(service)
