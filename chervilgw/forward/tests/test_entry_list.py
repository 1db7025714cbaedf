"""What an entry does with the platform's list of entries."""

from chervilgw.forward import events
from chervilgw.forward.tests.test_evacuation import Entry


def test_listed_entries_share_the_requests_at_cold_servers():
    """Guards against a handler of a base that one of the same name replaces."""
    entry = Entry("desk")
    entry.fire(events.entry_list_read(("10.0.0.8:7600", "10.0.0.9:7600")), "*")
    assert entry.gateway._cold.entries.share().entries == 3
