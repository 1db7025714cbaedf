"""Tabulates the outcomes of requests by prompt size, from the entries' logs.

``python -m chervilgw.telemetry.sizes FILE...`` prints a table for each path. The
requests of a path are sorted by prompt size and split into ten groups of equal number,
so that sizes that are answered less often show whatever the range of sizes is.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

GROUPS = 10
ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class LoggedRequest:
    """One logged request of a caller; ``path`` is the first segment of its path."""

    path: str
    prompt_tokens: int
    outcome: str
    turn_wait_s: float


@dataclass(frozen=True, slots=True)
class SizeGroup:
    """Requests of similar size; ``outcomes`` maps an outcome to its count."""

    smallest_tokens: int
    largest_tokens: int
    outcomes: Mapping[str, int]
    mean_turn_wait_s: float

    @property
    def answered_fraction(self) -> float:
        """Return the fraction of the requests that were answered."""
        return self.outcomes.get(ANSWERED, 0) / sum(self.outcomes.values())


def read_requests(lines: Iterable[str]) -> Iterator[LoggedRequest]:
    """Return the logged requests with a prompt; text before a line's JSON is ignored.

    Examples
    --------
    >>> line = '{"event": "request_ended", "path": "/a/7/9", "prompt_tokens": 9, '
    >>> line += '"outcome": "answered", "turn_wait_s": 0.5}'
    >>> next(read_requests(["12.1 entry-1 " + line, "torn {"]))
    LoggedRequest(path='/a/', prompt_tokens=9, outcome='answered', turn_wait_s=0.5)
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
        yield LoggedRequest(path, fields["prompt_tokens"], outcome, wait_s)


def group_by_size(requests: Sequence[LoggedRequest]) -> list[SizeGroup]:
    """Return up to ten groups of equal number, the smallest prompts first."""
    ordered = sorted(requests, key=lambda request: request.prompt_tokens)
    bounds = [len(ordered) * group // GROUPS for group in range(GROUPS + 1)]
    groups = [ordered[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]
    return [
        SizeGroup(
            group[0].prompt_tokens,
            group[-1].prompt_tokens,
            Counter(request.outcome for request in group),
            sum(request.turn_wait_s for request in group) / len(group),
        )
        for group in groups
    ]


def format_table(requests: Iterable[LoggedRequest]) -> str:
    """Return the table of all paths as text, the most frequent path first."""
    by_path = defaultdict(list)
    for request in requests:
        by_path[request.path].append(request)
    lines = []
    for path, path_requests in sorted(by_path.items(), key=lambda pair: -len(pair[1])):
        lines.append(f"{path} requests={len(path_requests)}")
        for group in group_by_size(path_requests):
            outcomes = " ".join(f"{k}={n}" for k, n in sorted(group.outcomes.items()))
            lines.append(
                f"  {group.smallest_tokens:>6} to {group.largest_tokens:>6} tokens"
                f"  answered {group.answered_fraction:.2f}"
                f"  turn wait {group.mean_turn_wait_s:.3f} s  {outcomes}"
            )
    return "\n".join(lines) + "\n"


def main(paths: Sequence[str]) -> None:
    """Print the table of the requests in log files."""
    requests = []
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            requests += read_requests(lines)
    sys.stdout.write(format_table(requests))


if __name__ == "__main__":
    main(sys.argv[1:])
