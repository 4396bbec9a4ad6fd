"""Clients of the platform's log service and VM list."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from dotterelgate_border.checking import check_document
from dotterelgate_border.problems import InvalidDocumentError
from dotterelgate_border.records import LogEntry, LogPage, VmList

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.platform import PlatformClient

__all__ = ["LogClient", "VmListClient"]

PAGE_RECORDS = 500
TAIL_RECORDS = 1000


class LogClient:
    """Reads the log in order and appends to it.

    :param on_begin: called with the first offset, at the start and after a gap
    :param on_record: called with each offset and record
    :param on_read: called with the next offset and the oldest retained one, once all retained
        records below the next offset are read
    """

    def __init__(
        self,
        *,
        client: PlatformClient,
        on_begin: Callable[[int], None],
        on_record: Callable[[int, dict], None],
        on_read: Callable[[int, int], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self._client = client
        self._on_begin = on_begin
        self._on_record = on_record
        self._on_read = on_read
        self._on_failure = on_failure
        self._next: int | None = None
        self._is_reading = False
        self._tail: deque[LogEntry] = deque(maxlen=TAIL_RECORDS)
        self._oldest = 0

    @property
    def next(self) -> int | None:
        """First offset that is not read yet, ``None`` before the first read."""
        return self._next

    def poll(self) -> None:
        """Read the new records, unless a read is in progress."""
        if self._is_reading:
            return
        self._is_reading = True
        start = 0 if self._next is None else self._next
        self._client.request_document(
            method="GET",
            path=f"/records?from={start}&limit={PAGE_RECORDS}",
            document=None,
            on_answer=self._receive_page,
            on_failure=self._fail,
        )

    def append(self, record: dict, done: Callable[[bool], None]) -> None:
        """Append a record; ``done`` gets whether the log confirmed it."""
        self._client.request_document(
            method="POST",
            path="/records",
            document=record,
            on_answer=lambda _: done(True),
            on_failure=lambda _: done(False),
        )

    def _receive_page(self, document: object) -> None:
        self._is_reading = False
        try:
            page = check_document(document, LogPage, source="log service")
        except InvalidDocumentError as error:
            self._on_failure(str(error))
            return
        self._read_page(page)
        if len(page.entries) < PAGE_RECORDS:
            self._on_read(page.next, page.oldest)
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

    def receive_from_peer(self, page: LogPage) -> None:
        """Apply records that a peer read, if they follow those read here."""
        first = page.entries[0].offset if page.entries else page.next
        if self._next is not None and first != self._next:
            return
        self._read_page(page)
        self._on_read(page.next, max(page.oldest, self._oldest))

    def _read_page(self, page: LogPage) -> None:
        if self._next is None or page.oldest > self._next:
            self._on_begin(page.oldest)
            self._tail.clear()
        for entry in page.entries:
            self._on_record(entry.offset, entry.record)
            self._tail.append(entry)
        self._next = page.next
        self._oldest = page.oldest

    def _fail(self, reason: str) -> None:
        self._is_reading = False
        self._on_failure(reason)


class VmListClient:
    """Reads the platform's list of VMs."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        on_list: Callable[[VmList], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self._client = client
        self._on_list = on_list
        self._on_failure = on_failure
        self._is_reading = False

    def poll(self) -> None:
        """Read the list, unless a read is in progress."""
        if self._is_reading:
            return
        self._is_reading = True
        self._client.request_document(
            method="GET",
            path="/vms",
            document=None,
            on_answer=self._receive_list,
            on_failure=self._fail,
        )

    def _receive_list(self, document: object) -> None:
        self._is_reading = False
        try:
            vm_list = check_document(document, VmList, source="VM list")
        except InvalidDocumentError as error:
            self._on_failure(str(error))
            return
        self._on_list(vm_list)

    def _fail(self, reason: str) -> None:
        self._is_reading = False
        self._on_failure(reason)
