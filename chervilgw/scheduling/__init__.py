"""Order of requests on one backend server."""

from chervilgw.scheduling.fair_queue import (
    FairQueue,
    QueuedItem,
    QueueLimits,
    make_fair_queue,
)

__all__ = ["FairQueue", "QueueLimits", "QueuedItem", "make_fair_queue"]
