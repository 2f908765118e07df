"""Syntax of the responses of HTTP/1.1 (RFC 9110 and RFC 9112).

A lenient parser accepts responses whose meaning is not certain. A node must
not pass on what it guesses of them, so it checks the bytes first.
"""

from __future__ import annotations

import dataclasses
import enum
import re
import typing

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
# Visible characters, bytes above 127, blanks and tabs.
_TEXT = rb'[\t -~\x80-\xff]*+'
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: ' + _TEXT + rb')?\r?\n'
)
# Lines of fields, perhaps folded, up to the empty line.
_FIELDS = re.compile(
    rb'(?:%b:%b(?:\r?\n[\t ]%b)*+\r?\n)*+\r?\n' % (_TOKEN, _TEXT, _TEXT)
)
_HEAD_END = re.compile(rb'\n\r?\n')
# Bytes of the end of a head that an earlier piece may hold.
_HEAD_END_OVERLAP = 2
_FRAMING_NAMES = frozenset({b'content-length', b'transfer-encoding'})
_FRAMING_FIELD = re.compile(
    rb'\n(content-length|transfer-encoding):([^\n]*+(?:\n[\t ][^\n]*+)*+)',
    re.IGNORECASE,
)
# Besides leading zeros 18 digits, a length beyond what a node can receive.
_LENGTH = re.compile(rb'0*[0-9]{1,18}')
_EXTENSION = rb'[\t ]*+;[\t ]*+%b(?:[\t ]*+=[\t ]*+(?:%b|"%b"))?+' % (
    _TOKEN,
    _TOKEN,
    rb'(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*+',
)
_CHUNK_LINE = re.compile(rb'0*([0-9A-Fa-f]{1,15})(?:%b)*+\r\n' % _EXTENSION)
# Load pattern: content in very small chunks. One match skips many of them.
_SMALL_CHUNKS = re.compile(
    rb'(?:%b)*+'
    % b'|'.join(
        rb'%x\r\n.{%d}\r\n' % (size_bytes, size_bytes)
        for size_bytes in range(1, 16)
    ),
    re.DOTALL | re.IGNORECASE,
)
_TRAILER = re.compile(rb'(%b):%b\r\n' % (_TOKEN, _TEXT))

_NAME = re.compile(_TOKEN.decode())
_VALUE = re.compile(r'[^\x00-\x08\n-\x1f\x7f]*+')

_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_NO_CONTENT = 204
_RESET_CONTENT = 205
_NOT_MODIFIED = 304
_WITHOUT_CONTENT = frozenset({_NO_CONTENT, _RESET_CONTENT, _NOT_MODIFIED})


class Violation(enum.StrEnum):
    """Part of a response that breaks the syntax."""

    STATUS_LINE = 'status_line'
    FIELDS = 'fields'
    CONTENT_LENGTH = 'content_length'
    TRANSFER_ENCODING = 'transfer_encoding'
    CHUNK = 'chunk'
    TRAILERS = 'trailers'
    # Content of a status that allows none.
    CONTENT = 'content'
    # Anything else that a parser refuses.
    OTHER = 'other'


