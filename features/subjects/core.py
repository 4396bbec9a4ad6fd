"""Subject: the request pipeline of one daemon, without I/O."""

from __future__ import annotations

import random

from dotterelgate_core import messages
from dotterelgate_core.chain import Link
from dotterelgate_core.configuration import BackendServer, Configuration, Route, Service
from dotterelgate_core.control import make_control_pipeline
from dotterelgate_core.control_messages import PublicationRead
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.peers import PeerTable
from dotterelgate_core.state import DaemonState, Limits, LogPosition

SEED = 11


class CoreDaemon:
    """A daemon's decision core alone, on a fake clock."""

    def __init__(self, *, servers=1, slots=3, idempotent=True, **service_options):
        self.now = 100.0
        self.orders = []
        self.next_id = 0
        self.state = DaemonState(
            name="entry-1",
            limits=Limits(),
            peers=PeerTable(name="entry-1"),
            leases=LeaseTable(holder="entry-1", incarnation="a", address="", length=900),
            keys=KeyTable(retention=600, limit=1000),
        )
        self.control = make_control_pipeline(
            self.state, LogPosition(confirm_interval=60), ["keys/0"]
        )
        self.decide = make_request_pipeline(self.state, random.Random(SEED))
        pool = tuple(
            BackendServer(name=f"server-{number}", address="", slots=slots, connections=50)
            for number in range(1, servers + 1)
        )
        routes = (
            Route(prefix="/", idempotent=idempotent, timeout=5.0),
            Route(prefix="/long", idempotent=idempotent, timeout=5.0, long=True),
        )
        service = Service(name="s", servers=pool, routes=routes, **service_options)
        self.configure(Configuration(id="c", revision=1, services=(service,)))

    def configure(self, configuration):
        """Put a configuration in force."""
        self.state.configuration.chain.begin(start=0)
        link = Link(
            id=configuration.id,
            previous=None,
            offset=0,
            read_to=0,
            oldest=0,
            body=configuration,
        )
        self.control(PublicationRead(now=self.now, link=link))

    def run(self, message):
        """Run a message through the request pipeline."""
        self.orders.extend(self.decide(message))

    def arrive(self, path="/", **fields) -> int:
        """Let a request arrive; returns its call id."""
        self.next_id += 1
        call = messages.Call(id=self.next_id, method="GET", host="", path=path, **fields)
        self.run(messages.CallArrived(now=self.now, wall=self.now, call=call))
        return self.next_id

    def tick(self, *, after: float) -> None:
        """Advance the clock and run a tick."""
        self.now += after
        self.run(messages.Ticked(now=self.now))

    def list_dispatched(self) -> list[int]:
        """List the calls dispatched so far."""
        return [each.call_id for each in self.orders if isinstance(each, messages.Dispatch)]

    def find_refusal(self, call_id):
        """Return the refusal of a call."""
        for order in self.orders:
            if isinstance(order, messages.RefuseCall) and order.call_id == call_id:
                return order.refusal
        raise AssertionError(f"call {call_id} was not refused: {self.orders}")
