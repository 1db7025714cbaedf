"""Case 12: an agent gives orders by a lower token after a drill of the store."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.platform3 import Fleet, is_ready, run_case, send, wait_for  # noqa: E402

ENGINES = 3
AWAY_S = 1.0

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-note",
            "hostname": "desk.example",
            "path_prefix": "/note/",
            "route_kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "skind-llm",
            "max_attempts": 1,
            "gap_aim_ms": 300,
        }
    ],
    "services": [
        {
            "name": "skind-llm",
            "health_path": "/health",
            "max_connections": 360,
            "engine": {
                "slots": 64,
                "kv_tokens": 121069,
                "weights_mb": 220000.0,
                "adapter_slots": 8,
                "loads_per_s": 1.1,
                "models": [
                    {
                        "name": f"m{number}",
                        "weights_mb": 72700.0,
                        "load_time_s": 8.6,
                        "adapters": 10,
                        "adapter_mb": 66.0,
                    }
                    for number in range(ENGINES)
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "guild", "api_keys": ["key-guild"]}],
}


def draft(fleet: Fleet, entry, model: str) -> int:
    """Send a request for a model and its adapter; return the status."""
    headers = {"X_Model": model, "X_Token_Count": "100,9", "X_Prompt_Prefix": "5c:100"}
    headers["X_Deadline_Ms"] = "8000"
    time.sleep(0.3)
    return send(fleet, entry, "/note/1", "key-guild", model + " ", **headers)[1]


def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Start agents, lose the start in the store, and start one of them again."""
    fleet.configure(CONFIG)
    fleet.store.rewriters.append(fleet.rewrite_config)
    engines = [fleet.add_server(f"i-{n}", "skind-llm", f"m{n}") for n in range(ENGINES)]
    entry = fleet.add_entry("front-1")
    wait_for(lambda: is_ready(entry), "the entry is ready")
    time.sleep(2.0)
    started_s = time.monotonic()
    agents = []
    for number, engine in enumerate(engines):
        agent = fleet.add_agent(f"side-{number}", engine)
        wait_for(
            lambda n=number: fleet.store.end("fences") > n, "the agent has its token"
        )
        agents.append(agent)
    last = engines[-1]
    model = f"m{ENGINES - 1}"
    wait_for(
        lambda: draft(fleet, entry, f"{model}/a1") == 200 and last.orders,
        "the engine got an order for the adapter",
    )
    if trouble:
        age_s = time.monotonic() - started_s + 0.2
        fleet.store.come_back_from_copy(age_s, AWAY_S)
        time.sleep(4.0)
    # The process ends and is started again by the platform.
    orders = len(last.orders)
    agents[-1].kill()
    fleet.record(f"{agents[-1].name}: killed")
    time.sleep(1.0)
    agents[-1].start()
    fleet.record(f"{agents[-1].name}: started again")
    wait_for(
        lambda: agents[-1].log_text().count('"event": "fence_taken"') > 1
        or agents[-1].log_text().count("fence_taken") > 1,
        "the agent has a token again",
    )
    wait_for(
        lambda: draft(fleet, entry, f"{model}/a2") == 200 and len(last.orders) > orders,
        "the engine got another order",
    )
    tokens = [(at_s, order["holder"], order["fence"]) for at_s, order in last.orders]
    fleet.record(f"orders to {last.name}: {[token[1:] for token in tokens]}")
    return [
        f"ONE: engine {last.name} accepted an order with token {later[2]} of "
        f"{later[1]}, {later[0] - earlier[0]:.1f} s after one with token {earlier[2]}"
        for earlier, later in zip(tokens, tokens[1:], strict=False)
        if later[2] < earlier[2]
    ]


if __name__ == "__main__":
    run_case(__file__, play)
