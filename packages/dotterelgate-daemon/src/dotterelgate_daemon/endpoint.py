"""Health, metrics and status over HTTP for the platform and operators."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from dotterelgate_daemon.http_server import HttpServer, answer_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.http_server import HttpRequest
    from dotterelgate_daemon.streams import StreamService

__all__ = ["Endpoint", "serve_endpoint"]

IDENTITY_PATTERN = re.compile(r"[0-9a-f]{16}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Sources of the pages ``/health``, ``/metrics``, ``/status`` and ``/explain``.

    ``POST /clear-suspect?identity=...`` lets a request be sent again that ended backend servers.

    :param is_healthy: whether the platform's balancer should send callers here
    :param render_metrics: the metrics in the text format
    :param describe: the daemon's state as a JSON document
    :param explain: what would become of a request with a method, host, path and digest of a
        credential
    :param clear_suspect: clears the request of an identity, on all daemons
    """

    is_healthy: Callable[[], bool]
    render_metrics: Callable[[], bytes]
    describe: Callable[[], dict]
    explain: Callable[[str, str, str, bytes], dict]
    clear_suspect: Callable[[int], None] = lambda identity: None


def serve_endpoint(streams: StreamService, address: str, endpoint: Endpoint) -> None:
    """Serve the endpoint on ``IP:port``.

    :raises OSError: when the address cannot be bound
    """
    pages: dict[str, Callable[[HttpRequest], None]] = {
        "/health": lambda request: _answer_health(request, endpoint),
        "/metrics": lambda request: _answer_metrics(request, endpoint),
        "/status": lambda request: answer_json(request, endpoint.describe()),
        "/explain": lambda request: _answer_explanation(request, endpoint),
        "/clear-suspect": lambda request: _clear_suspect(request, endpoint),
    }

    def answer(request: HttpRequest) -> None:
        pages.get(request.path, _answer_unknown)(request)

    HttpServer(streams=streams, address=address, answer=answer)


def _answer_health(request: HttpRequest, endpoint: Endpoint) -> None:
    if endpoint.is_healthy():
        request.answer(HTTPStatus.OK, b"serving\n")
    else:
        request.answer(HTTPStatus.SERVICE_UNAVAILABLE, b"stopping or without configuration\n")


def _answer_metrics(request: HttpRequest, endpoint: Endpoint) -> None:
    headers = [(b"content-type", b"text/plain; version=0.0.4")]
    request.answer(HTTPStatus.OK, endpoint.render_metrics(), headers)


def _answer_explanation(request: HttpRequest, endpoint: Endpoint) -> None:
    query = request.query
    credential = query.get("credential", "")
    if credential and DIGEST_PATTERN.fullmatch(credential) is None:
        body = b"credential= must be the 32 hexadecimal digits of a digest, not the credential\n"
        request.answer(HTTPStatus.BAD_REQUEST, body)
        return
    method, host, path = query.get("method", "GET"), query.get("host", ""), query.get("path", "/")
    answer_json(request, endpoint.explain(method, host, path, bytes.fromhex(credential)))


def _clear_suspect(request: HttpRequest, endpoint: Endpoint) -> None:
    identity = request.query.get("identity", "")
    if request.head.method != "POST" or IDENTITY_PATTERN.fullmatch(identity) is None:
        body = b"POST with identity=, the 16 hexadecimal digits of the log\n"
        request.answer(HTTPStatus.BAD_REQUEST, body)
        return
    endpoint.clear_suspect(int(identity, 16))
    request.answer(HTTPStatus.OK, b"cleared\n")


def _answer_unknown(request: HttpRequest) -> None:
    request.answer(HTTPStatus.NOT_FOUND, b"no such page\n")
