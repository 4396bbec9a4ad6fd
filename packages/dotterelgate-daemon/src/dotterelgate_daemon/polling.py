"""The poller that all parts share."""

from __future__ import annotations

import select
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dotterelgate_daemon.framework import BasePoller, EPoll

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.timers import TimerService

__all__ = ["DirectPoller", "Watch"]

# The loop's own events wait at most this long.
SLICE_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class Watch:
    """Functions to call for events on a descriptor.

    :param lost: called when the remote side has closed and nothing remains to be read
    :param detects_close: whether ``lost`` is also called when the remote side closes while the
        descriptor is not read, whatever remains
    """

    read: Callable[[], None]
    write: Callable[[], None]
    lost: Callable[[], None]
    detects_close: bool = False


class _Descriptors(set):
    """Set with the list methods that the library uses, for lookups in constant time."""

    append = set.add


class DirectPoller(EPoll):
    """EPoll poller that calls watched descriptors and due timers without an event.

    An event for each read would cost more than the read itself. The loop's own
    events are handled whenever there are any, and at least once in a slice.
    Descriptors that are not watched get events as usual.

    :param timers: the timer service that the loop runs
    """

    _read: Any
    _write: Any

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._watches: dict[Any, Watch] = {}
        self._masks: dict[int, int] = {}
        super().__init__()
        self._read = _Descriptors(self._read)
        self._write = _Descriptors(self._write)

    def watch(self, source: object, fd: Any, watch: Watch, *, writes: bool = False) -> None:
        """Call functions when a descriptor is readable.

        :param writes: whether ``write`` is called too, when it is writable
        """
        self._watches[fd] = watch
        self._targets[fd] = getattr(source, "channel", "*")
        self._read.append(fd)
        if writes:
            self._write.append(fd)
        self._updateRegistration(fd)

    def discard(self, fd: Any) -> None:
        """Unregister a descriptor."""
        self._watches.pop(fd, None)
        super().discard(fd)

    def _updateRegistration(self, fd: Any) -> None:
        fileno = fd if isinstance(fd, int) else fd.fileno()
        mask = 0
        if fd in self._read:
            mask |= select.EPOLLIN
        if fd in self._write:
            mask |= select.EPOLLOUT
        watch = self._watches.get(fd)
        if watch is not None and watch.detects_close and not mask & select.EPOLLIN:
            mask |= select.EPOLLRDHUP
        before = self._masks.get(fileno, 0)
        if mask == before:
            return
        if not mask:
            del self._masks[fileno]
            self._map.pop(fileno, None)
            self._poller.unregister(fileno)
            BasePoller.discard(self, fd)
            return
        if before:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._masks[fileno] = mask
        self._map[fileno] = fd

    def _generate_events(self, event: Any) -> None:
        until = time.monotonic() + SLICE_SECONDS
        while not len(self.root):
            remaining = min(self._timers.run_due(), until - time.monotonic())
            if len(self.root):
                return
            for fileno, events in self._poller.poll(max(0.0, remaining)):
                self._process(fileno, events)
            if time.monotonic() >= until:
                return

    def _process(self, fileno: int, event: int) -> None:
        fd = self._map.get(fileno)
        watch = self._watches.get(fd)
        if watch is None:
            super()._process(fileno, event)
            if fileno not in self._map:
                self._masks.pop(fileno, None)
            return
        if event & (self._disconnected_flag | select.EPOLLRDHUP) and not event & select.EPOLLIN:
            watch.lost()
            return
        if event & select.EPOLLIN:
            watch.read()
        if event & select.EPOLLOUT and self._watches.get(fd) is watch:
            watch.write()
