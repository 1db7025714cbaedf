"""Assembly of the agent process, which runs on an engine's VM."""

from __future__ import annotations

import time

from circuits import BaseComponent

from chervilgw.core.ids import Incarnation, VmId
from chervilgw.forward.agent import AgentOptions, make_agent_task
from chervilgw.forward.engine_codec import EngineCodec
from chervilgw.forward.lifecycle import make_stop_task
from chervilgw.forward.metrics_server import make_metrics_tasks
from chervilgw.forward.ports import agent_port
from chervilgw.runtime.alarm import make_alarm
from chervilgw.runtime.app import App, make_app
from chervilgw.runtime.clock import make_clock
from chervilgw.runtime.datagrams import make_datagrams
from chervilgw.runtime.http_client import make_http_client
from chervilgw.settings.vm import VmSettings

STORE_SILENCE_TIMEOUT_S = 2.0
ENGINE_SILENCE_TIMEOUT_S = 2.0


def make_agent(
    settings: VmSettings,
    codec: EngineCodec,
    metrics_port: int | None,
    *platform_tasks: BaseComponent,
) -> App:
    """Return the agent of the engine on this VM.

    Parameters
    ----------
    settings : VmSettings
        Checked settings with the engine's address.
    codec : EngineCodec
        Encoding of reports and orders.
    metrics_port : int or None
        Port of the metrics, or None to serve none.
    *platform_tasks : circuits.BaseComponent
        Tasks that provide the deployment and the fencing token.
    """
    incarnation = Incarnation(VmId(settings.vm), int(time.time() * 1000))
    tasks = []
    if settings.app is not None:
        options = AgentOptions(incarnation, settings.app, settings.app_service)
        tasks.append(make_agent_task(options, codec))
    return make_app(
        make_clock(),
        make_alarm(),
        *platform_tasks,
        make_http_client("store-client", silence_timeout_s=STORE_SILENCE_TIMEOUT_S),
        make_http_client("server-client", silence_timeout_s=ENGINE_SILENCE_TIMEOUT_S),
        make_datagrams(settings.ip, agent_port(settings), "agent"),
        *tasks,
        *make_metrics_tasks(settings, metrics_port, codec.encode_refusal),
        make_stop_task(settings.bounds.grace_s, has_callers=False),
    )
