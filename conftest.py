"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` is long and random."""

import os
from pathlib import Path

from hypothesis import HealthCheck, settings

_COMMON = {"deadline": None, "suppress_health_check": list(HealthCheck)}
settings.register_profile(
    "ci", derandomize=True, max_examples=60, stateful_step_count=40, **_COMMON
)
settings.register_profile(
    "fuzz",
    max_examples=3000,
    stateful_step_count=80,
    print_blob=True,
    database=None,
    **_COMMON,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red():
    """Return the node ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def pytest_collection_modifyitems(config, items):
    """Pass over exactly the listed tests; RUN_KNOWN_RED=1 runs them all the same."""
    if os.environ.get("RUN_KNOWN_RED"):
        return
    listed = known_red()
    left_out = [item for item in items if item.nodeid in listed]
    if left_out:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(terminalreporter):
    """Print the tests that were passed over."""
    if os.environ.get("RUN_KNOWN_RED"):
        return
    for nodeid in sorted(known_red()):
        terminalreporter.write_line(f"known red, not run: {nodeid}")
