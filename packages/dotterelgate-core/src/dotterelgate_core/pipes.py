"""Composition of filters into pipelines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["Filter", "Message", "connect"]

Message = Any
Filter = Callable[[Message], Iterable[Message]]


def connect(*filters: Filter) -> Filter:
    """Connect filters so that each reads what the one before it wrote.

    A filter returns every message that it does not handle.

    :param filters: functions from one message to any number of messages
    :returns: a filter that runs one message through all of them
    """

    def run(message: Message) -> list[Message]:
        batch = [message]
        for each in filters:
            batch = [written for read in batch for written in each(read)]
            if not batch:
                return batch
        return batch

    return run
