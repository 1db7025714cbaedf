"""Response bodies, checked with the types of the OpenAI client library."""

import json

import pytest
from openai.types import Completion
from openai.types.chat import ChatCompletion, ChatCompletionChunk

from chervilgw.codec.openai import Endpoint
from chervilgw.codec.openai_answers import (
    EngineEvent,
    encode_model_list,
    make_answer_writer,
    make_error_answer,
    parse_engine_event,
)
from chervilgw.codec.sse import SseError, make_sse_parser
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState

TEXTS = ["He", 'l"l\n', "ö 日本", "\x00", "\U0001f600"]


def events(data):
    return make_sse_parser().feed(data)


@pytest.mark.parametrize("include_usage", [False, True])
def test_chat_stream(include_usage):
    writer = make_answer_writer(Endpoint.CHAT, "c1", 7, "m", include_usage)
    data = (
        writer.first_event()
        + b"".join(map(writer.text_event, TEXTS))
        + writer.final_events("stop", 3, 5)
    )
    *bodies, done = events(data)
    assert done == "[DONE]"
    chunks = [
        ChatCompletionChunk.model_validate(json.loads(body), strict=True)
        for body in bodies
    ]
    assert {(c.id, c.created, c.model) for c in chunks} == {("c1", 7, "m")}
    deltas = [c.choices[0].delta.content or "" for c in chunks if c.choices]
    assert "".join(deltas) == "".join(TEXTS)
    assert chunks[0].choices[0].delta.role == "assistant"
    finishes = [c.choices[0].finish_reason for c in chunks if c.choices]
    assert finishes[-1] == "stop" and not any(finishes[:-1])
    assert (chunks[-1].usage is not None) == include_usage
    if include_usage:
        assert chunks[-1].choices == [] and chunks[-1].usage.total_tokens == 8


def test_text_stream():
    writer = make_answer_writer(Endpoint.TEXT, "c1", 7, "m")
    data = (
        writer.first_event()
        + b"".join(map(writer.text_event, TEXTS))
        + writer.final_events("length", 3, 5)
    )
    *bodies, done = events(data)
    # No validation, as in the client library: its type does not allow the null finish
    # reason that the OpenAI API sends in all chunks but the last.
    chunks = [Completion.construct(**json.loads(body)) for body in bodies]
    assert not any(chunk.choices[0].finish_reason for chunk in chunks[:-1])
    assert "".join(c.choices[0].text for c in chunks) == "".join(TEXTS)
    assert chunks[-1].choices[0].finish_reason == "length" and done == "[DONE]"


def test_complete_bodies():
    text = "".join(TEXTS)
    chat = make_answer_writer(Endpoint.CHAT, "c1", 7, "m").complete_body(
        text, "stop", 3, 5
    )
    answer = ChatCompletion.model_validate(json.loads(chat))
    assert answer.choices[0].message.content == text
    assert answer.usage.total_tokens == 8 and answer.object == "chat.completion"
    plain = make_answer_writer(Endpoint.TEXT, "c1", 7, "m").complete_body(
        text, "stop", 3, 5
    )
    assert Completion.model_validate(json.loads(plain)).choices[0].text == text


def test_error_in_a_stream_has_no_done():
    """Guards against an incomplete stream that looks complete to the client."""
    writer = make_answer_writer(Endpoint.CHAT, "c1", 7, "m")
    refusal = Refusal(RefusalReason.BACKEND_LOST, RunState.RUN, "server lost")
    [body] = events(writer.error_event(refusal))
    assert json.loads(body) == {
        "error": {
            "message": "server lost",
            "type": "server_error",
            "param": None,
            "code": "backend_lost",
        }
    }


@pytest.mark.parametrize("reason", RefusalReason)
def test_every_reason_has_a_status(reason):
    answer = make_error_answer(make_refusal(reason, "detail"))
    assert 400 <= answer.status < 600
    assert json.loads(answer.body)["error"]["code"] == reason.value


@pytest.mark.parametrize(
    ("reason", "status"),
    [
        (RefusalReason.WRONG_KEY, 401),
        (RefusalReason.NOT_ALLOWED, 403),
        (RefusalReason.UNKNOWN_MODEL, 404),
        (RefusalReason.RATE_EXCEEDED, 429),
        (RefusalReason.QUEUE_FULL, 503),
    ],
)
def test_status(reason, status):
    assert make_error_answer(make_refusal(reason, "")).status == status


@pytest.mark.parametrize("run", RunState)
def test_run_header(run):
    """Guards against an automatic retry of a request that may have run."""
    answer = make_error_answer(Refusal(RefusalReason.BACKEND_LOST, run, "", 0.01), "p")
    headers = dict(answer.headers)
    not_run = run is RunState.NOT_RUN
    assert headers["x-chervil-run"] == ("not_run" if not_run else "unknown")
    assert headers.get("x-should-retry") == (None if not_run else "false")
    assert headers["retry-after"] == "1"
    assert json.loads(answer.body)["error"]["param"] == "p"


def test_model_list():
    body = json.loads(encode_model_list(["a", "b"], 7))
    assert [model["id"] for model in body["data"]] == ["a", "b"]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        ('{"choices": [{"text": "x"}]}', EngineEvent("x")),
        (
            '{"choices": [{"delta": {}, "finish_reason": "stop"}]}',
            EngineEvent("", "stop"),
        ),
        (
            '{"choices": [], "usage": {"prompt_tokens": 4}}',
            EngineEvent(prompt_tokens=4),
        ),
        ('{"error": {"message": "no"}}', EngineEvent(error="no")),
    ],
)
def test_engine_event(data, expected):
    assert parse_engine_event(data) == expected


@pytest.mark.parametrize(
    "data",
    [
        "",
        "[]",
        "5",
        '{"choices": 5}',
        '{"choices": [5]}',
        '{"choices": [{"text": 5}]}',
        '{"choices": [{"delta": "x"}]}',
        '{"error": "text"}',
        '{"usage": {"prompt_tokens": "4"}}',
        # Guards against one text that takes the chunks of other streams along.
        '{"choices": [{"text": "\\ud800"}]}',
        '{"choices": [{"finish_reason": "\\ud800"}]}',
    ],
)
def test_malformed_engine_event(data):
    with pytest.raises(SseError):
        parse_engine_event(data)
