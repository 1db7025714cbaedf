"""Encodings at the system's edges: frames, OpenAI bodies and event streams."""

from chervilgw.codec.frames import FrameError, encode, make_decoder

__all__ = ["FrameError", "encode", "make_decoder"]
