"""Software versions that began streams, by the attempt that brought the first event.

The texts of two versions do not fit together, so that a stream may go on only at the
version that began it. Callers that take a stream up name the attempt that began it.
Entries remember the streams that they relayed, and agents those that their engines
began, as a stream outlives the entry that relayed it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import AttemptId
from chervilgw.core.ids import ServiceName, SoftwareVersion

# Longer than a caller of a stream waits, with its further tries.
RETENTION_S = 120.0
# Bound of the remembered attempts, as callers choose their ids; the oldest yield.
MAX_ATTEMPTS = 50_000
# Longer ids are not remembered, so that the memory stays bounded.
MAX_ATTEMPT_LENGTH = 200


@dataclass(slots=True)
class _Origin:
    """Version that began a stream, None if two claims differ, and the time of it."""

    version: SoftwareVersion | None
    since_s: float


@dataclass(slots=True)
class StreamOrigins:
    """Versions that began streams; see :func:`make_stream_origins`."""

    _origins: dict[tuple[ServiceName, AttemptId], _Origin] = field(default_factory=dict)

    def on_begun(
        self,
        service: ServiceName,
        attempt: AttemptId,
        version: SoftwareVersion,
        now_s: float,
    ) -> None:
        """Record that an attempt brought the first event of a stream.

        Of two claims that differ neither is believed: the attempt's id may be used
        twice, or an engine may have begun what it never delivered.
        """
        if not 0 < len(attempt) <= MAX_ATTEMPT_LENGTH:
            return
        key = (service, attempt)
        known = self._origins.pop(key, None)
        if known is not None and known.version != version:
            version = None
        self._origins[key] = _Origin(version, now_s)
        self._drop_old(now_s)

    def find(self, service: ServiceName, attempt: AttemptId) -> SoftwareVersion | None:
        """Return the version that began a stream, or None if it is not known."""
        origin = self._origins.get((service, attempt))
        return origin.version if origin is not None else None

    def is_disputed(self, service: ServiceName, attempt: AttemptId) -> bool:
        """Return whether claims on the version of a stream differ."""
        origin = self._origins.get((service, attempt))
        return origin is not None and origin.version is None

    def _drop_old(self, now_s: float) -> None:
        # The dictionary is in the order of the last claims.
        while self._origins:
            key, oldest = next(iter(self._origins.items()))
            is_past = now_s - oldest.since_s > RETENTION_S
            if not is_past and len(self._origins) <= MAX_ATTEMPTS:
                return
            del self._origins[key]


def make_stream_origins() -> StreamOrigins:
    """Return a memory without streams.

    Examples
    --------
    >>> origins = make_stream_origins()
    >>> origins.on_begun("llm", "a1", SoftwareVersion("2.0"), now_s=5.0)
    >>> origins.find("llm", "a1"), origins.find("llm", "a2")
    ('2.0', None)
    >>> origins.on_begun("llm", "a1", SoftwareVersion("2.1"), now_s=6.0)
    >>> origins.find("llm", "a1"), origins.is_disputed("llm", "a1")
    (None, True)
    """
    return StreamOrigins()
