"""HTTP/1.1 messages: answers are parsed with httptools; encoding of both kinds."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from wsgiref.headers import Headers

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "CONTINUE",
    "LAST_CHUNK",
    "AnswerHead",
    "AnswerReader",
    "HeaderList",
    "encode_answer_head",
    "encode_chunk",
    "encode_request_head",
    "find_header",
    "select_end_to_end",
]

HeaderList = list[tuple[bytes, bytes]]

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# RFC 9110, section 15: the first digit is 1 to 5; the parser takes any three digits.
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_BODYLESS_STATUSES = (204, 304)
# A field's cost beside its bytes, as HTTP/2 counts it (RFC 9113, 6.5.2); it keeps many short
# fields from taking far more memory than their bytes.
FIELD_OVERHEAD_BYTES = 32
ANSWER_HEAD_LIMIT_BYTES = 65_536
# Bytes read beside the expected answer's body: its head, interim answers, answers to other
# requests, trailers, and the framing of chunks beyond what the chunks allow for.
UNEXPECTED_LIMIT_BYTES = 262_144
# Framing that each byte of a body allows for; a chunk of one byte takes five beside it.
FRAMING_BYTES = 16
MAX_SKIPPED_ANSWERS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status line and headers.

    :param length: bytes of the body, or ``None`` when it is chunked
    :param has_body: whether a body follows
    """

    status: int
    headers: HeaderList
    length: int | None
    has_body: bool


class AnswerReader:
    """Parses one answer; each exchange on a connection has its own reader.

    What is read beside the answer's body is bounded, since a broken server may send a head,
    trailers or other answers without end.

    :param method: method of the request, since an answer to HEAD has no body
    :param begin: called with the head
    :param body: called with each part of the body
    :param end: called when the answer is complete
    :param matches_request: returns whether headers belong to the expected answer;
        other answers are skipped, and the connection is not reused
    :param allows_close_delimited: whether the end of the connection may end the body
    """

    def __init__(
        self,
        *,
        method: str,
        begin: Callable[[AnswerHead], None],
        body: Callable[[bytes], None],
        end: Callable[[], None],
        matches_request: Callable[[HeaderList], bool] = lambda headers: True,
        allows_close_delimited: bool = False,
    ) -> None:
        self._matches_request = matches_request
        self._allows_close_delimited = allows_close_delimited
        self._is_close_delimited = False
        self._is_mismatched = False
        self._method = method
        self._begin = begin
        self._body = body
        self._end = end
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: HeaderList = []
        self._has_head = False
        self._head_bytes = 0
        self._unexpected_bytes = 0
        self._skipped_answers = 0
        self._is_complete = False
        self.problem: str | None = None
        self.may_reuse = True

    def feed(self, data: bytes) -> None:
        """Read bytes as they arrive; sets ``problem`` when the answer is not valid."""
        if self._is_complete or self._parser is None:
            self.may_reuse = False
            return
        self._unexpected_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.may_reuse = False
            self._note_problem(str(error) or "not a valid answer")
        if self._unexpected_bytes > UNEXPECTED_LIMIT_BYTES:
            self._note_problem(f"{UNEXPECTED_LIMIT_BYTES} bytes that are no part of its body")

    def discard(self) -> None:
        """Drop the parser and the callbacks, which refer to this object and to its owner."""
        self._parser = None
        self._begin = self._body = self._end = _ignore
        self._matches_request = lambda headers: True

    def on_message_begin(self) -> None:
        """Library callback."""
        self._headers = []
        self._head_bytes = 0
        self._is_mismatched = False
        if self._is_complete:
            self.may_reuse = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Library callback, for trailers too, which are not passed on."""
        if self._is_complete or self.problem:
            return
        self._head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._head_bytes > ANSWER_HEAD_LIMIT_BYTES:
            self._note_problem(f"its head or trailers exceed {ANSWER_HEAD_LIMIT_BYTES} bytes")
        elif not self._has_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Library callback."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if self._is_complete or self.problem:
            return
        if status not in _STATUSES:
            self._note_problem(f"{status:03d} is not a status")
            return
        if status < _FIRST_FINAL_STATUS:
            return
        if not self._matches_request(self._headers):
            self._is_mismatched = True
            self._skipped_answers += 1
            if self._skipped_answers > MAX_SKIPPED_ANSWERS:
                self._note_problem(f"more than {MAX_SKIPPED_ANSWERS} answers to other requests")
            return
        chunked = find_header(self._headers, b"transfer-encoding") is not None
        length = find_header(self._headers, b"content-length")
        has_body = self._method != "HEAD" and status not in _BODYLESS_STATUSES
        if has_body and not chunked and length is None:
            if not self._allows_close_delimited:
                self.problem = "neither Content-Length nor chunked, so a cut could not be told"
                return
            self._is_close_delimited = True
        self.may_reuse = self._parser.should_keep_alive() and not self._skipped_answers
        head = AnswerHead(
            status=status,
            headers=self._headers,
            length=None if chunked or length is None else int(length),
            has_body=has_body,
        )
        self._has_head = True
        self._begin(head)
        if self._method == "HEAD":
            # The parser has no setting for answers without a body.
            self.may_reuse = False
            self._finish()

    def on_body(self, part: bytes) -> None:
        """Library callback."""
        if not self._is_complete and not self.problem and not self._is_mismatched:
            self._unexpected_bytes = max(0, self._unexpected_bytes - len(part) * FRAMING_BYTES)
            self._body(part)

    def on_message_complete(self) -> None:
        """Library callback."""
        if self.problem or self._parser is None:
            return
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._is_mismatched:
            return
        if not self._is_complete:
            self._finish()

    def note_eof(self) -> bool:
        """Note that the server closed the connection.

        :returns: whether that completed the answer
        """
        if not self._is_close_delimited or self._is_complete or self.problem:
            return False
        self.may_reuse = False
        self._finish()
        return True

    def _finish(self) -> None:
        self._is_complete = True
        self._end()

    def _note_problem(self, problem: str) -> None:
        if not self._is_complete and self.problem is None:
            self.problem = problem


def _ignore(*_: object) -> None:
    pass


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name."""
    for each, value in headers:
        if each == name:
            return value
    return None


def select_end_to_end(headers: HeaderList, dropped: frozenset[bytes]) -> HeaderList:
    """Select the end-to-end headers (RFC 9110, 7.6.1).

    :param dropped: further lower-case names to leave out
    """
    named = find_header(headers, b"connection") or b""
    listed = {part.strip().lower() for part in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and name not in dropped and name not in listed
    ]


def encode_request_head(method: str, target: str, headers: HeaderList) -> bytes:
    """Encode the request line and headers."""
    return f"{method} {target} HTTP/1.1\r\n".encode("latin-1") + _encode_headers(headers)


def encode_answer_head(status: int, headers: HeaderList) -> bytes:
    """Encode the status line and headers."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    return f"HTTP/1.1 {status} {phrase}\r\n".encode("latin-1") + _encode_headers(headers)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_headers(headers: HeaderList) -> bytes:
    decoded = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in headers]
    return bytes(Headers(decoded))
