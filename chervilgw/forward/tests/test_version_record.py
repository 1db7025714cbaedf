"""Record of the software versions that lately served, in the store."""

from dataclasses import replace

from chervilgw.core.ids import Incarnation
from chervilgw.forward import events
from chervilgw.forward.tests.stream_entry import StreamEntry
from chervilgw.forward.tests.test_evacuation import REPORT
from chervilgw.routing.stream_origins import RETENTION_S

V1, BOTH = {"llm": ("v1",)}, {"llm": ("v1", "v2")}


def recorded(entry):
    entry.tick()
    entry.tick()
    return [versions for (versions,) in entry.sent("software_versions_due")]


def test_versions_are_recorded_when_they_change():
    """Guards against a stream of a former version that is taken for one of today's."""
    entry = StreamEntry({"i-1": "v1"})
    assert recorded(entry) == recorded(entry) == [V1]
    entry.register("i-2", "v2")
    entry.leave("i-1")
    assert recorded(entry) == [V1, BOTH]


def test_nothing_is_recorded_before_the_former_record_was_read():
    """Guards against a started entry that drops versions from the record."""
    entry = StreamEntry({"i-2": "v2"}, reads_record=False)
    assert recorded(entry) == []
    entry.fire(events.software_versions_recorded(V1), "*")
    entry.fire(events.entry_list_read(()), "*")
    assert recorded(entry) == [BOTH]


def test_versions_are_recorded_again_after_the_store_lost_records():
    entry = StreamEntry({"i-1": "v1"})
    assert recorded(entry) == [V1]
    entry.fire(events.store_restored(), "*")
    assert recorded(entry) == [V1, V1]


def test_one_entry_records():
    """Guards against a call of the store by each entry at each change."""
    entry = StreamEntry({"i-1": "v1"}, vm="e2")
    first = replace(REPORT, sender=Incarnation("e1", 1), grants_complete=True)
    entry.fire(events.entry_reported(first))
    assert recorded(entry) == []


def test_each_entry_records_once_after_the_store_lost_records():
    """Guards against the outdated record of an entry that kept it before."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v2"}, vm="e2")
    first = replace(REPORT, sender=Incarnation("e1", 1), grants_complete=True)
    entry.fire(events.entry_reported(first))
    assert recorded(entry) == []
    entry.fire(events.store_restored(), "*")
    assert recorded(entry) == recorded(entry) == [BOTH]


def test_entry_that_keeps_the_record_again_writes_it():
    """Guards against a record that another entry changed in between.

    A version that had left long ago and came back was not recorded then.
    """
    entry = StreamEntry({"i-1": "v1"}, vm="e2")
    assert recorded(entry) == [V1]
    first = replace(REPORT, sender=Incarnation("e1", 1), grants_complete=True)
    entry.fire(events.entry_reported(first))
    assert recorded(entry) == [V1]
    # The first one is silent by now.
    entry.tick(30.0)
    entry.tick(30.0)
    assert recorded(entry) == [V1, V1]


def test_version_that_left_long_ago_is_dropped():
    """Guards against refusals of streams that only one version can have begun."""
    entry = StreamEntry({"i-1": "v1", "i-2": "v2"})
    assert recorded(entry) == [BOTH]
    entry.leave("i-1")
    entry.tick(RETENTION_S + 1)
    entry.tick(RETENTION_S + 1)
    assert recorded(entry)[1] == {"llm": ("v2",)}
