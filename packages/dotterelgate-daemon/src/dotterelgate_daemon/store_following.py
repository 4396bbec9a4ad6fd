"""Between the control pipeline and the keyed store: what is read and passed on."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.datagrams import (
    ConfigurationNews,
    Heartbeat,
    NewsAsked,
    RegistryEntry,
    RegistryNews,
)
from dotterelgate_core.codes import Refusal
from dotterelgate_core.reading import NewsHeard, RegistryReadEnded, RegistryReadFailed
from dotterelgate_core.registry import RegistrationRead, RegistryListed
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.registry import Registration, RegistryState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.mesh import Mesh
    from dotterelgate_daemon.platform import PlatformClient
    from dotterelgate_daemon.store import Listing, StoreCalls, Tail
    from dotterelgate_daemon.timers import TimerService

__all__ = ["ConfigurationFollower", "DaemonDirectory", "Dependency", "RegistryFollower"]

logger = structlog.get_logger("store")

# The store holds a read back until something is written, at most so long.
WAIT_SECONDS = 25.0
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 2.0
# News repeat what changed lately, so that a lost datagram is made good by the next.
REPEATED_SECONDS = 3.0
# Larger news would not fit in a datagram; peers read for themselves then.
NEWS_BYTES = 48_000
PART_BYTES = 32_000
ASK_SECONDS = 0.5
MILLISECONDS = 1000
OK_STATUS = 200


class Dependency:
    """Whether a part of the platform answers; tells the log when that changes."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._failures = 0
        self._since = 0.0

    def note_answer(self) -> None:
        """Note that it answered."""
        if self._failures:
            lost = round(time.monotonic() - self._since, 3)
            logger.info(f"store: {self._name} is back", seconds=lost, failures=self._failures)
        self._failures = 0

    def note_failure(self, reason: str) -> float:
        """Note that it did not answer.

        :returns: seconds after which to ask again
        """
        if not self._failures:
            self._since = time.monotonic()
            logger.warning(f"store: {self._name} is lost", reason=reason)
        self._failures += 1
        return min(FIRST_PAUSE_SECONDS * 2 ** (self._failures - 1), LONGEST_PAUSE_SECONDS)


class KeyedReader:
    """Reads one topic: all keys first, then what is written after.

    :param take: called with records, in order
    :param listed: called with the keys and the end after all keys were read
    :param done: called when a read is over
    :param failed: called with the reason when one failed
    """

    def __init__(
        self,
        *,
        topic: Topic,
        calls: StoreCalls,
        client: PlatformClient,
        take: Callable[[list[StoreRecord]], None],
        listed: Callable[[frozenset[str], int], None],
        done: Callable[[], None],
        failed: Callable[[str], None],
    ) -> None:
        self.position: int | None = None
        self._topic = topic
        self._calls = calls
        self._client = client
        self._take = take
        self._listed = listed
        self._done = done
        self._failed = failed
        self._keys: set[str] = set()
        self._first_end = 0

    def read(self, *, wait: float = 0.0) -> None:
        """Read what is new; at first, all that there is.

        :param wait: seconds that the store may hold the answer back
        """
        if self.position is None:
            self._keys = set()
            self._list("")
            return
        start = self.position
        request = self._calls.read_tail(self._topic, start, wait)
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            answered=lambda status, body: self._take_tail(start, status, body),
            failed=self._failed,
            patience=wait,
        )

    def _list(self, after: str) -> None:
        request = self._calls.list_newest(self._topic, after)
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            answered=lambda status, body: self._take_page(after, status, body),
            failed=self._failed,
        )

    def _take_page(self, after: str, status: int, body: bytes) -> None:
        page = self._calls.decode_listing(status, body)
        if isinstance(page, Refusal):
            self._failed(page.reason)
            return
        if not after:
            self._first_end = page.end
        self._take_records(page)
        if not page.is_last and page.records:
            self._list(page.records[-1].key)
            return
        # A later page may show newer records; the tail from the first page's end
        # repeats them.
        self.position = self._first_end
        self._listed(frozenset(self._keys), self._first_end)
        self._done()

    def _take_records(self, page: Listing) -> None:
        self._keys.update(record.key for record in page.records)
        self._take(page.records)

    def _take_tail(self, start: int, status: int, body: bytes) -> None:
        tail = self._calls.decode_tail(start, status, body)
        if isinstance(tail, Refusal):
            self._failed(tail.reason)
            return
        if tail.is_gone:
            logger.info("store: records were deleted; listing all keys", topic=self._topic.value)
            self.position = None
            self.read()
            return
        self._move(tail)
        self._done()

    def _move(self, tail: Tail) -> None:
        self._take(tail.records)
        self.position = max(self.position or 0, tail.end)


