"""Demo: starts a fleet, sends requests of every kind, checks the answers, stops."""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from pathlib import Path

from fleet.demo_steps import STEPS, WrongResult
from fleet.interrupts import Interrupted, catch_interrupts, ignore_interrupts
from fleet.launcher import Fleet, FleetError, start_fleet

EXIT_INTERRUPTED = 130


class Report:
    """Prints one line per result, with the time since the start."""

    def __init__(self):
        self._start_s = time.monotonic()
        self.failures = 0

    def line(self, mark: str, title: str, detail: str) -> None:
        """Print a line."""
        passed_s = time.monotonic() - self._start_s
        print(f"{passed_s:6.2f} s  {mark:<5}  {title}: {detail}", flush=True)

    def result(self, right: bool, title: str, detail: str) -> None:
        """Print a result and count it if it is wrong."""
        self.failures += not right
        self.line("ok" if right else "WRONG", title, detail)


def _run_steps(fleet: Fleet, report: Report) -> None:
    for title, step in STEPS:
        try:
            report.result(True, title, step(fleet))
        except (WrongResult, FleetError, OSError, LookupError, ValueError) as error:
            report.result(False, title, f"{type(error).__name__}: {error}")
        except StopIteration:
            report.result(False, title, "the stream ended early")


def _stop(fleet: Fleet, report: Report) -> None:
    statuses = fleet.stop()
    wrong = {name: status for name, status in statuses.items() if status != 0}
    detail = f"{len(statuses)} processes ended by SIGTERM, "
    detail += f"exit statuses {wrong}" if wrong else "all with exit status 0"
    report.result(not wrong, "stop", detail)


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        0 if all results are right, 1 if one is wrong, 130 after an interrupt.
    """
    catch_interrupts()
    report = Report()
    folder = Path(tempfile.mkdtemp(prefix="chervilgw-demo-"))
    report.line("", "set-up", f"2 entries, 3 engines, 2 services; logs in {folder}")
    try:
        with start_fleet(folder=folder) as fleet:
            fleet.wait_loaded()
            report.line("ok", "set-up", "all processes ready, all models loaded")
            _run_steps(fleet, report)
            _stop(fleet, report)
            ignore_interrupts()
    except Interrupted as signal:
        print(f"interrupted by {signal}; all processes are ended", file=sys.stderr)
        return EXIT_INTERRUPTED
    if report.failures:
        print(f"{report.failures} results are wrong; see {folder}", flush=True)
        return 1
    shutil.rmtree(folder, ignore_errors=True)
    print("all results are right", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
