"""At which software version a stream goes on that a caller takes up."""

import pytest

from chervilgw.core.states import RefusalReason
from chervilgw.forward.resumptions import (
    ORIGIN_WAIT_S,
    SOLE_VERSION_WAIT_S,
    OriginSource,
    ServingVersions,
    TakeUp,
    make_resumptions,
)
from chervilgw.routing.stream_origins import ResumptionStep

UNKNOWN, GONE = RefusalReason.STREAM_VERSION_UNKNOWN, RefusalReason.STREAM_VERSION_GONE
RESUME, ASK, REFUSE = (
    ResumptionStep.RESUME,
    ResumptionStep.ASK,
    ResumptionStep.REFUSE,
)
BOTH = ServingVersions(frozenset({"v1", "v2"}), True, True)
NEW = ServingVersions(frozenset({"v2"}), True, True)
REQUEST = TakeUp("llm", "a", 0.0, 2.0)
LATE_S = ORIGIN_WAIT_S


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
    decision = resumptions.decide(REQUEST, BOTH, 0.0)
    assert (outcome(decision), decision.source) == (
        (RESUME, "v1"),
        OriginSource.RELAYED,
    )
    # What others claim does not count against it.
    resumptions.on_reported("llm", "a", "v2", 0.0)
    assert outcome(resumptions.decide(REQUEST, BOTH, 0.0)) == (RESUME, "v1")


def test_stream_of_unknown_origin_waits_for_answers_and_is_then_refused(resumptions):
    """Guards against joined texts, and against requests held to their deadline."""
    assert resumptions.decide(REQUEST, BOTH, 0.0).step is ASK
    assert resumptions.decide(REQUEST, BOTH, LATE_S - 0.01).step is ASK
    late = resumptions.decide(REQUEST, BOTH, LATE_S)
    assert (outcome(late), late.retry_after_s) == ((REFUSE, UNKNOWN), None)
    resumptions.on_reported("llm", "a", "v2", LATE_S)
    assert outcome(resumptions.decide(REQUEST, BOTH, LATE_S)) == (RESUME, "v2")


def test_wait_for_answers_is_a_part_of_what_the_caller_waits(resumptions):
    """Guards against a query that outlasts its caller."""
    hurried = TakeUp("llm", "a", 0.0, 0.5)
    assert resumptions.decide(hurried, BOTH, 0.05).step is ASK
    assert outcome(resumptions.decide(hurried, BOTH, 0.1)) == (REFUSE, UNKNOWN)


def test_stream_whose_version_has_left_is_refused_at_once(resumptions):
    """Guards against a stream that goes on at the version that replaced its own."""
    resumptions.on_relayed("llm", "a", "v1", -1.0)
    decision = resumptions.decide(REQUEST, NEW, 0.0)
    assert (outcome(decision), decision.retry_after_s) == ((REFUSE, GONE), None)


def test_version_that_is_not_listed_yet_may_be_tried_again(resumptions):
    """Guards against a final refusal by an entry whose list lags."""
    resumptions.on_reported("llm", "a", "v3", -1.0)
    decision = resumptions.decide(REQUEST, BOTH, 0.0)
    assert outcome(decision) == (REFUSE, GONE)
    assert decision.retry_after_s > 0


def test_version_of_a_service_without_servers_is_kept(resumptions):
    """Guards against a refusal without a time to retry while all servers restart."""
    resumptions.on_relayed("llm", "a", "v1", -1.0)
    none = ServingVersions(frozenset(), True, True)
    assert outcome(resumptions.decide(REQUEST, none, 0.0)) == (RESUME, "v1")


def test_sole_version_serves_if_nobody_answers(resumptions):
    """Guards against refusals where no stream can be joined.

    Another entry is asked first, as it may know of a version that is not listed here.
    """
    request = TakeUp("desk", "a", 0.0, 2.0)
    assert resumptions.decide(request, NEW, 0.0).step is ASK
    decision = resumptions.decide(request, NEW, SOLE_VERSION_WAIT_S)
    assert outcome(decision) == (RESUME, "v2")
    assert decision.source is OriginSource.SOLE_VERSION


@pytest.mark.parametrize(
    ("service", "expected"), [("llm", (REFUSE, UNKNOWN)), ("desk", (RESUME, "v2"))]
)
def test_caller_that_names_no_attempt_is_decided_at_once(
    resumptions, service, expected
):
    """Guards against a take-up without an origin at any version."""
    request = TakeUp(service, "", 0.0, 2.0)
    assert outcome(resumptions.decide(request, NEW, 0.0)) == expected


@pytest.mark.parametrize("claims", ["relayed", "reported"])
def test_disputed_attempt_is_refused_at_once(resumptions, claims):
    """Guards against the first of two claims being believed."""
    for version in ("v1", "v2"):
        getattr(resumptions, f"on_{claims}")("llm", "a", version, -1.0)
    assert outcome(resumptions.decide(REQUEST, BOTH, 0.0)) == (REFUSE, UNKNOWN)


def test_sole_version_is_not_believed_while_the_store_is_lost(resumptions):
    """Guards against a version that came into service unseen."""
    cut_off = ServingVersions(frozenset({"v2"}), True, is_current=False)
    decision = resumptions.decide(TakeUp("desk", "", 0.0, 2.0), cut_off, 0.0)
    assert outcome(decision) == (REFUSE, UNKNOWN)
    assert decision.retry_after_s > 0


@pytest.mark.parametrize("is_listed", [True, False])
def test_started_entry_waits_for_the_record_and_the_list(is_listed):
    """Guards against a decision on the versions that serve now alone.

    The version that began the stream may have left just before all entries were lost.
    """
    started, request = make_resumptions(), TakeUp("llm", "", 0.0, 2.0)
    serving = ServingVersions(frozenset({"v2"}), is_listed, True)
    if not is_listed:
        started.on_records_read()
    assert started.decide(request, serving, 0.0).step is ASK
    late = started.decide(request, serving, LATE_S)
    assert (outcome(late), late.retry_after_s) == ((REFUSE, UNKNOWN), 0.5)
    started.on_record({"llm": ("v1", "v2")}, 0.1)
    started.on_records_read()
    final = started.decide(request, NEW, 0.1)
    assert (outcome(final), final.retry_after_s) == ((REFUSE, UNKNOWN), None)
