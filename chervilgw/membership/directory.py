"""Directory of the backend servers registered on the platform's list.

The list lags, may hold registrations of former incarnations and entries of other
writers, and may lose those of live servers while its store is down. The directory
decides which servers get requests. A later start counts against an earlier one, until
its entry is removed or later writes of the earlier one contradict it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from chervilgw.core.deployment import RegisteredServer, ServerId, ServerState
from chervilgw.core.ids import LogPosition, ServiceName, SoftwareVersion
from chervilgw.membership.draining import make_draining_servers
from chervilgw.membership.evacuations import Evacuations, make_evacuations

# Registrations that lapsed during an outage of the store are back about 2 s after it
# recovers; a tenth is added for the lag of this process's reads.
REREGISTRATION_TIMEOUT_S = 2.2
# Servers that are gone are retained for this long, so that a late registration of the
# same incarnation does not make a draining server ready again.
GONE_RETENTION_S = 60.0
# Longer than the three heartbeat intervals of 1.2 s after which a silent server is off
# the list. Entries of an earlier start that come for so long are no delayed writes.
CONTRADICTION_TIMEOUT_S = 4.0


@dataclass(slots=True)
class _ServerRecord:
    """What is believed of a server.

    ``first_position`` is the position of the first entry of this start, ``position``
    that of the latest one. ``contradicted`` holds the position and the time of the
    first later entry that names an earlier start. ``is_disowned`` means that another
    server has answered at the address since the latest entry. ``is_doubted`` means that
    the next entry of this start may come from the copy that the store went back to.
    """

    entry: RegisteredServer
    first_position: LogPosition
    position: LogPosition
    missing_since_s: float | None = None
    missing_after_outage: bool = False
    contradicted: tuple[LogPosition, float] | None = None
    is_disowned: bool = False
    is_doubted: bool = False


class ServerDirectory:
    """Registered servers; see :func:`make_server_directory`."""

    def __init__(self):
        self.evacuations: Evacuations = make_evacuations()
        self._records: dict[ServerId, _ServerRecord] = {}
        self._by_address: dict[str, set[ServerId]] = defaultdict(set)
        self._services: frozenset[ServiceName] | None = None
        self._draining = make_draining_servers()
        self._store_lost = False
        self._store_recovered_s = float("-inf")

    def set_services(self, services: Iterable[ServiceName]) -> None:
        """Use the services of a configuration; entries of others name no server."""
        self._services = frozenset(services)

    def on_store_lost(self, now_s: float) -> None:
        """Record that the store does not answer.

        Servers that did not return after an earlier outage are gone for good.
        """
        if not self._is_recovering(now_s):
            for record in self._records.values():
                record.missing_after_outage = False
        self._store_lost = True

    def on_store_recovered(self, now_s: float) -> None:
        """Record that the store answers again.

        Servers whose registration lapsed meanwhile stay usable for
        :data:`REREGISTRATION_TIMEOUT_S`.
        """
        if self._store_lost:
            self._store_lost = False
            self._store_recovered_s = now_s

    def on_store_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy.

        Registrations that the copy lacks are written again, as after an outage. The
        copy may hold entries of servers that have left since: one that was gone, or
        whose address another server has taken, counts again when it writes its entry
        once more.
        """
        self._draining.on_store_restored(now_s)
        records = self._records.values()
        # A service that no configuration names may be named by a later one.
        gone = [each for each in records if not self._may_live(each, now_s)]
        for record in records:
            record.is_doubted, record.contradicted = record.is_disowned, None
        for record in gone:
            record.is_doubted, record.missing_after_outage = True, False
            if record.missing_since_s is None:
                record.missing_since_s = now_s
        self._store_recovered_s = now_s

    @property
    def is_store_lost(self) -> bool:
        """Return whether the store does not answer."""
        return self._store_lost

    def on_entry(
        self, entry: RegisteredServer, position: LogPosition, now_s: float
    ) -> bool:
        """Apply an entry of the list.

        Parameters
        ----------
        entry : RegisteredServer
        position : LogPosition
            Position of the entry in the list's log.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether the server is new, or its state, address or models changed.
        """
        record = self._records.get(entry.server)
        if record is not None:
            if position <= record.position:
                return False
            if record.is_doubted and entry.started_ms == record.entry.started_ms:
                record.position, record.is_doubted = position, False
                return False
            if entry.started_ms < record.entry.started_ms and not self._is_refuted(
                record, position, now_s
            ):
                return False
        if entry.state is ServerState.DRAINING:
            self._draining.begin(entry.server, entry.started_ms, False, now_s)
        elif (entry.server, entry.started_ms) in self._draining:
            # A draining server never becomes ready again in the same incarnation.
            entry = replace(entry, state=ServerState.DRAINING)
        changed = record is None or (
            record.missing_since_s is not None or _differ(entry, record.entry)
        )
        first_position = position
        if record is not None:
            self._leave_address(record.entry)
            if entry.started_ms == record.entry.started_ms:
                first_position = record.first_position
        self._by_address[entry.address].add(entry.server)
        self._records[entry.server] = _ServerRecord(entry, first_position, position)
        return changed

    def _leave_address(self, entry: RegisteredServer) -> None:
        servers = self._by_address[entry.address]
        servers.discard(entry.server)
        if not servers:
            del self._by_address[entry.address]

    def ended_by(
        self, entry: RegisteredServer, position: LogPosition
    ) -> list[tuple[ServerId, int]]:
        """Return the incarnations that have ended without notice, as an entry shows.

        A later start under the same id, or at the same address, shows that when it is
        first seen.
        """
        known = self._records.get(entry.server)
        if known is not None and known.entry.started_ms == entry.started_ms:
            return []
        same_place = {entry.server, *self._by_address.get(entry.address, ())}
        records = [
            self._records[server] for server in same_place if server in self._records
        ]
        return [
            (record.entry.server, record.entry.started_ms)
            for record in records
            if record.entry.started_ms < entry.started_ms
            and record.entry.service == entry.service
            and record.entry.state is ServerState.READY
            and record.position < position
        ]

    def _is_refuted(
        self, record: _ServerRecord, position: LogPosition, now_s: float
    ) -> bool:
        """Return whether later entries of an earlier start refute the recorded one.

        A single one may be a delayed write of the server's former process.
        """
        if record.contradicted is None:
            record.contradicted = (position, now_s)
        first_position, since_s = record.contradicted
        return position > first_position and now_s - since_s >= CONTRADICTION_TIMEOUT_S

    def on_removed(self, server: ServerId, position: LogPosition, now_s: float) -> bool:
        """Apply the removal of an entry; return whether the server was registered."""
        record = self._records.get(server)
        if record is None or position <= record.position:
            return False
        record.position = position
        if record.missing_since_s is not None:
            return False
        record.missing_since_s = now_s
        record.missing_after_outage = self._is_recovering(now_s)
        return True

    def on_listing(
        self, listed: Iterable[ServerId], end: LogPosition, now_s: float
    ) -> tuple[ServerId, ...]:
        """Remove all servers that a complete listing leaves out; return their ids.

        Parameters
        ----------
        listed : iterable of ServerId
            Keys of the listing.
        end : LogPosition
            Where the log ended before the listing was read.
        now_s : float
            Monotonic time.
        """
        present = set(listed)
        absent = [
            server
            for server, record in self._records.items()
            if server not in present
            and record.position < end
            and record.missing_since_s is None
        ]
        for server in absent:
            self._records[server].missing_since_s = now_s
            self._records[server].missing_after_outage = self._is_recovering(now_s)
        return tuple(absent)

    def _is_recovering(self, now_s: float) -> bool:
        return (
            self._store_lost
            or now_s < self._store_recovered_s + REREGISTRATION_TIMEOUT_S
        )

    def on_draining_reported(
        self, server: ServerId, started_ms: int, now_s: float
    ) -> bool:
        """Apply an agent's report that a server drains; return whether that is new."""
        record = self._records.get(server)
        if record is None or record.entry.started_ms != started_ms:
            return False
        self._draining.begin(server, started_ms, False, now_s)
        if record.entry.state is ServerState.DRAINING:
            return False
        record.entry = replace(record.entry, state=ServerState.DRAINING)
        return True

    def on_leaving(self, server: ServerId, started_ms: int, now_s: float) -> bool:
        """Apply a server's own notice that it leaves; return whether that is new.

        The notice may arrive before the entry of this incarnation, and binds also while
        the store does not answer.
        """
        is_new = self._draining.begin(server, started_ms, True, now_s)
        self.on_draining_reported(server, started_ms, now_s)
        return is_new

    def leaving(self, now_s: float) -> dict[str, int]:
        """Return the servers that gave notice lately, and their incarnations."""
        return self._draining.reported(now_s)

    def on_disowned(self, server: ServerId, started_ms: int) -> bool:
        """Record that another server answered at a server's address.

        The server gets nothing until it writes an entry again. Returned is whether it
        is the incarnation that is believed in.
        """
        record = self._records.get(server)
        if record is None or record.entry.started_ms != started_ms:
            return False
        record.is_disowned = True
        return True

    def is_usable(self, server: ServerId, now_s: float) -> bool:
        """Return whether a server may get new requests."""
        record = self._records.get(server)
        return record is not None and self._is_usable(record, now_s)

    def _is_usable(self, record: _ServerRecord, now_s: float) -> bool:
        is_ready = record.entry.state is ServerState.READY
        is_ready = is_ready and record.entry.zone not in self.evacuations
        return is_ready and not record.is_disowned and self._is_present(record, now_s)

    def is_evacuated(self, server: ServerId) -> bool:
        """Return whether a server is in an evacuated zone."""
        record = self._records.get(server)
        return record is not None and record.entry.zone in self.evacuations

    def usable(
        self,
        service: ServiceName,
        now_s: float,
        version: SoftwareVersion | None = None,
    ) -> list[RegisteredServer]:
        """Return the servers of a service that may get new requests.

        With ``version`` only servers of this software version are returned.
        """
        return [
            record.entry
            for record in self._records.values()
            if record.entry.service == service
            and version in (None, record.entry.software_version)
            and self._is_usable(record, now_s)
        ]

    def find(self, server: ServerId) -> RegisteredServer | None:
        """Return the registration of a server, including draining and gone ones."""
        record = self._records.get(server)
        return record.entry if record is not None else None

    def is_listed(self, server: ServerId) -> bool:
        """Return whether a server is registered and has not been removed."""
        record = self._records.get(server)
        return record is not None and record.missing_since_s is None

    def present(self, now_s: float) -> list[RegisteredServer]:
        """Return all servers that are not gone, including draining ones."""
        return [
            record.entry
            for record in self._records.values()
            if self._is_present(record, now_s)
        ]

    def _is_present(self, record: _ServerRecord, now_s: float) -> bool:
        return self._is_named(record) and self._may_live(record, now_s)

    def _may_live(self, record: _ServerRecord, now_s: float) -> bool:
        if record.missing_since_s is None:
            return not self._is_replaced(record)
        if not record.missing_after_outage:
            return False
        return self._is_recovering(now_s)

    def _is_named(self, record: _ServerRecord) -> bool:
        return self._services is None or record.entry.service in self._services

    def _is_replaced(self, record: _ServerRecord) -> bool:
        """Return whether a later start is listed at the address of a server.

        It does not count if the server has written an entry since, as it still lives.
        """
        others = self._by_address[record.entry.address]
        return len(others) > 1 and any(
            other.entry.started_ms > record.entry.started_ms
            and other.first_position > record.position
            and other.missing_since_s is None
            and self._is_named(other)
            for other in map(self._records.__getitem__, others)
        )

    def drop_gone(self, now_s: float) -> None:
        """Drop servers that have been gone for :data:`GONE_RETENTION_S`."""
        for server, record in list(self._records.items()):
            since_s = record.missing_since_s
            if since_s is not None and now_s - since_s > GONE_RETENTION_S:
                del self._records[server]
                self._leave_address(record.entry)
        self._draining.drop_former(self._is_current, GONE_RETENTION_S, now_s)

    def _is_current(self, server: ServerId, started_ms: int) -> bool:
        record = self._records.get(server)
        return record is not None and record.entry.started_ms == started_ms


def _differ(entry: RegisteredServer, former: RegisteredServer) -> bool:
    return (
        entry.started_ms != former.started_ms
        or entry.state is not former.state
        or entry.address != former.address
        or entry.adapters.keys() != former.adapters.keys()
    )


def make_server_directory() -> ServerDirectory:
    """Return an empty directory."""
    return ServerDirectory()
