"""Ranges and decoders of values that other programs write."""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec
from returns import result

T = typing.TypeVar('T')

MAX_PORT = 65_535
# The inner protocol carries integers of 64 bits. These limits leave room for
# sums and for conversions to microseconds.
MAX_COUNT = 1_000_000_000
MAX_DURATION_MS = 1_000_000_000
MAX_WALL_MS = 10**15
MAX_SEQUENCE = 10**18

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
DurationMs = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# Milliseconds since the epoch; 0 if unknown.
WallMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)]
# Start of an upstream that is known.
StartMs = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_WALL_MS)]
SequenceNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
# Name that may be sent in a header.
Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=200, pattern=r'^[!-~]+\Z')
]

_NAME = re.compile(r'[!-~]{1,200}')
_HOST = re.compile(r'[A-Za-z0-9][A-Za-z0-9.-]{0,252}|\[[0-9A-Fa-f:.]{2,45}\]')
_PORT = re.compile(r'[0-9]{1,5}')
_COUNT = re.compile(r'[0-9]{1,9}')


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A host and a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the parts of ``host:port``.

    Raises
    ------
    ValueError
        If the text has another form, or the port is out of range.

    Examples
    --------
    >>> parse_address('10.1.0.41:8624')
    Address(host='10.1.0.41', port=8624)
    >>> parse_address('tcp://x:80')
    Traceback (most recent call last):
        ...
    ValueError: 'tcp://x:80' is not host:port
    """
    host, _, port = text.rpartition(':')
    if not (_HOST.fullmatch(host) and _PORT.fullmatch(port)):
        raise ValueError(f'{text[:100]!r} is not host:port')
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'port of {text!r} is out of range')
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Return True if a text is ``host:port``."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def parse_name(text: str) -> str:
    """Return a name that may be sent in a header.

    Raises
    ------
    ValueError
        If the text is empty, too long, or has other characters.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(f'{text[:100]!r} is not a name')
    return text


def parse_counts(text: str) -> list[int] | None:
    """Return the numbers in a list with commas; None if one is malformed.

    Examples
    --------
    >>> parse_counts('3, 0,9')
    [3, 0, 9]
    >>> parse_counts('3,' + 25 * '9') is None
    True
    """
    parts = [part.strip() for part in text.split(',')]
    if not all(map(_COUNT.fullmatch, parts)):
        return None
    return [int(part) for part in parts]


def decode(
    decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T],
    content: bytes | memoryview,
) -> result.Result[T, str]:
    """Return the decoded value, or the reason why it is malformed.

    Examples
    --------
    >>> decoder = msgspec.json.Decoder()
    >>> decode(decoder, 100_000 * b'[').failure()
    'nested too deeply'
    """
    try:
        return result.Success(decoder.decode(content))
    except RecursionError:
        return result.Failure('nested too deeply')
    except (msgspec.DecodeError, ValueError) as error:
        return result.Failure(str(error))
