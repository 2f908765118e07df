"""Answers that RFC 9110 and 9112 do not allow, and an upstream for them."""

from __future__ import annotations

import asyncio
import collections
import re

from tests import scripted

BODY = b'body of the upstream'
# Stands for the identifier of the request in an answer.
REQUEST_ID = b'REQUEST-ID'
_LENGTH = b'Content-Length: %d' % len(BODY)
_STATUS_LINE = b'HTTP/1.1 200 OK'


def _answer(
    *lines: bytes, status_line: bytes = _STATUS_LINE, body: bytes = BODY
) -> bytes:
    """Return an answer that the platform's dialect would accept."""
    own = (status_line, b'Request-Id: ' + REQUEST_ID, b'Server-Stamp: s')
    return b'\r\n'.join((*own, *lines, b'', body))


def _with_status_line(line: bytes) -> bytes:
    return _answer(_LENGTH, status_line=line)


def _with_field(line: bytes) -> bytes:
    return _answer(line, _LENGTH)


SOUND = _answer(_LENGTH)

STATUS_LINES = {
    'status 000': b'HTTP/1.1 000 OK',
    'status 099': b'HTTP/1.1 099 OK',
    'status 600': b'HTTP/1.1 600 OK',
    'status 999': b'HTTP/1.1 999 OK',
    'two digits': b'HTTP/1.1 20 OK',
    'four digits': b'HTTP/1.1 2000 OK',
    'letter in status': b'HTTP/1.1 2x0 OK',
    'signed status': b'HTTP/1.1 +20 OK',
    'status without a space': b'HTTP/1.1 200OK',
    'protocol switch': b'HTTP/1.1 101 Switching Protocols',
    'version 0.9': b'HTTP/0.9 200 OK',
    'version 2.0': b'HTTP/2.0 200 OK',
    'other protocol': b'RTSP/1.0 200 OK',
    'lower case': b'http/1.1 200 OK',
    'no version': b'HTTP 200 OK',
    'leading blank': b' HTTP/1.1 200 OK',
    'leading line end': b'\r\nHTTP/1.1 200 OK',
    'control byte in reason': b'HTTP/1.1 200 O\x01K',
    'NUL in reason': b'HTTP/1.1 200 O\x00K',
    'CR in reason': b'HTTP/1.1 200 O\rK',
}
FIELDS = {
    'blank before colon': b'X-A : b',
    'tab before colon': b'X-A\t: b',
    'blank in name': b'X A: b',
    'tab in name': b'X\tA: b',
    'control byte in name': b'X\x01A: b',
    'NUL in name': b'X\x00A: b',
    'CR in name': b'X\rA: b',
    'DEL in name': b'X\x7fA: b',
    'byte above 127 in name': b'X\xe9A: b',
    'delimiter in name': b'X(A: b',
    'empty name': b': b',
    'no colon': b'X-A',
    'control byte in value': b'X-A: b\x01c',
    'NUL in value': b'X-A: b\x00c',
    'CR in value': b'X-A: b\rc',
    'DEL in value': b'X-A: b\x7fc',
    'blank before colon of a known name': b'Keep-Alive : timeout=5',
    'control byte in folded value': b'X-A: b\r\n c\x01',
}
MALFORMED_HEADS = {
    **{name: _with_status_line(line) for name, line in STATUS_LINES.items()},
    **{name: _with_field(line) for name, line in FIELDS.items()},
    'folded first line': SOUND.replace(
        b'Request-Id', b' X-A: b\r\nRequest-Id'
    ),
    'blank before colon of length': SOUND.replace(b'Length:', b'Length :'),
    'blank in name of an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\nX-A : b\r\n\r\n' + SOUND
    ),
    'control byte in value of an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\nX-A: \x01\r\n\r\n' + SOUND
    ),
    'interim status 099': b'HTTP/1.1 099 Early Hints\r\n\r\n' + SOUND,
    'refusal with a blank before a colon': _answer(
        *(b'Not-Executed: 1', b'X-A : b', _LENGTH),
        status_line=b'HTTP/1.1 503 Service Unavailable',
    ),
    'interim protocol switch': (
        b'HTTP/1.1 101 Switching Protocols\r\n'
        b'Connection: upgrade\r\nUpgrade: h2c\r\n\r\n' + SOUND
    ),
}

_CHUNKED = b'Transfer-Encoding: chunked'
_CHUNKS = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)


def _chunked(*lines: bytes) -> bytes:
    """Return a chunked answer with the given lines as its content."""
    return _answer(_CHUNKED, body=b'\r\n'.join(lines))


