"""Events between the tasks of the forwarding path."""

from __future__ import annotations

from circuits import Event


class deployment_changed(Event):  # noqa: N801
    """A newer version of the operators' configuration: ``Deployment``."""


class zone_record_read(Event):  # noqa: N801
    """A record evacuates a zone or revokes that: zone, is evacuated, position."""


class evacuations_listed(Event):  # noqa: N801
    """All evacuated zones were read: positions by zone, position before the read."""


class server_registered(Event):  # noqa: N801
    """The platform registered or changed a server: ``RegisteredServer``, position."""


class server_unregistered(Event):  # noqa: N801
    """The platform removed a server: server id, position."""


class server_list_read(Event):  # noqa: N801
    """The list of servers was read in full: server ids, position before the read."""


class entry_list_read(Event):  # noqa: N801
    """The list of entries was read: tuple of their datagram addresses."""


class store_lost(Event):  # noqa: N801
    """The platform's store does not answer."""


class store_recovered(Event):  # noqa: N801
    """The platform's store answers again."""


class store_restored(Event):  # noqa: N801
    """The store came back from a copy: it lost what was written since the copy."""


class announce_entry(Event):  # noqa: N801
    """Register this entry in the store: VM id, datagram address."""


class server_list_outdated(Event):  # noqa: N801
    """A server has started anew, so that its new entry is on the list or soon will."""


class server_list_wanted(Event):  # noqa: N801
    """A request waits for the list of servers as it is from now on."""


class server_list_confirmed(Event):  # noqa: N801
    """The list of servers was read to its end.

    When the call was sent, in s of monotonic time: the list is not older.
    """


class server_list_gap(Event):  # noqa: N801
    """Servers may have come and gone since the list was read last."""


class usage_record_due(Event):  # noqa: N801
    """Record what customers used of their quotas: dict of customer to amount."""


class usage_recorded(Event):  # noqa: N801
    """A process recorded what customers used: dict of customer to amount, age in s."""


class fencing_token_requested(Event):  # noqa: N801
    """Request a fencing token above earlier ones of the VM: reply channel, VM id."""


class fencing_token_assigned(Event):  # noqa: N801
    """Fencing token for the orders of this process: integer."""


class stream_origin_requested(Event):  # noqa: N801
    """Ask which software version began a stream: service, attempt."""


class stream_origin_reported(Event):  # noqa: N801
    """Another process knows the version that began a stream.

    Service, attempt, software version.
    """


class stream_origin_queried(Event):  # noqa: N801
    """Another entry asks which version began a stream: ``StreamOriginQuery``."""


class stream_origin_answered(Event):  # noqa: N801
    """Answer another entry's query: address, ``StreamOrigin``."""


class software_versions_due(Event):  # noqa: N801
    """Record the software versions that lately served: versions by service."""


class software_versions_recorded(Event):  # noqa: N801
    """A process recorded the software versions that lately served, by service."""


class software_versions_listed(Event):  # noqa: N801
    """The software versions that lately served were read again, if any are recorded."""


class agent_send(Event):  # noqa: N801
    """Send a message to the agent of an engine: server id, message."""


class suspicion_report_due(Event):  # noqa: N801
    """Send evidence: ``SuspicionReport``, address of an entry or None for all."""


class suspicion_reminder_due(Event):  # noqa: N801
    """Send all evidence to a few entries, as reports may be lost: report."""


class suspicion_reported(Event):  # noqa: N801
    """Another entry sent evidence: ``SuspicionReport``, address of the sender."""


class servers_updated(Event):  # noqa: N801
    """The servers that are present now: list of ``RegisteredServer``.

    Their ``cold_s`` is what this entry knows now.
    """


class entry_report_due(Event):  # noqa: N801
    """Send this report to the other entries: ``EntryReport`` without its address."""


class demand_report_due(Event):  # noqa: N801
    """Send this report to the other entries: ``DemandReport`` without its address."""


class demand_reported(Event):  # noqa: N801
    """Demand at another or this entry: ``DemandReport``."""


class entry_reported(Event):  # noqa: N801
    """Report of another entry: ``EntryReport``."""


class grant_memory_due(Event):  # noqa: N801
    """Tell a started entry of former grants: ``GrantMemory``, address."""


class grants_remembered(Event):  # noqa: N801
    """Another entry told this one of former grants: ``GrantMemory``."""


class engine_reported(Event):  # noqa: N801
    """Report of an engine, from its agent: ``EngineReport``."""


class end_requests(Event):  # noqa: N801
    """The process exits: refuse all requests in progress now."""


class entry_drained(Event):  # noqa: N801
    """The entry is draining and has no request in progress."""


class turn_answered(Event):  # noqa: N801
    """An agent answered: ``TurnGranted`` or ``TurnRefused``."""


class reload_requested(Event):  # noqa: N801
    """Read the settings again after SIGHUP."""


class settings_changed(Event):  # noqa: N801
    """The settings of this process changed: ``VmSettings``."""
