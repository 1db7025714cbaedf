"""Encoding of the record of what customers have used of their quotas."""

from __future__ import annotations

import json
from collections.abc import Mapping

from chervilgw.core.ids import CustomerId
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.records import (
    MAX_SERVER_RECORD_BYTES,
    Count,
    Name,
    Record,
    parse_record,
)
from chervilgw.platform.store_era import StoreEra


class _Usage(Record):
    used: dict[Name, Count]
    # Unix time of the record, by the clock of its writer.
    at_ms: Count
    # Era of the store in which the record was written, if the store stated one.
    era: Count | None = None


def encode_usage(
    used: Mapping[CustomerId, int], unix_ms: int, era: StoreEra | None = None
) -> bytes:
    """Return the record of the amounts that customers used within a window."""
    return json.dumps({"used": dict(used), "at_ms": unix_ms, "era": era}).encode()


def decode_usage(
    value: bytes, era: StoreEra | None = None
) -> tuple[dict[CustomerId, int], int]:
    """Decode a record read in an era: the used amounts, and its Unix time in ms.

    Raises
    ------
    DecodeError
        If the record is malformed, or of another era. The store may have lost later
        records than one of an earlier era.

    Examples
    --------
    >>> decode_usage(encode_usage({CustomerId("a"): 5}, 1_000))
    ({'a': 5}, 1000)
    """
    usage = parse_record(_Usage, value, MAX_SERVER_RECORD_BYTES, "quota usage")
    if usage.era != era:
        raise DecodeError(f"quota usage: written in era {usage.era}, read in {era}")
    used = {CustomerId(name): amount for name, amount in usage.used.items()}
    return used, usage.at_ms
