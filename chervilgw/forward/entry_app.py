"""Assembly of the entry process."""

from __future__ import annotations

import time
from collections.abc import Callable

from circuits import BaseComponent

from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.forward.codec import FrontCodec
from chervilgw.forward.gateway import GatewayOptions, make_gateway
from chervilgw.forward.gossip import GossipOptions, make_gossip
from chervilgw.forward.lifecycle import make_ready_task, make_stop_task
from chervilgw.forward.metrics_server import (
    caller_options,
    make_metrics_tasks,
    platform_options,
)
from chervilgw.forward.planner_task import make_planner_task
from chervilgw.forward.ports import agent_port, entry_port
from chervilgw.runtime.app import App, make_app
from chervilgw.runtime.clock import make_clock
from chervilgw.runtime.datagrams import make_datagrams
from chervilgw.runtime.http_client import make_http_client
from chervilgw.runtime.opaque_server import make_opaque_server
from chervilgw.settings.vm import VmSettings

# Idle connections that an entry keeps open to one server; opening one has a cost.
MAX_KEPT_CONNECTIONS = 32
# A server that acknowledges nothing for this long has lost power or is cut off; the
# platform removes it after three missed heartbeats of 1.2 s.
SERVER_SILENCE_TIMEOUT_S = 3.0
STORE_SILENCE_TIMEOUT_S = 2.0
# The balancer checks readiness once a second.
MAX_READY_CONNECTIONS = 64
# File descriptors for server connections, files and the process itself.
RESERVED_DESCRIPTORS = 400


def make_forward_entry(
    settings: VmSettings,
    codec: FrontCodec,
    metrics_port: int | None,
    *platform_tasks: BaseComponent,
) -> App:
    """Return an entry that forwards opaque requests.

    Parameters
    ----------
    settings : VmSettings
        Checked settings with an address for callers.
    codec : FrontCodec
        Encoding of the front end.
    metrics_port : int or None
        Port of the metrics, or None to serve none.
    *platform_tasks : circuits.BaseComponent
        Tasks that provide the deployment, the registered servers and the entries.
    """
    incarnation = Incarnation(VmId(settings.vm), int(time.time() * 1000))
    callers = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
    refuse: Callable = codec.encode_refusal
    front = caller_options(settings, "gateway", refuse, callers)
    ready = platform_options(
        settings, settings.ready_listen, "ready", refuse, MAX_READY_CONNECTIONS
    )
    port = entry_port(settings)
    address = f"{settings.ip}:{port}"
    gateway = GatewayOptions(
        incarnation,
        ZoneId(settings.zone),
        settings.bounds,
        settings.first_start,
        address,
    )
    gossip = GossipOptions(
        incarnation, address, ZoneId(settings.zone), agent_port(settings)
    )
    return make_app(
        make_clock(),
        *platform_tasks,
        make_http_client("store-client", silence_timeout_s=STORE_SILENCE_TIMEOUT_S),
        make_http_client(
            "server-client", MAX_KEPT_CONNECTIONS, SERVER_SILENCE_TIMEOUT_S
        ),
        make_datagrams(settings.ip, port, "gossip"),
        make_gossip(gossip),
        make_gateway(gateway, codec),
        make_planner_task(address),
        make_opaque_server(front),
        make_opaque_server(ready, "ready-http"),
        make_ready_task(),
        *make_metrics_tasks(settings, metrics_port, refuse),
        make_stop_task(settings.bounds.grace_s, has_callers=True),
    )
