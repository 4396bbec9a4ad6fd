"""HTTP exchanges and the connection pools that they run on."""

from __future__ import annotations

import errno
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.codec import LAST_CHUNK, AnswerReader, encode_chunk

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.codec import AnswerHead, HeaderList
    from dotterelgate_daemon.streams import Stream, StreamService

__all__ = ["Exchange", "ExchangeEnd", "Pool", "PoolTable"]

logger = structlog.get_logger("pools")

REUSE_FOR_WRITES_SECONDS = 0.5
# A connection is not reused within this time before the server's announced idle close;
# the request could cross the close in transit.
CLOSE_MARGIN_SECONDS = 1.0
# After a dropped idle connection was found, others are reused while they have been idle for
# at most half as long as it was; the limit is at least this.
MIN_REUSE_SECONDS = 0.1
# A dropped connection is reset immediately; a later loss has another cause.
RESET_SECONDS = 0.05
# Backend servers that drop idle connections early do so for some seconds (6 to 7 s in the
# platform's site files).
REDUCED_REUSE_SECONDS = 10.0
# A connection that answered more requests with failures is closed, so that the ids it
# remembers stay few.
MAX_FAILED_REQUESTS = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEnd:
    """How an exchange ended without a complete answer.

    :param sent: whether the server may have read the complete request head
    :param refused: whether nothing listens at the server's address
    """

    sent: bool
    refusal: Refusal
    refused: bool = False


class Exchange:
    """One request and its answer on one connection.

    The connection is closed unless the answer arrived complete and in turn.

    :param head: encoded request head
    :param chunked: whether the body is sent in chunks
    :param begin: called with the head of the answer
    :param part: called with each part of its body
    :param completed: called once when the answer is complete
    :param failed: called once when the answer cannot be completed
    :param drained: called when more of the request's body can be sent
    :param matches_request: returns whether headers belong to the answer to this request
    :param allows_close_delimited: whether the end of the connection may end the answer's body
    :param request_id: id that the answer repeats, empty where answers name no request
    """

    def __init__(
        self,
        *,
        method: str,
        head: bytes,
        body: bytes,
        body_ended: bool,
        chunked: bool,
        begin: Callable[[AnswerHead], None],
        part: Callable[[bytes], None],
        completed: Callable[[], None],
        failed: Callable[[ExchangeEnd], None],
        drained: Callable[[], None] | None = None,
        matches_request: Callable[[HeaderList], bool] = lambda headers: True,
        allows_close_delimited: bool = False,
        request_id: str = "",
    ) -> None:
        self._head = head
        self._initial_body = bytearray(body)
        self._drained = drained
        self._body_ended = body_ended
        self._chunked = chunked
        self._part = part
        self._completed = completed
        self._failed = failed
        self._reader = AnswerReader(
            method=method,
            begin=begin,
            body=self._pass_on,
            end=self._finish,
            matches_request=matches_request,
            allows_close_delimited=allows_close_delimited,
        )
        self.request_id = request_id
        self.idle_seconds: float | None = None
        self.is_failure = False
        self.has_answered = False
        self.started_at = 0.0
        self._is_ended = False
        self._is_complete = False
        self._sent_before = 0
        self.stream: Stream | None = None
        self.release: Callable[[bool], None] = lambda reuse: None

    def start(self, stream: Stream) -> None:
        """Send the request on an established stream."""
        self.stream = stream
        self.started_at = time.monotonic()
        self._sent_before = stream.sent_bytes
        body = bytes(self._initial_body)
        data = self._head
        if body:
            data += encode_chunk(body) if self._chunked else body
        if self._body_ended and self._chunked:
            data += LAST_CHUNK
        stream.drained = self._drained
        stream.write(data)
        if self._drained is not None and not stream.is_full:
            self._drained()

    def send_part(self, part: bytes) -> None:
        """Send a further part of the request's body."""
        if self._is_ended:
            return
        if self.stream is None:
            self._initial_body += part
        else:
            self.stream.write(encode_chunk(part) if self._chunked else part)

    def is_body_full(self, limit: int) -> bool:
        """Return whether further parts of the request's body should wait.

        :param limit: bytes that are buffered until the connection is established
        """
        if self.stream is None:
            return len(self._initial_body) > limit
        return self.stream.is_full

    def end_body(self) -> None:
        """Note that the request's body is complete."""
        self._body_ended = True
        if self.stream is not None and self._chunked and not self._is_ended:
            self.stream.write(LAST_CHUNK)

    def receive(self, data: bytes) -> None:
        """Read bytes of the answer."""
        if self._is_ended:
            return
        self.has_answered = True
        self._reader.feed(data)
        if self._is_ended:
            return
        if self._is_complete:
            self._complete()
        elif self._reader.problem is not None:
            refusal = Refusal(codes.ANSWER_INVALID, f"invalid answer: {self._reader.problem}")
            self.fail(refusal)

    def note_disconnect(
        self, refusal: Refusal, *, received_eof: bool, refused: bool = False
    ) -> None:
        """Note that the connection ended.

        :param received_eof: whether the server closed it; otherwise it was reset or lost
        :param refused: whether it was never established, since nothing listens
        """
        if self._is_ended:
            return
        if received_eof and self._reader.note_eof():
            self._complete()
        else:
            self.fail(refusal, refused=refused)

    def fail(self, refusal: Refusal, *, refused: bool = False) -> None:
        """End the exchange without a complete answer and close its connection."""
        if self._is_ended:
            return
        sent = self._may_have_been_read()
        self._is_ended = True
        self.release(False)
        self._failed(ExchangeEnd(sent=sent, refusal=refusal, refused=refused))

    def abandon(self) -> None:
        """Cancel the request by closing the connection, without calling ``failed``."""
        if not self._is_ended:
            self._is_ended = True
            self.release(False)

    def _may_have_been_read(self) -> bool:
        if self.stream is None:
            return False
        return self.stream.sent_bytes - self._sent_before >= len(self._head)

    def _pass_on(self, part: bytes) -> None:
        # A part may end the exchange; the same bytes may hold more of them.
        if not self._is_ended:
            self._part(part)

    def _finish(self) -> None:
        self._is_complete = True

    def _complete(self) -> None:
        self._is_ended = True
        self.release(self._reader.may_reuse and self._body_ended)
        self._completed()


