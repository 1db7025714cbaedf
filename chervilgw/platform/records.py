"""Validation of records that another program wrote.

The records of the platform's store, and what engines say of themselves, come from many
writers. The types of this module bound the depth, the size and the range of each value
once, where a record is decoded, so that no later step meets a number that a datagram
cannot hold or an address that cannot be dialled.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from chervilgw.core.addresses import check_address
from chervilgw.platform.errors import DecodeError

# Larger integers lose digits in JSON parsers that read numbers as floats.
MAX_INTEGER = 2**53
# Longest time that a record may state, about eleven days.
MAX_TIME_MS = 1e9
# Longest name of a service, zone, model, adapter or server.
MAX_NAME_LENGTH = 200
# Longest list of models or adapters.
MAX_ITEMS = 10_000
MAX_SLOTS = 1_000_000
# An engine's entry and report; the store's own limit on a record is 256 KiB.
MAX_SERVER_RECORD_BYTES = 262_144
# Longest configuration, which grows with routes, customers and models.
MAX_CONFIGURATION_BYTES = 16_777_216


Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
ServerAddress = Annotated[str, AfterValidator(check_address)]
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
TimeMs = Annotated[float, Field(ge=0, le=MAX_TIME_MS)]
Amount = Annotated[float, Field(ge=0, le=MAX_INTEGER)]


class Record(BaseModel):
    """Base of the decoded records; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True, extra="ignore", allow_inf_nan=False)


class StrictRecord(Record):
    """Record whose values must have the documented type, without conversion."""

    model_config = ConfigDict(strict=True)


RecordT = TypeVar("RecordT", bound=Record)


def parse_record(cls: type[RecordT], data: bytes, max_bytes: int, what: str) -> RecordT:
    """Parse and validate a record in JSON.

    The parser itself bounds the depth to 200 levels.

    Parameters
    ----------
    cls : type of Record
    data : bytes
    max_bytes : int
        Longest accepted record.
    what : str
        Names the record in the error.

    Raises
    ------
    DecodeError
        If the bytes are too long, are no JSON, or a value is out of bounds; the message
        names the first field that is wrong.
    """
    if len(data) > max_bytes:
        raise DecodeError(f"{what}: longer than {max_bytes} bytes")
    try:
        return cls.model_validate_json(data)
    except ValidationError as error:
        raise DecodeError(f"{what}: {describe(error)}") from None


def describe(error: ValidationError) -> str:
    """Return the first wrong field of a validation error and why it is wrong."""
    first: dict[str, Any] = error.errors(include_url=False, include_input=False)[0]
    field = ".".join(str(part) for part in first["loc"]) or "record"
    return f"{field[:MAX_NAME_LENGTH]}: {first['msg']}"
