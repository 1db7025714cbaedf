"""Recorder of what the store task sends and fires."""

from circuits import BaseComponent, handler

FIRED = (
    "server_list_confirmed",
    "server_list_gap",
    "software_versions_recorded",
    "software_versions_listed",
    "entry_list_read",
    "usage_recorded",
)


class Recorder(BaseComponent):
    """Records the calls of the store task, and its events of the given names."""

    def __init__(self, names=FIRED):
        super().__init__()
        self.names, self.calls, self.seen = names, [], []

    @handler("http_call", channel="*")
    def _on_call(self, spec):
        self.calls.append(spec)

    @handler(*FIRED, channel="*")
    def _on_fired(self, event, *args):
        if event.name in self.names:
            self.seen.append((event.name, *args))
