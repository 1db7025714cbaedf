"""The public OpenAI client library works unchanged, given base URL and key."""

import openai
import pytest

MESSAGES = [{"role": "user", "content": "A letter about the lift"}]


@pytest.fixture
def client(fleet):
    url = f"http://{fleet.entry_addresses()[0]}/v1"
    with openai.OpenAI(base_url=url, api_key=fleet.keys["surveyors"]) as client:
        yield client


def test_model_list_holds_models_and_adapters(client):
    """Guards against a list that the library cannot parse."""
    names = {model.id for model in client.models.list()}
    assert names == {"draft-small", "draft-large", "summary", "damp-report"}
    assert client.models.retrieve("summary").id == "summary"


def test_whole_and_streamed_answer_are_equal(client):
    """Guards against lost or reordered parts, and against a wrong stream format."""
    options = {"model": "draft-small", "messages": MESSAGES, "max_tokens": 30}
    whole = client.chat.completions.create(**options)
    assert whole.usage.completion_tokens == 30
    usage = {"include_usage": True}
    chunks = list(
        client.chat.completions.create(**options, stream=True, stream_options=usage)
    )
    parts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
    assert "".join(parts) == whole.choices[0].message.content
    assert chunks[-1].usage.completion_tokens == 30


def test_text_completion(client):
    """Guards against a completion body that the library cannot parse."""
    answer = client.completions.create(model="summary", prompt="Once", max_tokens=5)
    assert len(answer.choices[0].text.split()) == 5


def test_long_prompts_are_answered(client):
    """Guards against an attempt that fails on the prefixes of a long prompt."""
    client = client.with_options(timeout=10.0, max_retries=0)
    prompt = " ".join(f"reading {number}" for number in range(400))
    options = {"model": "draft-small", "prompt": prompt, "max_tokens": 5}
    first, again = (client.completions.create(**options) for _ in range(2))
    assert first.choices[0].text == again.choices[0].text
    assert len(first.choices[0].text.split()) == 5


def test_errors_have_the_library_classes(fleet, client):
    """Guards against a status or error body that callers' handlers do not know."""
    with pytest.raises(openai.NotFoundError) as unknown:
        client.chat.completions.create(model="no-such", messages=MESSAGES)
    assert unknown.value.code == "unknown_model"
    with pytest.raises(openai.BadRequestError):
        client.chat.completions.create(model="draft-small", messages=[])
    wrong = client.with_options(api_key="cgw_0000_" + "0" * 64)
    with pytest.raises(openai.AuthenticationError):
        wrong.models.list()