@dataclass(kw_only=True, slots=True)
class _Connection:
    stream: Stream | None = None
    exchange: Exchange | None = None
    idle_since: float = 0.0
    idle_seconds: float | None = None
    idle_before_use: float | None = None
    failed_requests: set[str] = field(default_factory=set)

    def note_failure(self, request_id: str) -> bool:
        """Note that a request was answered with a refusal or a failure.

        A broken server may write that answer once more when the next one is due. Where the
        answer names its request, only a further attempt of that request could take it.

        :returns: whether other requests may use the connection
        """
        self.failed_requests.add(request_id)
        return bool(request_id) and len(self.failed_requests) <= MAX_FAILED_REQUESTS


@dataclass(kw_only=True, slots=True)
class IdleReuseLimit:
    """Limit on the idle time of reused connections, shared by all pools.

    Backend servers may drop idle connections without notice; a request sent on one
    is reset, and whether it ran is then unknown.

    :param seconds: the limit, infinite until a dropped connection was found
    :param until: monotonic second until which the limit applies
    """

    seconds: float = float("inf")
    until: float = float("-inf")

    def note_dropped(self, idle: float, now: float) -> bool:
        """Lower the limit after a connection was dropped when idle for ``idle`` seconds.

        :returns: whether the limit is lower than before
        """
        before = self.find_limit(now)
        self.seconds = min(before, max(MIN_REUSE_SECONDS, idle / 2))
        self.until = now + REDUCED_REUSE_SECONDS
        return self.seconds < before

    def find_limit(self, now: float) -> float:
        """Return the seconds after which an idle connection is not reused."""
        return self.seconds if now < self.until else float("inf")


