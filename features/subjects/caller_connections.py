"""Subject: one daemon's callers and servers on fake connections."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

from dotterelgate_border.handover import HandedCall
from dotterelgate_core.configuration import Route
from dotterelgate_core.pipelining import find_traits
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_core.unsent import FailUnsent
from dotterelgate_daemon.caller_connections import CallerConnection
from dotterelgate_daemon.callers import CallerServer
from dotterelgate_daemon.dialect import DIALECT
from dotterelgate_daemon.gateway import Gateway
from dotterelgate_daemon.intake.supervision import IntakeLimits
from dotterelgate_daemon.metrics import Metrics
from dotterelgate_daemon.peering import Peering
from dotterelgate_daemon.pools import PoolTable
from dotterelgate_daemon.stopping import GracefulStop
from dotterelgate_daemon.timers import PauseDetector
from dotterelgate_daemon.unsent_attempts import fail_unsent
from subjects.exchange import FakeStreams, OpenStream
from subjects.store_daemon import StoreDaemon

BODY_LIMIT = 1000
HEAD_LIMIT = 4096


class RecordingStream(OpenStream):
    """A stream that keeps what was written, and can be paused."""

    def __init__(self, *, receive, lost):
        super().__init__(receive=receive, lost=lost)
        self.written = bytearray()
        self.is_paused = False
        self.closed = lambda: None
        self.has_ended_sending = False
        self.is_sending = False
        self.sock = SimpleNamespace(getpeername=lambda: ("127.0.0.1", 1))

    def write(self, data):
        """Accept all bytes."""
        if self.is_open:
            super().write(data)
            self.written += data

    def pause(self):
        """Stop reading."""
        self.is_paused = True

    def resume(self):
        """Read again."""
        self.is_paused = False

    def call_when_sent(self, call):
        """Call a function once everything is sent, which is at once unless the test holds it."""
        call()

    def end_sending(self):
        """Note that nothing more is sent."""
        self.has_ended_sending = True

    def close_when_sent(self):
        """Close after everything is sent."""
        self.call_when_sent(self.close)

    def close(self):
        """Close the stream."""
        if self.is_open:
            super().close()
            self.closed()

    def reset(self):
        """Reset the stream, as the other side would."""
        super().reset()
        self.closed()


class RecordingStreams(FakeStreams):
    """Opens and adopts streams that keep what was written.

    ``to_servers`` has all that were opened.
    """

    def __init__(self):
        super().__init__()
        self.to_servers = []

    def open(self, *, address, ready, receive, lost):
        """Open a stream; ``establish`` completes it."""
        stream = RecordingStream(receive=receive, lost=lost)
        self.opened.append((stream, ready))
        self.to_servers.append(stream)
        return stream

    def adopt(self, *, sock, receive, lost):
        """Make a stream of an accepted connection."""
        return RecordingStream(receive=receive, lost=lost)


class CallerConnections:
    """One daemon with callers' connections, a gateway and backend servers."""

    def __init__(self, *, servers=3):
        self.daemon = StoreDaemon()
        self.daemon.now = time.monotonic()
        self.daemon.configure(timeout=5.0, target=5.0)
        for number in range(servers):
            self.daemon.register(f"i-{number}", offset=number)
        self.timers = []
        self.stop = None
        self.ends = []
        self.streams = RecordingStreams()
        self.gateway = Gateway(
            name="front-1",
            decide=self.daemon.run,
            dialect=DIALECT,
            pools=PoolTable(streams=self.streams),
            metrics=Metrics(),
            buffer_limit=BODY_LIMIT,
            stored_body_limit=BODY_LIMIT,
            first_call_id=0,
            count_daemons=lambda: 1,
            on_decision=lambda decision, request_id: None,
            call_after=lambda *, delay, call: None,
        )
        self.gateway.add_sinks({FailUnsent: partial(fail_unsent, self.gateway)})
        self.server = CallerServer(
            streams=self.streams,
            gateway=self.gateway,
            head_limit=HEAD_LIMIT,
            body_limit=BODY_LIMIT,
            limits=IntakeLimits(),
            find_caller_limits=lambda: None,
            metrics=Metrics(),
            pause_detector=PauseDetector(),
            call_after=lambda *, delay, call: self.timers.append((delay, call)),
            find_traits=lambda call: find_traits(self.daemon.state.configuration, call),
        )
        self.context = self.server._context

    def connect(self):
        """Accept a caller; returns its stream."""
        connection = CallerConnection(context=self.context, sock=None)
        self.context.connections.add(connection)
        return connection._stream

    def stop_for(self, seconds, *, limit):
        """Stop as planned; returns whether the process ends after some seconds."""
        self.begin_stop(limit=limit)
        return self.check_stop(seconds)

    def begin_stop(self, *, limit):
        """Let a planned stop begin, as SIGTERM does; the first one counts."""
        if self.stop is not None:
            self.stop.begin()
            return
        self.stop = GracefulStop(
            linger=0.0,
            limit=limit,
            state=self.daemon.state,
            caller_server=self.server,
            gateway=self.gateway,
            timers=SimpleNamespace(
                subscribe=lambda *, interval, call: None,
                call_after=lambda *, delay, call: call(),
            ),
            announce_stopping=lambda: None,
            finish=lambda: self.ends.append(True),
        )
        self.stop.begin()
        self.stop_began_at = self.stop._started_at
        self.planned_stop = self.daemon.state.stop

    def check_stop(self, seconds):
        """Let a stop have lasted some seconds; returns whether the process ends."""
        self.stop._started_at = self.stop_began_at - seconds
        planned = self.planned_stop
        self.daemon.state.stop = replace(
            planned, late_at=planned.late_at - seconds, ends_at=planned.ends_at - seconds
        )
        self.stop._check()
        return bool(self.ends)

    def add_general_route(self):
        """Put a configuration in force that has a route for any path, too."""
        current = self.daemon.state.configuration.current
        (service,) = current.services
        general = Route(prefix="/", idempotent=False, timeout=5.0)
        service = replace(service, routes=(*service.routes, general))
        configuration = replace(current, id="2", revision=2, services=(service,))
        stored = ConfigurationStored(
            now=self.daemon.now, configuration=configuration, source="the store"
        )
        self.daemon.run_control(stored)

    def receive_handed(self, path):
        """Receive a call to a path from a peer."""
        peering = Peering(
            name="front-1",
            incarnation="a",
            gateway=self.gateway,
            links=SimpleNamespace(send=lambda name, message, call_id=None: True),
            peers=self.daemon.state.peers,
            clock_error=0.0,
        )
        handed = HandedCall(
            sender="front-2",
            incarnation="a",
            target="front-1",
            call_id=1,
            purpose="own",
            timeout=5.0,
            expires=time.time() + 5.0,
            fence=None,
            retried=False,
            method="POST",
            path=path,
            headers=[(b"host", b"h")],
            body=b"",
            key=None,
            fingerprint=0,
        )
        peering.receive(handed)

    def take_opened(self):
        """Return the only connection to a server that is being opened, and what establishes it."""
        ((stream, ready),) = self.streams.opened
        self.streams.opened = []
        return stream, ready

    def count_failures(self):
        """Count the failures that the servers' states have."""
        return sum(each.failures for each in self.daemon.state.servers.states.values())

    def count_in_flight(self):
        """Count the requests that servers are taken to work on."""
        return sum(each.in_flight for each in self.daemon.state.servers.states.values())


def encode_request(*, method="POST", path="/write/x", framing="length", size=0, **headers):
    """Encode the head of a request.

    :param framing: ``length`` or ``chunks``
    """
    length = f"Content-Length: {size}" if framing == "length" else "Transfer-Encoding: chunked"
    lines = [f"{method} {path} HTTP/1.1", "Host: h", length]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("ascii")


def encode_part(part, *, framing):
    """Encode a part of a body."""
    return b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunks" else part


def read_body(written):
    """Read the body of the request that was written to a server."""
    head, _, rest = bytes(written).partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return rest
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return body
