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

# A running process reads the list of servers more often, also if one call is lost. In a
# longer time a server may register, serve and leave, and its records be deleted.
MAX_LIST_AGE_S = 2.5
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
    _is_uncertain: bool = False
    _restored_s: float = float("-inf")
    # Until when streams may go on that began at versions of which no record is left.
    _uncertain_until_s: float = float("-inf")

    def on_servers(self, servers: Iterable[RegisteredServer], now_s: float) -> None:
        """Record the versions of the servers that may write to callers now."""
        self._is_uncertain = now_s < self._uncertain_until_s
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

    @property
    def is_uncertain(self) -> bool:
        """Return whether versions may have served that no record names."""
        return self._is_uncertain

    def on_records_read(self) -> None:
        """Record that the store was read, with or without a record."""
        self._is_complete = True

    def on_gap(self, now_s: float) -> None:
        """Record that servers may have come and gone unseen; the record names them.

        The record of a store that was lately restored from a copy may lack them.
        """
        self._is_complete = False
        if now_s - self._restored_s <= RETENTION_S:
            self._set_uncertain(now_s)

    def on_store_restored(self, now_s: float) -> None:
        """Record that the store was restored from a copy, which may lack versions."""
        self._restored_s = now_s
        if not self._is_complete:
            self._set_uncertain(now_s)

    def _set_uncertain(self, now_s: float) -> None:
        self._is_uncertain = True
        self._uncertain_until_s = now_s + RETENTION_S

    def recent(self, service: ServiceName) -> frozenset[SoftwareVersion] | None:
        """Return the versions that lately served, None if some may be unknown."""
        if not self._is_complete or self._is_uncertain:
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
