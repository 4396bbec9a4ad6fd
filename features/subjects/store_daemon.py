"""Subject: the decisions of one daemon that follows a keyed store, on a fake clock."""

from __future__ import annotations

import random

from dotterelgate_core import control_messages as control
from dotterelgate_core import messages
from dotterelgate_core.configuration import Configuration, Route, Service, SplitPart
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.peers import PeerTable
from dotterelgate_core.registry import Registration, RegistrationRead, RegistryState
from dotterelgate_core.retries import BudgetTable
from dotterelgate_core.sampling import SamplingState
from dotterelgate_core.sharing import HeartbeatReceived
from dotterelgate_core.splits import SplitTable
from dotterelgate_core.state import DaemonState, Limits
from dotterelgate_core.store_control import ConfigurationStored, make_store_pipeline
from dotterelgate_core.store_reading import ReadingState

SEED = 7
ZONE = "north"
RETRY_SHARE = 0.2
RETRY_BURST = 1.5


class StoreDaemon:
    """One daemon's request and control pipelines, without I/O."""

    def __init__(self, *, seed=SEED, policy="shared_queue", name="front-1", limits=None):
        self.now = 100.0
        self.next_id = 0
        self.policy = policy
        self.registry = RegistryState()
        self.reading = ReadingState()
        self.state = DaemonState(
            name=name,
            zone=ZONE,
            limits=limits or Limits(),
            peers=PeerTable(name=name),
            leases=LeaseTable(holder=name, incarnation="", address="", length=1.0),
            keys=KeyTable(retention=1.0, limit=0),
            retries=BudgetTable(burst=RETRY_BURST),
            splits=SplitTable(random=random.Random(seed)),
        )
        # The store's entries of daemons list this one alone.
        self.state.quotas.view.entries = frozenset((name,))
        self._control = make_store_pipeline(
            self.state, self.registry, self.reading, SamplingState()
        )
        self._decide = make_request_pipeline(
            self.state, random.Random(seed), keyed=False, reading=self.reading
        )

    def configure(
        self,
        revision=1,
        *,
        split=(),
        services=("s",),
        attempts=2,
        target=0.2,
        timeout=0.5,
        write_timeout=0.5,
        organisations=None,
    ):
        """Put a configuration in force, with a read, a write, a bulk and a split route."""
        routes = (
            Route(
                prefix="/read/",
                idempotent=True,
                timeout=timeout,
                target=target,
                attempts=attempts,
            ),
            Route(prefix="/write/", idempotent=False, timeout=write_timeout, target=target),
            Route(prefix="/bulk/", idempotent=True, timeout=timeout, target=target, is_bulk=True),
            Route(
                prefix="/split/",
                name="split",
                idempotent=True,
                timeout=0.5,
                split=tuple(SplitPart(service=name, weight=weight) for name, weight in split),
            ),
        )
        built = tuple(
            Service(
                name=name,
                servers=(),
                routes=routes if name == services[0] else (),
                policy=self.policy,
                retry_share=RETRY_SHARE,
            )
            for name in services
        )
        configuration = Configuration(
            id=str(revision), revision=revision, services=built, organisations=organisations
        )
        return self.run_control(
            ConfigurationStored(now=self.now, configuration=configuration, source="the store")
        )

    def register(
        self,
        name,
        *,
        offset,
        service="s",
        draining=False,
        born=1,
        slots=3,
        zone=ZONE,
        era=0,
        write=0,
        address="",
        cold=0.0,
    ):
        """Apply a backend server's registry entry."""
        registration = Registration(
            service=service,
            address=address or f"10.0.0.1:{offset + 1000}",
            zone=zone,
            slots=slots,
            is_draining=draining,
            born=born,
            write=write,
            cold_seconds=cold,
        )
        return self._apply_registration(name, offset, registration, era)

    def remove(self, name, *, offset, era=0):
        """Apply the removal of an entry."""
        return self._apply_registration(name, offset, None, era)

    def receive_heartbeat(
        self,
        name="front-2",
        zone=ZONE,
        in_flight=None,
        *,
        can_decide=True,
        interval=0.0,
        incarnation="a",
        votes=None,
        cold=None,
    ):
        """Receive a heartbeat."""
        heartbeat = HeartbeatReceived(
            now=self.now,
            peer=name,
            incarnation=incarnation,
            address="10.0.0.2:7200",
            zone=zone,
            is_leaving=False,
            in_flight=in_flight or {},
            can_decide=can_decide,
            interval=interval,
            votes=votes or {},
            cold=cold or {},
        )
        return self.run_control(heartbeat)

    def run_control(self, message):
        """Run a message through the control pipeline."""
        return list(self._control(message))

    def tick(self):
        """Run a tick in both pipelines; returns the orders of both."""
        ticked = control.ControlTicked(now=self.now, wall=self.now)
        return [*self.run_control(ticked), *self.run(messages.Ticked(now=self.now))]

    def run(self, message):
        """Run a message through the request pipeline."""
        return list(self._decide(message))

    def arrive(self, path="/read/x", timeout=0.5, identity=0, **fields):
        """Let a request arrive; returns its id and the orders."""
        self.next_id += 1
        call = messages.Call(
            id=self.next_id,
            method="GET",
            host="h",
            path=path,
            timeout=timeout,
            request_id=f"request-{self.next_id}",
            identity=identity,
            **fields,
        )
        arrived = messages.CallArrived(now=self.now, wall=self.now, call=call)
        return self.next_id, self.run(arrived)

    def answer(
        self,
        call_id,
        server,
        *,
        status=200,
        ran=True,
        load=None,
        stored_answer="answer",
        **statements,
    ):
        """Let a backend server answer.

        :param statements: further fields of the server's report
        """
        return self.run(
            messages.ServerAnswered(
                now=self.now,
                wall=self.now,
                call_id=call_id,
                server=server,
                status=status,
                ran=ran,
                report=messages.ServerReport(load=load, **statements),
                stored_answer=stored_answer,
            )
        )

    def list_eligible(self):
        """List the names of the eligible backend servers."""
        states = self.state.servers.states.values()
        return sorted(each.server.name for each in states if each.is_eligible(self.now))

    def _apply_registration(self, name, offset, registration, era):
        read = RegistrationRead(
            now=self.now, name=name, offset=offset, registration=registration, era=era
        )
        return self.run_control(read)


def find(orders, kind):
    """Find the first order of a kind, or None."""
    return next((order for order in orders if isinstance(order, kind)), None)
