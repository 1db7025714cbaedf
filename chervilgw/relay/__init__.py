"""Reassembly of answers at the entry, and the sidecar's store of recent answers."""

from chervilgw.relay.answers import AnswerStore, make_answer_store
from chervilgw.relay.outputs import (
    Complete,
    Deliver,
    Fail,
    Output,
    Resume,
    SendCancel,
    SendQuery,
)
from chervilgw.relay.stream import Stream, make_stream

__all__ = [
    "AnswerStore",
    "SendQuery",
    "Complete",
    "Deliver",
    "Fail",
    "Output",
    "Resume",
    "SendCancel",
    "Stream",
    "make_answer_store",
    "make_stream",
]
