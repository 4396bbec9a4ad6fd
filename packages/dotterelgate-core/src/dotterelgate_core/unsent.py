"""Attempts whose connection is still being opened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState

__all__ = ["FailUnsent", "fail_unsent_attempts"]


@dataclass(frozen=True, kw_only=True, slots=True)
class FailUnsent:
    """Order to fail those of some attempts of which nothing was sent.

    A connection that is being opened would carry the request whenever it comes about.

    :param attempts: id of the call and name of the backend server of each
    :param reason: why they are failed, for the log and the caller
    """

    attempts: tuple[tuple[int, str], ...]
    reason: str


def fail_unsent_attempts(call_states: Iterable[CallState], reason: str) -> list[FailUnsent]:
    """Order to fail the attempts of some calls of which nothing was sent.

    :param reason: why they are failed, for the log and the caller
    """
    attempts = tuple((each.call.id, server) for each in call_states for server in each.running)
    return [FailUnsent(attempts=attempts, reason=reason)] if attempts else []