LENGTHS = {
    'two equal lengths': (_LENGTH, _LENGTH),
    'two lengths': (_LENGTH, b'Content-Length: 3'),
    'two lengths, the first shorter': (b'Content-Length: 3', _LENGTH),
    'list of lengths': (b'Content-Length: 20, 20',),
    'list of differing lengths': (b'Content-Length: 20, 3',),
    'signed length': (b'Content-Length: +20',),
    'negative length': (b'Content-Length: -20',),
    'empty length': (b'Content-Length:',),
    'length with a letter': (b'Content-Length: 20x',),
    'hexadecimal length': (b'Content-Length: 0x14',),
    'length of two numbers': (b'Content-Length: 2 0',),
    'length over 64 bits': (b'Content-Length: 99999999999999999999999',),
    'length of 64 bits': (b'Content-Length: 18446744073709551615',),
    'length of many digits': (b'Content-Length: ' + 5_000 * b'9',),
}
CODINGS = {
    'gzip': b'gzip',
    'gzip, then chunked': b'gzip, chunked',
    'chunked, then gzip': b'chunked, gzip',
    'chunked twice': b'chunked, chunked',
    'identity': b'identity',
    'empty coding': b'',
    'unknown coding': b'xchunked',
    'chunked with a parameter': b'chunked;q=1',
    'chunked behind a control byte': b'\x0bchunked',
}
MALFORMED_FRAMING = {
    **{name: _answer(*lines) for name, lines in LENGTHS.items()},
    **{
        name: _answer(b'Transfer-Encoding: ' + coding, body=body)
        for name, coding in CODINGS.items()
        for body in [BODY if b'chunked' not in coding else _CHUNKS]
    },
    'coding on two lines': _answer(_CHUNKED, _CHUNKED, body=_CHUNKS),
    'length and coding': _answer(_LENGTH, _CHUNKED, body=_CHUNKS),
    'coding and length': _answer(_CHUNKED, _LENGTH, body=_CHUNKS),
    'identity and length': _answer(b'Transfer-Encoding: identity', _LENGTH),
    'coding in version 1.0': _answer(
        _CHUNKED, status_line=b'HTTP/1.0 200 OK', body=_CHUNKS
    ),
    'interim answer with a length': (
        b'HTTP/1.1 103 Early Hints\r\nContent-Length: 6\r\n\r\n' + SOUND
    ),
    'interim answer with a coding': (
        b'HTTP/1.1 103 Early Hints\r\n' + _CHUNKED + b'\r\n\r\n' + SOUND
    ),
    'no content with a length': _with_status_line(b'HTTP/1.1 204 No Content'),
    'no content with a coding': _answer(
        _CHUNKED, status_line=b'HTTP/1.1 204 No Content', body=_CHUNKS
    ),
    'reset content with a length': _with_status_line(
        b'HTTP/1.1 205 Reset Content'
    ),
    'reset content with a chunk': _answer(
        _CHUNKED, status_line=b'HTTP/1.1 205 Reset Content', body=_CHUNKS
    ),
    'reset content until close': _answer(
        status_line=b'HTTP/1.1 205 Reset Content'
    ),
}

MALFORMED_CHUNKS = {
    name: _chunked(*lines)
    for name, lines in {
        'blank behind the size': (b'14 ', BODY, b'0', b'', b''),
        'tab behind the size': (b'14\t', BODY, b'0', b'', b''),
        'blank behind the last size': (b'14', BODY, b'0 ', b'', b''),
        'blank before the size': (b' 14', BODY, b'0', b'', b''),
        'prefixed size': (b'0x14', BODY, b'0', b'', b''),
        'signed size': (b'+14', BODY, b'0', b'', b''),
        'negative size': (b'-14', BODY, b'0', b'', b''),
        'empty size': (b'', BODY, b'0', b'', b''),
        'no hexadecimal size': (b'1g', BODY, b'0', b'', b''),
        'size over 64 bits': (b'F' * 17, BODY, b'0', b'', b''),
        'size line that ends with LF': (b'14\n' + BODY, b'0', b'', b''),
        'last line that ends with LF': (b'14', BODY, b'0\n', b''),
        'chunk that ends with LF': (b'14', BODY + b'\n0', b'', b''),
        'chunk without an end': (b'14', BODY + b'0', b'', b''),
        'chunk longer than its size': (b'13', BODY, b'0', b'', b''),
        'chunk shorter than its size': (b'15', BODY, b'0', b'', b''),
        'control byte in extension': (b'14;a=\x01', BODY, b'0', b'', b''),
        'CR in extension': (b'14;a\rb', BODY, b'0', b'', b''),
        'LF in extension': (b'14;a\n' + BODY, b'0', b'', b''),
        'empty extension': (b'14;', BODY, b'0', b'', b''),
        'blank in extension': (b'14;a b', BODY, b'0', b'', b''),
        'open quote in extension': (b'14;a="b', BODY, b'0', b'', b''),
        'blank before colon of a trailer': (
            *(b'14', BODY, b'0', b'X-A : b', b'', b''),
        ),
        'blank in name of a trailer': (
            *(b'14', BODY, b'0', b'X A: b', b'', b''),
        ),
        'control byte in name of a trailer': (
            *(b'14', BODY, b'0', b'X\x01A: b', b'', b''),
        ),
        'control byte in value of a trailer': (
            *(b'14', BODY, b'0', b'X-A: \x01', b'', b''),
        ),
        'CR in value of a trailer': (
            *(b'14', BODY, b'0', b'X-A: b\rc', b'', b''),
        ),
        'trailer without colon': (b'14', BODY, b'0', b'X-A', b'', b''),
        'length as a trailer': (
            *(b'14', BODY, b'0', b'Content-Length: 20', b'', b''),
        ),
        'second answer as a trailer': (
            *(b'14', BODY, b'0', b'HTTP/1.1 200 OK', b'', b''),
        ),
        'coding as a trailer': (b'14', BODY, b'0', _CHUNKED, b'', b''),
    }.items()
}
MALFORMED_CHUNKS['refusal with a malformed trailer'] = _answer(
    *(b'Not-Executed: 1', _CHUNKED),
    status_line=b'HTTP/1.1 503 Service Unavailable',
    body=_CHUNKS[:-2] + b'X-A : b\r\n\r\n',
)

