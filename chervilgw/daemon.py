"""Program ``chervilgwd``: the entry or sidecar process of one VM."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from chervilgw import __version__

EXIT_BAD_SETTINGS = 2


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="chervilgwd",
        description="Entry or sidecar of a chervilgw fleet. The role follows from the "
        "settings: a sidecar's file has the key 'backend'.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument("--settings", metavar="FILE", help="run with this YAML file")
    group.add_argument(
        "--check-settings", metavar="FILE", help="check a YAML file and exit"
    )
    group.add_argument(
        "--deployed",
        action="store_true",
        help="run with the settings file of the platform that started the process",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        metavar="PORT",
        help="with --deployed: serve counters and histograms on this port",
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    Parameters
    ----------
    arguments : sequence of str or None
        Command line without the program's name; None for that of the process.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 2 for invalid settings.
    """
    options = make_parser().parse_args(arguments)
    if options.deployed:
        from chervilgw.platform.start import run_on_platform

        return run_on_platform(options.metrics_port)
    from chervilgw.settings import EntrySettings, SettingsError, load_settings

    try:
        settings = load_settings(options.settings or options.check_settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check_settings:
        print(f"{options.check_settings}: settings are valid")
        return 0
    return _run(settings, isinstance(settings, EntrySettings))


def _run(settings, is_entry: bool) -> int:
    from chervilgw.telemetry import configure_logs, log_event

    configure_logs(settings.log_level)
    # A role imports only its own modules, to save memory.
    if is_entry:
        from chervilgw.entry.app import make_entry_app

        app = make_entry_app(settings)
    else:
        from chervilgw.sidecar.app import make_sidecar_app

        app = make_sidecar_app(settings)
    log_event("process_started", vm=settings.vm, zone=settings.zone)
    app.run()
    log_event("process_stopped", vm=settings.vm)
    return 0


if __name__ == "__main__":
    sys.exit(main())
