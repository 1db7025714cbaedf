"""At which software version a stream goes on that a caller takes up."""

from dataclasses import replace

import pytest

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.states import RefusalReason
from chervilgw.routing.resumptions import (
    ORIGIN_WAIT_S,
    SOLE_VERSION_WAIT_S,
    OriginSource,
    ResumptionStep,
    ServingVersions,
    TakeUp,
    make_resumptions,
)
from chervilgw.routing.stream_origins import RETENTION_S

UNKNOWN, GONE = RefusalReason.STREAM_VERSION_UNKNOWN, RefusalReason.STREAM_VERSION_GONE
RESUME, ASK, REFUSE = (
    ResumptionStep.RESUME,
    ResumptionStep.ASK,
    ResumptionStep.REFUSE,
)
ARRIVED_S = 5.0
BOTH = ServingVersions(frozenset({"v1", "v2"}), True, True, ARRIVED_S)
NEW = ServingVersions(frozenset({"v2"}), True, True, ARRIVED_S)
LATE_S = ORIGIN_WAIT_S
SERVER = RegisteredServer(
    "i-1", "llm", "10.0.0.1:80", "a", 64, ServerState.READY, 1, {"m": frozenset()}
)


def take_up(service="llm", begun_by="a", waited_s=0.0, max_wait_s=2.0):
    return TakeUp(service, begun_by, ARRIVED_S, waited_s, max_wait_s)


REQUEST = take_up()


@pytest.fixture
def resumptions():
    """Return the knowledge of an entry while v1 and v2 served lately."""
    made = make_resumptions()
    made.on_record({"llm": ("v1", "v2"), "desk": ("v2",)}, -1.0)
    made.on_records_read()
    return made


def outcome(decision):
    return decision.step, decision.reason or decision.version


def test_stream_goes_on_at_the_version_that_this_entry_relayed(resumptions):
    resumptions.on_relayed("llm", "a", "v1", -1.0)
    decision = resumptions.decide(REQUEST, BOTH)
    assert (outcome(decision), decision.source) == (
        (RESUME, "v1"),
        OriginSource.RELAYED,
    )
    # What others claim does not count against it.
    resumptions.on_reported("llm", "a", "v2", 0.0)
    assert outcome(resumptions.decide(REQUEST, BOTH)) == (RESUME, "v1")


def test_stream_of_unknown_origin_waits_for_answers_and_is_then_refused(resumptions):
    """Guards against joined texts, and against requests held to their deadline."""
    assert resumptions.decide(REQUEST, BOTH).step is ASK
    assert resumptions.decide(take_up(waited_s=LATE_S - 0.01), BOTH).step is ASK
    late = resumptions.decide(take_up(waited_s=LATE_S), BOTH)
    assert (outcome(late), late.retry_after_s) == ((REFUSE, UNKNOWN), None)
    resumptions.on_reported("llm", "a", "v2", LATE_S)
    assert outcome(resumptions.decide(take_up(waited_s=LATE_S), BOTH)) == (RESUME, "v2")


def test_wait_for_answers_is_a_part_of_what_the_caller_waits(resumptions):
    """Guards against a query that outlasts its caller."""
    hurried = take_up(waited_s=0.05, max_wait_s=0.5)
    assert resumptions.decide(hurried, BOTH).step is ASK
    late = take_up(waited_s=0.1, max_wait_s=0.5)
    assert outcome(resumptions.decide(late, BOTH)) == (REFUSE, UNKNOWN)


def test_stream_whose_version_has_left_is_refused_at_once(resumptions):
    """Guards against a stream that goes on at the version that replaced its own."""
    resumptions.on_relayed("llm", "a", "v1", -1.0)
    decision = resumptions.decide(REQUEST, NEW)
    assert (outcome(decision), decision.retry_after_s) == ((REFUSE, GONE), None)


def test_version_that_is_not_listed_yet_may_be_tried_again(resumptions):
    """Guards against a final refusal by an entry whose list lags."""
    resumptions.on_reported("llm", "a", "v3", -1.0)
    decision = resumptions.decide(REQUEST, BOTH)
    assert outcome(decision) == (REFUSE, GONE)
    assert decision.retry_after_s > 0
    older = replace(BOTH, asked_s=ARRIVED_S - 0.01)
    early = resumptions.decide(REQUEST, older)
    assert (early.step, early.needs_list) == (ASK, True)


def test_version_of_a_service_without_servers_is_kept(resumptions):
    """Guards against a refusal without a time to retry while all servers restart."""
    resumptions.on_relayed("llm", "a", "v1", -1.0)
    none = ServingVersions(frozenset(), True, True, ARRIVED_S)
    assert outcome(resumptions.decide(REQUEST, none)) == (RESUME, "v1")


