"""Length-prefixed msgpack frames to and from messages.

A frame is a length (4 bytes, big endian) and a msgpack array
``[type number, field, field, ...]``. Field names are not sent. A decoder fills absent
trailing fields that have defaults and ignores unknown trailing fields, so processes of
neighbouring versions understand each other when fields are only appended.
"""

from __future__ import annotations

import dataclasses
import functools
import struct
import types
import typing
from collections.abc import Callable
from enum import Enum
from operator import attrgetter
from typing import Any

import msgpack

from chervilgw.core import messages
from chervilgw.core.errors import ChervilError
from chervilgw.core.messages import Message

DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024

# Numbers are part of the protocol: never reuse or renumber one.
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
    messages.LookUp: 10,
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
    messages.Leaving: 22,
}

_LENGTH = struct.Struct(">I")
_PLAIN = (int, str, bytes, bool)
_Convert = Callable[[Any], Any]


class FrameError(ChervilError):
    """The bytes are not a valid frame, or a message cannot be put into one."""


def _unwrap(annotation: Any) -> Any:
    """Return the run-time type behind ``NewType`` wrappers."""
    while isinstance(annotation, typing.NewType):
        annotation = annotation.__supertype__
    return annotation


def _optional_of(annotation: Any) -> Any:
    """Return ``X`` for ``X | None``, or None for any other annotation."""
    if typing.get_origin(annotation) not in (types.UnionType, typing.Union):
        return None
    inner = [part for part in typing.get_args(annotation) if part is not type(None)]
    if len(inner) != 1:
        raise TypeError(f"only X | None is supported, not {annotation!r}")
    return inner[0]


def _make_encoder(annotation: Any) -> _Convert | None:
    """Return a conversion to msgpack values, or None if the value goes as it is."""
    annotation = _unwrap(annotation)
    inner = _optional_of(annotation)
    if inner is not None:
        encode_inner = _make_encoder(inner)
        if encode_inner is None:
            return None
        return lambda value: None if value is None else encode_inner(value)
    if typing.get_origin(annotation) is tuple:
        return _make_tuple_encoder(typing.get_args(annotation))
    if dataclasses.is_dataclass(annotation):
        return _make_fields_encoder(annotation)
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return attrgetter("value")
    return None


def _make_tuple_encoder(parts: tuple[Any, ...]) -> _Convert | None:
    if len(parts) == 2 and parts[1] is Ellipsis:
        encode_item = _make_encoder(parts[0])
        if encode_item is None:
            return None
        return lambda value: [encode_item(item) for item in value]
    if any(_make_encoder(part) is not None for part in parts):
        raise TypeError(f"fixed tuples hold plain values only, not {parts!r}")
    return None


def _make_fields_encoder(cls: type) -> _Convert:
    """Return a function from a dataclass to nested tuples of msgpack values.

    The function is one compiled expression, as ``dataclasses`` builds its methods:
    calling a closure per field takes three times as long for a chunk.
    """
    names: dict[str, Any] = {}

    def expression(annotation: Any, source: str) -> str:
        annotation = _unwrap(annotation)
        if dataclasses.is_dataclass(annotation):
            hints = typing.get_type_hints(annotation)
            parts = [
                expression(hints[field.name], f"{source}.{field.name}")
                for field in dataclasses.fields(annotation)
            ]
            return f"({', '.join(parts)},)"
        convert = _make_encoder(annotation)
        if convert is None:
            return source
        name = f"convert_{len(names)}"
        names[name] = convert
        return f"{name}({source})"

    return eval(f"lambda value: {expression(cls, 'value')}", names)


def _expect(expected: type) -> _Convert:
    def check(value: Any) -> Any:
        if type(value) is not expected:
            raise FrameError(
                f"expected {expected.__name__}, got {type(value).__name__}"
            )
        return value

    return check


def _decode_float(value: Any) -> float:
    if type(value) not in (float, int) or value != value:
        raise FrameError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _make_decoder_of(annotation: Any) -> _Convert:
    """Return a conversion from msgpack values that checks their types."""
    annotation = _unwrap(annotation)
    inner = _optional_of(annotation)
    if inner is not None:
        decode_inner = _make_decoder_of(inner)
        return lambda value: None if value is None else decode_inner(value)
    if annotation is Any:
        return lambda value: value
    if annotation is float:
        return _decode_float
    if annotation in _PLAIN:
        return _expect(annotation)
    if dataclasses.is_dataclass(annotation):
        return _make_fields_decoder(annotation)
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _make_enum_decoder(annotation)
    origin, parts = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is tuple:
        return _make_tuple_decoder(parts)
    if origin is dict:
        return _make_dict_decoder(*parts)
    raise TypeError(f"no frame encoding for {annotation!r}")


def _make_enum_decoder(enum: type[Enum]) -> _Convert:
    members = {member.value: member for member in enum}
    value_type = type(next(iter(members)))

    def decode_enum(value: Any) -> Enum:
        # The type is checked first, as True would otherwise find the member 1.
        if type(value) is not value_type or value not in members:
            raise FrameError(f"not a value of {enum.__name__}")
        return members[value]

    return decode_enum


def _make_tuple_decoder(parts: tuple[Any, ...]) -> _Convert:
    check_list = _expect(list)
    if len(parts) == 2 and parts[1] is Ellipsis:
        decode_item = _make_decoder_of(parts[0])
        return lambda value: tuple([decode_item(item) for item in check_list(value)])
    decoders = [_make_decoder_of(part) for part in parts]

    def decode_tuple(value: Any) -> tuple[Any, ...]:
        if len(check_list(value)) != len(decoders):
            raise FrameError(f"expected {len(decoders)} values, got {len(value)}")
        return tuple(
            [decode(item) for decode, item in zip(decoders, value, strict=True)]
        )

    return decode_tuple


