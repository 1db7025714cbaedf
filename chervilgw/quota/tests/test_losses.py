"""A sidecar must detect the loss of an entry to which it was not connected."""

from chervilgw.clients.log import LogPage, Stream
from chervilgw.core.ids import Incarnation, VmId
from chervilgw.quota.dead_task import make_dead_task
from chervilgw.quota.losses import PERMIT_RECOVERY_S, EntryLosses
from chervilgw.quota.records import Dead, Join, record_to_mapping

FIRST, SECOND = Incarnation(VmId("e1"), 1), Incarnation(VmId("e1"), 2)


def loss_until_s(monkeypatch, records, age_s):
    """Return how long a loss matters, as the dead task reports for these records."""
    now_s, wall_s = 5_000.0, 1_000_000.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    monkeypatch.setattr("time.time", lambda: wall_s)
    task, fired = make_dead_task(), []
    task.fire = lambda event, *channels: fired.append((event, channels))
    rows = tuple(
        (offset, int((wall_s - age_s) * 1000), record_to_mapping(record))
        for offset, record in enumerate(records)
    )
    task._on_page(Stream.SHARES, LogPage(0, len(rows), rows), now_s)
    sent = [event for event, channels_sent in fired if channels_sent == ("engine",)]
    return sent[0].args[0] - now_s if sent else None


def test_loss_before_the_start_of_the_sidecar_is_read_from_the_log(monkeypatch):
    """Guards against a wait for permits that a lost entry held."""
    records = [Join(FIRST), Join(SECOND)]
    assert loss_until_s(monkeypatch, records, 20.0) == PERMIT_RECOVERY_S - 20.0


def test_planned_stop_is_no_loss(monkeypatch):
    """Guards against loads without permits although no permit is missing."""
    records = [Join(FIRST), Dead(FIRST, handed_over=True), Join(SECOND)]
    assert loss_until_s(monkeypatch, records, 20.0) is None


def test_loss_matters_until_the_log_is_readable_again():
    """Guards against a loss that expires during an outage, before any collection."""
    losses = EntryLosses()
    losses.on_log_read()
    losses.on_log_failed(0.0)
    assert losses.until_s < 0.0
    losses.on_loss(10.0)
    for now_s in range(10, 600):
        losses.on_log_failed(float(now_s))
    assert losses.until_s == 599.0 + PERMIT_RECOVERY_S


def test_start_without_the_log_cannot_rule_out_a_loss():
    """Guards against a restart during an outage that misses the loss before it."""
    losses = EntryLosses()
    losses.on_log_failed(3.0)
    assert losses.until_s == 3.0 + PERMIT_RECOVERY_S
