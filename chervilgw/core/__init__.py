"""Identifiers, states, messages and the filter pipeline shared by all layers."""

from chervilgw.core.errors import ChervilError
from chervilgw.core.ids import Incarnation, RequestId
from chervilgw.core.pipeline import Filter, make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal

__all__ = [
    "ChervilError",
    "Filter",
    "Incarnation",
    "Refusal",
    "RequestId",
    "make_pipeline",
    "make_refusal",
]
