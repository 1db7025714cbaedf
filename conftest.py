"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` is long and random."""

import os

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
