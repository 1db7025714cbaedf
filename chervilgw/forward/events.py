"""Events between the tasks of the forwarding path."""

from __future__ import annotations

from circuits import Event


class deployment_changed(Event):  # noqa: N801
    """A newer version of the operators' configuration: ``Deployment``."""


class server_listed(Event):  # noqa: N801
    """An entry of the platform's list: ``RegisteredServer``, offset."""


class server_unlisted(Event):  # noqa: N801
    """An entry of the list was removed: server id, offset."""


class servers_listing(Event):  # noqa: N801
    """A complete listing was read: ids listed, offset before it was read."""


class entries_listing(Event):  # noqa: N801
    """Datagram addresses of the entries that have registered themselves: tuple."""


class store_lost(Event):  # noqa: N801
    """The platform's store does not answer."""


class store_back(Event):  # noqa: N801
    """The platform's store answers again."""


class announce_entry(Event):  # noqa: N801
    """Register this entry in the store: VM id, datagram address."""


class fence_wanted(Event):  # noqa: N801
    """Ask for a number above all former ones of this VM's processes: reply channel."""


class fence_given(Event):  # noqa: N801
    """The number for the orders of this process."""


class agent_send(Event):  # noqa: N801
    """Send a message to the agent beside an engine: server id, message."""


class crash_shared(Event):  # noqa: N801
    """Tell the other entries of a crash: ``CrashReport``."""


class crash_reported(Event):  # noqa: N801
    """Another entry saw a crash: ``CrashReport``."""


class servers_known(Event):  # noqa: N801
    """The servers that this entry knows: list of ``RegisteredServer``."""


class entry_report_due(Event):  # noqa: N801
    """Send this report to the other entries: ``EntryReport`` without its address."""


class demand_report_due(Event):  # noqa: N801
    """Send this report to the other entries: ``DemandReport`` without its address."""


class demand_reported(Event):  # noqa: N801
    """Report of another entry, or of this one: ``DemandReport``."""


class entry_reported(Event):  # noqa: N801
    """Report of another entry: ``EntryReport``."""


class engine_reported(Event):  # noqa: N801
    """Report of the agent beside an engine: ``EngineReport``."""


class end_requests(Event):  # noqa: N801
    """The process ends: answer all requests in progress now."""


class entry_drained(Event):  # noqa: N801
    """No request is in progress any more on an entry that is leaving."""


class turn_answered(Event):  # noqa: N801
    """An agent answered: ``TurnGranted`` or ``TurnRefused``."""


class reload_wanted(Event):  # noqa: N801
    """Read the settings again: SIGHUP came."""


class settings_changed(Event):  # noqa: N801
    """The settings of this process changed: ``VmSettings``."""
