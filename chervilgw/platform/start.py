"""Start of a process from the platform's settings file."""

from __future__ import annotations

import sys

from chervilgw.platform.boot import boot_path, load_vm_settings
from chervilgw.platform.errors import DecodeError

EXIT_BAD_SETTINGS = 2


def run_on_platform() -> int:
    """Run the role that the platform's settings give this process.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 2 for wrong settings.
    """
    from chervilgw.telemetry import configure_logs, log_event

    path = boot_path()
    try:
        settings = load_vm_settings(path)
    except DecodeError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(stream=sys.stdout)
    # Each role imports only what it needs, which keeps its memory down.
    from chervilgw.platform.store import make_store_task

    if settings.front_listen is not None:
        from chervilgw.forward.app import make_forward_entry
        from chervilgw.platform.requests import PlatformCodec

        store = make_store_task(settings.store.address, follow_servers=True)
        app = make_forward_entry(settings, PlatformCodec(), store)
    else:
        from chervilgw.forward.agent_app import make_agent
        from chervilgw.platform.engines import PlatformEngineCodec

        store = make_store_task(settings.store.address, follow_servers=False)
        app = make_agent(settings, PlatformEngineCodec(), store)
    log_event("process_started", vm=settings.vm, zone=settings.zone)
    app.run()
    log_event("process_stopped", vm=settings.vm)
    return 0
