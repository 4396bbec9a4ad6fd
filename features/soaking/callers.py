"""Callers of the soak: they reuse their connections and record every answer."""

from __future__ import annotations

import http.client
import random
import threading
import time
from dataclasses import dataclass, field

from soaking.configuration import HOST, PATIENT_SECONDS, TIMEOUT_SECONDS

__all__ = ["Callers", "RequestResult"]

PAUSE_SECONDS = (0.0, 0.03)
# Several times as long as a route's target.
SLOW_PATH = "/write-slow/x?ms=700"


@dataclass(frozen=True, kw_only=True)
class RequestResult:
    """One request and the answer that its caller received.

    :param status: ``None`` when the connection ended without a complete answer
    :param problem: what is wrong with the answer; empty if nothing is
    """

    request_id: str
    daemon: str
    path: str
    begun: float
    ended: float
    status: int | None
    problem: str = ""


@dataclass
class Callers:
    """Threads that send requests through all daemons.

    :param addresses: where each daemon serves callers
    :param patient: how many of them send slow writes that may wait for long
    """

    addresses: dict[str, str]
    seed: int
    count: int
    patient: int = 0
    results: list[RequestResult] = field(default_factory=list)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the threads."""
        for number in range(self.count):
            thread = threading.Thread(target=self._call, args=(number,))
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop the threads after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _call(self, number: int) -> None:
        rng = random.Random(self.seed * 1000 + number)
        connection: http.client.HTTPConnection | None = None
        daemon = ""
        sent = 0
        is_patient = number >= self.count - self.patient
        paths = (SLOW_PATH,) if is_patient else ("/write/x", "/write/x", "/read/y")
        seconds = PATIENT_SECONDS if is_patient else TIMEOUT_SECONDS
        while not self._stopping.is_set():
            if connection is None:
                daemon = rng.choice(sorted(self.addresses))
                connection = http.client.HTTPConnection(
                    self.addresses[daemon], timeout=seconds + 1.0
                )
            sent += 1
            path = rng.choice(paths)
            request_id = f"s{self.seed}-{number}-{sent}"
            result = send(connection, daemon, path, request_id, seconds)
            self.results.append(result)
            if result.status is None:
                connection.close()
                connection = None
            time.sleep(rng.uniform(*PAUSE_SECONDS))


def send(
    connection: http.client.HTTPConnection,
    daemon: str,
    path: str,
    request_id: str,
    seconds: float,
) -> RequestResult:
    """Send one request and check its answer.

    :param seconds: the time that its caller has
    """
    begun = time.monotonic()
    method = "POST" if path.startswith("/write") else "GET"
    headers = {
        "host": HOST,
        "request-id": request_id,
        "request-deadline-ms": str(int(seconds * 1000)),
    }
    status: int | None = None
    problem = ""
    try:
        body = b"x" if method == "POST" else None
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        text = answer.read().decode("utf-8", "replace")
        status = answer.status
        if status == http.HTTPStatus.OK:
            problem = check_answer(answer, text, f"{method} {path}", request_id)
    except (OSError, http.client.HTTPException):
        status = None
    return RequestResult(
        request_id=request_id,
        daemon=daemon,
        path=path,
        begun=begun,
        ended=time.monotonic(),
        status=status,
        problem=problem,
    )


def check_answer(answer: http.client.HTTPResponse, text: str, line: str, request_id: str) -> str:
    """Check that a success is the backend server's complete answer to this request."""
    if answer.headers["request-id"] != request_id:
        return f"the answer belongs to {answer.headers['request-id']}"
    if not answer.headers["server-stamp"]:
        return "a success without the backend server's stamp"
    if text != f"{answer.headers['server-stamp']} {line}":
        return f"the body is {text!r}"
    return ""
