"""Deterministic output of the engine: a function of model and prompt."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

SHORTEST_NATURAL = 16
NATURAL_SPREAD = 129
VOCABULARY = 1000


@dataclass(frozen=True, slots=True)
class Output:
    """The whole output of one request, before it is generated.

    Parameters
    ----------
    seed : int
        Determines every token.
    length : int
        Number of tokens.
    finish_reason : str
        ``stop``, or ``length`` if ``max_tokens`` cuts the output.
    """

    seed: int
    length: int
    finish_reason: str

    def token(self, position: int) -> str:
        """Return the token at a position: one word and a space."""
        word = xxhash.xxh64_intdigest(position.to_bytes(4, "big"), self.seed)
        return f"w{word % VOCABULARY} "

    def text(self, end: int) -> str:
        """Return the first ``end`` tokens."""
        return "".join(self.token(position) for position in range(end))


def make_output(model: str, prompt: str, max_tokens: int, min_tokens: int) -> Output:
    """Return the output of a model for a prompt.

    The natural length depends on the seed; ``min_tokens`` raises it and ``max_tokens``
    cuts it.

    Examples
    --------
    >>> output = make_output("m", "a b c", max_tokens=5, min_tokens=0)
    >>> output.length, output.finish_reason
    (5, 'length')
    >>> output.text(2) == output.token(0) + output.token(1)
    True
    """
    if not 0 <= min_tokens <= max_tokens or max_tokens < 1:
        raise ValueError("need 0 <= min_tokens <= max_tokens and max_tokens >= 1")
    seed = xxhash.xxh64_intdigest(f"{model}\n{prompt}")
    length = max(min_tokens, SHORTEST_NATURAL + seed % NATURAL_SPREAD)
    if length > max_tokens:
        return Output(seed, max_tokens, "length")
    return Output(seed, length, "stop")
