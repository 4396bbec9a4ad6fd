"""Subject: one daemon that stops while a request waits, on a fake clock."""

from __future__ import annotations

from dataclasses import replace

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.configuration import Organisation
from dotterelgate_core.leases import Lease, Tenure
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.organisations.credentials import digest_credential
from dotterelgate_core.owners import find_owner
from dotterelgate_core.slots import (
    DenySlot,
    RequestSlot,
    SlotDenied,
    SlotGrant,
    SlotGranted,
    SlotRequest,
    SlotRequested,
)
from dotterelgate_core.state import PlannedStop
from dotterelgate_core.stopping.awaiting import Awaited, find_awaited
from dotterelgate_core.stopping.settling import StopReached
from subjects.core import CoreDaemon
from subjects.store_daemon import StoreDaemon, find

WORK_SECONDS = 1.0
TIME_LIMIT = 60.0
LATE_SECONDS = 3.0
END_SECONDS = 5.5


class StoppingDaemon:
    """A daemon whose planned stop begins, and one of its requests.

    :param what: what the request waits for, of ``WAITS``
    """

    def __init__(self, what):
        self.orders = []
        awaited, prepare = WAITS[what]
        self.daemon, self.call_id = prepare()
        self.state = self.daemon.state
        self.began_at = self.daemon.now
        for call_state in self.state.calls.states.values():
            routed = call_state.routed
            self.state.times.learn(routed.service, routed.route, WORK_SECONDS)
        self.state.stop = PlannedStop(
            late_at=self.began_at + LATE_SECONDS, ends_at=self.began_at + END_SECONDS
        )
        assert find_awaited(self.state, self.call_state) is awaited, self.call_state

    @property
    def call_state(self):
        """State of the request, ``None`` once it was settled."""
        return self.state.calls.states.get(self.call_id)

    def run(self, message):
        """Run a message through the request pipeline."""
        decide = getattr(self.daemon, "_decide", None) or self.daemon.decide
        self.orders.extend(decide(message))

    def pass_time(self, seconds):
        """Set the clock to some seconds after the begin of the stop."""
        self.daemon.now = self.began_at + seconds

    def tick(self):
        """Run a tick, with what else would answer beside the stop held back."""
        for pending in self.state.quotas.pending.values():
            pending.asked_at = self.daemon.now
        self.state.owners.suspected_until.clear()
        self.run(messages.Ticked(now=self.daemon.now))

    def reach_limit(self):
        """Let the stop reach its limit."""
        self.pass_time(END_SECONDS)
        self.run(StopReached(now=self.daemon.now))

    def free_server(self, slowdown):
        """Let the server of the first request answer."""
        (first,) = [each for each in self.state.calls.states.values() if each.running]
        server = self.state.servers.states[first.server]
        (attempt,) = first.running.values()
        sent_at = self.daemon.now - WORK_SECONDS * slowdown
        first.running[first.server] = replace(attempt, sent_at=sent_at, expected_slowdown=slowdown)
        load = LoadReport(running=0, waiting=0, slots=1, slowdown=slowdown)
        self.orders.extend(self.daemon.answer(first.call.id, server.server.name, load=load))

    def grant(self, slowdown):
        """Let the owner of the queue grant a server."""
        grant = SlotGrant(server="i-0", slowdown=slowdown, report_age=0.0)
        owner = find_owner(self.state, "s", self.daemon.now)
        granted = SlotGranted(now=self.daemon.now, owner=owner, call_id=self.call_id, grant=grant)
        self.run(granted)

    def deny(self):
        """Let the owner of the queue deny the request, since it stops."""
        refusal = Refusal(codes.STOPPING, "the owner stops")
        self.state.stop = None
        self.state.owners.suspect(find_owner(self.state, "s", self.daemon.now), self.daemon.now)
        denied = SlotDenied(now=self.daemon.now, call_id=self.call_id, refusal=refusal)
        self.run(denied)

    def fail(self):
        """Let the connection to its server break."""
        failed = messages.DispatchFailed(
            now=self.daemon.now,
            call_id=self.call_id,
            server=self.call_state.server,
            sent=True,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        self.run(failed)

    def describe(self):
        """Return what became of the request."""
        for order in self.orders:
            if isinstance(order, DenySlot) and order.call_id == self.call_id:
                return "denied"
            if isinstance(order, messages.RefuseCall) and order.call_id == self.call_id:
                return order.refusal.code.name
            if isinstance(order, messages.Dispatch) and order.call_id == self.call_id:
                return "dispatched"
        return "waiting"

    def list_left(self):
        """List the states that are left of any request, and requests counted at servers."""
        in_flight = [each.in_flight for each in self.state.servers.states.values()]
        return [*self.state.calls.states, *filter(None, in_flight)]


def _start(*, policy="shared_queue", servers=1, **options):
    daemon = StoreDaemon(policy=policy)
    daemon.configure(timeout=TIME_LIMIT, write_timeout=TIME_LIMIT, target=TIME_LIMIT, **options)
    for number in range(servers):
        daemon.register(f"i-{number}", offset=number, slots=1)
    return daemon


def _wait_for_slot():
    daemon = _start()
    daemon.arrive(timeout=None)
    return daemon, daemon.arrive(timeout=None)[0]


def _wait_for_owner():
    daemon = _start(policy="granted_queue")
    number = 2
    while find_owner(daemon.state, "s", daemon.now) == daemon.state.name:
        daemon.receive_heartbeat(f"front-{number}", interval=TIME_LIMIT)
        daemon.state.owners.ranked_at.clear()
        number += 1
    call_id, orders = daemon.arrive(timeout=None)
    assert find(orders, RequestSlot) is not None, orders
    return daemon, call_id


def _wait_for_quota():
    credential = digest_credential(b"key-one")
    one = Organisation(name="one", credentials=frozenset((credential,)), rate=1.0, burst=1.0)
    daemon = _start(organisations=(one,))
    daemon.receive_heartbeat("front-2", zone="south", interval=TIME_LIMIT)
    call_id = 0
    while call_id not in daemon.state.quotas.pending:
        # The first ones get the daemon's own tokens.
        call_id = daemon.arrive(timeout=None, credential=credential)[0]
    return daemon, call_id


def _wait_for_retry(*, sent):
    daemon = _start(servers=2)
    call_id, orders = daemon.arrive(timeout=None)
    other_id, _ = daemon.arrive(timeout=None)
    daemon.state.retries.find("s", 1.0).tokens = 1.0
    failed = messages.DispatchFailed(
        now=daemon.now,
        call_id=call_id,
        server=find(orders, messages.Dispatch).server.name,
        sent=sent,
        relay_started=False,
        refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
    )
    # The other server is in use, and this one is not to be used for a while.
    daemon.state.servers.states[failed.server].paused_until = daemon.now + TIME_LIMIT
    daemon.run(failed)
    return daemon, call_id


def _wait_for_server(path):
    daemon = _start(servers=2)
    return daemon, daemon.arrive(path, timeout=None)[0]


def _wait_hedged():
    daemon, call_id = _wait_for_server("/read/x")
    call_state = daemon.state.calls.states[call_id]
    (attempt,) = call_state.running.values()
    other = next(name for name in ("i-0", "i-1") if name != attempt.server)
    call_state.running[other] = type(attempt)(
        server=other, sent_at=daemon.now, expected_slowdown=1.0, is_second=True
    )
    daemon.state.servers.states[other].in_flight += 1
    return daemon, call_id


def _wait_for_another_daemon():
    daemon = _start(policy="granted_queue")
    daemon.state.servers.states["i-0"].view.add_peer_request("front-9", daemon.now)
    request = SlotRequest(
        call_id=77,
        request_id="peer-77",
        service="s",
        route="/read/",
        work=WORK_SECONDS,
        waited=0.0,
        remaining=TIME_LIMIT,
    )
    daemon.arrive(timeout=None)
    daemon.run(SlotRequested(now=daemon.now, wall=daemon.now, requester="front-2", request=request))
    return daemon, 77


def _start_keyed():
    daemon = CoreDaemon(idempotent=False)
    daemon.state.limits = type(daemon.state.limits)(holder_wait=TIME_LIMIT)
    return daemon


def _wait_for_holder():
    daemon = _start_keyed()
    return daemon, daemon.arrive(key="k")


def _wait_for_key():
    daemon = _start_keyed()
    tenure = Tenure(id="t", since=0.0, history_known=True, transfer=None)
    for number in range(daemon.state.limits.key_ranges):
        lease = Lease(ends_at=1e9, ends_wall=1e9, tenure=tenure)
        daemon.state.leases.leases[f"keys/{number}"] = lease
    daemon.arrive(key="k")
    return daemon, daemon.arrive(key="k")


def _wait_for_peer():
    daemon, call_id = _wait_for_holder()
    daemon.state.calls.states[call_id].peer = "entry-2"
    return daemon, call_id


WAITS = {
    "a slot": (Awaited.SLOT, _wait_for_slot),
    "the owner of its queue": (Awaited.SLOT, _wait_for_owner),
    "a quota": (Awaited.ALLOWANCE, _wait_for_quota),
    "a retry of a read": (Awaited.SLOT, lambda: _wait_for_retry(sent=True)),
    "a retry of nothing sent": (Awaited.SLOT, lambda: _wait_for_retry(sent=False)),
    "a holder of its key": (Awaited.HOLDER, _wait_for_holder),
    "another with its key": (Awaited.KEY, _wait_for_key),
    "a peer": (Awaited.PEER, _wait_for_peer),
    "a server, a read": (Awaited.ANSWER, lambda: _wait_for_server("/read/x")),
    "a server, a write": (Awaited.ANSWER, lambda: _wait_for_server("/write/x")),
    "a server, hedged": (Awaited.ANSWER, _wait_hedged),
    "a slot for another daemon": (Awaited.GRANT, _wait_for_another_daemon),
}
