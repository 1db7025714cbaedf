"""A customer's callers all use one entry, which is killed once and starts again."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.desk import (
    REQUEST_TOKENS,
    Usage,
    await_entry,
    desk_configuration,
    press,
    spend,
    start_desk,
)
from review.harness import BOUNDS, Fleet, Record, run_case, trouble_is_on

ZONES = ("jyl-a", "jyl-b", "jyl-c", "jyl-d")
# From the end of a process to the start of the next one.
RESTART_S = 1.0
FIRST_REQUESTS = 60
PRESS_PER_S = 25.0


def play(record: Record) -> bool:
    """Spend a customer's quota through one entry, kill it, and go on."""
    usage = Usage(record)
    with Fleet(record, desk_configuration()) as fleet:
        entries = start_desk(fleet, usage, ZONES)
        began_s = record.write("the customer's callers begin, all at the first entry")
        served = spend(usage, entries[0], FIRST_REQUESTS)
        record.write(f"{served * REQUEST_TOKENS} tokens were served")
        # Reports to the other entries come five times a second.
        time.sleep(0.6)
        if trouble_is_on():
            record.write(f"{entries[0].name} is killed")
            entries[0].kill()
            time.sleep(RESTART_S)
            entries[0].restart()
            await_entry(fleet, entries[0], 2 * len(ZONES))
            record.write(f"{entries[0].name} is ready again")
        press(usage, entries[0], began_s + BOUNDS["quota_window_s"], PRESS_PER_S)
        return usage.holds()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
