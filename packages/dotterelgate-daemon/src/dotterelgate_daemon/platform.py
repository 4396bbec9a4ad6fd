"""The platform's log service and VM list, spoken to over HTTP."""

from __future__ import annotations

import json
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from dotterelgate_border.checking import InvalidDocumentError, check_document
from dotterelgate_border.records import LogEntry, LogPage, VmList
from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.codec import encode_request_head
from dotterelgate_daemon.exchanges import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.exchanges import Pool, PoolTable
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.timers import TimerService

__all__ = ["LogClient", "PlatformClient", "VmListClient"]

CONNECTIONS = 4
PAGE_RECORDS = 500
TAIL_RECORDS = 1000


class PlatformClient:
    """Asks one service of the platform for JSON documents.

    :param timeout: seconds until an answer is given up
    :param channel: label of the bytes in the metrics
    """

    def __init__(
        self,
        *,
        address: str,
        pools: PoolTable,
        timers: TimerService,
        metrics: Metrics,
        timeout: float,
        channel: str,
    ) -> None:
        self._address = address
        self._pool: Pool = pools.find(address, limit=CONNECTIONS)
        self._timers = timers
        self._metrics = metrics
        self._timeout = timeout
        self._channel = channel

    def ask(
        self,
        *,
        method: str,
        path: str,
        document: object | None,
        answered: Callable[[object], None],
        failed: Callable[[str], None],
    ) -> None:
        """Ask, and call one of the two functions later.

        :param answered: gets the decoded document
        :param failed: gets the reason; whether a request took effect is not known then
        """
        body = b"" if document is None else json.dumps(document).encode("utf-8")

        def take(status: int, received: bytes) -> None:
            if status != HTTPStatus.OK:
                failed(f"{self._address} answered with status {status}")
                return
            try:
                decoded = json.loads(received)
            except ValueError:
                failed(f"{self._address} answered with invalid JSON")
                return
            answered(decoded)

        self.fetch(method=method, path=path, body=body, answered=take, failed=failed)

    def fetch(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        answered: Callable[[int, bytes], None],
        failed: Callable[[str], None],
        patience: float = 0.0,
    ) -> None:
        """Ask for bytes, and call one of the two functions later.

        :param answered: gets the status and the body
        :param failed: gets the reason; whether a request took effect is not known then
        :param patience: seconds that the answer may take beyond the usual limit
        """
        headers = [
            (b"host", self._address.encode("ascii")),
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"application/json"),
        ]
        received = bytearray()
        statuses: list[int] = []
        exchange = Exchange(
            method=method,
            head=encode_request_head(method, path, headers),
            body=body,
            body_ended=True,
            chunked=False,
            begin=lambda head: statuses.append(head.status),
            part=received.extend,
            whole=lambda: answered(statuses[-1], bytes(received)),
            failed=lambda end: failed(end.refusal.reason),
        )
        self._metrics.control_bytes.labels(channel=self._channel).inc(len(body) + len(path) + 100)
        self._pool.run(exchange, fresh=method != "GET")
        slow = Refusal(codes.DEADLINE_EXCEEDED, f"{self._address} did not answer in time")
        self._timers.call_after(delay=self._timeout + patience, call=lambda: exchange.fail(slow))


class LogClient:
    """Reads the log in order and appends to it.

    :param begin: called with the first offset, at the start and after a gap
    :param take: called with each offset and record
    :param read: called when all retained records below an offset are read
    """

    def __init__(
        self,
        *,
        client: PlatformClient,
        begin: Callable[[int], None],
        take: Callable[[int, dict], None],
        read: Callable[[int, int], None],
        lost: Callable[[str], None],
    ) -> None:
        self._client = client
        self._begin = begin
        self._take = take
        self._read = read
        self._lost = lost
        self._next: int | None = None
        self._is_reading = False
        self._tail: deque[LogEntry] = deque(maxlen=TAIL_RECORDS)
        self._oldest = 0

    @property
    def next(self) -> int | None:
        """First offset that is not read yet, ``None`` before the first read."""
        return self._next

    def poll(self) -> None:
        """Read what is new, unless a read is on its way."""
        if self._is_reading:
            return
        self._is_reading = True
        start = 0 if self._next is None else self._next
        self._client.ask(
            method="GET",
            path=f"/records?from={start}&limit={PAGE_RECORDS}",
            document=None,
            answered=self._take_page,
            failed=self._fail,
        )

    def append(self, record: dict, done: Callable[[bool], None]) -> None:
        """Append a record; ``done`` gets whether the log said that it did."""
        self._client.ask(
            method="POST",
            path="/records",
            document=record,
            answered=lambda _: done(True),
            failed=lambda _: done(False),
        )

    def _take_page(self, document: object) -> None:
        self._is_reading = False
        try:
            page = check_document(document, LogPage, source="log service")
        except InvalidDocumentError as error:
            self._lost(str(error))
            return
        self._read_page(page)
        if len(page.entries) < PAGE_RECORDS:
            self._read(page.next, page.oldest)
        else:
            self.poll()

    def build_page(self, start: int | None) -> LogPage | None:
        """Build a page of the last records read, for a peer.

        :returns: ``None`` when they do not reach back to ``start``
        """
        if self._next is None:
            return None
        first = self._tail[0].offset if self._tail else self._next
        if start is not None and start < first:
            return None
        entries = [entry for entry in self._tail if start is None or entry.offset >= start]
        return LogPage(entries=entries, next=self._next, oldest=min(first, self._next))

    def take_from_peer(self, page: LogPage) -> None:
        """Take records that a peer read, if they follow those read here."""
        first = page.entries[0].offset if page.entries else page.next
        if self._next is not None and first != self._next:
            return
        self._read_page(page)
        self._read(page.next, max(page.oldest, self._oldest))

    def _read_page(self, page: LogPage) -> None:
        if self._next is None or page.oldest > self._next:
            self._begin(page.oldest)
            self._tail.clear()
        for entry in page.entries:
            self._take(entry.offset, entry.record)
            self._tail.append(entry)
        self._next = page.next
        self._oldest = page.oldest

    def _fail(self, reason: str) -> None:
        self._is_reading = False
        self._lost(reason)


class VmListClient:
    """Reads the platform's list of VMs."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        take: Callable[[VmList], None],
        lost: Callable[[str], None],
    ) -> None:
        self._client = client
        self._take = take
        self._lost = lost
        self._is_reading = False

    def poll(self) -> None:
        """Read the list, unless a read is on its way."""
        if self._is_reading:
            return
        self._is_reading = True
        self._client.ask(
            method="GET",
            path="/vms",
            document=None,
            answered=self._take_list,
            failed=self._fail,
        )

    def _take_list(self, document: object) -> None:
        self._is_reading = False
        try:
            listed = check_document(document, VmList, source="VM list")
        except InvalidDocumentError as error:
            self._lost(str(error))
            return
        self._take(listed)

    def _fail(self, reason: str) -> None:
        self._is_reading = False
        self._lost(reason)
