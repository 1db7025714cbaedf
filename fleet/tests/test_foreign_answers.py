"""Answers that are not the request's own, from faulty servers, at running entries."""

import httpx
import pytest

from fleet.deployed import DeployedFleet, wait_for
from fleet.tests.test_deployed import MODEL, listed
from standins.opaque_platform import OnResume

NOT_RUN = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
STALE = {
    "no id": NOT_RUN + b"\r\n",
    "earlier id": NOT_RUN + b"X-Attempt-Id: 0123456789abcdef\r\n\r\n",
    "signed": NOT_RUN + b"X-Server-Seal: i-1.1\r\n\r\n",
    "429": NOT_RUN.replace(b"503 No", b"429 No") + b"\r\n",
    "421": NOT_RUN.replace(b"503 No", b"421 No") + b"\r\n",
}


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


@pytest.mark.parametrize("name", STALE)
def test_repeated_refusal_neither_answers_nor_repeats_a_booking(fleet, name):
    """Guards against "not run" for a booking that runs, and against a second run."""
    first = fleet.add_server(name="i-1")
    second = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, second), "the servers are known")
    assert entry.send("/reserve/1").status_code == 200
    for server in (first, second):
        server.stale_answer, server.work_s = STALE[name], 0.1
    answers = [entry.send(f"/reserve/{number}") for number in range(2, 6)]
    assert [answer.status_code for answer in answers] == [200] * 4
    paths = [run["path"] for run in first.runs + second.runs]
    assert sorted(paths) == [f"/reserve/{number}" for number in range(1, 6)]
    assert '"answer_skipped"' in entry.program.log_text()


def first_engine_breaks_off(fleet, on_resume):
    """Return an entry with an engine that breaks off, and one that resumes wrongly."""
    first = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    first.break_after = 2
    entry = fleet.add_entry()
    wait_for(listed(entry, first), "the engine is known")
    second = fleet.add_server(name="i-2", service="llm", models={"m1": []})
    second.on_resume = on_resume
    wait_for(listed(entry, second), "the second engine is known")
    return entry, second


@pytest.mark.parametrize(
    "on_resume", [kind for kind in OnResume if kind is not OnResume.CONTINUE]
)
def test_wrong_continuation_ends_a_stream_as_broken(fleet, on_resume):
    """Guards against an error's text in a stream, and against a cut stream as complete.

    The caller keeps the events of the first engine and sees that the stream broke off.
    """
    entry, second = first_engine_breaks_off(fleet, on_resume)
    received = []
    url, headers = (
        entry.url + "/draft/1",
        MODEL
        | {
            "Host": "desk.example",
            "X-Attempt-Id": "0123456789abcdef",
            "X-Credential": "key-a",
            "X-Deadline-Ms": "8000",
            "X-Prompt-Prefix": "5c:100",
        },
    )
    with (
        pytest.raises(httpx.RemoteProtocolError),
        httpx.stream("POST", url, headers=headers, timeout=20.0) as answer,
    ):
        received.extend(answer.iter_raw())
    assert second.runs, "the second engine was asked to resume"
    events = b"".join(received)
    assert events == b"id: 1\ndata: token\n\nid: 2\ndata: token\n\n"


def test_right_continuation_is_still_relayed(fleet):
    entry, second = first_engine_breaks_off(fleet, OnResume.CONTINUE)
    answer = entry.send("/draft/1", headers=MODEL | {"X-Prompt-Prefix": "5c:100"})
    ids = [line for line in answer.text.splitlines() if line.startswith("id:")]
    assert ids == [f"id: {number}" for number in range(1, 6)]
    assert second.runs
