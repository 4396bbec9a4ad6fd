"""Supervision of callers' connections: what they hold, how fast they are, how many there are."""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

import structlog

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.intake.closing import (
    Pace,
    choose_evicted,
    choose_replaced,
    judge_pace,
)
from dotterelgate_daemon.intake.heads import HeadLimits
from dotterelgate_daemon.intake.holdings import (
    SMALL_BYTES,
    Awaited,
    Holding,
    MemoryAccount,
    decide_read_size,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import ResultCode

__all__ = ["Client", "Intake", "IntakeLimits"]

logger = structlog.get_logger("intake")

RETRY_SECONDS = 1.0
REPLACED_AT_ONCE = 32
NO_LIMIT = 2**62
_NOT_JUDGED = frozenset((Awaited.REQUEST, Awaited.NOTHING, Awaited.CLOSE))


class Client(Protocol):
    """A caller's connection."""

    holding: Holding

    def give_up(self, refusal: Refusal) -> None:
        """Refuse its request, or close the connection where the request may have run."""

    def update_holding(self) -> None:
        """Measure what the connection holds, and what the client has acknowledged."""

    def resume_reading(self) -> None:
        """Read again after memory was short."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeLimits:
    """Limits of the settings.

    :param memory: bytes that callers may make the daemon hold
    :param connections: open connections of callers
    :param least_rate: bytes a second that a client moves at least
    :param head_lines: fields of a head
    :param empty_lines: empty lines before a request
    :param unfinished: connections of one address with incomplete bodies while memory is short
    """

    memory: int = NO_LIMIT
    connections: int = NO_LIMIT
    least_rate: float = 0.0
    head_lines: int = 4096
    empty_lines: int = 1000
    unfinished: int = 64


class Intake:
    """Keeps the account of callers' memory, and closes those that exceed a limit.

    :param count_closed: counts a connection that was refused or closed, by reason
    :param count_pause: counts a pause of reading or accepting, by reason
    """

    def __init__(
        self,
        *,
        limits: IntakeLimits,
        count_closed: Callable[[str], None] = lambda reason: None,
        count_pause: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.limits = limits
        self.account = MemoryAccount(limit=limits.memory)
        self.note_room: Callable[[], None] = lambda: None
        self.clients: set[Client] = set()
        self._head_limits = HeadLimits(
            size=0, lines=limits.head_lines, empty_lines=limits.empty_lines
        )
        self._count_closed = count_closed
        self._count_pause = count_pause
        self._waiting: deque[Client] = deque()
        self._short_since: float | None = None
        self._unreported: Counter[tuple[str, str]] = Counter()

    def find_head_limits(self, size: int) -> HeadLimits:
        """Return the limits on heads, built again only when the size has changed.

        :param size: bytes of a head
        """
        if self._head_limits.size != size:
            self._head_limits = replace(self._head_limits, size=size)
        return self._head_limits

    def decide_reading(self, client: Client) -> int:
        """Decide how many bytes are read from a client; it is resumed when there is memory."""
        holding = client.holding
        size = decide_read_size(used=self.account.used, limit=self.account.limit, held=holding.held)
        if size:
            holding.waits_for_memory = False
        elif not holding.waits_for_memory:
            holding.waits_for_memory = True
            self._waiting.append(client)
            self._note_pause("memory")
        return size

    def refuse_body(self, holding: Holding, length: int | None) -> Refusal | None:
        """Return the refusal of a request whose body is not read while memory is short.

        :param length: bytes of the body, or ``None`` when it is chunked
        """
        is_small = length is not None and length <= SMALL_BYTES
        if is_small or not self.account.is_short:
            return None
        if self.account.unfinished.get(holding.address, 0) < self.limits.unfinished:
            return None
        self.note_closed("address")
        reason = "memory is short, and the address has too many incomplete requests"
        return Refusal(codes.MEMORY_SHORT, reason, retry_after=RETRY_SECONDS)

    def release(self, holding: Holding) -> None:
        """Note that a connection has ended."""
        self.account.update(holding, 0)
        self.account.note_body(holding, has_body=False)
        holding.waits_for_memory = False

    def note_closed(self, reason: str) -> None:
        """Count a connection that was refused or closed, for the metric and the log."""
        self._count_closed(reason)
        self._unreported["intake: clients were refused or closed", reason] += 1

    def _note_pause(self, reason: str) -> None:
        self._count_pause(reason)
        self._unreported["intake: reading or accepting paused", reason] += 1

    def restart(self) -> None:
        """Judge all clients by what they do from now on, after this process did not run."""
        now = time.monotonic()
        for client in self.clients:
            client.holding.awaited_since = client.holding.progressed_at = now
            client.holding.start_window(now)

    def check_memory(self) -> None:
        """Close clients while memory is short, and resume others; called at a short interval."""
        now = time.monotonic()
        if not self.account.is_short:
            self._short_since = None
        else:
            if self._short_since is None:
                self._short_since = now
            self._evict(now, self._short_since)
        self._resume()
        self.note_room()

    def _evict(self, now: float, short_since: float) -> None:
        for client in self.clients:
            if client.holding.awaited is Awaited.READING:
                client.update_holding()
        unfinished = self.account.unfinished
        chosen = choose_evicted(
            ((client.holding, client) for client in self.clients),
            excess=self.account.excess,
            now=now,
            short_since=short_since,
            crowded=frozenset(
                address for address, count in unfinished.items() if count > self.limits.unfinished
            ),
        )
        for client in chosen:
            self._give_up(client, "memory", codes.MEMORY_SHORT, "memory is short")

    def _give_up(self, client: Client, label: str, code: ResultCode, reason: str) -> None:
        self.note_closed(label)
        client.give_up(Refusal(code, reason, retry_after=RETRY_SECONDS))

    def _resume(self) -> None:
        """Read from clients that waited for memory, the oldest first, as far as there is room."""
        expected = self.account.used
        for _ in range(len(self._waiting)):
            client = self._waiting.popleft()
            holding = client.holding
            if not holding.waits_for_memory:
                continue
            size = decide_read_size(used=expected, limit=self.account.limit, held=holding.held)
            if size:
                expected += size
                holding.waits_for_memory = False
                client.resume_reading()
            else:
                self._waiting.append(client)

    def check_pace(self, *, head_seconds: float | None) -> None:
        """Close clients that are too slow.

        :param head_seconds: seconds within which a head has to arrive
        """
        now = time.monotonic()
        for client in list(self.clients):
            holding = client.holding
            if holding.awaited in _NOT_JUDGED:
                continue
            if holding.awaited is Awaited.HEAD:
                late = head_seconds is not None and now - holding.awaited_since > head_seconds
                if late and not holding.waits_for_memory:
                    reason = f"the head did not arrive within {head_seconds:g} s"
                    self._give_up(client, "head_time", codes.REQUEST_TIMEOUT, reason)
                continue
            client.update_holding()
            pace = judge_pace(holding, now=now, least_rate=self.limits.least_rate)
            if pace is Pace.TOO_SLOW:
                label = "slow_body" if holding.awaited is Awaited.BODY else "slow_reading"
                reason = f"less than {self.limits.least_rate:g} bytes a second"
                self._give_up(client, label, codes.REQUEST_TIMEOUT, reason)
            elif pace is Pace.ENOUGH:
                holding.start_window(now)

    def make_room(self) -> bool:
        """Close connections where there are as many as allowed.

        :returns: whether another one can be accepted
        """
        if len(self.clients) < self.limits.connections:
            return True
        chosen = choose_replaced(
            ((client.holding, client) for client in self.clients),
            now=time.monotonic(),
            count=REPLACED_AT_ONCE,
        )
        for client in chosen:
            reason = "all connections allowed are in use"
            self._give_up(client, "connections", codes.MEMORY_SHORT, reason)
        return len(self.clients) < self.limits.connections

    def note_accepting_paused(self) -> None:
        """Count a pause of accepting, for the metric and the log."""
        self._note_pause("connections")

    def report(self) -> None:
        """Write a log line for each limit that was reached since the last call."""
        for (event, reason), count in self._unreported.items():
            logger.warning(
                event,
                reason=reason,
                count=count,
                held_bytes=self.account.used,
                limit_bytes=self.account.limit,
                connections=len(self.clients),
            )
        self._unreported.clear()
