"""What all connections of callers share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.messages import Call
    from dotterelgate_daemon.caller_connections import CallerConnection
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import PauseDetector

__all__ = ["ConnectionContext"]


@dataclass(kw_only=True)
class ConnectionContext:
    """What all connections of callers share.

    :param head_limit: largest request head, in bytes
    :param body_limit: bytes of a request body that are buffered; larger bodies are streamed
    :param pause_detector: measures how long a request may have waited unread
    :param call_after: calls a function after a delay
    :param is_idempotent: returns whether a call may run more than once
    :param is_stopping: whether connections close after the answer in progress
    :param connections: the open connections
    """

    streams: StreamService
    gateway: Gateway
    head_limit: int
    body_limit: int
    pause_detector: PauseDetector
    call_after: Callable[..., None]
    is_idempotent: Callable[[Call], bool]
    is_stopping: bool = False
    connections: set[CallerConnection] = field(default_factory=set)
