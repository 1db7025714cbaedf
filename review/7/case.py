"""Case 7: a spoiled header of one engine's answer takes pieces from other streams."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import engines
import fakes

SEED = 6
ENGINES = 4
LOAD_S = 40.0
REQUESTS_PER_S = 25.0
# Half of the engines spoil this fraction of their answers.
GARBLE_SHARE = 0.5
GARBLE_X = 0.02


@dataclass
class SpoilingEngine(engines.ModelEngine):
    """An engine that spoils one byte in the signature of some of its answers."""

    spoils: bool = False
    since_s: float = field(default_factory=time.monotonic)
    spoiled: set[str] = field(default_factory=set)

    def on_run(self, run, seal: str) -> str:
        """Set the highest bit of one byte of the signature, for some answers."""
        is_garbling = self.spoils and fakes.is_garbling(self.since_s)
        if not is_garbling or random.random() >= GARBLE_X:
            return super().on_run(run, seal)
        self.record.write(f"engine {self.name} spoils its answer to {run.attempt}")
        self.spoiled.add(run.attempt)
        place = random.randrange(len(seal))
        return seal[:place] + chr(ord(seal[place]) | 0x80) + seal[place + 1 :]


async def case(record: fakes.Record) -> bool:
    """Return whether a stream of a sound answer lacked a piece or held one twice."""
    random.seed(SEED)
    async with fakes.Fleet(engines.CONFIGURATION) as fleet:
        servers = []
        for number in range(ENGINES):
            server = SpoilingEngine(
                fakes.ip(20 + number),
                record=record,
                spoils=fakes.TROUBLE and number < GARBLE_SHARE * ENGINES,
            )
            servers.append(server)
            await fleet.add_server(server)
            fleet.add_agent(server, "a")
        entry = fleet.add_entry(fakes.ip(11), "a")
        await fakes.wait_ready(entry)
        await asyncio.sleep(3.0)
        calls = []
        until_s = time.monotonic() + LOAD_S
        while time.monotonic() < until_s:
            call = engines.read_stream(fakes.new_id(), entry.fields["listen.front"])
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        _, pending = await asyncio.wait(calls, timeout=20.0)
        for call in pending:
            call.cancel()
        outcomes = [call.result() for call in calls if call not in pending]
        spoiled = set().union(*(server.spoiled for server in servers))
        return judge(record, outcomes, spoiled, len(pending))


def judge(record, outcomes: list, spoiled: set[str], pending: int) -> bool:
    """Write what the callers got, and return whether ORDER was broken."""
    broken = []
    for outcome in outcomes:
        is_sound = outcome.attempt not in spoiled
        is_broken = is_sound and outcome.ids != list(range(1, len(outcome.ids) + 1))
        record.write(
            f"caller {outcome.attempt} status {outcome.status}"
            f" {'complete' if outcome.complete else 'cut'}"
            f" {'BROKEN' if is_broken else '-'} ids {outcome.ids}"
        )
        if is_broken:
            broken.append(outcome)
    complete = sum(outcome.complete for outcome in broken)
    text = (
        f"{len(outcomes)} answers, {len(spoiled)} spoiled by their engines,"
        f" {len(broken)} others lack a piece, {complete} of these end as complete;"
        f" {pending} callers got no end"
    )
    record.write(text)
    print(text)
    return bool(broken)


if __name__ == "__main__":
    sys.exit(fakes.run_case(str(Path(__file__).resolve().parent), case))
