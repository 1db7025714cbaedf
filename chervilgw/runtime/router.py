"""Router task: passes each peer message to the task that owns its subject."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from circuits import BaseComponent, handler

from chervilgw.runtime.events import peer_messages


class MessageRouter(BaseComponent):
    """Router task; see :func:`make_message_router`."""

    def __init__(self, routes: Mapping[type, str], channel="peers"):
        super().__init__(channel=channel)
        self._routes = routes

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        by_channel = defaultdict(list)
        for message in messages:
            target = self._routes.get(type(message))
            if target is not None:
                by_channel[target].append(message)
        for target, batch in by_channel.items():
            self.fire(peer_messages(peer, batch), target)


def make_message_router(
    routes: Mapping[type, str], channel: str = "peers"
) -> MessageRouter:
    """Return a router task.

    All messages of one read for the same task go on in one event, which keeps the cost
    of an event off the single chunk.

    Parameters
    ----------
    routes : mapping of type to str
        Channel of the owning task for each message type. Other types are ignored.
    channel : str
        Channel of the task.

    Returns
    -------
    MessageRouter
    """
    return MessageRouter(routes, channel)
