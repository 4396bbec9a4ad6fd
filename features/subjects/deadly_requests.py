"""Subject: daemons that learn which requests end backend servers, on a fake clock."""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import Probe, ProbeEnded
from dotterelgate_core.suspecting import (
    AnnounceSuspects,
    CheckServer,
    ServerCheckRequested,
    ServerEnded,
    SuspectsReceived,
)
from dotterelgate_daemon import suspect_exchange
from subjects.large_zone import FakeMesh
from subjects.store_daemon import StoreDaemon, find

IDENTITIES = {"X": 0xF00D, "Y": 0xBEEF}
LOST = Refusal(codes.ANSWER_LOST, "the connection broke")


class SuspectingDaemon(StoreDaemon):
    """A daemon with backend servers that may end; probes are answered by the test."""

    def __init__(self, *, servers, name="front-1"):
        super().__init__(name=name)
        self.configure()
        self.lines = []
        self.announced = []
        self.mesh = FakeMesh()
        for number in range(servers):
            self.register(f"i-{number}", offset=number)

    def send(self, request):
        """Let a request arrive; returns its call id, its server if it was sent, and all orders."""
        call_id, orders = self.arrive(identity=IDENTITIES[request])
        dispatched = find(orders, messages.Dispatch)
        return call_id, dispatched.server.name if dispatched is not None else None, orders

    def break_connection(self, call_id, server):
        """Break the connection on which a server has a call; returns the orders."""
        failed = messages.DispatchFailed(
            now=self.now,
            call_id=call_id,
            server=server,
            sent=True,
            # Nothing is sent again, so that each step of a test is one attempt.
            relay_started=True,
            refusal=LOST,
        )
        return self.note(self.run(failed))

    def end_server(self, server):
        """Let a probe find that nothing listens at a server; returns the orders."""
        ended = self.probe(server, answered=False, refused=True)
        return [order for each in ended for order in self.note(self.run(each))]

    def probe(self, server, *, answered, refused=False):
        """Check a server by a probe that ends; returns what the request pipeline gets."""
        requested = ServerCheckRequested(now=self.now, wall=self.now, server=server)
        if find(self.run_control(requested), Probe) is None:
            return []
        probe_ended = ProbeEnded(
            now=self.now,
            wall=self.now,
            service="s",
            server=server,
            answered=answered,
            draining=False,
            refused=refused,
        )
        orders = self.run_control(probe_ended)
        return [each for each in orders if isinstance(each, ServerEnded)]

    def end_under(self, *requests):
        """Let a server end while it has requests."""
        call_id, server, _ = self.send(requests[0])
        calls = [call_id]
        for each in requests[1:]:
            beside, other, _ = self.send(each)
            running = self.state.calls.states[beside].running
            running[server] = replace(running.pop(other), server=server)
            calls.append(beside)
        orders = [order for each in calls for order in self.break_connection(each, server)]
        assert find(orders, CheckServer) is not None, orders
        self.now += 0.003
        orders = self.end_server(server)
        # The next run of the server.
        self.register(server, offset=int(self.now * 1000), born=int(self.now * 1000))
        return orders

    def note(self, orders):
        """Note the log lines and announcements among orders."""
        self.lines += [each.sentence for each in orders if isinstance(each, messages.Decision)]
        for each in orders:
            if isinstance(each, AnnounceSuspects):
                self.announced += each.identities
        return orders

    def build_update(self):
        """Build the update that this daemon sends to its peers, as its peer reads it."""
        update = self._exchange(
            lambda exchange: exchange._build_update(list(self.state.suspects.suspects))
        )
        return suspect_exchange._read_update(update, self.now)

    def remind(self):
        """Remind a peer; returns the updates that it reads."""
        self.mesh.sent.clear()
        self._exchange(lambda exchange: exchange.remind())
        return [suspect_exchange._read_update(each, self.now) for each in self.mesh.sent]

    def _exchange(self, call):
        """Let the exchange do something, by the clock of this daemon."""
        exchange = suspect_exchange.SuspectExchange(
            state=self.state,
            mesh=self.mesh,
            timers=None,
            emit=None,
            emit_control=None,
            random=random.Random(1),
        )
        fake_time = SimpleNamespace(monotonic=lambda: self.now)
        real_time, suspect_exchange.time = suspect_exchange.time, fake_time
        try:
            return call(exchange)
        finally:
            suspect_exchange.time = real_time

    def receive_update(self, received):
        """Receive a peer's update."""
        return self.run(
            SuspectsReceived(now=self.now, peer=received.peer, suspects=received.suspects)
        )
