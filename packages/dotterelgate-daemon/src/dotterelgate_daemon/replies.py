"""Answers, and the functions that send one to a caller or a peer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

# Needed at run time, since stored answers are decoded by their annotations.
from dotterelgate_daemon.codec import HeaderList

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import Refusal

__all__ = ["NULL_REPLY", "AnswerStart", "Reply", "StoredAnswer"]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A complete answer that is held in memory.

    :param server: backend server that sent it
    :param length: declared size of the body, which an answer to HEAD does not contain
    """

    status: int
    headers: HeaderList
    body: bytes
    server: str
    length: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStart:
    """Head of an answer that is relayed while it arrives.

    :param length: bytes of the body, or ``None`` when unknown
    """

    status: int
    headers: HeaderList
    length: int | None
    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Functions that answer one request.

    :param send_complete: send a complete answer
    :param begin: start an answer in parts
    :param part: send a part of the body
    :param end: end an answer in parts
    :param cut: abort an answer in parts
    :param refuse: answer with a result code
    :param is_full: return whether further parts should wait
    """

    send_complete: Callable[[StoredAnswer], None]
    begin: Callable[[AnswerStart], None]
    part: Callable[[bytes], None]
    end: Callable[[], None]
    cut: Callable[[], None]
    refuse: Callable[[Refusal], None]
    is_full: Callable[[], bool]


def _ignore(*_: object) -> None:
    pass


NULL_REPLY = Reply(
    send_complete=_ignore,
    begin=_ignore,
    part=_ignore,
    end=_ignore,
    cut=_ignore,
    refuse=_ignore,
    is_full=lambda: False,
)