def _make_dict_decoder(key: Any, item: Any) -> _Convert:
    check_dict = _expect(dict)
    decode_key, decode_item = _make_decoder_of(key), _make_decoder_of(item)
    return lambda value: {
        decode_key(name): decode_item(part) for name, part in check_dict(value).items()
    }


def _make_fields_decoder(cls: type, start: int = 0) -> Callable[..., Any]:
    """Return a function from a list, from index ``start`` on, to a dataclass.

    As in the encoder, the usual case (every field present) is one compiled expression.
    """
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    kinds = [_unwrap(hints[field.name]) for field in fields]
    decoders = [_make_decoder_of(kind) for kind in kinds]
    required = sum(
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        for field in fields
    )

    def decode_slowly(value: Any) -> Any:
        if type(value) is not list:
            raise FrameError(f"{cls.__name__}: expected list")
        values = value[start:]
        if len(values) < required:
            raise FrameError(f"{cls.__name__}: {len(values)} of {required} fields")
        return cls(
            *[decode(item) for decode, item in zip(decoders, values, strict=False)]
        )

    names: dict[str, Any] = {"cls": cls, "slowly": decode_slowly}
    tests = ["type(v) is list", f"len(v) == {start + len(fields)}"]
    parts = []
    for index, kind in enumerate(kinds):
        item = f"v[{start + index}]"
        if kind in _PLAIN:
            tests.append(f"type({item}) is {kind.__name__}")
            parts.append(item)
        else:
            names[f"decode_{index}"] = decoders[index]
            parts.append(f"decode_{index}({item})")
    fast = f"cls({', '.join(parts)}) if {' and '.join(tests)} else slowly(v)"
    decode = eval(f"lambda v: {fast}", names)
    return decode if start or set(kinds) - set(_PLAIN) else _remembering(decode)


def _remembering(decode: _Convert) -> _Convert:
    """Share equal small objects, such as the incarnation in every request id.

    The cache compares types too, as True and 1.0 would otherwise pass for 1.
    """
    cached = functools.lru_cache(maxsize=1024, typed=True)(
        lambda *values: decode(list(values))
    )

    def decode_cached(value: Any) -> Any:
        if type(value) is not list:
            return decode(value)
        try:
            return cached(*value)
        except TypeError as error:
            raise FrameError("a field holds a list or map") from error

    return decode_cached


_ENCODERS: dict[type, tuple[int, _Convert]] = {
    cls: (number, _make_fields_encoder(cls)) for cls, number in TYPE_NUMBERS.items()
}
_DECODERS: dict[int, Callable[..., Any]] = {
    number: _make_fields_decoder(cls, 1) for cls, number in TYPE_NUMBERS.items()
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
        # A failed pack leaves its partial output in the shared packer.
        _pack.__self__.reset()
        raise FrameError(f"{type(message).__name__}: {error}") from error
    return _LENGTH.pack(len(body)) + body


def _refuse_extension(code: int, data: bytes) -> Any:
    raise FrameError(f"msgpack extension type {code} is not used")


def _decode_body(body: bytes) -> Message:
    try:
        value = _unpack(body, ext_hook=_refuse_extension)
    except FrameError:
        raise
    except msgpack.ExtraData as error:
        raise FrameError("trailing bytes after the message") from error
    except Exception as error:
        # msgpack raises ValueError, its own types and, for odd map keys, TypeError.
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
    failing call are dropped; to the peer that equals an earlier loss of the connection.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._error: FrameError | None = None

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that the bytes so far complete.

        Parameters
        ----------
        data : bytes
            The next bytes of the connection, cut anywhere.

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
            return self._take(data)
        except FrameError as error:
            self._error = error
            self._buffer.clear()
            raise

    def _take(self, data: bytes) -> list[Message]:
        if self._buffer:
            self._buffer += data
            data = self._buffer
            if self._frame_end(data, 0) == 0:
                return []
            self._buffer = bytearray()
            data = bytes(data)
        found: list[Message] = []
        start = 0
        while end := self._frame_end(data, start):
            found.append(_decode_body(data[start + 4 : end]))
            start = end
        if start < len(data):
            self._buffer += data[start:]
        return found

    def _frame_end(self, data: bytes | bytearray, start: int) -> int:
        """Return where the frame at ``start`` ends, or 0 if it is incomplete."""
        available = len(data) - start
        if available < 4:
            return 0
        (length,) = _LENGTH.unpack_from(data, start)
        if length > self._max_frame_bytes:
            raise FrameError(f"frame of {length} bytes exceeds {self._max_frame_bytes}")
        return start + 4 + length if available >= 4 + length else 0

    def close(self) -> None:
        """Check that the connection ended between two frames.

        Raises
        ------
        FrameError
            If a frame was cut.
        """
        if self._buffer:
            raise FrameError(f"truncated frame: {len(self._buffer)} bytes left over")


def make_decoder(max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES) -> FrameDecoder:
    """Return a decoder for one connection.

    Parameters
    ----------
    max_frame_bytes : int
        Longest accepted frame, without its length prefix.

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
    [ShareReply(transfer_id='t1', accepted=True)]
    """
    return FrameDecoder(max_frame_bytes)
