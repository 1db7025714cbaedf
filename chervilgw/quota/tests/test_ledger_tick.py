"""The work of a tick must not grow with the number of idle customers."""

from chervilgw.quota.budgets import Budgets
from chervilgw.quota.tests.simulation import Fleet


def test_ticks_skip_idle_budgets(monkeypatch):
    budgets = {f"c{number}": (1000.0, 5000.0) for number in range(50)}
    fleet = Fleet(1, budgets)
    fleet.tick_s = 0.1
    first, *_ = [fleet.start(f"e{index}") for index in range(3)]
    fleet.advance(20.0)
    visited = []
    get = Budgets.get
    monkeypatch.setattr(
        Budgets, "get", lambda self, name: visited.append(name) or get(self, name)
    )
    fleet.advance(10.0)
    assert not visited
    fleet.reserve(first, "c7", 100.0)
    fleet.advance(10.0)
    assert set(visited) == {"c7"}
