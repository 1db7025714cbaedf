"""Model engine over HTTP."""

import http.client
import json

import pytest

from standins.tests.processes import call, running, wait_for

MODEL = {"order_id": "o1", "action": "load", "kind": "model", "name": "m"}
PROMPT = {"model": "m", "prompt": "a b c", "max_tokens": 12, "min_tokens": 12}


def state(address):
    return call(address, "GET", "/state")[1]


def load(address, **fields):
    order = MODEL | {"version": "1", "size_bytes": 60, "fencing": 1} | fields
    assert call(address, "POST", "/orders", order)[0] == 202
    order_id = order["order_id"]
    wait_for(lambda: state(address)["orders"].get(order_id) in ("done", "failed"))


def open_stream(address, body, path="/v1/completions"):
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request("POST", path, json.dumps(body | {"stream": True}))
    return connection, connection.getresponse()


def events_of(answer):
    lines = answer.read().decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


def texts_of(events):
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return [c["choices"][0]["text"] for c in chunks if c.get("choices")]


@pytest.fixture
def address():
    options = ["--capacity-bytes=100", "--token-ms=5", "--load-ms=30", "--slots=2"]
    with running("engine", *options) as (_, ready):
        load(ready["address"])
        yield ready["address"]


def test_completions_and_resume(address):
    """Guards against streams that differ from the plain answer or cannot resume."""
    assert call(address, "GET", "/v1/models")[1]["data"][0]["id"] == "m"
    status, plain = call(address, "POST", "/v1/completions", PROMPT)
    text = plain["choices"][0]["text"]
    assert (status, len(text.split())) == (200, 12)
    assert plain["usage"]["total_tokens"] == 15
    body = PROMPT | {"stream_options": {"include_usage": True}}
    events = events_of(open_stream(address, body)[1])
    texts = texts_of(events)
    assert "".join(texts) == text and len(texts) == 13
    assert events[-1] == "[DONE]"
    assert json.loads(events[-2])["usage"] == plain["usage"]
    resume = {"position": 5, "text": "".join(texts[:5])}
    resumed = texts_of(events_of(open_stream(address, PROMPT | {"resume": resume})[1]))
    assert resumed == texts[5:]
    wrong = PROMPT | {"resume": {"position": 5, "text": "other"}}
    assert call(address, "POST", "/v1/completions", wrong)[0] == 400
    assert call(address, "POST", "/v1/completions", PROMPT | {"model": "x"})[0] == 404
    chat = {"model": "m", "messages": [{"role": "user", "content": "a"}]}
    answer = call(address, "POST", "/v1/chat/completions", chat)[1]
    assert answer["choices"][0]["message"]["role"] == "assistant"
    events = events_of(open_stream(address, chat, "/v1/chat/completions")[1])
    delta = json.loads(events[0])["choices"][0]["delta"]["content"]
    assert answer["choices"][0]["message"]["content"].startswith(delta)


def test_cancel_and_disconnect_free_the_slot(address):
    """Guards against work that continues after its caller left or cancelled."""
    long = PROMPT | {"max_tokens": 9000, "min_tokens": 9000, "request_id": "r1"}
    connection, answer = open_stream(address, long)
    answer.read(10)
    other, other_answer = open_stream(address, long | {"request_id": "r2"})
    wait_for(lambda: state(address)["load"]["running"] == 2)
    answer.close()
    connection.close()
    wait_for(lambda: state(address)["load"]["running"] == 1)
    assert call(address, "DELETE", "/requests/r2")[0] == 200
    assert "cancelled" in events_of(other_answer)[-1]
    other.close()
    wait_for(lambda: state(address)["load"]["running"] == 0)
    assert call(address, "DELETE", "/requests/r2")[0] == 404


def test_orders_memory_and_fencing(address):
    """Guards against orders whose effect differs from the engine's report."""
    load(address, order_id="o2", name="n")
    report = state(address)
    assert (report["used_bytes"], report["overcommits"]) == (120, 1)
    load(address, order_id="o2", name="other")
    assert len(state(address)["resident"]) == 2, "a known order id ran again"
    load(
        address, order_id="a1", kind="adapter", name="ad", base_model="m", size_bytes=1
    )
    assert call(address, "POST", "/v1/completions", PROMPT | {"model": "ad"})[0] == 200
    assert call(address, "POST", "/fence", {"fencing": 7})[0] == 200
    assert call(address, "POST", "/fence", {"fencing": 6})[0] == 409
    stale = MODEL | {"order_id": "o3", "action": "unload", "version": "1", "fencing": 6}
    assert call(address, "POST", "/orders", stale)[0] == 409
    _, answer = open_stream(address, PROMPT | {"max_tokens": 900, "min_tokens": 900})
    load(address, order_id="o4", action="unload", fencing=7)
    assert "unloaded" in events_of(answer)[-1]
    assert call(address, "POST", "/v1/completions", PROMPT)[0] == 404
    assert state(address)["used_bytes"] == 61


def test_order_faults(address):
    """Guards against order faults that do not happen."""
    call(address, "PUT", "/faults", {"lose_orders": 1})
    lost = MODEL | {"order_id": "o2", "name": "n", "version": "1", "fencing": 1}
    assert call(address, "POST", "/orders", lost)[0] == 202
    assert "o2" not in state(address)["orders"]
    call(address, "PUT", "/faults", {"late_orders_ms": 300})
    assert call(address, "POST", "/orders", lost | {"order_id": "o3"})[0] == 202
    assert call(address, "POST", "/fence", {"fencing": 2})[0] == 200
    wait_for(lambda: state(address)["orders"]["o3"] == "refused")
    call(address, "PUT", "/faults", {"double_orders_ms": 400})
    load(address, order_id="o4", name="n", fencing=2)
    call(address, "PUT", "/faults", {})
    load(address, order_id="o5", name="n", fencing=2, action="unload")
    wait_for(lambda: state(address)["orders"].get("o4#2") == "done")
    assert [c["order_id"] for c in state(address)["resident"]] == ["o1", "o4#2"]


def test_stream_faults_and_crash():
    """Guards against stream faults and crashes that do not happen."""
    with running("engine", "--load-ms=1", "--no-fenced", "--token-ms=2") as started:
        process, ready = started
        address = ready["address"]
        load(address)
        assert call(address, "POST", "/fence", {"fencing": 2})[0] == 404
        assert state(address)["highest_fencing"] is None
        call(address, "PUT", "/faults", {"truncate_streams": 1, "double_chunks": 1})
        texts = texts_of(events_of(open_stream(address, PROMPT)[1]))
        assert len(texts) == 4 and texts[0] == texts[1]
        call(address, "PUT", "/faults", {"freeze": True})
        with pytest.raises(TimeoutError):
            call(address, "POST", "/v1/completions", PROMPT, timeout_s=0.2)
        call(address, "PUT", "/faults", {})
        with pytest.raises((http.client.HTTPException, ConnectionError)):
            body = PROMPT | {"prompt": "x CRASH-ENGINE"}
            call(address, "POST", "/v1/completions", body)
        assert process.wait(5) == 1
