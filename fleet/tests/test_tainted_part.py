"""Prompts that share one part crash every engine that begins to answer them."""

import itertools
import threading
import time

import httpx
import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import listed

DEADLY = "dead0001"
# The operators' bounds: up to the fifth crash and three seconds past it nothing is
# asked, then three requests may still reach an engine.
CRASHES_ALLOWED = 5
TOUCH_S = 3.0
MAX_LATE_ARRIVALS = 3
RESTART_S = 0.5
ENGINES = 4
PLAY_S = 9.0


class CrashingEngines:
    """Engines that restart under a new id after a crash; counts what reaches them."""

    def __init__(self, fleet, framed):
        self.fleet, self.framed = fleet, framed
        self.crashes_s = []
        self._numbers = itertools.count(1)
        for _ in range(ENGINES):
            self.start()

    def start(self):
        return self.fleet.add_server(
            name=f"i-{next(self._numbers)}",
            service="llm",
            models={"m1": []},
            deadly_part=DEADLY,
            on_crash=self._on_crash,
            event_pause_s=0.1,
            framed=self.framed,
        )

    def _on_crash(self, server):
        self.crashes_s.append(time.monotonic())
        self.fleet.store.put("keyed.servers", server.name, None)
        threading.Timer(RESTART_S, self.start).start()

    def is_late(self):
        """Return whether only few further arrivals are allowed."""
        crashes_s = self.crashes_s[CRASHES_ALLOWED - 1 :]
        return bool(crashes_s) and time.monotonic() > crashes_s[0] + TOUCH_S

    def tainted_arrivals(self):
        """Return how many requests with the deadly part reached an engine."""
        runs = [run for server in self.fleet.servers for run in server.runs]
        return sum(DEADLY in run["headers"]["x-prompt-prefix"] for run in runs)


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


def send(entry, parts, number, statuses):
    headers = {
        "X-Model": "m1",
        "X-Token-Count": "300,15",
        "X-Prompt-Prefix": ",".join(f"{part}:100" for part in (*parts, f"{number:x}")),
    }
    sent_s = time.monotonic()
    try:
        status = entry.send(f"/draft/{number}", headers=headers).status_code
    except httpx.HTTPError:
        # The engine crashed in the middle of the answer.
        status = 0
    statuses.append((sent_s, status))


@pytest.mark.parametrize("framed", [True, False])
def test_part_of_a_prompt_that_crashes_engines_is_blocked_in_all_requests(
    fleet, framed
):
    """Guards against a crash of engine after engine by requests that share one part.

    A stream without a length ends with its connection, also when its engine crashes.
    """
    engines = CrashingEngines(fleet, framed)
    entries = [fleet.add_entry(ip) for ip in ("127.0.0.1", "127.0.0.2")]
    for entry, server in itertools.product(entries, list(fleet.servers)):
        wait_for(listed(entry, server), "the engines are known")
    sound, tainted, threads = [], [], []
    late_from = None
    until_s = time.monotonic() + PLAY_S
    for number in itertools.count():
        if time.monotonic() > until_s:
            break
        if late_from is None and engines.is_late():
            late_from = engines.tainted_arrivals()
        entry = entries[number % 2]
        shared = f"cafe{number % 3}"
        for parts, statuses in (
            ((shared,), sound),
            ((shared, DEADLY), tainted),
        ):
            arguments = (entry, parts, 2 * number + len(parts) - 1, statuses)
            thread = threading.Thread(target=send, args=arguments)
            thread.start()
            threads.append(thread)
        time.sleep(0.25)
    for thread in threads:
        thread.join()
    if late_from is not None:
        assert engines.tainted_arrivals() - late_from <= MAX_LATE_ARRIVALS
    assert len(tainted) > 3 * CRASHES_ALLOWED
    # Half of the sound requests begin at least once the part is known.
    settled_s = until_s - PLAY_S / 2
    late = [status for sent_s, status in sound if sent_s > settled_s]
    assert late.count(200) >= len(late) / 2
