"""Keeps a local fleet in the foreground until Ctrl-C or SIGTERM."""

from __future__ import annotations

import argparse
import fcntl
import sys
import threading
from contextlib import contextmanager
from pathlib import Path

from fleet.interrupts import Interrupted, catch_interrupts, ignore_interrupts
from fleet.launcher import Fleet, start_fleet

DEFAULT_FOLDER = Path("run")


class FolderInUse(Exception):
    """Another fleet uses the folder."""


@contextmanager
def _locked(folder: Path):
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "lock").open("w") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderInUse(f"another fleet uses {folder.absolute()}") from None
        yield


def _announce(fleet: Fleet) -> None:
    path = fleet.write_description()
    url = f"http://{fleet.entry_addresses()[0]}/v1/chat/completions"
    # The key stays in the file, which only its owner can read.
    python = "import json; d = json.load(open('{}')); print(d['customer_keys']['{}'])"
    key = python.format(path, next(iter(fleet.keys)))
    body = (
        '{"model": "draft-small", "max_tokens": 20, '
        '"messages": [{"role": "user", "content": "hello"}]}'
    )
    print(f"The fleet is up; addresses, process ids and keys are in {path}.")
    print("Try:")
    print(
        f'curl -s {url} -H "Authorization: Bearer $(python3 -c "{key}")" -d \'{body}\''
    )
    print("Stop with Ctrl-C.", flush=True)


def _wait_for_interrupt() -> None:
    try:
        threading.Event().wait()
    except Interrupted:
        ignore_interrupts()


def _stop(fleet: Fleet) -> int:
    print("stopping", flush=True)
    statuses = fleet.stop()
    print("exit statuses:", ", ".join(f"{k} {v}" for k, v in statuses.items()))
    return int(any(statuses.values()))


def main(arguments: list[str] | None = None) -> int:
    """Run a fleet until the process is asked to end.

    Returns
    -------
    int
        0 after a clean stop, 1 if a process ended with another status.
    """
    parser = argparse.ArgumentParser(prog="python -m fleet.up", description=__doc__)
    parser.add_argument("--folder", type=Path, default=DEFAULT_FOLDER)
    folder = parser.parse_args(arguments).folder.absolute()
    catch_interrupts()
    try:
        with _locked(folder), start_fleet(folder=folder) as fleet:
            fleet.wait_loaded()
            _announce(fleet)
            _wait_for_interrupt()
            return _stop(fleet)
    except FolderInUse as error:
        print(error, file=sys.stderr)
        return 1
    except Interrupted:
        print("interrupted during the start; all processes are ended", file=sys.stderr)
        return 130
    finally:
        ignore_interrupts()


if __name__ == "__main__":
    sys.exit(main())