class ConfigurationFollower:
    """Keeps the configuration in force, from the store and from peers."""

    def __init__(
        self,
        *,
        state: DaemonState,
        calls: StoreCalls,
        client: PlatformClient,
        timers: TimerService,
        mesh: Mesh,
        tell: Callable[[Message], None],
    ) -> None:
        self._state = state
        self._calls = calls
        self._timers = timers
        self._mesh = mesh
        self._tell = tell
        self._document = b""
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self._asked_at = float("-inf")
        self._dependency = Dependency(name="the configuration's topic")
        self._reader = KeyedReader(
            topic=Topic.CONFIGURATION,
            calls=calls,
            client=client,
            take=self._take_records,
            listed=lambda keys, end: None,
            done=self._go_on,
            failed=self._pause,
        )

    def start(self) -> None:
        """Read the configuration, and follow it from then on."""
        self._reader.read(wait=WAIT_SECONDS)

    def hear(self, message: Datagram) -> None:
        """Take a peer's message."""
        if isinstance(message, Heartbeat):
            self._compare(message)
        elif isinstance(message, NewsAsked):
            self._answer(message)
        elif isinstance(message, ConfigurationNews):
            self._take_part(message)

    def _go_on(self) -> None:
        self._dependency.note_answer()
        self._reader.read(wait=WAIT_SECONDS)

    def _pause(self, reason: str) -> None:
        pause = self._dependency.note_failure(reason)
        self._timers.call_after(delay=pause, call=self.start)

    def _take_records(self, records: list[StoreRecord]) -> None:
        for record in records:
            if record.key == self._calls.configuration_key and record.value is not None:
                self._take_document(record.value, "the store")

    def _take_document(self, document: bytes, source: str) -> None:
        configuration = self._calls.decode_configuration(document)
        if isinstance(configuration, Refusal):
            logger.warning(
                "store: a configuration cannot be read; the one in force stays",
                reason=configuration.reason,
                source=source,
            )
            return
        current = self._state.configuration.current
        if current is None or configuration.revision > current.revision:
            self._document = document
        now = time.monotonic()
        self._tell(ConfigurationStored(now=now, configuration=configuration, source=source))

    def _compare(self, heartbeat: Heartbeat) -> None:
        current = self._state.configuration.current
        own = current.revision if current is not None else 0
        now = time.monotonic()
        if heartbeat.revision <= own or now - self._asked_at < ASK_SECONDS:
            return
        self._asked_at = now
        question = NewsAsked(sender=self._state.name, address=self._mesh.address)
        self._mesh.send_message(heartbeat.address, question)

    def _answer(self, question: NewsAsked) -> None:
        current = self._state.configuration.current
        if current is None or not self._document:
            return
        body = zlib.compress(self._document)
        parts = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
        for number, part in enumerate(parts):
            news = ConfigurationNews(
                sender=self._state.name,
                revision=current.revision,
                part=number,
                parts=len(parts),
                body=part,
            )
            self._mesh.send_message(question.address, news)

    def _take_part(self, news: ConfigurationNews) -> None:
        key = (news.sender, news.revision)
        parts = self._parts.setdefault(key, {})
        parts[news.part] = news.body
        if len(parts) < news.parts:
            return
        self._parts.clear()
        try:
            document = zlib.decompress(b"".join(parts[number] for number in range(news.parts)))
        except (zlib.error, KeyError) as error:
            logger.warning("store: a peer's configuration is broken", reason=repr(error))
            return
        self._take_document(document, news.sender)


