"""Publishes a configuration and finds out whether it was accepted."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import httpx

from dotterelgate_border.checking import check_document
from dotterelgate_border.declarations import build_configuration
from dotterelgate_border.problems import InvalidDocumentError
from dotterelgate_border.records import (
    Confirmation,
    LogPage,
    Publication,
    record_adapter,
)
from dotterelgate_core.chain import Link
from dotterelgate_core.configuration import ConfigurationState

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.declarations import ConfigurationModel

__all__ = ["Published", "Publisher", "Verdict"]

PAGE_RECORDS = 500
RETRY_INTERVAL_SECONDS = 0.2
REQUEST_SECONDS = 2.0


class Verdict(Enum):
    """Outcome of a publication."""

    ACCEPTED = "accepted"
    LOST_RACE = "lost the race"
    NO_PARENT = "no parent"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, kw_only=True, slots=True)
class Published:
    """Result of a publication.

    :param revision: number of the new revision, or of the one that won
    :param reason: short sentence for the operator
    """

    verdict: Verdict
    id: str = ""
    revision: int = 0
    reason: str = ""


class Publisher:
    """Follows the log and appends publications.

    :param log: address of the platform's log service
    :param daemons: addresses of daemon endpoints, queried when the log alone
        does not show the configuration in force
    :param notify: called with progress lines
    """

    def __init__(self, *, log: str, daemons: list[str], notify: Callable[[str], None]) -> None:
        self._log = f"http://{log}"
        self._daemons = daemons
        self._notify = notify
        self._client = httpx.Client(timeout=REQUEST_SECONDS, trust_env=False)
        self._state = ConfigurationState()
        self._next: int | None = None
        self._oldest = 0
        self._accepted_ids: set[str] = set()

    def publish(
        self, model: ConfigurationModel, *, operator: str, wait: float, parent: str | None = None
    ) -> Published:
        """Publish a configuration to follow the one in force.

        :param wait: seconds to keep trying an unreachable log
        :param parent: id that must be in force, or ``None`` for any
        """
        deadline = time.monotonic() + wait
        if not self._retry(self._read_all, deadline):
            return Published(verdict=Verdict.UNSETTLED, reason="the log cannot be read")
        found = self._find_parent()
        if found is None:
            reason = "the configuration in force is not known; name a daemon with --daemon"
            return Published(verdict=Verdict.NO_PARENT, reason=reason)
        previous, revision = found
        if parent is not None and previous != parent:
            reason = f"{previous or 'nothing'} is in force, not {parent}"
            return Published(verdict=Verdict.LOST_RACE, revision=revision, reason=reason)
        record = Publication(
            id=uuid.uuid4().hex,
            previous=previous,
            revision=revision + 1,
            read_to=self._next or 0,
            oldest=self._oldest,
            operator=operator,
            configuration=model,
        )
        return self._append_and_settle(record, deadline)

    def _append_and_settle(self, record: Publication, deadline: float) -> Published:
        while True:
            self._append(record)
            # Reading shows whether an unanswered append took effect; one id never counts twice.
            if self._retry(self._read_all, deadline):
                published = self._find_verdict(record)
                if published is not None:
                    return published
            if time.monotonic() >= deadline:
                reason = "the log did not answer in time; publish again to settle it"
                return Published(verdict=Verdict.UNSETTLED, id=record.id, reason=reason)
            self._notify("the record is not on the log yet; appending it again")
            time.sleep(RETRY_INTERVAL_SECONDS)

    def _find_verdict(self, record: Publication) -> Published | None:
        current = self._state.chain.current
        if record.id in self._accepted_ids:
            return Published(verdict=Verdict.ACCEPTED, id=record.id, revision=record.revision)
        if current is not None and current.id not in (record.id, record.previous):
            winner: int = current.body.revision if current.body is not None else 0
            reason = f"revision {winner} was accepted first"
            return Published(verdict=Verdict.LOST_RACE, revision=winner, reason=reason)
        return None

    def _append(self, record: Publication) -> None:
        try:
            answer = self._client.post(f"{self._log}/records", json=record.model_dump())
            answer.raise_for_status()
        except httpx.HTTPError as error:
            self._notify(f"the log did not answer ({error}); reading it to find out")

    def _retry(self, attempt: Callable[[], None], deadline: float) -> bool:
        while True:
            try:
                attempt()
            except (httpx.HTTPError, InvalidDocumentError) as error:
                if time.monotonic() >= deadline:
                    return False
                self._notify(f"the log cannot be read ({error}); trying again")
                time.sleep(RETRY_INTERVAL_SECONDS)
                continue
            return True

    def _read_all(self) -> None:
        while True:
            answer = self._client.get(
                f"{self._log}/records",
                params={"from": self._next or 0, "limit": PAGE_RECORDS},
            )
            answer.raise_for_status()
            page = check_document(answer.json(), LogPage, source="log service")
            if self._next is None or page.oldest > self._next:
                self._state.chain.begin(start=page.oldest)
                self._accepted_ids = set()
            for entry in page.entries:
                self._apply_record(entry.offset, entry.record)
            self._next = page.next
            self._oldest = page.oldest
            if len(page.entries) < PAGE_RECORDS:
                return

    def _apply_record(self, offset: int, document: dict) -> None:
        try:
            record = record_adapter.validate_python(document)
        except ValueError:
            return
        if isinstance(record, Publication):
            self._state.read_publication(_build_link(offset, record, record.previous))
        elif isinstance(record, Confirmation):
            self._state.read_confirmation(_build_link(offset, record, None))
        if self._state.chain.current is not None:
            self._accepted_ids.add(self._state.chain.current.id)

    def _find_parent(self) -> tuple[str | None, int] | None:
        chain = self._state.chain
        if chain.known and chain.current is None:
            return None, 0
        if chain.known and chain.current is not None and chain.current.body is not None:
            return chain.current.id, chain.current.body.revision
        return self._query_daemons()

    def _query_daemons(self) -> tuple[str, int] | None:
        newest: tuple[str, int] | None = None
        for daemon in self._daemons:
            try:
                status = self._client.get(f"http://{daemon}/status").json()
            except (httpx.HTTPError, ValueError):
                self._notify(f"daemon {daemon} cannot be reached")
                continue
            if status["configuration"] and (newest is None or status["revision"] > newest[1]):
                newest = (status["configuration"], status["revision"])
        return newest


def _build_link(offset: int, record: Publication | Confirmation, previous: str | None) -> Link:
    return Link(
        id=record.id,
        previous=previous,
        offset=offset,
        read_to=record.read_to,
        oldest=getattr(record, "oldest", 0),
        body=build_configuration(record.configuration, id=record.id, revision=record.revision),
    )
