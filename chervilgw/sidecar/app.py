"""Assembles the sidecar's tasks into a process."""

from __future__ import annotations

import random

from chervilgw.bookings.task import make_booking_task
from chervilgw.clients.log import Stream
from chervilgw.clients.log_task import make_log_task
from chervilgw.configuration.task import make_config_task
from chervilgw.core.messages import (
    AttemptQuery,
    Cancel,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    CrashReport,
    Dispatch,
    DrainNotice,
    Heartbeat,
    PermitGrant,
)
from chervilgw.core.states import BackendKind, Role
from chervilgw.crashes.task import make_crash_task
from chervilgw.membership.task import make_fleet_task
from chervilgw.quota.dead_task import make_dead_task
from chervilgw.runtime.app import App, make_app
from chervilgw.runtime.clock import make_clock
from chervilgw.runtime.http_client import make_http_client
from chervilgw.runtime.role import make_links, make_ready_task, make_shutdown_task
from chervilgw.settings import SidecarSettings
from chervilgw.sidecar.answers_task import make_answer_task
from chervilgw.sidecar.engine_task import EngineOptions, make_engine_task
from chervilgw.sidecar.queue_task import QueueOptions, make_queue_task
from chervilgw.sidecar.run_task import make_run_task

ROUTES = {
    Heartbeat: "fleet",
    DrainNotice: "fleet",
    ConfigRequest: "config",
    ConfigRecords: "config",
    ConfigSnapshot: "config",
    PermitGrant: "engine",
    CrashReport: "crashes",
    Dispatch: "answers",
    Cancel: "answers",
    AttemptQuery: "answers",
}
# Later than the entries' jitter, so that usually an entry writes the snapshot.
SNAPSHOT_JITTER_S = (5.0, 60.0)


def make_sidecar_app(settings: SidecarSettings) -> App:
    """Return a sidecar process that is ready to run.

    Parameters
    ----------
    settings : SidecarSettings
        Checked settings.

    Returns
    -------
    App
    """
    links = make_links(settings, Role.SIDECAR, ROUTES)
    incarnation = links.local_peer.incarnation
    readers = {Stream.SHARES: "dead", Stream.CRASHES: "crashes"}
    queue = QueueOptions(
        settings.backend,
        settings.pool,
        settings.services,
        settings.max_running,
    )
    if settings.backend is BackendKind.ENGINE:
        engine = EngineOptions(
            incarnation,
            settings.backend_address,
            settings.fenced,
            settings.order_settle_s,
        )
        backend_task = make_engine_task(engine)
    else:
        backend_task = make_booking_task(incarnation, settings.platform.log)
    return make_app(
        make_clock(),
        make_http_client(),
        links,
        make_config_task(
            incarnation, settings.platform.log, random.uniform(*SNAPSHOT_JITTER_S)
        ),
        make_log_task(settings.platform.log, readers),
        make_fleet_task(links.local_peer, settings.platform.list),
        make_dead_task(),
        make_crash_task(),
        make_answer_task(),
        make_queue_task(queue),
        make_run_task(incarnation.vm, settings.backend_address),
        backend_task,
        make_shutdown_task({"queue": None}, 0.0),
        make_ready_task({"peer": links.local_peer.address}),
    )