class RegistryFollower:
    """Keeps the entries of backend servers, from the store and from peers."""

    def __init__(
        self,
        *,
        state: DaemonState,
        registry: RegistryState,
        calls: StoreCalls,
        client: PlatformClient,
        mesh: Mesh,
        tell: Callable[[Message], None],
    ) -> None:
        self._state = state
        self._registry = registry
        self._calls = calls
        self._mesh = mesh
        self._tell = tell
        self._known: dict[str, Registration | None] = {}
        self._recent: list[tuple[float, RegistryEntry]] = []
        self._positions: list[tuple[float, int]] = []
        self._dependency = Dependency(name="the registry's topic")
        self._reader = KeyedReader(
            topic=Topic.REGISTRY,
            calls=calls,
            client=client,
            take=lambda records: self._take_records(records, "the store"),
            listed=self._note_listing,
            done=self._end_read,
            failed=self._fail,
        )

    def read(self) -> None:
        """Read what is new."""
        self._reader.read()

    def hear(self, message: Datagram) -> None:
        """Take a peer's message."""
        if isinstance(message, RegistryNews):
            self._take_news(message)

    def _note_listing(self, keys: frozenset[str], end: int) -> None:
        self._tell(RegistryListed(now=time.monotonic(), names=keys, end=end))

    def _end_read(self) -> None:
        self._dependency.note_answer()
        now = time.monotonic()
        self._tell(RegistryReadEnded(now=now))
        self._tell_peers(now)

    def _fail(self, reason: str) -> None:
        self._dependency.note_failure(reason)
        self._tell(RegistryReadFailed(now=time.monotonic(), reason=reason))

    def _take_records(self, records: list[StoreRecord], source: str) -> None:
        now = time.monotonic()
        for record in records:
            registration, reason = self._decode(record)
            if self._is_change(record.key, registration):
                entry = RegistryEntry(name=record.key, offset=record.offset, value=record.value)
                self._recent.append((now, entry))
            read = RegistrationRead(
                now=now,
                name=record.key,
                offset=record.offset,
                registration=registration,
                reason=reason,
                source=source,
            )
            self._tell(read)

    def _decode(self, record: StoreRecord) -> tuple[Registration | None, str]:
        if record.value is None:
            return None, "its entry was removed"
        decoded = self._calls.decode_registration(record.value)
        if isinstance(decoded, Refusal):
            if self._known.get(record.key) is not None or record.key not in self._known:
                logger.warning(
                    "store: an entry names no backend server to use",
                    entry=record.key,
                    offset=record.offset,
                    reason=decoded.reason,
                )
            return None, decoded.reason
        return decoded, ""

    def _is_change(self, name: str, registration: Registration | None) -> bool:
        before = self._known.get(name)
        self._known[name] = registration
        if registration is None or before is None:
            return True
        return (
            before.is_draining != registration.is_draining
            or before.born != registration.born
            or before.address != registration.address
            or before.service != registration.service
        )

    def _tell_peers(self, now: float) -> None:
        position = self._reader.position
        if position is None:
            return
        self._recent = [each for each in self._recent if now - each[0] < REPEATED_SECONDS]
        self._positions = [each for each in self._positions if now - each[0] < REPEATED_SECONDS]
        start = self._positions[0][1] if self._positions else position
        self._positions.append((now, position))
        entries = [entry for _, entry in self._recent]
        if sum(len(each.value or b"") + len(each.name) + 16 for each in entries) > NEWS_BYTES:
            start, entries = position, []
        returned = now - self._registry.returned_at
        news = RegistryNews(
            sender=self._state.name,
            start=start,
            end=position,
            returned_ms=int(returned * MILLISECONDS) if returned < REPEATED_SECONDS else -1,
            entries=entries,
        )
        for address in self._mesh.list_near():
            self._mesh.send_message(address, news)

    def _take_news(self, news: RegistryNews) -> None:
        records = [
            StoreRecord(key=each.name, offset=each.offset, value=each.value)
            for each in news.entries
        ]
        now = time.monotonic()
        if news.returned_ms >= 0:
            returned_at = now - news.returned_ms / MILLISECONDS
        else:
            returned_at = float("-inf")
        position = self._reader.position
        if position is not None and position >= news.start:
            self._tell(NewsHeard(now=now, returned_at=returned_at))
            self._reader.position = max(position, news.end)
        self._take_records(records, news.sender)


class DaemonDirectory:
    """Finds the other daemons by entries that each writes at its start.

    :param own: this daemon's name, and where it takes datagrams
    """

    def __init__(
        self,
        *,
        own: tuple[str, str],
        calls: StoreCalls,
        client: PlatformClient,
        timers: TimerService,
        mesh: Mesh,
    ) -> None:
        self._own = own
        self._calls = calls
        self._client = client
        self._timers = timers
        self._mesh = mesh
        self._dependency = Dependency(name="the daemons' topic")
        self._reader = KeyedReader(
            topic=Topic.DAEMONS,
            calls=calls,
            client=client,
            take=self._greet,
            listed=lambda keys, end: None,
            done=self._dependency.note_answer,
            failed=lambda reason: self._try_again(reason, self._reader.read),
        )

    def start(self) -> None:
        """Write this daemon's entry, then greet all others."""
        name, address = self._own
        request = self._calls.append(Topic.DAEMONS, name, address.encode("ascii"))
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            answered=self._take_answer,
            failed=lambda reason: self._try_again(reason, self.start),
        )

    def _take_answer(self, status: int, _body: bytes) -> None:
        if status != OK_STATUS:
            self._try_again(f"the entry was answered with status {status}", self.start)
            return
        self._dependency.note_answer()
        self._reader.read()

    def _try_again(self, reason: str, call: Callable[[], None]) -> None:
        self._timers.call_after(delay=self._dependency.note_failure(reason), call=call)

    def _greet(self, records: list[StoreRecord]) -> None:
        for record in records:
            if record.key != self._own[0] and record.value is not None:
                self._mesh.greet(record.value.decode("ascii", "replace"))
