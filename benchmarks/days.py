"""Days in the journal that fell short of the operators' bounds.

``python -m benchmarks.days [--since 20261204T17]`` lists each played day that broke a
rule, had a fault, missed a floor or served a kind, size or model of requests too
seldom. The exit status is 1 if there is one. The summary of a hunt counts broken rules
only.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

JOURNAL = Path(__file__).parent.parent / "journal"


@dataclass(frozen=True, slots=True)
class ShortDay:
    """One day that was not whole, and all that was wrong with it."""

    entry: str
    site: str
    day: str
    findings: tuple[str, ...]


def findings_of(day: Mapping[str, Any]) -> tuple[str, ...]:
    """Return what is wrong with one day of an entry.

    Examples
    --------
    >>> findings_of({"gate": True, "rules": {}, "short": [], "fault": None})
    ()
    >>> findings_of({"gate": False, "rules": {"GONE": 2}, "short": ["few"]})
    ('GONE 2 times', 'few')
    """
    found = [f"{rule} {number} times" for rule, number in day["rules"].items()]
    found += day["short"]
    if day.get("fault"):
        found.append(f"fault: {day['fault']}")
    if not day["gate"] and not found:
        found.append("a floor was missed")
    return tuple(found)


def short_days(paths: Iterable[Path]) -> Iterator[tuple[int, list[ShortDay]]]:
    """Return the number of days and those that fell short, for each entry."""
    for path in paths:
        entry = json.loads(path.read_text())
        days = [day for day in entry.get("days") or [] if day.get("gate") is not None]
        found = [(day["name"], findings_of(day)) for day in days]
        short = [
            ShortDay(path.stem, entry["site"], name, each)
            for name, each in found
            if each
        ]
        yield len(days), short


def main(since: str = "", journal: str = str(JOURNAL)) -> None:
    """Print the days that fell short in the journal entries from a time on.

    Parameters
    ----------
    since : str
        First entries to read, as the beginning of their names, for example 20261204T17.
    journal : str
        Folder of the entries.
    """
    paths = [each for each in Path(journal).glob("*.json") if each.name >= str(since)]
    number, short = 0, []
    for days, found in short_days(sorted(paths)):
        number += days
        short += found
    for each in short:
        print(f"{each.entry} {each.site} {each.day}: {'; '.join(each.findings)}")
    print(f"{number} days in {len(paths)} entries, {len(short)} fell short")
    sys.exit(bool(short))


if __name__ == "__main__":
    fire.Fire(main)
