"""Attempts of a call at backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.learning import FIRST_FAILURE_STATUS
from dotterelgate_core.statuses import promises_not_run
from dotterelgate_daemon.codec import select_end_to_end
from dotterelgate_daemon.replies import AnswerStart, StoredAnswer

if TYPE_CHECKING:
    from dotterelgate_daemon.codec import AnswerHead
    from dotterelgate_daemon.dialect import AnswerTerms
    from dotterelgate_daemon.exchanges import Exchange

__all__ = ["ServerAttempt"]


@dataclass(kw_only=True, eq=False)
class ServerAttempt:
    """One attempt of a call: its exchange with a backend server, and the answer as it arrives.

    :param server: name of the backend server
    :param is_idempotent: whether the request may run more than once
    :param terms: what the answer's own headers state
    :param start: head of the answer
    :param body: what has arrived of an answer that is not relayed yet
    """

    server: str
    is_idempotent: bool = False
    exchange: Exchange | None = None
    terms: AnswerTerms | None = None
    start: AnswerStart | None = None
    body: bytearray = field(default_factory=bytearray)

    @property
    def status(self) -> int:
        """Status of the answer, 0 before it began."""
        return self.start.status if self.start is not None else 0

    @property
    def is_rejection(self) -> bool:
        """Whether the backend server answered that it did not run the request."""
        return self.terms is not None and self.terms.not_run

    @property
    def may_be_replaced(self) -> bool:
        """Whether the pipeline may have to replace the answer by another one."""
        return self.is_rejection or not self.is_idempotent and promises_not_run(self.status)

    def begin_answer(self, head: AnswerHead, control: frozenset[bytes]) -> None:
        """Note the head of the answer, whose terms were read before.

        :param control: names of the headers that are not passed on
        """
        assert self.terms is not None
        if self.exchange is not None:
            self.exchange.idle_seconds = self.terms.idle_seconds
            self.exchange.is_failure = self.is_rejection or head.status >= FIRST_FAILURE_STATUS
        headers = select_end_to_end(head.headers, control)
        self.start = AnswerStart(
            status=head.status, headers=headers, length=head.length, server=self.server
        )

    def build_answer(self) -> StoredAnswer:
        """Build the complete answer; its body was kept."""
        assert self.start is not None
        return StoredAnswer(
            status=self.start.status,
            headers=self.start.headers,
            body=bytes(self.body),
            server=self.server,
            length=self.start.length,
        )
