"""What all connections of callers share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_daemon.intake.supervision import Intake, IntakeLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.configuration import CallerLimits
    from dotterelgate_core.messages import Call
    from dotterelgate_core.pipelining import RequestTraits
    from dotterelgate_daemon.caller_connections import CallerConnection
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.intake.heads import HeadLimits
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
    :param find_traits: returns what a call's route says of it
    :param is_stopping: whether connections close after the answer in progress
    :param connections: the open connections
    :param limits: limits on what all callers make the daemon hold
    :param find_caller_limits: returns the limits of the configuration in force
    :param count_closed: counts a caller that was refused or closed for a limit, by reason
    :param count_pause: counts a pause of reading or accepting, by reason
    """

    streams: StreamService
    gateway: Gateway
    head_limit: int
    body_limit: int
    pause_detector: PauseDetector
    call_after: Callable[..., None]
    find_traits: Callable[[Call], RequestTraits]
    is_stopping: bool = False
    connections: set[CallerConnection] = field(default_factory=set)
    limits: IntakeLimits = field(default_factory=IntakeLimits)
    find_caller_limits: Callable[[], CallerLimits | None] = lambda: None
    count_closed: Callable[[str], None] = lambda reason: None
    count_pause: Callable[[str], None] = lambda reason: None

    def __post_init__(self) -> None:
        """Build the supervision of the connections."""
        self.intake = Intake(
            limits=self.limits,
            count_closed=self.count_closed,
            count_pause=self.count_pause,
        )

    def find_head_limits(self) -> HeadLimits:
        """Return the limits on heads: those of the configuration, or else of the settings."""
        limits = self.find_caller_limits()
        size = limits.head_bytes if limits is not None else self.head_limit
        return self.intake.find_head_limits(size)
