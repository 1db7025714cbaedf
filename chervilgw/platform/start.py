"""Starts a process from the platform's settings file."""

from __future__ import annotations

import signal
import sys

from chervilgw.platform.boot import boot_path, load_vm_settings
from chervilgw.platform.errors import DecodeError

EXIT_BAD_SETTINGS = 2


def run_on_platform(metrics_port: int | None = None) -> int:
    """Run the role that the platform's settings give this process.

    Parameters
    ----------
    metrics_port : int or None
        Port on the VM's address that serves counters and histograms; None disables it.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 2 for wrong settings.
    """
    from chervilgw.telemetry import configure_logs, log_event
    from chervilgw.telemetry.bounded import make_bounded_stream

    path = boot_path()
    try:
        settings = load_vm_settings(path)
    except DecodeError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(stream=make_bounded_stream(sys.stdout.fileno()))
    # Each role imports only what it needs, to save memory.
    from chervilgw.forward.events import reload_requested
    from chervilgw.forward.lifecycle import make_reload_task
    from chervilgw.platform.store import make_store_task

    reload = make_reload_task(lambda: load_vm_settings(path), settings)
    if settings.front_listen is not None:
        from chervilgw.forward.entry_app import make_forward_entry
        from chervilgw.platform.requests import PlatformCodec

        store = make_store_task(settings, follow_servers=True)
        app = make_forward_entry(settings, PlatformCodec(), metrics_port, store, reload)
    else:
        from chervilgw.forward.agent_app import make_agent
        from chervilgw.platform.engines import PlatformEngineCodec

        store = make_store_task(settings, follow_servers=False)
        app = make_agent(settings, PlatformEngineCodec(), metrics_port, store, reload)
    # Without a handler SIGHUP would end the process.
    signal.signal(signal.SIGHUP, lambda *_: app.fire(reload_requested(), "*"))
    log_event("process_started", vm=settings.vm, zone=settings.zone)
    app.run()
    log_event("process_stopped", vm=settings.vm)
    return 0
