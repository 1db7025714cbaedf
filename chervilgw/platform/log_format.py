"""Requests to the platform's log and decoding of its answers.

A topic is a sequence of records numbered by offset. In a keyed topic each record has a
key, and the newest record of a key replaces the earlier ones.
"""

from __future__ import annotations

import base64
import binascii
import json
import struct
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

from pydantic import Field

from chervilgw.core.ids import LogPosition, Offset, ZoneId
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.records import Record, parse_record
from chervilgw.platform.store_era import MAX_OFFSET, StoreEra, to_position

CONFIGURATION_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.entries"
FENCES_TOPIC = "fences"
CONFIGURATION_KEY = "config"
# Keys among the addresses of entries, so that a start reads them with the same call.
USAGE_KEY = "quota-usage"
VERSIONS_KEY = "software-versions"
# Followed by the name of a zone, in the topic of the configuration.
EVACUATION_PREFIX = "evacuate/"

# Precedes the records in the answer to a read.
_READ_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_MAX_KEY_BYTES = 255
MAX_APPEND_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic; ``value`` is None if the key was removed."""

    position: LogPosition
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Answer to a read: records in order, and the offset of the next read.

    ``is_last`` means that the log ended there when it was read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: Offset
    is_last: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """One page of a listing, which has the newest record of each key.

    ``continue_after`` is the last key of the page, or None on the last page. ``end`` is
    the end offset of the partition. ``malformed`` counts the items that were left out.
    """

    records: tuple[KeyedRecord, ...]
    continue_after: str | None
    end: Offset
    malformed: int = 0


def read_path(topic: str, start: Offset, wait_s: float) -> str:
    """Return the path of a read that waits for records at most ``wait_s``."""
    query = {"topic": topic, "part": 0, "from": start}
    if wait_s > 0:
        query["wait_ms"] = int(wait_s * 1000)
    return "/log-read?" + urlencode(query)


def listing_path(topic: str, after: str | None) -> str:
    """Return the path of a listing's first page, or of the page after a key."""
    query = {"topic": topic, "part": 0}
    if after is not None:
        query["after"] = after
    # A key of another writer may hold what is no valid text; it is sent back as it is.
    return "/log-newest?" + urlencode(query, errors="surrogatepass")


def append_path(topic: str) -> str:
    """Return the path of an append."""
    return "/log-append?" + urlencode({"topic": topic, "part": 0})


def encode_record(content: bytes) -> bytes:
    """Return the body of an append of one record."""
    return _LENGTH.pack(len(content)) + content


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return the body of an append of one record with a key."""
    name = key.encode()
    if not 0 < len(name) <= _MAX_KEY_BYTES:
        raise ValueError(f"key is not 1 to {_MAX_KEY_BYTES} bytes long")
    return encode_record(bytes([len(name)]) + name + value)


def evacuated_zone(key: str) -> ZoneId | None:
    """Return the zone that a key of the operators evacuates, or None for another key.

    Examples
    --------
    >>> evacuated_zone("evacuate/a"), evacuated_zone("config")
    ('a', None)
    """
    # Servers without a zone have an empty one, which no key names.
    zone = key.removeprefix(EVACUATION_PREFIX)
    return ZoneId(zone) if zone and zone != key else None


def decode_page(body: bytes, start: Offset, era: StoreEra | None) -> Page:
    """Decode the answer to a read from ``start`` in an era of the store.

    Raises
    ------
    DecodeError
        If the body ends within a record, or an offset is out of range.
    """
    if len(body) < _READ_HEADER.size:
        raise DecodeError("log read: truncated header")
    end, _ = _READ_HEADER.unpack_from(body)
    records = []
    position, offset = _READ_HEADER.size, start
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise DecodeError("log read: truncated length")
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            raise DecodeError("log read: truncated record")
        position += size
        record = _decode_keyed(content, to_position(era, offset))
        if record is not None:
            records.append(record)
        offset = Offset(offset + 1)
    return Page(tuple(records), offset, offset >= end)


def _decode_keyed(content: bytes, position: LogPosition) -> KeyedRecord | None:
    """Return the record, or None for malformed bytes of another writer."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    value = content[end:]
    return KeyedRecord(position, key, value or None)


def decode_listing(body: bytes, era: StoreEra | None) -> Listing:
    """Decode one page of a listing in an era of the store.

    Items that are no keyed records are left out.

    Raises
    ------
    DecodeError
        If the page as a whole does not have the expected form.
    """
    try:
        answer = json.loads(body)
        items, end = answer["items"], answer["end"]
        continue_after = items[-1]["key"] if answer.get("truncated") and items else None
        if not isinstance(continue_after, str | None):
            raise TypeError("the last key is not a string")
        records = tuple(_decode_item(item, era) for item in items)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DecodeError(f"log listing: {type(error).__name__}: {error}") from error
    except RecursionError:
        raise DecodeError("log listing: nested too deeply") from None
    if not _is_offset(end):
        raise DecodeError("log listing: the end is no offset")
    kept = tuple(record for record in records if record is not None)
    malformed = len(records) - len(kept)
    return Listing(kept, continue_after, Offset(end), malformed)


def _decode_item(item: dict[str, Any], era: StoreEra | None) -> KeyedRecord | None:
    """Return the record of a listing's item, or None if its content is malformed.

    Raises
    ------
    KeyError, TypeError
        If the item does not have the form that the store gives to all items.
    """
    key, value, offset = item["key"], item["value"], item["offset"]
    if not isinstance(key, str) or not isinstance(value, str):
        raise TypeError("an item is not a key and a value in text")
    try:
        key.encode()
        content = base64.b64decode(value, validate=True)
    except (UnicodeEncodeError, binascii.Error):
        return None
    if not _is_offset(offset):
        return None
    return KeyedRecord(to_position(era, Offset(offset)), key, content)


def _is_offset(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_OFFSET


class _Appended(Record):
    offset: Annotated[int, Field(ge=0, le=MAX_OFFSET)]


def decode_appended(body: bytes) -> Offset:
    """Decode the answer to an append: the offset of the record.

    Raises
    ------
    DecodeError
        If the body does not have the expected form.
    """
    answer = parse_record(_Appended, body, MAX_APPEND_ANSWER_BYTES, "log append")
    return Offset(answer.offset)
