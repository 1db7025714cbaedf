"""Case 11: after the store came back from a copy, entries keep an old configuration."""

from __future__ import annotations

import copy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.platform3 import Fleet, is_ready, run_case, send, wait_for  # noqa: E402

CHANGES = 4
COPY_AGE_S = 4.0
AWAY_S = 1.0

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": f"r-{name}",
            "hostname": "desk.example",
            "path_prefix": f"/{name}/",
            "route_kind": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 125,
            "priority": 2,
            "service": "booking",
            "max_attempts": 1,
        }
        for name in ("reserve", "return")
    ],
    "services": [{"name": "booking", "health_path": "/health", "max_connections": 96}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "guild", "api_keys": ["key-guild"]},
        {"name": "school", "api_keys": ["key-school"]},
    ],
}


def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Change the configuration, lose the changes in the store, and withdraw a key."""
    config = copy.deepcopy(CONFIG)
    fleet.configure(config)
    fleet.store.rewriters.append(fleet.rewrite_config)
    for number in (1, 2):
        fleet.add_server(f"i-{number}", "booking")
    entries = [fleet.add_entry(f"front-{number}") for number in (1, 2)]
    for entry in entries:
        wait_for(lambda entry=entry: is_ready(entry), f"{entry.name} is ready")
    time.sleep(COPY_AGE_S)
    # Changes in quick succession, each of which the entries put in force.
    for _ in range(CHANGES):
        config["version"] += 7
        config["routes"][1]["timeout_ms"] += 10
        fleet.configure(config)
        time.sleep(0.5)
    for entry in entries:
        newest = f'"version": {config["version"]}'
        wait_for(lambda e=entry, n=newest: n in e.log_text(), "the changes are applied")
        send(fleet, entry, "/return/1", "key-school")
    if trouble:
        fleet.store.come_back_from_copy(COPY_AGE_S, AWAY_S)
    # The core is stable for touch_ms before the next change, and long after it.
    time.sleep(4.0)
    config["version"] += 7
    config["tenants"] = config["tenants"][:1]
    config["routes"] = config["routes"][:1]
    fleet.configure(config)
    changed_s = time.monotonic()
    time.sleep(8.0)
    broken = []
    for entry in entries:
        for path, key, allowed in (
            ("/reserve/2", "key-school", 401),
            ("/return/2", "key-guild", 404),
        ):
            sent_s = time.monotonic() - changed_s
            attempt, status, _, _ = send(fleet, entry, path, key)
            time.sleep(0.1)
            ran = any(
                run[1] == attempt for server in fleet.servers for run in server.runs
            )
            if ran or status != allowed:
                broken.append(
                    f"CONFIG: {attempt} ({path}, {key}) at {entry.name}, sent "
                    f"{sent_s:.1f} s after the acknowledgement of version "
                    f"{config['version']}: status {status}, run: {ran}; that version "
                    f"and all later ones allow only {allowed}"
                )
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
