"""Reassembly of answers at the entry, and their record at the sidecar."""

from chervilgw.relay.answers import AnswerStore, make_answer_store
from chervilgw.relay.outputs import (
    Ask,
    Complete,
    Deliver,
    Fail,
    Output,
    Resume,
    Stop,
)
from chervilgw.relay.stream import Stream, make_stream

__all__ = [
    "AnswerStore",
    "Ask",
    "Complete",
    "Deliver",
    "Fail",
    "Output",
    "Resume",
    "Stop",
    "Stream",
    "make_answer_store",
    "make_stream",
]
