"""Another writer leaves odd entries in the list of servers; all entries restart."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.desk import (
    CUSTOMER,
    SERVER_PORT,
    Usage,
    desk_configuration,
    start_desk,
)
from review.harness import (
    HEARTBEAT_S,
    Fleet,
    Program,
    Record,
    run_case,
    trouble_is_on,
)

ZONES = ("jyl-a", "jyl-b")
SERVERS = 2 * len(ZONES)
# A service that no configuration names.
ODD_SERVICE = "booking-next"
RESTART_S = 1.0
# Bound of the sheet, and the share of the rule.
RECOVER_S = 12.0
SERVED_SHARE = 0.25
PROBE_S = 4.0
PROBES_PER_S = 10.0


def write_odd_entries(fleet: Fleet, record: Record) -> None:
    """Write an entry of an unnamed service for the address of each server."""
    for number in range(SERVERS):
        entry = {
            "service": ODD_SERVICE,
            "address": f"{fleet.address(100 + number)}:{SERVER_PORT}",
            "zone": ZONES[number % len(ZONES)],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000),
            "sequence": 0,
        }
        fleet.store.put("keyed.servers", f"odd-{number}", entry)
        record.write(f"another writer writes servers/odd-{number}: {entry}")


def remove_odd_entries(fleet: Fleet, record: Record) -> None:
    """Remove the odd entries."""
    for number in range(SERVERS):
        fleet.store.put("keyed.servers", f"odd-{number}", None)
    record.write("the odd entries are removed")


def served_share(usage: Usage, entries: list[Program]) -> float:
    """Send requests for some seconds; return the share that was served."""
    served = sent = 0
    until_s = usage.record.now_s() + PROBE_S
    while usage.record.now_s() < until_s:
        entry = entries[sent % len(entries)]
        status = usage.send(entry, "/reserve/7", {"X-Deadline-Ms": "1500"})
        served += status == 200
        sent += 1
        time.sleep(1.0 / PROBES_PER_S)
    usage.record.write(f"{served} of {sent} requests were served")
    return served / sent


def play(record: Record) -> bool:
    """Compare what is served before and after all entries were killed."""
    usage = Usage(record)
    unlimited = CUSTOMER | {"rate_per_s": 0, "burst": 0}
    configuration = desk_configuration() | {"tenants": [unlimited]}
    with Fleet(record, configuration) as fleet:
        entries = start_desk(fleet, usage, ZONES)
        before = served_share(usage, entries)
        if trouble_is_on():
            write_odd_entries(fleet, record)
        record.write("all entries are killed")
        for entry in entries:
            entry.kill()
        time.sleep(RESTART_S)
        for entry in entries:
            entry.restart()
        fleet.wait_until(lambda: all(each.is_ready() for each in entries), "ready")
        back_s = record.write("all entries are ready again")
        time.sleep(2 * HEARTBEAT_S)
        if trouble_is_on():
            remove_odd_entries(fleet, record)
        time.sleep(max(0.0, back_s + RECOVER_S - record.now_s()))
        record.write("recover_s is over")
        after = served_share(usage, entries)
        return before < SERVED_SHARE or after >= SERVED_SHARE


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
