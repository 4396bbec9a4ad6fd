"""The headers that the system itself reads and writes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import ServerReport
from dotterelgate_daemon.codec import HeaderList, find_header

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.configuration import BackendServer

__all__ = ["DIALECT", "AnswerTerms", "Dialect", "DispatchTerms", "RequestTerms"]

MILLISECONDS = 1000
KEY_LIMIT_BYTES = 255


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTerms:
    """What the system reads from a request's headers.

    :param timeout: seconds that the caller still waits, if stated
    :param key: idempotency key, if the caller sent one
    :param retried: whether the request is already marked as a further attempt
    :param request_id: the caller's own id of the request, if it sent one
    :param credential: digest of the caller's credential, empty for none
    """

    timeout: float | None = None
    key: str | None = None
    retried: bool = False
    request_id: str = ""
    credential: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerTerms:
    """What the system reads from an answer's headers.

    :param not_run: whether the backend server reports that it did not run the request
    :param request_id: id of the request that it answers, if stated
    :param server: the backend server's own name for itself, if stated
    :param idle_seconds: seconds for which it keeps an idle connection open, if stated
    """

    report: ServerReport
    not_run: bool = False
    request_id: str | None = None
    server: str | None = None
    idle_seconds: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchTerms:
    """What the system writes into the headers of a dispatched request.

    :param remaining: seconds until the daemon stops waiting for the answer
    :param fence: wall-clock second after which it must not start, if any
    :param attempt: 1 for the first dispatch
    :param organisation: name of the caller's organisation, empty for none
    """

    server: BackendServer
    remaining: float
    fence: float | None
    attempt: int
    organisation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Dialect:
    """How the system's own headers are read and written.

    :param control: lower-case names of headers that are neither dispatched nor relayed
    :param allows_close_delimited: whether the end of the connection may end an answer's body
    :param answers_name_requests: whether backend servers repeat a request's id in its answer
    """

    control: frozenset[bytes]
    read_request: Callable[[HeaderList], RequestTerms | Refusal]
    read_answer: Callable[[HeaderList], AnswerTerms]
    write_dispatch: Callable[[DispatchTerms], HeaderList]
    write_probe: Callable[[BackendServer, float], HeaderList]
    write_refusal: Callable[[Refusal], HeaderList]
    write_answer: Callable[[str], HeaderList]
    allows_close_delimited: bool = False
    answers_name_requests: bool = False

    def is_answer_to(self, terms: AnswerTerms, request_id: str) -> bool:
        """Return whether an answer may belong to a request.

        Where answers name their requests, one without an id proves nothing: a broken server
        may repeat an earlier answer, or the answer to a probe, on the same connection.

        :param request_id: the request's id, empty for requests that carry none and for probes
        """
        if terms.request_id is None:
            return not (self.answers_name_requests and request_id)
        return terms.request_id == request_id


def _read_request(headers: HeaderList) -> RequestTerms | Refusal:
    value = find_header(headers, b"request-timeout-ms")
    if value is not None and not value.isdigit():
        reason = "Request-Timeout-Ms must be a whole number of milliseconds"
        return Refusal(codes.INVALID_HEADER, reason)
    key = find_header(headers, b"idempotency-key")
    if key is not None and not 0 < len(key) <= KEY_LIMIT_BYTES:
        reason = f"Idempotency-Key must have 1 to {KEY_LIMIT_BYTES} bytes"
        return Refusal(codes.INVALID_HEADER, reason)
    return RequestTerms(
        timeout=int(value) / MILLISECONDS if value is not None else None,
        key=key.decode("latin-1") if key is not None else None,
        retried=find_header(headers, b"request-attempt") is not None,
        request_id=(find_header(headers, b"request-id") or b"").decode("latin-1"),
    )


def _read_answer(headers: HeaderList) -> AnswerTerms:
    in_flight = find_header(headers, b"server-in-flight")
    report = ServerReport(
        in_flight=int(in_flight) if in_flight is not None and in_flight.isdigit() else None,
        draining=find_header(headers, b"server-state") == b"draining",
    )
    request_id = find_header(headers, b"request-id")
    return AnswerTerms(
        report=report,
        not_run=find_header(headers, b"request-outcome") == b"not-run",
        request_id=request_id.decode("latin-1") if request_id is not None else None,
    )


def _write_dispatch(terms: DispatchTerms) -> HeaderList:
    headers = [(b"request-timeout-ms", b"%d" % (terms.remaining * MILLISECONDS))]
    if terms.fence is not None:
        headers.append((b"request-not-after", b"%.3f" % terms.fence))
    if terms.attempt > 1:
        headers.append((b"request-attempt", b"%d" % terms.attempt))
    return headers


def _write_probe(server: BackendServer, fence: float) -> HeaderList:
    return [
        (b"host", server.address.encode("ascii")),
        (b"request-not-after", b"%.3f" % fence),
    ]


def _write_refusal(refusal: Refusal) -> HeaderList:
    headers = [
        (b"dotterelgate-outcome", refusal.outcome.value.encode("ascii")),
        (b"dotterelgate-code", b"%d" % refusal.code.number),
    ]
    if refusal.retry_after is not None and refusal.outcome is codes.Outcome.NOT_RUN:
        headers.append((b"retry-after", b"%d" % max(1, round(refusal.retry_after))))
    return headers


def _write_answer(server: str) -> HeaderList:
    return [
        (b"dotterelgate-outcome", codes.Outcome.RAN.value.encode("ascii")),
        (b"dotterelgate-code", b"0"),
        (b"dotterelgate-server", server.encode("latin-1")),
    ]


DIALECT = Dialect(
    control=frozenset(
        (
            b"request-timeout-ms",
            b"request-not-after",
            b"request-attempt",
            b"request-outcome",
            b"server-in-flight",
            b"server-state",
            b"dotterelgate-outcome",
            b"dotterelgate-code",
            b"dotterelgate-server",
            b"dotterelgate-daemon",
        )
    ),
    read_request=_read_request,
    read_answer=_read_answer,
    write_dispatch=_write_dispatch,
    write_probe=_write_probe,
    write_refusal=_write_refusal,
    write_answer=_write_answer,
)