def test_sole_version_serves_if_nobody_answers(resumptions):
    """Guards against refusals where no stream can be joined.

    Another entry is asked first, as it may know of a version that is not listed here.
    """
    assert resumptions.decide(take_up("desk"), NEW).step is ASK
    request = take_up("desk", waited_s=SOLE_VERSION_WAIT_S)
    decision = resumptions.decide(request, NEW)
    assert outcome(decision) == (RESUME, "v2")
    assert decision.source is OriginSource.SOLE_VERSION


@pytest.mark.parametrize(
    ("service", "expected"), [("llm", (REFUSE, UNKNOWN)), ("desk", (RESUME, "v2"))]
)
def test_caller_that_names_no_attempt_is_decided_at_once(
    resumptions, service, expected
):
    """Guards against a take-up without an origin at any version."""
    assert outcome(resumptions.decide(take_up(service, ""), NEW)) == expected


@pytest.mark.parametrize("claims", ["relayed", "reported"])
def test_disputed_attempt_is_refused_at_once(resumptions, claims):
    """Guards against the first of two claims being believed."""
    for version in ("v1", "v2"):
        getattr(resumptions, f"on_{claims}")("llm", "a", version, -1.0)
    assert outcome(resumptions.decide(REQUEST, BOTH)) == (REFUSE, UNKNOWN)


def test_sole_version_is_not_believed_while_the_store_is_lost(resumptions):
    """Guards against a version that came into service unseen."""
    cut_off = replace(NEW, is_reachable=False)
    decision = resumptions.decide(take_up("desk", ""), cut_off)
    assert outcome(decision) == (REFUSE, UNKNOWN)
    assert decision.retry_after_s > 0


@pytest.mark.parametrize("begun_by", ["a", ""])
def test_sole_version_waits_for_a_list_that_is_read_after_the_request(
    resumptions, begun_by
):
    """Guards against a list of before a stop or a cut of this entry.

    Another entry may have read of a version since, and begun the stream there.
    """
    older = replace(NEW, asked_s=ARRIVED_S - 0.01)
    early = resumptions.decide(take_up("desk", begun_by), older)
    assert (early.step, early.needs_list) == (ASK, True)
    decision = resumptions.decide(take_up("desk", begun_by, LATE_S), older)
    assert outcome(decision) == (REFUSE, UNKNOWN)
    assert decision.retry_after_s > 0
    read = resumptions.decide(take_up("desk", begun_by, LATE_S), NEW)
    assert outcome(read) == (RESUME, "v2")


def test_sole_version_is_not_believed_after_a_gap_until_the_record_is_read(
    resumptions,
):
    """Guards against a version that came and went while nothing was read."""
    resumptions.on_list_gap(ARRIVED_S)
    request = take_up("desk", waited_s=SOLE_VERSION_WAIT_S)
    assert resumptions.decide(request, NEW).step is ASK
    resumptions.on_record({"desk": ("v2", "v3")}, ARRIVED_S)
    resumptions.on_records_read()
    late = resumptions.decide(take_up("desk", waited_s=LATE_S), NEW)
    assert (outcome(late), late.retry_after_s) == ((REFUSE, UNKNOWN), None)


def test_record_that_is_read_again_does_not_keep_a_version(resumptions):
    """Guards against refusals for good while entries read the record now and then."""
    serving = [replace(SERVER, software_version="v2")]
    for now_s in (0.4 * RETENTION_S, 0.8 * RETENTION_S, 1.2 * RETENTION_S):
        resumptions.on_servers(serving, now_s)
        resumptions.on_list_gap(now_s)
        if now_s < RETENTION_S:
            resumptions.on_record({"llm": ("v1", "v2")}, now_s)
        resumptions.on_records_read()
    decision = resumptions.decide(take_up(waited_s=SOLE_VERSION_WAIT_S), NEW)
    assert outcome(decision) == (RESUME, "v2")


@pytest.mark.parametrize("is_listed", [True, False])
def test_started_entry_waits_for_the_record_and_the_list(is_listed):
    """Guards against a decision on the versions that serve now alone.

    The version that began the stream may have left just before all entries were lost.
    """
    started, request = make_resumptions(), take_up(begun_by="")
    serving = replace(NEW, is_listed=is_listed)
    if not is_listed:
        started.on_records_read()
    assert started.decide(request, serving).step is ASK
    late = started.decide(take_up(begun_by="", waited_s=LATE_S), serving)
    assert (outcome(late), late.retry_after_s) == ((REFUSE, UNKNOWN), 0.5)
    started.on_record({"llm": ("v1", "v2")}, 0.1)
    started.on_records_read()
    final = started.decide(take_up(begun_by="", waited_s=0.1), NEW)
    assert (outcome(final), final.retry_after_s) == ((REFUSE, UNKNOWN), None)
