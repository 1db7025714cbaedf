"""Conversion of dataclasses to msgpack values and back, compiled once per type."""

from __future__ import annotations

import dataclasses
import functools
import types
import typing
from collections.abc import Callable
from enum import Enum
from operator import attrgetter
from typing import Any

from chervilgw.core.errors import ChervilError

Convert = Callable[[Any], Any]
_SCALARS = (int, str, bytes, bool)


class FrameError(ChervilError):
    """The bytes are not a valid frame, or a message cannot be encoded."""


def _unwrap(annotation: Any) -> Any:
    """Return the run-time type behind ``NewType`` wrappers."""
    while isinstance(annotation, typing.NewType):
        annotation = annotation.__supertype__
    return annotation


def _optional_item(annotation: Any) -> Any:
    """Return ``X`` for ``X | None``, or None for any other annotation."""
    if typing.get_origin(annotation) not in (types.UnionType, typing.Union):
        return None
    inner = [part for part in typing.get_args(annotation) if part is not type(None)]
    if len(inner) != 1:
        raise TypeError(f"only X | None is supported, not {annotation!r}")
    return inner[0]


def _make_encoder(annotation: Any) -> Convert | None:
    """Return a conversion to msgpack values, or None if none is needed."""
    annotation = _unwrap(annotation)
    inner = _optional_item(annotation)
    if inner is not None:
        encode_inner = _make_encoder(inner)
        if encode_inner is None:
            return None
        return lambda value: None if value is None else encode_inner(value)
    if typing.get_origin(annotation) is tuple:
        return _make_tuple_encoder(typing.get_args(annotation))
    if dataclasses.is_dataclass(annotation):
        return make_fields_encoder(annotation)
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return attrgetter("value")
    return None


def _make_tuple_encoder(parts: tuple[Any, ...]) -> Convert | None:
    if len(parts) == 2 and parts[1] is Ellipsis:
        encode_item = _make_encoder(parts[0])
        if encode_item is None:
            return None
        return lambda value: [encode_item(item) for item in value]
    if any(_make_encoder(part) is not None for part in parts):
        raise TypeError(f"fixed tuples hold plain values only, not {parts!r}")
    return None


def make_fields_encoder(cls: type) -> Convert:
    """Return a function from a dataclass to nested tuples of msgpack values.

    The function is one compiled expression, as with the methods of ``dataclasses``:
    a closure per field takes three times as long for a chunk.
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


def _make_type_check(expected: type) -> Convert:
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


def _make_decoder(annotation: Any) -> Convert:
    """Return a conversion from msgpack values that checks their types."""
    annotation = _unwrap(annotation)
    inner = _optional_item(annotation)
    if inner is not None:
        decode_inner = _make_decoder(inner)
        return lambda value: None if value is None else decode_inner(value)
    if annotation is Any:
        return lambda value: value
    if annotation is float:
        return _decode_float
    if annotation in _SCALARS:
        return _make_type_check(annotation)
    if dataclasses.is_dataclass(annotation):
        return make_fields_decoder(annotation)
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _make_enum_decoder(annotation)
    origin, parts = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is tuple:
        return _make_tuple_decoder(parts)
    if origin is dict:
        return _make_dict_decoder(*parts)
    raise TypeError(f"no frame encoding for {annotation!r}")


def _make_enum_decoder(enum: type[Enum]) -> Convert:
    members = {member.value: member for member in enum}
    value_type = type(next(iter(members)))

    def decode_enum(value: Any) -> Enum:
        # The type is checked first, as True would otherwise match the member 1.
        if type(value) is not value_type or value not in members:
            raise FrameError(f"not a value of {enum.__name__}")
        return members[value]

    return decode_enum


def _make_tuple_decoder(parts: tuple[Any, ...]) -> Convert:
    check_list = _make_type_check(list)
    if len(parts) == 2 and parts[1] is Ellipsis:
        decode_item = _make_decoder(parts[0])
        return lambda value: tuple([decode_item(item) for item in check_list(value)])
    decoders = [_make_decoder(part) for part in parts]

    def decode_tuple(value: Any) -> tuple[Any, ...]:
        if len(check_list(value)) != len(decoders):
            raise FrameError(f"expected {len(decoders)} values, got {len(value)}")
        return tuple(
            [decode(item) for decode, item in zip(decoders, value, strict=True)]
        )

    return decode_tuple


def _make_dict_decoder(key: Any, item: Any) -> Convert:
    check_dict = _make_type_check(dict)
    decode_key, decode_item = _make_decoder(key), _make_decoder(item)
    return lambda value: {
        decode_key(name): decode_item(entry)
        for name, entry in check_dict(value).items()
    }


def make_fields_decoder(cls: type, start: int = 0) -> Convert:
    """Return a function from a list to a dataclass, whose fields begin at ``start``.

    As in the encoder, the usual case (every field present) is one compiled expression.
    """
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    kinds = [_unwrap(hints[field.name]) for field in fields]
    decoders = [_make_decoder(kind) for kind in kinds]
    required = sum(
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        for field in fields
    )

    def decode_general(value: Any) -> Any:
        if type(value) is not list:
            raise FrameError(f"{cls.__name__}: expected list")
        values = value[start:]
        if len(values) < required:
            raise FrameError(f"{cls.__name__}: {len(values)} of {required} fields")
        return cls(
            *[decode(item) for decode, item in zip(decoders, values, strict=False)]
        )

    names: dict[str, Any] = {"cls": cls, "decode_general": decode_general}
    tests = ["type(v) is list", f"len(v) == {start + len(fields)}"]
    parts = []
    for index, kind in enumerate(kinds):
        item = f"v[{start + index}]"
        if kind in _SCALARS:
            tests.append(f"type({item}) is {kind.__name__}")
            parts.append(item)
        else:
            names[f"decode_{index}"] = decoders[index]
            parts.append(f"decode_{index}({item})")
    fast = f"cls({', '.join(parts)}) if {' and '.join(tests)} else decode_general(v)"
    decode = eval(f"lambda v: {fast}", names)
    return decode if start or set(kinds) - set(_SCALARS) else _make_cached(decode)


def _make_cached(decode: Convert) -> Convert:
    """Return a decoder that caches small objects, such as a request's incarnation.

    The cache key includes the types, as True and 1.0 would otherwise be taken for 1.
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
