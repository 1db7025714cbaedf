"""Launcher of a local fleet for the demo, ``make up`` and process-level tests."""
