"""Assembles the entry's tasks into a process."""

from __future__ import annotations

import random

from chervilgw.admin.task import make_admin_task
from chervilgw.clients.log import Stream
from chervilgw.clients.log_task import make_log_task
from chervilgw.codec.openai_answers import make_error_answer
from chervilgw.configuration.task import make_config_task
from chervilgw.core.messages import (
    Chunk,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    CrashReport,
    DrainNotice,
    End,
    Heartbeat,
    PermitRelease,
    PermitRequest,
    Refused,
    ShareReply,
    ShareRequest,
    ShareSnapshot,
    ShareTransfer,
    Started,
)
from chervilgw.core.states import Role
from chervilgw.crashes.task import make_crash_task
from chervilgw.entry.events import front_closed
from chervilgw.entry.front import make_front
from chervilgw.entry.gateway import GatewayOptions, make_gateway
from chervilgw.membership.task import make_fleet_task
from chervilgw.quota.task import make_quota_task, quota_hand_over
from chervilgw.runtime.app import App, make_app
from chervilgw.runtime.clock import make_clock
from chervilgw.runtime.http_client import make_http_client
from chervilgw.runtime.http_guard import GuardLimits
from chervilgw.runtime.http_server import (
    HttpServer,
    HttpServerOptions,
    make_http_server,
)
from chervilgw.runtime.role import make_links, make_ready_task, make_shutdown_task
from chervilgw.settings import EntrySettings
from chervilgw.telemetry import make_metrics

ROUTES = {
    Heartbeat: "fleet",
    DrainNotice: "fleet",
    ConfigRequest: "config",
    ConfigRecords: "config",
    ConfigSnapshot: "config",
    ShareRequest: "quota",
    ShareTransfer: "quota",
    ShareReply: "quota",
    ShareSnapshot: "quota",
    PermitRequest: "quota",
    PermitRelease: "quota",
    CrashReport: "crashes",
    Started: "gateway",
    Chunk: "gateway",
    End: "gateway",
    Refused: "gateway",
}
MAX_SNAPSHOT_JITTER_S = 5.0
# Maps a drained task to the channel and event of the next shutdown step.
SHUTDOWN_STEPS = {
    "front": ("gateway", front_closed),
    "gateway": ("quota", quota_hand_over),
    "quota": None,
}


def make_entry_app(settings: EntrySettings) -> App:
    """Return an entry process that is ready to run.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.

    Returns
    -------
    App
    """
    links = make_links(settings, Role.ENTRY, ROUTES)
    incarnation = links.local_peer.incarnation
    metrics = make_metrics(settings.statsd, settings.vm)
    http = make_http_server(
        _http_options(settings, settings.http_listen, "front"), _write_refusal
    )
    admin_servers = _admin_servers(settings)
    jitter_s = random.uniform(0.0, MAX_SNAPSHOT_JITTER_S)
    readers = {Stream.SHARES: "quota", Stream.CRASHES: "crashes"}
    addresses = {"http": f"{http.host}:{http.port}", "peer": links.local_peer.address}
    for server in admin_servers:
        addresses["admin"] = f"{server.host}:{server.port}"
    return make_app(
        make_clock(),
        http,
        make_http_client(),
        links,
        make_config_task(incarnation, settings.platform.log, jitter_s),
        make_log_task(settings.platform.log, readers),
        make_fleet_task(links.local_peer, settings.platform.list),
        make_quota_task(incarnation, metrics),
        make_crash_task(),
        make_front(incarnation, not admin_servers, metrics),
        make_gateway(GatewayOptions(incarnation, links.local_peer.zone), metrics),
        make_admin_task(incarnation, settings.operators),
        *admin_servers,
        make_shutdown_task(SHUTDOWN_STEPS, settings.notice_s),
        make_ready_task(addresses),
    )


def _admin_servers(settings: EntrySettings) -> list[HttpServer]:
    if settings.admin_listen is None:
        return []
    options = _http_options(settings, settings.admin_listen, "admin")
    return [make_http_server(options, _write_refusal, "admin-http")]


def _http_options(
    settings: EntrySettings, listen: str, owner: str
) -> HttpServerOptions:
    host, _, port = listen.rpartition(":")
    limits, tls = settings.limits, settings.tls
    return HttpServerOptions(
        host,
        int(port),
        owner,
        GuardLimits(
            limits.max_headers_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.body_timeout_s,
        ),
        limits.max_connections,
        limits.write_buffer_bytes,
        tls.certificate_file if tls else None,
        tls.private_key_file if tls else None,
    )


def _write_refusal(refusal):
    answer = make_error_answer(refusal)
    return answer.status, answer.headers, answer.body
