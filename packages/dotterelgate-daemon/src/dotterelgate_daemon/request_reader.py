"""Parsing of the requests of one connection with httptools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools
import structlog

from dotterelgate_core import codes
from dotterelgate_daemon.codec import FIELD_OVERHEAD_BYTES, find_header
from dotterelgate_daemon.intake.heads import HeadLimits, HeadMeter

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_daemon.codec import HeaderList

__all__ = ["RequestHead", "RequestReader"]

logger = structlog.get_logger("requests")

# Bytes that are parsed at once, between which limits are checked.
SLICE_BYTES = 4096
SHORTEST_FIELD_BYTES = 4
MAX_EMPTY_LINES = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Request line and headers.

    :param length: bytes of the body, or ``None`` when it is chunked
    :param cost: bytes of memory that the head takes
    """

    method: str
    target: str
    headers: HeaderList
    keep_alive: bool
    length: int | None
    expects_continue: bool
    cost: int = 0


class RequestReader:
    """Parses the requests of one connection.

    :param begin: called with each head
    :param body: called with each part of a body
    :param end: called when a request is complete
    :param refuse: called once with a result code and a reason when a request is not valid
    :param find_limits: returns the limits on heads, derived from ``head_limit`` by default
    :param is_blocked: returns whether further bytes stay unparsed until ``resume``
    """

    def __init__(
        self,
        *,
        head_limit: int,
        begin: Callable[[RequestHead], None],
        body: Callable[[bytes], None],
        end: Callable[[], None],
        refuse: Callable[[ResultCode, str], None],
        find_limits: Callable[[], HeadLimits] | None = None,
        is_blocked: Callable[[], bool] = lambda: False,
    ) -> None:
        limits = HeadLimits(
            size=head_limit,
            lines=head_limit // SHORTEST_FIELD_BYTES,
            empty_lines=MAX_EMPTY_LINES,
        )
        self._find_limits = find_limits or (lambda: limits)
        self._is_blocked = is_blocked
        self._begin = begin
        self._body = body
        self._end = end
        self._refuse = refuse
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: HeaderList = []
        self._meter = HeadMeter()
        self._trailer_bytes = 0
        self._in_head = True
        self._has_begun = False
        self._first_bytes = 0
        self._failed = False
        self._unparsed = b""
        self._is_parsing = False
        self._body_parts: list[bytes] = []

    @property
    def is_in_head(self) -> bool:
        """Whether a head has begun and is incomplete."""
        return self._in_head and self._has_begun and not self._failed

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes stayed unparsed."""
        return bool(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that an incomplete head and unparsed bytes take."""
        return len(self._unparsed) + (self._meter.cost if self.is_in_head else 0)

    def feed(self, data: bytes) -> None:
        """Read bytes as they arrive."""
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.resume()

    def resume(self) -> None:
        """Parse the bytes that stayed unparsed."""
        if self._is_parsing:
            return
        self._is_parsing = True
        data, self._unparsed = self._unparsed, b""
        at = 0
        while at < len(data) and not self._failed and not self._is_blocked():
            self._parse(data[at : at + SLICE_BYTES])
            at += SLICE_BYTES
        try:
            self._pass_body()
        except Exception:
            logger.exception("requests: a part of a body could not be passed on")
            self._fail(codes.MALFORMED_REQUEST, "a part of the body could not be passed on")
        if not self._failed:
            self._unparsed = data[at:]
        self._is_parsing = False

    def discard(self) -> None:
        """Free what is held; nothing is parsed any more."""
        self._failed = True
        self._unparsed = b""
        self._headers = []
        self._body_parts = []
        # The parser refers to this object; memory would be freed only by a later collection.
        self._parser = None

    def _parse(self, data: bytes) -> None:
        """Parse some bytes, and check the limits on what was parsed of an incomplete head."""
        if self._in_head and not self._has_begun:
            if data.startswith((b"\r", b"\n")):
                data = self._skip_empty_lines(data)
            self._first_bytes = len(data)
        elif self._in_head:
            self._meter.arrived += len(data)
        else:
            self._meter.framing += len(data)
        if self._failed or self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(codes.UNSUPPORTED, "protocol upgrades are not offered")
        except httptools.HttpParserError as error:
            self._fail(codes.MALFORMED_REQUEST, str(error))
        self._first_bytes = 0
        if self._has_begun:
            self._check_limits()

    def _skip_empty_lines(self, data: bytes) -> bytes:
        request = data.lstrip(b"\r\n")
        self._meter.empty_lines += data.count(b"\n", 0, len(data) - len(request))
        self._check_limits()
        return request

    def _check_limits(self) -> None:
        problem = self._meter.find_problem(self._find_limits())
        if problem is not None:
            self._fail(codes.HEAD_TOO_LARGE, problem)

    def on_message_begin(self) -> None:
        """Library callback."""
        self._target = b""
        self._headers = []
        self._in_head = True
        self._has_begun = True
        # Where bytes of an earlier request came before, those of this one are not known.
        self._meter.begin(self._first_bytes)
        self._first_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Library callback."""
        self._target += part
        self._meter.target += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Library callback, for trailers too, which are not passed on."""
        if self._failed:
            return
        if self._in_head:
            self._meter.add_field(name, value)
            self._headers.append((name.lower(), value))
        else:
            self._count_trailer(name, value)

    def on_headers_complete(self) -> None:
        """Library callback."""
        self._in_head = False
        self._trailer_bytes = 0
        # Bytes of the body may have arrived with the last ones of the head.
        self._meter.arrived = 0
        if self._failed:
            return
        problem = self._find_problem()
        if problem is not None:
            self._fail(*problem)
            return
        self._begin(self._build_head())

    def on_body(self, part: bytes) -> None:
        """Library callback."""
        self._meter.framing = 0
        if not self._failed:
            # Passed on together, since each part of a body in small chunks would cost a write.
            self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Library callback."""
        self._pass_body()
        self._in_head = True
        self._has_begun = False
        self._meter.begin(0)
        if not self._failed:
            self._end()

    def _pass_body(self) -> None:
        if self._body_parts and not self._failed:
            parts, self._body_parts = self._body_parts, []
            self._body(parts[0] if len(parts) == 1 else b"".join(parts))

    def _count_trailer(self, name: bytes, value: bytes) -> None:
        self._trailer_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        limit = self._find_limits().size
        if self._trailer_bytes > limit:
            self._fail(codes.HEAD_TOO_LARGE, f"the trailers exceed {limit} bytes")

    def _find_problem(self) -> tuple[ResultCode, str] | None:
        assert self._parser is not None
        excess = self._meter.find_problem(self._find_limits())
        if excess is not None:
            return codes.HEAD_TOO_LARGE, excess
        if self._parser.should_upgrade():
            return codes.UNSUPPORTED, "protocol upgrades are not offered"
        names = [name for name, _ in self._headers]
        if names.count(b"host") > 1:
            return codes.MALFORMED_REQUEST, "Host stands twice"
        if b"host" not in names and self._parser.get_http_version() == "1.1":
            return codes.MALFORMED_REQUEST, "Host is missing"
        if names.count(b"idempotency-key") > 1:
            return codes.MALFORMED_REQUEST, "Idempotency-Key stands twice"
        encoding = find_header(self._headers, b"transfer-encoding")
        if encoding is not None and encoding.lower() != b"chunked":
            return codes.UNSUPPORTED, "the only transfer coding taken is chunked"
        if len(self._target) > 0 and not self._target.startswith(b"/"):
            return codes.MALFORMED_REQUEST, "the target must be a path"
        return None

    def _build_head(self) -> RequestHead:
        assert self._parser is not None
        chunked = find_header(self._headers, b"transfer-encoding") is not None
        expectation = find_header(self._headers, b"expect")
        return RequestHead(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            keep_alive=self._parser.should_keep_alive(),
            length=None if chunked else int(find_header(self._headers, b"content-length") or 0),
            expects_continue=expectation is not None and expectation.lower() == b"100-continue",
            cost=self._meter.cost,
        )

    def _fail(self, code: ResultCode, reason: str) -> None:
        if not self._failed:
            self._failed = True
            self._headers = []
            self._body_parts = []
            self._refuse(code, reason)
