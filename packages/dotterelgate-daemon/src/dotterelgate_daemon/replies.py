"""How an answer reaches whoever asked, a caller or a peer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

# Needed at run time, since kept answers are decoded by their annotations.
from dotterelgate_daemon.codec import HeaderList

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import Refusal

__all__ = ["SILENT_REPLY", "AnswerStart", "Reply", "StoredAnswer"]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A whole answer that fits in memory.

    :param server: backend server that gave it
    :param length: stated size of the body, which an answer to HEAD does not carry
    """

    status: int
    headers: HeaderList
    body: bytes
    server: str
    length: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStart:
    """Head of an answer that is passed on while it arrives.

    :param length: bytes of the body, or ``None`` when that is not known
    """

    status: int
    headers: HeaderList
    length: int | None
    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Functions that answer one request.

    :param send_whole: answer at once
    :param begin: start an answer in parts
    :param part: pass on a part
    :param end: say that the answer is whole
    :param cut: say that the answer will not be whole
    :param refuse: answer with a result code
    :param is_full: whether parts should wait
    """

    send_whole: Callable[[StoredAnswer], None]
    begin: Callable[[AnswerStart], None]
    part: Callable[[bytes], None]
    end: Callable[[], None]
    cut: Callable[[], None]
    refuse: Callable[[Refusal], None]
    is_full: Callable[[], bool]


def _ignore(*_: object) -> None:
    pass


SILENT_REPLY = Reply(
    send_whole=_ignore,
    begin=_ignore,
    part=_ignore,
    end=_ignore,
    cut=_ignore,
    refuse=_ignore,
    is_full=lambda: False,
)
