"""Request bodies: accepted forms, and errors that name the parameter."""

import json

import pytest

from chervilgw.codec.openai import (
    CompletionRequest,
    Endpoint,
    encode_engine_body,
    estimate_prompt_tokens,
    parse_request,
)
from chervilgw.core.states import RefusalReason, RunState, Urgency

MESSAGES = [{"role": "user", "content": "Hello"}]
CHAT = {"model": "m", "messages": MESSAGES}


def parse(body, endpoint=Endpoint.CHAT, headers=()):
    return parse_request(endpoint, json.dumps(body).encode(), headers)


def test_chat_with_all_fields():
    body = CHAT | {
        "max_tokens": 9,
        "max_completion_tokens": 7,
        "stream": True,
        "stream_options": {"include_usage": True},
        "n": 1,
        "stop": "x",
        "temperature": 1,
        "user": "u",
        "seed": 5,
    }
    headers = [("X-Urgency", "Interactive"), ("X-Deadline-Ms", "1500")]
    assert parse(body, headers=headers).unwrap() == CompletionRequest(
        Endpoint.CHAT,
        "m",
        messages=tuple(MESSAGES),
        max_tokens=7,
        stream=True,
        include_usage=True,
        stop=("x",),
        temperature=1.0,
        user="u",
        urgency=Urgency.INTERACTIVE,
        deadline_s=1.5,
        extra={"seed": 5},
    )


def test_null_means_absent():
    """Guards against refusing client libraries that send null for unset fields."""
    names = [
        "max_tokens",
        "stream",
        "stream_options",
        "n",
        "stop",
        "temperature",
        "user",
    ]
    assert parse(CHAT | dict.fromkeys(names)).unwrap() == parse(CHAT).unwrap()


@pytest.mark.parametrize("prompt", ["Hello", ["Hello"]])
def test_text_prompt(prompt):
    request = parse({"model": "m", "prompt": prompt}, Endpoint.TEXT).unwrap()
    assert request.prompt == "Hello" and request.messages == ()


WRONG = [
    ({"model": None}, "model"),
    ({"model": ""}, "model"),
    ({"model": 5}, "model"),
    ({"messages": None}, "messages"),
    ({"messages": []}, "messages"),
    ({"messages": "Hello"}, "messages"),
    ({"messages": ["Hello"]}, "messages[0]"),
    ({"messages": [{"content": "x"}]}, "messages[0].role"),
    ({"messages": [*MESSAGES, {"role": "u", "content": 5}]}, "messages[1].content"),
    ({"messages": [{"role": "u", "content": ["x"]}]}, "messages[0].content[0]"),
    (
        {"messages": [{"role": "u", "content": [{"type": "text"}]}]},
        "messages[0].content[0].text",
    ),
    ({"max_tokens": "9"}, "max_tokens"),
    ({"max_tokens": True}, "max_tokens"),
    ({"max_tokens": 0}, "max_tokens"),
    ({"max_completion_tokens": 10**30}, "max_completion_tokens"),
    ({"stream": "true"}, "stream"),
    ({"stream_options": {"include_usage": True}}, "stream_options"),
    ({"stream": True, "stream_options": []}, "stream_options"),
    (
        {"stream": True, "stream_options": {"include_usage": 1}},
        "stream_options.include_usage",
    ),
    ({"n": 2}, "n"),
    ({"n": 1.0}, "n"),
    ({"best_of": 3}, "best_of"),
    ({"stop": [1]}, "stop"),
    ({"stop": ["a"] * 5}, "stop"),
    ({"temperature": "hot"}, "temperature"),
    ({"temperature": True}, "temperature"),
    ({"temperature": 2.1}, "temperature"),
    ({"user": 5}, "user"),
]


@pytest.mark.parametrize(("change", "param"), WRONG)
def test_wrong_field_is_named(change, param):
    error = parse(CHAT | change).failure()
    assert error.param == param and param.split(".")[0] in error.message
    refusal = error.to_refusal()
    assert refusal.reason is RefusalReason.BAD_REQUEST
    assert refusal.run is RunState.NOT_RUN


@pytest.mark.parametrize("prompt", [None, 5, ["a", "b"], [1, 2], [[1]]])
def test_wrong_prompt(prompt):
    error = parse({"model": "m", "prompt": prompt}, Endpoint.TEXT).failure()
    assert error.param == "prompt"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b'{"model": NaN}',
        b"\xff",
        b"[" * 100_000,
        b'{"model": "\\ud800", "messages": [{"role": "user"}]}',
        b'{"n": ' + b"1" * 5000 + b"}",
    ],
)
def test_malformed_body(body):
    error = parse_request(Endpoint.CHAT, body).failure()
    assert error.param is None


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-urgency", "soon"),
        ("x-deadline-ms", "0"),
        ("x-deadline-ms", "-5"),
        ("x-deadline-ms", "1.5"),
        ("x-deadline-ms", "٣"),
        ("x-deadline-ms", "9" * 5000),
    ],
)
def test_wrong_header_is_named(name, value):
    assert parse(CHAT, headers=[(name, value)]).failure().param == name


def test_error_quotes_no_prompt():
    """Guards against prompt text in the log through error messages."""
    body = {"model": "m", "messages": [{"role": ["secret"], "secret": "secret"}]}
    assert "secret" not in parse(body).failure().message


@pytest.mark.parametrize(
    ("text", "least"),
    [
        ("word " * 100, 100),
        ("12345678", 8),
        ("{}[]();", 7),
        ("日本語", 9),
        ("ß" * 5, 10),
    ],
)
def test_estimate_is_not_low(text, least):
    chat = CompletionRequest(
        Endpoint.CHAT, "m", messages=({"role": "user", "content": text},)
    )
    assert estimate_prompt_tokens(chat) >= least
    text_request = CompletionRequest(Endpoint.TEXT, "m", prompt=text)
    assert estimate_prompt_tokens(text_request) >= least


def test_estimate_counts_parts_and_tools():
    parts = [{"type": "text", "text": "a"}, {"type": "image_url", "image_url": {}}]
    chat = CompletionRequest(
        Endpoint.CHAT, "m", messages=({"role": "user", "content": parts},)
    )
    assert estimate_prompt_tokens(chat) > 2048
    with_tools = CompletionRequest(
        Endpoint.CHAT, "m", messages=chat.messages, extra={"tools": [{"x": "y" * 300}]}
    )
    assert estimate_prompt_tokens(with_tools) >= estimate_prompt_tokens(chat) + 100


def test_engine_body_keeps_unknown_fields_and_no_second_limit():
    request = parse(CHAT | {"max_completion_tokens": 5, "seed": 1, "n": 1}).unwrap()
    assert json.loads(encode_engine_body(request, 5)) == CHAT | {
        "max_tokens": 5,
        "stream": True,
        "seed": 1,
    }
