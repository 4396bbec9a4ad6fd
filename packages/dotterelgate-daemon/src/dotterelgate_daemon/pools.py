"""Pools of connections to backend servers, on which exchanges run."""

from __future__ import annotations

import errno
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal

if TYPE_CHECKING:
    from dotterelgate_daemon.exchanges import Exchange
    from dotterelgate_daemon.streams import Stream, StreamService

__all__ = ["Pool", "PoolTable"]

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
                # A slow caller may have paused it; the next exchange has to read.
                connection.stream.resume()
                connection.stream.settle()
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
