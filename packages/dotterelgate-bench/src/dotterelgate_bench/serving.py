"""The loop that the stand-ins run on."""

from __future__ import annotations

from circuits import Component

from dotterelgate_daemon.http_server import HttpRequest, HttpServer, answer_json
from dotterelgate_daemon.polling import DirectPoller
from dotterelgate_daemon.streams import StreamService
from dotterelgate_daemon.timers import TimerService

__all__ = ["HttpRequest", "HttpServer", "answer_json", "build_loop"]


def build_loop() -> tuple[Component, StreamService, TimerService]:
    """Build the loop that a stand-in process runs."""
    root = Component()
    timers = TimerService()
    poller = DirectPoller(timers=timers)
    poller.register(root)
    return root, StreamService(poller=poller), timers