@dataclass(kw_only=True)
class Pool:
    """Connections to one address.

    :param limit: largest number of open connections
    :param reuse_limit: how long connections may be idle before they are reused
    """

    address: str
    streams: StreamService
    limit: int
    reuse_limit: IdleReuseLimit = field(default_factory=IdleReuseLimit)
    idle: list[_Connection] = field(default_factory=list)
    open_count: int = 0

    def run(self, exchange: Exchange, *, fresh: bool) -> None:
        """Run an exchange on an idle connection or a new one.

        :param fresh: whether to avoid connections that have been idle for long,
            since the server may close them at the moment of sending
        """
        connection = self._pop_idle(exchange.request_id, fresh=fresh)
        if connection is not None:
            self._attach(connection, exchange)
            assert connection.stream is not None
            exchange.start(connection.stream)
            return
        self._open(exchange)

    def close_idle(self, *, older_than: float) -> None:
        """Close connections idle since before a monotonic second."""
        keep = []
        for connection in self.idle:
            if connection.idle_since >= older_than:
                keep.append(connection)
            else:
                self._discard(connection)
        self.idle = keep

    def _pop_idle(self, request_id: str, *, fresh: bool) -> _Connection | None:
        now = time.monotonic()
        passed_over = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            idle = now - connection.idle_since
            limit = self._find_idle_limit(connection, fresh=fresh)
            if idle > min(limit, self.reuse_limit.find_limit(now)):
                self._discard(connection)
            elif request_id in connection.failed_requests:
                passed_over.append(connection)
            else:
                connection.idle_before_use = idle
                found = connection
        self.idle.extend(reversed(passed_over))
        return found

    @staticmethod
    def _find_idle_limit(connection: _Connection, *, fresh: bool) -> float:
        if connection.idle_seconds is not None:
            return connection.idle_seconds - CLOSE_MARGIN_SECONDS
        return REUSE_FOR_WRITES_SECONDS if fresh else float("inf")

    def _open(self, exchange: Exchange) -> None:
        if self.open_count >= self.limit:
            reason = f"all {self.limit} connections allowed to {self.address} are in use"
            exchange.fail(Refusal(codes.CONNECT_FAILED, reason))
            return
        connection = _Connection()
        self._attach(connection, exchange)

        def ready() -> None:
            if connection.exchange is not None and connection.stream is not None:
                connection.exchange.start(connection.stream)

        self.open_count += 1
        opened = self.streams.open(
            address=self.address,
            ready=ready,
            receive=lambda data: self._receive(connection, data),
            lost=lambda: self._note_disconnect(connection),
        )
        if isinstance(opened, int):
            self.open_count -= 1
            refusal = Refusal(codes.CONNECT_FAILED, f"{self.address} refused")
            exchange.fail(refusal, refused=opened == errno.ECONNREFUSED)
            return
        connection.stream = opened

    def _attach(self, connection: _Connection, exchange: Exchange) -> None:
        connection.exchange = exchange

        def release(reuse: bool) -> None:
            connection.exchange = None
            if reuse and exchange.is_failure:
                reuse = connection.note_failure(exchange.request_id)
            if reuse and connection.stream is not None and connection.stream.is_open:
                connection.stream.drained = None
                connection.idle_seconds = exchange.idle_seconds
                connection.idle_since = time.monotonic()
                self.idle.append(connection)
            else:
                self._discard(connection)

        exchange.release = release

    def _discard(self, connection: _Connection) -> None:
        if connection.stream is not None and connection.stream.is_open:
            connection.stream.close()
            self.open_count -= 1

    def _receive(self, connection: _Connection, data: bytes) -> None:
        if connection.exchange is not None:
            connection.exchange.receive(data)
            return
        # No request is in progress, so these bytes answer none.
        if connection in self.idle:
            self.idle.remove(connection)
        self._discard(connection)

    def _note_disconnect(self, connection: _Connection) -> None:
        self.open_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.exchange is None:
            return
        exchange, connection.exchange = connection.exchange, None
        self._lower_reuse_limit(connection, exchange)
        stream = connection.stream
        received_eof = stream is not None and stream.received_eof
        cause = "closed" if received_eof else "reset or lost"
        refusal = Refusal(codes.ANSWER_LOST, f"{self.address} {cause} the connection")
        exchange.note_disconnect(
            refusal,
            received_eof=received_eof,
            refused=stream is not None and stream.was_refused,
        )

    def _lower_reuse_limit(self, connection: _Connection, exchange: Exchange) -> None:
        idle = connection.idle_before_use
        now = time.monotonic()
        if idle is None or exchange.has_answered or now - exchange.started_at > RESET_SECONDS:
            return
        if self.reuse_limit.note_dropped(idle, now):
            logger.info(
                "pools: an idle connection had been dropped; others are reused for less time",
                address=self.address,
                idle_seconds=round(idle, 3),
                trusted_seconds=round(self.reuse_limit.seconds, 3),
            )


class PoolTable:
    """Pools by address."""

    def __init__(self, *, streams: StreamService) -> None:
        self._streams = streams
        self._reuse_limit = IdleReuseLimit()
        self._pools: dict[tuple[str, str], Pool] = {}

    def find(self, address: str, *, limit: int, purpose: str = "") -> Pool:
        """Return the pool of an address, created on first use.

        :param purpose: keeps exchanges apart that may not share connections
        """
        pool = self._pools.get((address, purpose))
        if pool is None:
            pool = Pool(
                address=address, streams=self._streams, limit=limit, reuse_limit=self._reuse_limit
            )
            self._pools[address, purpose] = pool
        pool.limit = limit
        return pool

    def close_idle(self, *, older_than: float) -> None:
        """Close connections idle since before a monotonic second."""
        for pool in self._pools.values():
            pool.close_idle(older_than=older_than)
