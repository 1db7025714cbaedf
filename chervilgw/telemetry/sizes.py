"""Outcomes of requests by the size of their prompts, from the entries' logs.

``python -m chervilgw.telemetry.sizes FILE...`` prints a table for each path. Prompts
of one route are split into ten parts of equal number by size, so that a part that is
served less often than the others shows whatever the route's sizes are.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

PARTS = 10
ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One logged request of a caller; ``path`` is the first part of its path."""

    path: str
    prompt_tokens: int
    outcome: str
    turn_wait_s: float


@dataclass(frozen=True, slots=True)
class SizePart:
    """Requests of similar size; ``outcomes`` maps an outcome to its number."""

    smallest_tokens: int
    largest_tokens: int
    outcomes: Mapping[str, int]
    mean_turn_wait_s: float

    @property
    def answered_share(self) -> float:
        """Return the part of the requests that were answered."""
        return self.outcomes.get(ANSWERED, 0) / sum(self.outcomes.values())


def read_attempts(lines: Iterable[str]) -> Iterator[Attempt]:
    """Return the requests with a prompt in log lines, whatever stands before the JSON.

    Examples
    --------
    >>> line = '{"event": "request_ended", "path": "/a/7/9", "prompt_tokens": 9, '
    >>> line += '"outcome": "answered", "turn_wait_s": 0.5}'
    >>> next(read_attempts(["12.1 entry-1 " + line, "torn {"]))
    Attempt(path='/a/', prompt_tokens=9, outcome='answered', turn_wait_s=0.5)
    """
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if fields.get("prompt_tokens") is None:
            continue
        outcome = fields.get("outcome") or fields.get("reason")
        path = "/" + fields["path"].split("/")[1] + "/"
        wait_s = fields.get("turn_wait_s", 0.0)
        yield Attempt(path, fields["prompt_tokens"], outcome, wait_s)


def size_parts(attempts: Sequence[Attempt]) -> list[SizePart]:
    """Return up to ten parts of equal number, the smallest prompts first."""
    ordered = sorted(attempts, key=lambda each: each.prompt_tokens)
    bounds = [len(ordered) * part // PARTS for part in range(PARTS + 1)]
    parts = [ordered[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]
    return [
        SizePart(
            part[0].prompt_tokens,
            part[-1].prompt_tokens,
            Counter(each.outcome for each in part),
            sum(each.turn_wait_s for each in part) / len(part),
        )
        for part in parts
    ]


def size_table(attempts: Iterable[Attempt]) -> str:
    """Return the table of all routes as text."""
    by_path = defaultdict(list)
    for attempt in attempts:
        by_path[attempt.path].append(attempt)
    lines = []
    for path, found in sorted(by_path.items(), key=lambda pair: -len(pair[1])):
        lines.append(f"{path} requests={len(found)}")
        for part in size_parts(found):
            outcomes = " ".join(f"{k}={n}" for k, n in sorted(part.outcomes.items()))
            lines.append(
                f"  {part.smallest_tokens:>6} to {part.largest_tokens:>6} tokens"
                f"  answered {part.answered_share:.2f}"
                f"  turn wait {part.mean_turn_wait_s:.3f} s  {outcomes}"
            )
    return "\n".join(lines) + "\n"


def main(paths: Sequence[str]) -> None:
    """Print the table of log files."""
    attempts = []
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            attempts += read_attempts(lines)
    sys.stdout.write(size_table(attempts))


if __name__ == "__main__":
    main(sys.argv[1:])
