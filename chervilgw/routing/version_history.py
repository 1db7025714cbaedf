"""Software versions that lately served each service.

A caller may take up a stream whose version no process remembers. It may go on only if
one version alone can have begun it. The history is recorded in the store, so that it
survives the loss of all entries at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chervilgw.core.deployment import RegisteredServer
from chervilgw.core.ids import ServiceName, SoftwareVersion
from chervilgw.routing.stream_origins import RETENTION_S

# Versions of a service that are remembered; the ones seen last stay.
MAX_VERSIONS = 32

RecordedVersions = Mapping[ServiceName, tuple[SoftwareVersion, ...]]


@dataclass(slots=True)
class VersionHistory:
    """Versions that lately served; see :func:`make_version_history`."""

    _seen_s: dict[ServiceName, dict[SoftwareVersion, float]] = field(
        default_factory=dict
    )
    _is_complete: bool = False

    def on_servers(self, servers: Iterable[RegisteredServer], now_s: float) -> None:
        """Record the versions of the servers that may write to callers now."""
        for server in servers:
            self._see(server.service, server.software_version, now_s)
        for service, seen in list(self._seen_s.items()):
            for version, since_s in list(seen.items()):
                if now_s - since_s > RETENTION_S:
                    del seen[version]
            if not seen:
                del self._seen_s[service]

    def on_record(self, recorded: RecordedVersions, now_s: float) -> None:
        """Apply what former processes recorded.

        The record states no times, as clocks may be set: versions that this process
        does not know count as if they had served until now. The time of known ones
        stays, as a record that is read again and again would keep them forever.
        """
        for service, versions in recorded.items():
            for version in versions:
                if version not in self._seen_s.get(service, ()):
                    self._see(service, version, now_s)

    @property
    def is_complete(self) -> bool:
        """Return whether the store was read, with or without a record."""
        return self._is_complete

    def on_records_read(self) -> None:
        """Record that the store was read, with or without a record."""
        self._is_complete = True

    def on_gap(self) -> None:
        """Record that servers may have come and gone unseen; the record names them."""
        self._is_complete = False

    def recent(self, service: ServiceName) -> frozenset[SoftwareVersion] | None:
        """Return the versions that lately served, None until the record is read."""
        if not self._is_complete:
            return None
        return frozenset(self._seen_s.get(service, ()))

    def to_record(self) -> dict[ServiceName, tuple[SoftwareVersion, ...]]:
        """Return what later processes need to know."""
        return {
            service: tuple(sorted(seen))
            for service, seen in sorted(self._seen_s.items())
        }

    def _see(self, service: ServiceName, version: SoftwareVersion, now_s: float):
        seen = self._seen_s.setdefault(service, {})
        seen[version] = max(now_s, seen.get(version, now_s))
        if len(seen) > MAX_VERSIONS:
            del seen[min(seen, key=seen.__getitem__)]


def make_version_history() -> VersionHistory:
    """Return the history of a process that has read nothing.

    Examples
    --------
    >>> history = make_version_history()
    >>> history.recent("llm") is None
    True
    >>> history.on_record({"llm": (SoftwareVersion("2"),)}, now_s=1.0)
    >>> history.on_records_read()
    >>> history.recent("llm"), history.to_record()
    (frozenset({'2'}), {'llm': ('2',)})
    """
    return VersionHistory()