# Answers of which a recipient may use the meaning, and what remains of them.
ACCEPTED = {
    'sound': SOUND,
    'no reason': _with_status_line(b'HTTP/1.1 200 '),
    'no blank behind the status': _with_status_line(b'HTTP/1.1 200'),
    'bytes above 127': _with_status_line(b'HTTP/1.1 200 \xe9'),
    'version 1.0': _with_status_line(b'HTTP/1.0 200 OK'),
    'empty value': _with_field(b'X-A:'),
    'tab in value': _with_field(b'X-A:\tb\tc\t'),
    'all characters of names': _with_field(b"!#$%&'*+-.^_`|~9: b"),
    'folded value': _with_field(b'X-A: b\r\n c\r\n\td'),
    'lines that end with LF': SOUND.replace(b'\r\n', b'\n'),
    'offer of another protocol': _with_field(
        b'Connection: upgrade\r\nUpgrade: h2c'
    ),
    'leading zeros': _answer(b'Content-Length: 0000000000000000000020'),
    'folded length': _answer(b'Content-Length:\r\n 20'),
    'coding in capitals': _answer(b'Transfer-Encoding: CHUNKED', body=_CHUNKS),
    'extension': _chunked(b'14;a;b=c;d="e;\\"f"', BODY, b'0', b'', b''),
    'several chunks': _chunked(
        *(b'0000001', BODY[:1], b'00013', BODY[1:], b'000', b'', b'')
    ),
    'trailers': _chunked(b'14', BODY, b'0', b'X-A: b', b'X-B:', b'', b''),
    'interim answers': b'HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n' * 2 + SOUND,
}


class RawUpstream(scripted.Server):
    """Sends given bytes as answers to requests and to health checks."""

    def __init__(self) -> None:
        super().__init__()
        self.answer = SOUND
        # Other answers, by identifier of the request.
        self.answers: dict[bytes, bytes] = {}
        # Answers that are sent once their event is set, by identifier.
        self.held: dict[bytes, asyncio.Event] = {}
        self.health = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        self.runs: collections.Counter[bytes] = collections.Counter()
        # Whether an answer ends with its connection.
        self.closes = False
        # Requests that came on a connection after a malformed answer.
        self.reuses = 0

    async def stop(self) -> None:
        """Stop listening."""
        self.server.close()

    async def serve(self, reader, writer):
        """Answer the requests of a connection."""
        was_malformed = False
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            length = re.search(rb'(?i)\r\ncontent-length: *(\d+)', head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            if re.match(rb'GET /(health|-/load) ', head):
                writer.write(self.health)
                continue
            request_id = re.search(
                rb'(?i)\r\n(?:x-)?request-id: *([^\r]+)', head
            )[1]
            self.runs[request_id] += 1
            self.reuses += was_malformed
            answer = self.answers.get(request_id, self.answer)
            if request_id in self.held:
                await self.held[request_id].wait()
            was_malformed = answer not in ACCEPTED.values()
            writer.write(answer.replace(REQUEST_ID, request_id))
            await writer.drain()
            if self.closes or answer.startswith(b'HTTP/1.0'):
                return
