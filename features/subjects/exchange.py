"""Subject: one exchange with a backend server on a fake connection."""

from __future__ import annotations

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.exchanges import Exchange

HEAD = b"POST /orders/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
BODY = b"body"


class FakeStream:
    """A stream whose kernel takes only some bytes."""

    def __init__(self, takes):
        self.takes = takes
        self.sent_bytes = 1000

    def write(self, data):
        """Take as many bytes as the kernel would."""
        self.sent_bytes += min(self.takes, len(data))


class ExchangeSubject:
    """An exchange that loses its connection after some bytes."""

    def end_after(self, takes: int) -> bool:
        """Lose the connection and return what is said of the sending."""
        ends = []
        exchange = Exchange(
            method="POST",
            head=HEAD,
            body=BODY,
            body_ended=True,
            chunked=False,
            begin=lambda head: None,
            part=lambda part: None,
            whole=lambda: None,
            failed=ends.append,
        )
        exchange.start(FakeStream(takes))
        exchange.fail(Refusal(codes.ANSWER_LOST, "lost"))
        return ends[0].sent
