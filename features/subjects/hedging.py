"""Subject: one daemon that starts second attempts of slow reads, on a fake clock."""

from __future__ import annotations

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, RelayBegan, TickAt
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.slots import (
    DenySlot,
    GrantSlot,
    RequestSlot,
    SlotDenied,
    SlotGrant,
    SlotGranted,
    SlotQueued,
    SlotRequest,
    SlotRequested,
)
from dotterelgate_core.state import Limits
from dotterelgate_core.suspects import ServerRun
from subjects.store_daemon import StoreDaemon, find

SHARE = 0.2
USUAL_SECONDS = 0.05
# Longer than the usual time, shorter than the target.
SLOW_SECONDS = 0.06
LEARNED = 30
SERVERS = ("i-0", "i-1", "i-2")
OWNER = "front-2"


class HedgingDaemon:
    """A daemon that knows its route, and one read of it; ``orders`` are those for that read."""

    def __init__(self, *, owner="", attempts=3, share=SHARE, slots=0.3, learned=LEARNED):
        limits = Limits(hedging_share=share, hedging_slots=slots)
        policy = "granted_queue" if owner else "shared_queue"
        self.daemon = StoreDaemon(policy=policy, limits=limits)
        self.daemon.configure(attempts=attempts)
        for number, name in enumerate(SERVERS):
            self.daemon.register(name, offset=number)
        for number in range(2 * learned):
            call_id, orders = self.daemon.arrive(("/read/x", "/write/x")[number % 2])
            self.daemon.now += USUAL_SECONDS
            self.daemon.answer(call_id, find(orders, messages.Dispatch).server.name)
        self._owner = owner
        self.orders = []
        self.call_id = 0
        self.first = self.second = None
        self.tokens_when_slow = []
        self.servers = self.daemon.state.servers.states

    def send(self, path="/read/x", **fields):
        """Let the read arrive; with an owner, that grants the first slot."""
        if self._owner:
            self.become_asker()
        self.call_id, orders = self.daemon.arrive(path, **fields)
        self._collect(orders)
        if find(orders, RequestSlot) is not None:
            self._grant(find(orders, RequestSlot).request.call_id, "i-0")
        self.first = find(self.orders, messages.Dispatch).server.name

    def do(self, event):
        """Carry out one event of a case: a method's name and its arguments."""
        name, *arguments = event.split()
        getattr(self, f"_do_{name}")(*arguments)

    def list_dispatched(self):
        """List the backend servers that the read was sent to, in order."""
        dispatched = self._find_all(messages.Dispatch)
        return [each.server.name for each in dispatched if each.call_id == self.call_id]

    def list_cancelled(self):
        """List the backend servers at which the read was cancelled."""
        return [each.server for each in self._find_all(messages.Cancel)]

    def list_counted(self):
        """List what was counted of second attempts."""
        return [each.result.value for each in self._find_all(CountSecondAttempt)]

    def list_outcomes(self):
        """List the answers to the caller: the servers relayed, or the codes."""
        relayed = [self._name_place(each.source) for each in self._find_all(messages.Relay)]
        refused = [each.refusal.code.name for each in self._find_all(messages.RefuseCall)]
        released = ["released" for _ in self._find_all(messages.ReleaseCall)]
        return relayed + refused + released

    def count_in_flight(self):
        """Count the requests that the daemon has at its backend servers."""
        return sum(each.in_flight for each in self.servers.values())

    def read_tokens(self):
        """Return the tokens of the budgets of retries and of second attempts."""
        tables = (self.daemon.state.retries.budgets, self.daemon.state.hedging.budgets)
        return [table["s"].tokens if "s" in table else 0.0 for table in tables]

    def finish(self):
        """Let the time pass until nothing is pending."""
        self.daemon.now += 1.0
        self._collect(self.daemon.tick())

    def request_free(self, *, only_free=True, avoided=("i-0",)):
        """Receive a peer's slot request for a second attempt; returns the answer."""
        request = SlotRequest(
            call_id=77,
            request_id="peer-77",
            service="s",
            route="/read/",
            work=USUAL_SECONDS,
            waited=0.1,
            remaining=0.4,
            attempt=1,
            avoided=avoided,
            only_free=only_free,
        )
        now = self.daemon.now
        orders = self.daemon.run(
            SlotRequested(now=now, wall=now, requester="front-3", request=request)
        )
        return find(orders, (GrantSlot, DenySlot))

    def become_asker(self):
        """Let a peer own the service's queue."""
        # Rankings are kept for a while.
        self.daemon.now += 0.5
        self.daemon.receive_heartbeat(OWNER)
        self.daemon.state.owners.suspected_until[self.daemon.state.name] = float("inf")

    def _name_place(self, server):
        return {self.first: "first", self.second: "second"}.get(server, server)

    def _find_all(self, kind):
        return [each for each in self.orders if isinstance(each, kind)]

    def _collect(self, orders):
        for order in orders:
            self.orders.append(order)
            if isinstance(order, messages.SlotFreed):
                self._collect(self.daemon.run(order))

    def _grant(self, call_id, server):
        now = self.daemon.now
        grant = SlotGrant(server=server)
        self._collect(
            self.daemon.run(SlotGranted(now=now, owner=OWNER, call_id=call_id, grant=grant))
        )

    def _find_second_request(self):
        return next(each for each in self._find_all(RequestSlot) if each.request.only_free).request

    def _find_server(self, place):
        return {"first": self.first, "second": self.second}[place]

    def _do_slow(self):
        """Let the tick come that the daemon ordered, and note the second attempt."""
        due = find(self.orders, TickAt)
        self.daemon.now += SLOW_SECONDS
        self.tokens_when_slow = self.read_tokens()
        assert due is None or due.at <= self.daemon.now, due
        self._collect(self.daemon.tick())
        dispatched = self.list_dispatched()
        self.second = dispatched[1] if len(dispatched) > 1 else None

    def _do_wait(self, milliseconds):
        self.daemon.now += int(milliseconds) / 1000
        self._collect(self.daemon.tick())

    def _do_answers(self, place, status="200"):
        ran = status != "refused"
        server = self._find_server(place)
        status = int(status) if ran else 503
        self._collect(self.daemon.answer(self.call_id, server, status=status, ran=ran))

    def _do_breaks(self, place, part=""):
        failed = messages.DispatchFailed(
            now=self.daemon.now,
            call_id=self.call_id,
            server=self._find_server(place),
            sent=part != "unsent",
            relay_started=part == "relayed",
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        self._collect(self.daemon.run(failed))

    def _do_relays(self, place, status="200"):
        server = self._find_server(place)
        began = RelayBegan(
            now=self.daemon.now, call_id=self.call_id, server=server, status=int(status)
        )
        self._collect(self.daemon.run(began))

    def _do_disconnects(self):
        left = messages.CallerDisconnected(now=self.daemon.now, call_id=self.call_id)
        self._collect(self.daemon.run(left))

    def _do_granted(self, server):
        self._grant(self._find_second_request().call_id, server)
        dispatched = self.list_dispatched()
        self.second = dispatched[1] if len(dispatched) > 1 else None

    def _do_denied(self):
        refusal = Refusal(codes.OVERLOADED, "no slot is free")
        call_id = self._find_second_request().call_id
        denied = SlotDenied(now=self.daemon.now, call_id=call_id, refusal=refusal)
        self._collect(self.daemon.run(denied))

    def _do_queued(self):
        call_id = self._find_second_request().call_id
        self._collect(self.daemon.run(SlotQueued(now=self.daemon.now, call_id=call_id)))

    def _do_leaving(self, *names):
        for name in names:
            self.servers[name].is_listed_leaving = True

    def _do_cold(self, *names):
        for name in names:
            self.servers[name].cold_until = self.daemon.now + 9.0

    def _do_warming(self, *names):
        for name in names:
            self.servers[name].ramp = 1

    def _do_paused(self, *names):
        for name in names:
            self.servers[name].paused_until = self.daemon.now + 9.0

    def _do_full(self, *names):
        for name in names:
            self.servers[name].view.set_peer_count("front-9", 3, self.daemon.now + 9.0)

    def _do_waiting(self):
        """Let another read wait for a slot; the slots that are free then are not known yet."""
        self._do_full(*SERVERS)
        self.daemon.arrive()
        for each in self.servers.values():
            each.view.set_peer_count("front-9", 0, self.daemon.now)

    def _do_spent(self, kind):
        state = self.daemon.state
        budgets = state.retries.budgets if kind == "retries" else state.hedging.budgets
        budgets["s"].tokens = 0.9

    def _do_saved(self):
        self.daemon.state.retries.budgets["s"].tokens = 3.0

    def _do_suspected(self):
        self.daemon.state.suspects.add(5, ServerRun(name="i-9", born=1), self.daemon.now)

    def _do_slowed(self, factor):
        report = LoadReport(running=1, waiting=0, slots=3, slowdown=float(factor))
        at = self.daemon.now + SLOW_SECONDS
        self.servers[self.first].view.apply_report(report, 1, at)
