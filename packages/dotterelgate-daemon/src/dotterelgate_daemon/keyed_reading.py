"""Reads one topic of a keyed store: all keys first, then the records written after."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core.backoff import compute_backoff
from dotterelgate_core.codes import Refusal
from dotterelgate_core.eras import Position
from dotterelgate_core.registry import StoreEraNamed

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.eras import StoreEra
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.mesh import Mesh
    from dotterelgate_daemon.platform import PlatformAnswer, PlatformClient
    from dotterelgate_daemon.store import Listing, StoreCalls, StoreRecord, Tail, Topic

__all__ = ["Dependency", "KeyedReader", "ReadOutcome", "StoreAccess"]

logger = structlog.get_logger("store")

OLD_ERA = "the answer is older than a restore of the store"
FIRST_BACKOFF_SECONDS = 0.5
# A failing store is called no more often than this; failed calls load it as well.
LONGEST_BACKOFF_SECONDS = 2.0
# The largest topic has an entry for each backend server; 1,800 are planned for.
MAX_LISTED_KEYS = 50_000


@dataclass(frozen=True, kw_only=True)
class StoreAccess:
    """What a follower of a topic needs besides its own state.

    :param calls: encodes and decodes calls to the store
    :param client: sends the calls
    :param mesh: sends datagrams to the peers
    :param emit: runs a message through the control pipeline
    :param era: the store's era, which the control pipeline keeps
    """

    state: DaemonState
    calls: StoreCalls
    client: PlatformClient
    mesh: Mesh
    emit: Callable[[Message], None]
    era: StoreEra

    def read_era(self, answer: PlatformAnswer) -> int | None:
        """Read and note the era that an answer of the store names, a refusal or an error included.

        :returns: the era, or ``None`` if the store was restored since that answer
        """
        era = self.calls.read_era(answer.headers)
        self.emit(StoreEraNamed(now=time.monotonic(), era=era))
        return era if era == self.era.current else None


class Dependency:
    """Tracks whether a part of the platform answers, and logs changes."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._failures = 0
        self._since = 0.0

    def watch(self, outcome: ReadOutcome) -> ReadOutcome:
        """Note how a read of it ends before those learn it that wait for the read."""

        def end() -> None:
            self.note_answer()
            outcome.on_done()

        def fail(reason: str) -> None:
            self.note_failure(reason)
            outcome.on_failure(reason)

        return ReadOutcome(on_done=end, on_failure=fail)

    def note_answer(self) -> None:
        """Note that it answered."""
        if self._failures:
            outage = round(time.monotonic() - self._since, 3)
            logger.info(f"store: {self._name} is back", seconds=outage, failures=self._failures)
        self._failures = 0

    def note_failure(self, reason: str) -> float:
        """Note that it did not answer.

        :returns: seconds to wait before the next try
        """
        if not self._failures:
            self._since = time.monotonic()
            logger.warning(f"store: {self._name} is lost", reason=reason)
        self._failures += 1
        return compute_backoff(
            self._failures, first=FIRST_BACKOFF_SECONDS, longest=LONGEST_BACKOFF_SECONDS
        )


@dataclass(frozen=True, kw_only=True)
class ReadOutcome:
    """Who learns how one read ended.

    :param on_done: called when it succeeded
    :param on_failure: called with the reason when it failed
    """

    on_done: Callable[[], None]
    on_failure: Callable[[str], None]


@dataclass(kw_only=True)
class _KeyList:
    """What one listing has read; another may begin before it ends.

    :param end: position up to which it is complete
    """

    keys: set[str] = field(default_factory=set)
    end: Position = Position(era=0, offset=0)


