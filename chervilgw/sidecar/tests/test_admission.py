"""Tests of the sidecar's admission filters."""

from types import SimpleNamespace

import pytest
from returns.pipeline import is_successful

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.states import RefusalReason
from chervilgw.sidecar.admission import check_origin


@pytest.mark.parametrize(
    ("start_ms", "dead"), [(1, True), (2, True), (3, False)], ids=str
)
def test_incarnations_up_to_the_latest_dead_one_are_refused(start_ms, dead):
    """Guards against a run for a dead entry whose units its peers have collected."""
    origin = Incarnation(VmId("entry-1"), start_ms)
    latest_dead = {Incarnation(VmId("entry-1"), 2), Incarnation(VmId("entry-2"), 9)}
    dispatch = SimpleNamespace(request_id=RequestId(origin, 1))
    arrival = SimpleNamespace(dispatch=dispatch, dead=latest_dead)
    result = check_origin(arrival, 0.0)
    assert is_successful(result) != dead
    if dead:
        assert result.failure().reason is RefusalReason.DEAD_ORIGIN
