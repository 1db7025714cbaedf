"""Length-prefixed msgpack frames to and from messages.

A frame is a length (4 bytes, big endian) and a msgpack array
``[type number, field, field, ...]``. Field names are not sent. A decoder fills absent
trailing fields that have defaults and ignores unknown trailing fields, so processes of
neighbouring versions are compatible as long as fields are only appended.
"""

from __future__ import annotations

import struct
from typing import Any

import msgpack

from chervilgw.codec.fields import (
    Convert,
    FrameError,
    make_fields_decoder,
    make_fields_encoder,
)
from chervilgw.core import messages
from chervilgw.core.messages import Message

DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024

# The numbers are part of the protocol: never reuse or change one.
TYPE_NUMBERS: dict[type, int] = {
    messages.Challenge: 1,
    messages.Hello: 2,
    messages.Heartbeat: 3,
    messages.Dispatch: 4,
    messages.Started: 5,
    messages.Chunk: 6,
    messages.End: 7,
    messages.Refused: 8,
    messages.Cancel: 9,
    messages.AttemptQuery: 10,
    messages.ConfigRequest: 11,
    messages.ConfigRecords: 12,
    messages.ConfigSnapshot: 13,
    messages.ShareRequest: 14,
    messages.ShareTransfer: 15,
    messages.ShareReply: 16,
    messages.ShareSnapshot: 17,
    messages.PermitRequest: 18,
    messages.PermitGrant: 19,
    messages.PermitRelease: 20,
    messages.CrashReport: 21,
    messages.DrainNotice: 22,
    messages.EntryReport: 23,
    messages.ReportSubscription: 24,
    messages.EngineReport: 25,
    messages.ModelLoadRequest: 26,
    messages.TurnRequest: 27,
    messages.TurnGranted: 28,
    messages.TurnRefused: 29,
    messages.TurnReleased: 30,
    messages.DemandReport: 31,
    messages.EntryReportBatch: 32,
    messages.SuspicionReport: 33,
    messages.StreamEnded: 34,
    messages.EngineRestarted: 35,
    messages.GrantMemory: 36,
    messages.StreamOriginQuery: 37,
    messages.StreamOrigin: 38,
}

_LENGTH = struct.Struct(">I")


_ENCODERS: dict[type, tuple[int, Convert]] = {
    cls: (number, make_fields_encoder(cls)) for cls, number in TYPE_NUMBERS.items()
}
_DECODERS: dict[int, Convert] = {
    number: make_fields_decoder(cls, 1) for cls, number in TYPE_NUMBERS.items()
}
_pack = msgpack.Packer(autoreset=True).pack
_unpack = msgpack.unpackb


def encode(message: Message) -> bytes:
    r"""Return the frame of a message.

    Parameters
    ----------
    message : Message
        Any message type of :mod:`chervilgw.core.messages`.

    Returns
    -------
    bytes

    Raises
    ------
    FrameError
        If the object is not a message or a field cannot be encoded.

    Examples
    --------
    >>> encode(messages.ConfigRequest(messages.Offset(7)))
    b'\x00\x00\x00\x03\x92\x0b\x07'
    """
    entry = _ENCODERS.get(type(message))
    if entry is None:
        raise FrameError(f"not a message type: {type(message).__name__}")
    number, encode_fields = entry
    try:
        body = _pack((number, *encode_fields(message)))
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        # After a failure the shared packer still holds partial output.
        _pack.__self__.reset()
        raise FrameError(f"{type(message).__name__}: {error}") from error
    return _LENGTH.pack(len(body)) + body


def _reject_extension(code: int, data: bytes) -> Any:
    raise FrameError(f"msgpack extension type {code} is not used")


def _decode_body(body: bytes) -> Message:
    try:
        value = _unpack(body, ext_hook=_reject_extension)
    except FrameError:
        raise
    except msgpack.ExtraData as error:
        raise FrameError("trailing bytes after the message") from error
    except Exception as error:
        # msgpack raises ValueError, its own exceptions and TypeError for some map keys.
        raise FrameError(f"malformed or truncated msgpack: {error}") from error
    if type(value) is not list or not value or type(value[0]) is not int:
        raise FrameError("a message is an array that starts with its type number")
    decode = _DECODERS.get(value[0])
    if decode is None:
        raise FrameError(f"unknown message type {value[0]}")
    return decode(value)


class FrameDecoder:
    """Incremental decoder of one connection's incoming bytes.

    After an error the position in the byte stream is unknown, so every further call
    raises the same error and the connection must be closed. Messages decoded in the
    failing call are dropped, as if the connection had been lost earlier.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._error: FrameError | None = None

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that the data completes.

        Parameters
        ----------
        data : bytes
            The next bytes of the connection, split at any position.

        Returns
        -------
        list of Message

        Raises
        ------
        FrameError
            If a frame is oversized or malformed.
        """
        if self._error is not None:
            raise self._error
        try:
            return self._decode_frames(data)
        except FrameError as error:
            self._error = error
            self._buffer.clear()
            raise

    def _decode_frames(self, data: bytes) -> list[Message]:
        if self._buffer:
            self._buffer += data
            data = self._buffer
            if self._frame_end(data, 0) == 0:
                return []
            self._buffer = bytearray()
            data = bytes(data)
        decoded: list[Message] = []
        start = 0
        while end := self._frame_end(data, start):
            decoded.append(_decode_body(data[start + 4 : end]))
            start = end
        if start < len(data):
            self._buffer += data[start:]
        return decoded

    def _frame_end(self, data: bytes | bytearray, start: int) -> int:
        """Return the end of the frame at ``start``, or 0 if it is incomplete."""
        available = len(data) - start
        if available < 4:
            return 0
        (length,) = _LENGTH.unpack_from(data, start)
        if length > self._max_frame_bytes:
            raise FrameError(f"frame of {length} bytes exceeds {self._max_frame_bytes}")
        return start + 4 + length if available >= 4 + length else 0

    def close(self) -> None:
        """Check that the connection ended at a frame boundary.

        Raises
        ------
        FrameError
            If the last frame is incomplete.
        """
        if self._buffer:
            raise FrameError(f"truncated frame: {len(self._buffer)} bytes remain")


def make_decoder(max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES) -> FrameDecoder:
    """Return a decoder for one connection.

    Parameters
    ----------
    max_frame_bytes : int
        Length limit of a frame, without its length prefix.

    Returns
    -------
    FrameDecoder

    Examples
    --------
    >>> decoder = make_decoder(1000)
    >>> frame = encode(messages.ShareReply("t1", True))
    >>> decoder.feed(frame[:5])
    []
    >>> decoder.feed(frame[5:])
    [ShareReply(transfer_id='t1', accepted=True, returned_level=0.0)]
    """
    return FrameDecoder(max_frame_bytes)
