"""Wire encodings: message frames, OpenAI bodies and server-sent event streams."""

from chervilgw.codec.frames import FrameError, encode, make_decoder

__all__ = ["FrameError", "encode", "make_decoder"]