class KeyedReader:
    """Reads one topic: all keys first, then the records written after.

    All keys are listed again once the store was restored: offsets of the era before may lie behind
    its end, or have been given to other records.

    :param on_records: called with records, in order
    :param on_listed: called with all keys and the end of the listing
    """

    def __init__(
        self,
        *,
        topic: Topic,
        access: StoreAccess,
        on_records: Callable[[list[StoreRecord]], None],
        on_listed: Callable[[frozenset[str], Position], None] = lambda keys, end: None,
    ) -> None:
        self.position: Position | None = None
        self._topic = topic
        self._access = access
        self._calls = access.calls
        self._client = access.client
        self._on_records = on_records
        self._on_listed = on_listed

    def read(self, outcome: ReadOutcome) -> None:
        """Read the new records; list all keys the first time."""
        outcome = _time_failure(outcome)
        start = self.position
        if start is None or start.era < self._access.era.current:
            self._list_all(outcome)
            return
        request = self._calls.read_tail(self._topic, start.offset)
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            on_answer=lambda answer: self._receive_tail(start, answer, outcome),
            on_failure=outcome.on_failure,
        )

    def _list_all(self, outcome: ReadOutcome) -> None:
        self.position = None
        self._list("", _KeyList(), outcome)

    def _list(self, after: str, listed: _KeyList, outcome: ReadOutcome) -> None:
        request = self._calls.list_newest(self._topic, after)
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            on_answer=lambda answer: self._receive_page(after, answer, listed, outcome),
            on_failure=outcome.on_failure,
        )

    def _receive_page(
        self, after: str, answer: PlatformAnswer, listed: _KeyList, outcome: ReadOutcome
    ) -> None:
        era = self._access.read_era(answer)
        page = self._calls.decode_listing(answer.status, answer.body)
        if era is None or isinstance(page, Refusal):
            outcome.on_failure(page.reason if isinstance(page, Refusal) else OLD_ERA)
            return
        if not after:
            listed.end = Position(era=era, offset=page.end)
        elif era != listed.end.era:
            self._list_all(outcome)
            return
        problem = _find_listing_problem(after, page, listed)
        if problem:
            outcome.on_failure(problem)
            return
        listed.keys.update(record.key for record in page.records)
        self._on_records(_assign_era(page.records, era))
        if not page.is_last and page.records:
            self._list(page.records[-1].key, listed, outcome)
            return
        # Later pages may hold newer records; the tail from the first page's end repeats them.
        self.position = max(self.position or listed.end, listed.end)
        self._on_listed(frozenset(listed.keys), listed.end)
        outcome.on_done()

    def _receive_tail(self, start: Position, answer: PlatformAnswer, outcome: ReadOutcome) -> None:
        era = self._access.read_era(answer)
        tail = self._calls.decode_tail(start.offset, answer.status, answer.body)
        if era is None or isinstance(tail, Refusal):
            outcome.on_failure(tail.reason if isinstance(tail, Refusal) else OLD_ERA)
            return
        if era != start.era:
            # The offset belongs to the era before; what was read from it may have a gap.
            self._list_all(outcome)
            return
        if tail.records_deleted:
            logger.info("store: records were deleted; listing all keys", topic=self._topic.value)
            self._list_all(outcome)
            return
        self._apply_tail(tail, era)
        outcome.on_done()

    def _apply_tail(self, tail: Tail, era: int) -> None:
        self._on_records(_assign_era(tail.records, era))
        end = Position(era=era, offset=tail.end)
        self.position = max(self.position or end, end)


def _find_listing_problem(after: str, page: Listing, listed: _KeyList) -> str:
    """Find why a listing that goes on after a page would have no end, empty for no reason."""
    if page.is_last or not page.records:
        return ""
    if page.records[-1].key <= after:
        return f"the listing does not go on after {after!r}"
    if len(listed.keys) + len(page.records) > MAX_LISTED_KEYS:
        return f"the listing has more than {MAX_LISTED_KEYS} keys"
    return ""


def _assign_era(records: list[StoreRecord], era: int) -> list[StoreRecord]:
    return [replace(record, era=era) for record in records]


def _time_failure(outcome: ReadOutcome) -> ReadOutcome:
    """Let the reason of a failure say how long the read had waited."""
    started_at = time.monotonic()

    def fail(reason: str) -> None:
        waited = time.monotonic() - started_at
        outcome.on_failure(f"{reason}, {waited:.1f} s after the read began")

    return ReadOutcome(on_done=outcome.on_done, on_failure=fail)
