"""Acceptance of competing records by their order on the log alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Chain", "Link"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Link:
    """A record written to follow another one.

    :param id: unique id that the writer chose
    :param previous: id of the record it follows, or ``None`` for none
    :param offset: its position in the log
    :param read_to: the writer had read every record below this offset
    :param oldest: oldest offset that the log retained as the writer saw it
    :param body: content of the record
    """

    id: str
    previous: str | None
    offset: int
    read_to: int
    oldest: int
    body: Any


@dataclass(kw_only=True, slots=True)
class Chain:
    """The accepted record of one resource, as every reader of the log sees it.

    The first record in log order that names the accepted one as its previous
    is accepted; all others are ignored. A reader that starts in the middle of
    the log cannot decide on the first records it reads. It keeps them until it
    reads a record whose writer had read at least to this reader's start: that
    writer knew what was accepted there, and this reader has all that came after.
    A record may be on the log more than once, if the answer to its append was
    lost; the presence of the record that another one names therefore proves nothing.

    :param start: first offset that this reader has read
    :param known: whether the accepted record is known
    :param current: the accepted record, if there is one
    :param undecided: records read while the accepted record is unknown, by id
    :param is_first_copy: whether ``current.offset`` is the offset at which it was accepted
    """

    start: int = 0
    known: bool = False
    current: Link | None = None
    undecided: dict[str, Link] = field(default_factory=dict)
    is_first_copy: bool = True

    def begin(self, *, start: int) -> None:
        """Start reading at ``start``; from offset 0 no record can have been missed."""
        self.start = start
        self.known = start == 0
        self.current = None
        self.undecided = {}

    def read(self, link: Link) -> bool:
        """Apply the next record in log order.

        :returns: whether it was accepted
        """
        if self.known:
            return self._apply(link)
        if link.read_to >= self.start and not self._may_miss_accepted(link):
            self._decide(link.previous, since=link.read_to)
        return self._apply(link)

    def confirm(self, link: Link) -> None:
        """Apply a confirmation that ``link`` was the accepted record as of its ``read_to``."""
        if self.known or link.read_to < self.start:
            return
        self._decide(link.id, since=link.read_to, accepted=link)

    def expire(self, *, oldest: int) -> None:
        """Remove undecided records that the log no longer retains."""
        if self.known or oldest <= self.start:
            return
        # Without them nothing before ``oldest`` can be decided, as after a restart.
        self.start = oldest
        expired = [key for key, link in self.undecided.items() if link.offset < oldest]
        for key in expired:
            del self.undecided[key]

    def _may_miss_accepted(self, link: Link) -> bool:
        # The writer names no previous record because it saw none, but a reader that
        # started earlier may know one and decide on the records since by it.
        if link.previous is not None:
            return False
        return any(other.offset >= link.read_to for other in self.undecided.values())

    def _decide(self, accepted_id: str | None, *, since: int, accepted: Link | None = None) -> None:
        undecided = sorted(self.undecided.values(), key=lambda link: link.offset)
        self.current = accepted or self._find_accepted(accepted_id)
        self.is_first_copy = False
        self.known = True
        self.undecided = {}
        for link in undecided:
            if link.offset >= since:
                self._apply(link)

    def _find_accepted(self, accepted_id: str | None) -> Link | None:
        if accepted_id is None:
            return None
        if accepted_id in self.undecided:
            return self.undecided[accepted_id]
        return Link(
            id=accepted_id,
            previous=None,
            offset=self.start - 1,
            read_to=0,
            oldest=0,
            body=None,
        )

    def _apply(self, link: Link) -> bool:
        if self.known and self._is_undecidable(link):
            # The accepted record is unknown from here on, as after a restart.
            self.begin(start=link.offset)
            self.known = False
        if not self.known:
            self.undecided.setdefault(link.id, link)
            return False
        if not self._follows(link):
            return False
        self.current = link
        self.is_first_copy = True
        return True

    def _follows(self, link: Link) -> bool:
        if self.current is None:
            return link.previous is None
        if link.previous == self.current.id:
            return True
        return link.previous is None and self.current.offset < link.oldest

    def _is_undecidable(self, link: Link) -> bool:
        # Whether the log still retained the accepted record for the writer cannot be
        # decided without the offset at which it was accepted.
        current = self.current
        if current is None or self.is_first_copy or link.previous is not None:
            return False
        return 0 < link.oldest <= current.offset
