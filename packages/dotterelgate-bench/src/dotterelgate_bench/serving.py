"""HTTP serving and the event loop of the stand-ins."""

from __future__ import annotations

from circuits import Component

from dotterelgate_daemon.http_server import HttpRequest, HttpServer, answer_json
from dotterelgate_daemon.polling import DirectPoller
from dotterelgate_daemon.streams import StreamService
from dotterelgate_daemon.timers import TimerService

__all__ = ["HttpRequest", "HttpServer", "answer_json", "build_loop"]


def build_loop() -> tuple[Component, StreamService, TimerService]:
    """Build the event loop of a stand-in process."""
    root = Component()
    timers = TimerService()
    poller = DirectPoller(timers=timers)
    poller.register(root)
    return root, StreamService(poller=poller), timers
