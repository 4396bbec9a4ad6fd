"""Health, metrics and status over HTTP for the platform and operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from circuits.web import Controller, Server

if TYPE_CHECKING:
    from collections.abc import Callable

    from circuits import BaseComponent

__all__ = ["Endpoint", "serve_endpoint"]


class Endpoint(Controller):
    """Answers ``/health``, ``/metrics``, ``/status`` and ``/explain``.

    :param is_healthy: whether the platform's balancer should send callers here
    :param render_metrics: the metrics in the text format
    :param describe: the daemon's state as a JSON document
    :param explain: why a request would go where it goes
    """

    channel = "/"

    def __init__(
        self,
        *,
        is_healthy: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        describe: Callable[[], dict],
        explain: Callable[[str, str, str], dict],
    ) -> None:
        super().__init__()
        self._is_healthy = is_healthy
        self._render_metrics = render_metrics
        self._describe = describe
        self._explain = explain

    def health(self) -> str:
        """Answer 200 while callers should be sent here, else 503."""
        if self._is_healthy():
            return "serving\n"
        self.response.status = 503
        return "stopping or without configuration\n"

    def metrics(self) -> str:
        """Answer with the metrics."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._render_metrics().decode("utf-8")

    def status(self) -> str:
        """Answer with the daemon's state."""
        self.response.headers["Content-Type"] = "application/json"
        return json.dumps(self._describe())

    def explain(self, method: str = "GET", host: str = "", path: str = "/") -> str:
        """Answer with where a request would go and why."""
        self.response.headers["Content-Type"] = "application/json"
        return json.dumps(self._explain(method, host, path))


def serve_endpoint(parent: BaseComponent, address: str, endpoint: Endpoint) -> None:
    """Serve the endpoint on ``IP:port`` below a component."""
    host, port = address.rsplit(":", 1)
    server = Server((host, int(port)))
    server.register(parent)
    endpoint.register(server)