class SyntaxViolationError(Exception):
    """Bytes that are no response.

    Parameters
    ----------
    violation : Violation
        The part that breaks the syntax.
    """

    def __init__(self, violation: Violation) -> None:
        super().__init__(violation.value)
        self.violation = violation


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What the head of a response states about its framing.

    Parameters
    ----------
    status : int
        Status code, 100 to 599 except 101.
    content_length : int or None
        Length of the content in bytes; None if it is not stated.
    is_chunked : bool
        True if the content is in the chunked transfer coding.
    """

    status: int
    content_length: int | None = None
    is_chunked: bool = False

    @property
    def allows_content(self) -> bool:
        """True unless a body, if there is one, has to be empty."""
        return self.status != _RESET_CONTENT

    @property
    def is_final(self) -> bool:
        """True unless another response to the same request follows."""
        return self.status >= _FIRST_FINAL_STATUS


def is_well_formed(
    status: int,
    fields: typing.Iterable[tuple[str, str]],
    content_bytes: int,
) -> bool:
    r"""Return True if a final response may consist of these parts.

    Parameters
    ----------
    status : int
        Status code.
    fields : iterable of tuple
        Names and values of the fields.
    content_bytes : int
        Size of the content.

    Examples
    --------
    >>> is_well_formed(200, [('Server', 'a')], 3)
    True
    >>> is_well_formed(0, [], 3) or is_well_formed(205, [], 3)
    False
    >>> is_well_formed(200, [('A', 'b\r\nC: d')], 3)
    False
    """
    if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
        return False
    if content_bytes and status in _WITHOUT_CONTENT:
        return False
    return all(
        _NAME.fullmatch(name) and _VALUE.fullmatch(value)
        for name, value in fields
    )


def parse_head(head: bytes) -> Head:
    r"""Return the framing that the head of a response states.

    Parameters
    ----------
    head : bytes
        Status line and fields, with the empty line at their end.

    Raises
    ------
    SyntaxViolationError
        If the head is malformed, or if its framing is contradictory or
        needs a transfer coding other than ``chunked``.

    Examples
    --------
    >>> parse_head(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n')
    Head(status=200, content_length=2, is_chunked=False)
    """
    status_line = _STATUS_LINE.match(head)
    if status_line is None:
        raise SyntaxViolationError(Violation.STATUS_LINE)
    status = int(status_line[2])
    if status == _SWITCHING_PROTOCOLS:
        # No request of a node asks for another protocol.
        raise SyntaxViolationError(Violation.STATUS_LINE)
    if _FIELDS.fullmatch(head, status_line.end()) is None:
        raise SyntaxViolationError(Violation.FIELDS)
    return _parse_framing(head, status, is_version_1_0=status_line[1] == b'0')


def _has_no_body(status: int) -> bool:
    """Return True if the response ends with its head."""
    return status < _FIRST_FINAL_STATUS or status == _NO_CONTENT


def _parse_framing(head: bytes, status: int, is_version_1_0: bool) -> Head:
    """Return the framing of a head whose fields are well-formed."""
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in _FRAMING_FIELD.findall(head):
        values = lengths if name.lower() == b'content-length' else codings
        # A folded value contains the ends of its lines.
        values.append(value.strip(b'\t\r\n ').lower())
    # Nodes ask for no other coding, and version 1.0 has none.
    if codings and (codings != [b'chunked'] or is_version_1_0):
        raise SyntaxViolationError(Violation.TRANSFER_ENCODING)
    if codings and lengths:
        raise SyntaxViolationError(Violation.CONTENT_LENGTH)
    if lengths and (len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0])):
        raise SyntaxViolationError(Violation.CONTENT_LENGTH)
    length = int(lengths[0]) if lengths else None
    if (codings or length) and _has_no_body(status):
        # A recipient could take what follows for content, or not.
        raise SyntaxViolationError(Violation.CONTENT_LENGTH)
    if length and status == _RESET_CONTENT:
        raise SyntaxViolationError(Violation.CONTENT_LENGTH)
    return Head(status, length, is_chunked=bool(codings))


def _skip_chunks(data: bytes, position: int) -> int:
    """Return the position behind well-formed chunks that are complete."""
    while True:
        position = _SMALL_CHUNKS.match(data, position).end()
        line = _CHUNK_LINE.match(data, position)
        if line is None:
            return position
        size_bytes = int(line[1], 16)
        end = line.end() + size_bytes
        if not size_bytes or data[end : end + 2] != b'\r\n':
            return position
        position = end + 2


class _State(enum.Enum):
    """Part of a response to which the next byte belongs."""

    HEAD = enum.auto()
    CONTENT = enum.auto()
    CONTENT_UNTIL_CLOSE = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    TRAILERS = enum.auto()
    END = enum.auto()


class ResponseChecker:
    """Checks the bytes of one final response and the interim ones before it.

    It keeps nothing of the content, only a head, or a line of the chunked
    coding, of which the end is still to come. What bounds these bounds the
    memory as well.

    Parameters
    ----------
    has_content : bool
        False for the response to a HEAD request.
    """

    def __init__(self, has_content: bool = True) -> None:
        self._has_content = has_content
        self._allows_content = True
        self._state = _State.HEAD
        self._incomplete = bytearray()
        # Position in the incomplete head from which its end is searched.
        self._searched = 0
        # Bytes of the content or of a chunk that are still to come.
        self._left_bytes = 0

    @property
    def is_complete(self) -> bool:
        """True once the last byte was checked.

        It stays False for a response that ends with its connection.
        """
        return self._state is _State.END

    def check(self, data: bytes) -> int:
        """Check the next bytes.

        Parameters
        ----------
        data : bytes
            Received bytes, in any division.

        Returns
        -------
        int
            Number of bytes that belong to the response: all, or fewer if it
            is complete.

        Raises
        ------
        SyntaxViolationError
            If the response is malformed.
        """
        position = 0
        while position < len(data):
            match self._state:
                case _State.HEAD:
                    position = self._check_head(data, position)
                case _State.CONTENT:
                    position = self._skip(data, position)
                    if not self._left_bytes:
                        self._state = _State.END
                case _State.CONTENT_UNTIL_CLOSE:
                    self._check_content()
                    return len(data)
                case _State.CHUNK_LINE:
                    position = self._check_chunk_line(data, position)
                case _State.CHUNK:
                    position = self._check_chunk(data, position)
                case _State.TRAILERS:
                    position = self._check_trailer(data, position)
                case _State.END:
                    break
        return position

    def _check_head(self, data: bytes, position: int) -> int:
        self._incomplete += memoryview(data)[position:]
        end = _HEAD_END.search(self._incomplete, self._searched)
        if end is None:
            kept_bytes = len(self._incomplete) - _HEAD_END_OVERLAP
            self._searched = max(0, kept_bytes)
            return len(data)
        following_bytes = len(self._incomplete) - end.end()
        head = parse_head(bytes(self._incomplete[: end.end()]))
        self._incomplete.clear()
        self._searched = 0
        if head.is_final:
            self._start_content(head)
        return len(data) - following_bytes

    def _start_content(self, head: Head) -> None:
        self._allows_content = head.allows_content
        self._state = _State.CONTENT_UNTIL_CLOSE
        if (
            not self._has_content
            or head.status in (_NO_CONTENT, _NOT_MODIFIED)
            or head.content_length == 0
        ):
            self._state = _State.END
        elif head.is_chunked:
            self._state = _State.CHUNK_LINE
        elif head.content_length is not None:
            self._state = _State.CONTENT
            self._left_bytes = head.content_length

    def _check_content(self) -> None:
        if not self._allows_content:
            raise SyntaxViolationError(Violation.CONTENT)

    def _skip(self, data: bytes, position: int) -> int:
        skipped_bytes = min(self._left_bytes, len(data) - position)
        self._left_bytes -= skipped_bytes
        return position + skipped_bytes

    def _check_chunk_line(self, data: bytes, position: int) -> int:
        if not self._incomplete and self._allows_content:
            position = _skip_chunks(data, position)
        line, position = self._take_line(data, position)
        if not line:
            return position
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise SyntaxViolationError(Violation.CHUNK)
        size_bytes = int(match[1], 16)
        if size_bytes:
            self._check_content()
        self._state = _State.CHUNK if size_bytes else _State.TRAILERS
        self._left_bytes = size_bytes
        return position

    def _check_chunk(self, data: bytes, position: int) -> int:
        """Check that a line end, and nothing else, follows the chunk."""
        position = self._skip(data, position)
        if self._left_bytes:
            return position
        line, position = self._take_line(data, position)
        if line not in (b'', b'\r\n') or self._incomplete not in (b'', b'\r'):
            raise SyntaxViolationError(Violation.CHUNK)
        if line:
            self._state = _State.CHUNK_LINE
        return position

    def _check_trailer(self, data: bytes, position: int) -> int:
        line, position = self._take_line(data, position)
        if line == b'\r\n':
            self._state = _State.END
        elif line:
            match = _TRAILER.fullmatch(line)
            if match is None or match[1].lower() in _FRAMING_NAMES:
                raise SyntaxViolationError(Violation.TRAILERS)
        return position

    def _take_line(self, data: bytes, position: int) -> tuple[bytes, int]:
        """Return the next line, empty if incomplete, and what follows it."""
        end = data.find(b'\n', position) + 1
        if not end:
            self._incomplete += memoryview(data)[position:]
            return b'', len(data)
        line = data[position:end]
        if self._incomplete:
            line = bytes(self._incomplete + line)
            self._incomplete.clear()
        return line, end
