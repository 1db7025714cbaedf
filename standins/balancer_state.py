"""Choice of a target by weight among the healthy ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Target:
    """One target; ``credit`` is its state in the weighted round robin."""

    address: str
    weight: int
    healthy: bool = True
    credit: int = 0


class BalancerState:
    """Targets, their weights and health.

    A new target counts as healthy until its first check. Connections go out in smooth
    weighted round robin, so that the shares are exact over one cycle.

    Examples
    --------
    >>> state = BalancerState([("a", 3), ("b", 1)])
    >>> "".join(state.pick() for _ in range(8))
    'aabaaaba'
    """

    def __init__(self, targets: list[tuple[str, int]]) -> None:
        self._targets: dict[str, Target] = {}
        self.replace(targets)

    def replace(self, targets: list[tuple[str, int]]) -> None:
        """Set the targets; the ones that stay keep their health."""
        if any(weight < 0 for _, weight in targets):
            raise ValueError("a weight is negative")
        known = self._targets
        self._targets = {
            address: Target(
                address, weight, known[address].healthy if address in known else True
            )
            for address, weight in targets
        }

    def pick(self) -> str | None:
        """Return the target of the next connection, or None without a healthy one."""
        healthy = [t for t in self._targets.values() if t.healthy and t.weight]
        if not healthy:
            return None
        for target in healthy:
            target.credit += target.weight
        best = max(healthy, key=lambda target: target.credit)
        best.credit -= sum(target.weight for target in healthy)
        return best.address

    def checked(self, address: str, healthy: bool) -> None:
        """Record the result of a check."""
        if address in self._targets:
            self._targets[address].healthy = healthy

    def addresses(self) -> list[str]:
        """Return the addresses of all targets."""
        return list(self._targets)

    def report(self) -> list[dict[str, Any]]:
        """Return the targets for the control port."""
        return [
            {"address": t.address, "weight": t.weight, "healthy": t.healthy}
            for t in self._targets.values()
        ]
