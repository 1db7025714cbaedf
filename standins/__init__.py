"""Stand-ins of the platform for tests and demos; each runs as its own process.

The decisions and the state of a stand-in are in its ``*_state`` module, which does not
import ``circuits``; the front is in the module that ``python -m`` starts. Nothing here
imports ``chervilgw``, so an error there cannot hide in its own test tools.
"""

from standins.faults import FaultAction, Faults, make_faults
from standins.http import HttpFront, serve
from standins.messages import Answer, Call

__all__ = [
    "Answer",
    "Call",
    "FaultAction",
    "Faults",
    "HttpFront",
    "make_faults",
    "serve",
]
