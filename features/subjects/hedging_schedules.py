"""Subject: random schedules of calls with two attempts, chosen by hypothesis."""

from __future__ import annotations

from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, RelayBegan, SecondResult
from dotterelgate_core.hedging.starting import SECOND_REQUEST_BIT
from dotterelgate_core.slots import (
    RequestSlot,
    SlotDenied,
    SlotGrant,
    SlotGranted,
    SlotQueued,
)
from subjects.hedging import OWNER, SERVERS, SHARE, HedgingDaemon
from subjects.store_daemon import RETRY_BURST, RETRY_SHARE

EXAMPLES = 300
STEPS = 60
ANSWERS = (messages.Relay, messages.RefuseCall)
totals = Counter()


class HedgingSchedule(RuleBasedStateMachine):
    """One daemon, its owner, and backend servers that answer in any order."""

    def __init__(self):
        super().__init__()
        self.running = {}
        self.arrived = set()
        self.may_have_run = set()
        self.ended = {}
        self.relayed = set()
        self.asked = []
        self.writes = set()
        self.further = 0
        self.counts = dict.fromkeys(SecondResult, 0)
        self.requests = 0

    @initialize(saved=st.sampled_from((RETRY_BURST, 30.0)), allowed=st.sampled_from((1, 2, 3)))
    def start(self, saved, allowed):
        """Start the daemon.

        :param saved: further attempts that both budgets have saved up
        :param allowed: attempts allowed for each read
        """
        subject = HedgingDaemon(owner=OWNER, attempts=allowed)
        subject.become_asker()
        self.daemon = subject.daemon
        self.state = subject.daemon.state
        self.allowed = allowed
        self.saved = saved
        for budgets in (self.state.retries.budgets, self.state.hedging.budgets):
            budgets["s"].burst = budgets["s"].tokens = saved

    @rule(
        kind=st.sampled_from(("read", "read", "read", "write")),
        progress=st.sampled_from((0, 1, 2, 3, 3, 4)),
        servers=st.permutations(SERVERS),
    )
    def arrive(self, kind, progress, servers):
        """Let a request arrive and get to its first slot, slowness, a second slot or its answer."""
        call_id = self.daemon.next_id + 1
        if kind == "write":
            self.writes.add(call_id)
        self.arrived.add(call_id)
        self.requests += 1
        self.carry_out(self.daemon.arrive(f"/{kind}/x")[1])
        if progress > 0:
            self._grant(call_id, servers[0])
        if progress > 1:
            self.wait(milliseconds=60)
        if progress > 2:
            self._grant(call_id | SECOND_REQUEST_BIT, servers[1])
        if progress > 3 and self.running.pop((call_id, servers[1]), False):
            self.carry_out(self.daemon.answer(call_id, servers[1]))

    @rule(milliseconds=st.sampled_from((0, 5, 30, 60, 110, 600)))
    def wait(self, milliseconds):
        """Let time pass, with a tick at its end."""
        self.daemon.now += milliseconds / 1000
        # The owner stays known, and passed over by no other.
        self.daemon.receive_heartbeat(OWNER)
        self.carry_out(self.daemon.tick())

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), server=st.sampled_from(SERVERS))
    def let_owner_answer(self, data, server):
        """Let the owner answer a slot request of any age, perhaps a second time."""
        call_id = data.draw(st.sampled_from(self.asked))
        now = self.daemon.now
        refusal = Refusal(codes.OVERLOADED, "no slot is free")
        kind = data.draw(st.sampled_from(("grant", "grant", "denial", "queued")))
        if kind == "grant":
            self._grant(call_id, server)
        elif kind == "denial":
            denied = SlotDenied(now=now, call_id=call_id, refusal=refusal)
            self.carry_out(self.daemon.run(denied))
        else:
            self.carry_out(self.daemon.run(SlotQueued(now=now, call_id=call_id)))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), status=st.sampled_from((200, 200, 500, 503)))
    def answer(self, data, status):
        """Let a backend server answer or refuse."""
        call_id, server = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[call_id, server]
        if status == 503:
            self.may_have_run.discard(call_id)
        self.carry_out(self.daemon.answer(call_id, server, status=status, ran=status != 503))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), sent=st.booleans())
    def break_connection(self, data, sent):
        """Let a connection break."""
        call_id, server = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[call_id, server]
        is_relayed = (call_id, server) in self.relayed
        failed = messages.DispatchFailed(
            now=self.daemon.now,
            call_id=call_id,
            server=server,
            sent=sent or is_relayed,
            relay_started=is_relayed,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        if not failed.sent:
            self.may_have_run.discard(call_id)
        self.carry_out(self.daemon.run(failed))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), status=st.sampled_from((200, 500)))
    def begin_relay(self, data, status):
        """Let an answer become too large to be kept."""
        call_id, server = data.draw(st.sampled_from(sorted(self.running)))
        began = RelayBegan(now=self.daemon.now, call_id=call_id, server=server, status=status)
        self.carry_out(self.daemon.run(began))
        if (call_id, server) in self.running:
            self.relayed.add((call_id, server))
            others = [each for each in self.running if each[0] == call_id]
            assert others == [(call_id, server)], "an attempt runs beside a relayed answer"

    @precondition(lambda self: self.arrived)
    @rule(data=st.data())
    def disconnect(self, data):
        """Let a caller leave."""
        call_id = data.draw(st.sampled_from(sorted(self.arrived)))
        left = messages.CallerDisconnected(now=self.daemon.now, call_id=call_id)
        self.carry_out(self.daemon.run(left))

    @invariant()
    def check(self):
        """Check attempts, answers, slots and budgets."""
        in_flight = {name: each.in_flight for name, each in self.state.servers.states.items()}
        expected = dict.fromkeys(SERVERS, 0)
        for _, server in self.running:
            expected[server] += 1
        assert in_flight == expected, f"slots {in_flight}, requests {expected}"
        assert all(each <= 1 for each in self.ended.values()), "two answers to a caller"
        started = self.counts[SecondResult.STARTED]
        assert started <= self.saved + SHARE * self.requests, f"{started} second attempts"
        allowed = self.saved + RETRY_SHARE * self.requests
        assert self.further <= allowed, f"{self.further} further attempts of {allowed}"

    def carry_out(self, orders):
        """Carry out the daemon's orders."""
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self.carry_out(self.daemon.run(order))
            elif isinstance(order, messages.Dispatch):
                self._dispatch(order)
            elif isinstance(order, messages.Cancel):
                assert self.running.pop((order.call_id, order.server), 0), "cancelled twice"
            elif isinstance(order, RequestSlot):
                self.asked.append(order.request.call_id)
            elif isinstance(order, CountSecondAttempt):
                self.counts[order.result] += 1
                totals[order.result] += 1
            elif isinstance(order, (*ANSWERS, messages.ReleaseCall)):
                count = self.ended.get(order.call_id, 0)
                self.ended[order.call_id] = count + isinstance(order, ANSWERS)
                left = [each for each in self.running if each[0] == order.call_id]
                assert not left, f"{left} run after the answer"

    def _grant(self, call_id, server):
        granted = SlotGranted(
            now=self.daemon.now, owner=OWNER, call_id=call_id, grant=SlotGrant(server=server)
        )
        self.carry_out(self.daemon.run(granted))

    def _dispatch(self, order):
        key = (order.call_id, order.server.name)
        assert key not in self.running, "two attempts at one server"
        assert order.call_id not in self.ended, "sent after the answer"
        self.running[key] = True
        self.further += order.attempt > 1
        # The subject's route for writes sets no limit of its own.
        is_write = order.call_id in self.writes
        allowed = self.state.limits.retry_attempts if is_write else self.allowed
        assert order.attempt <= allowed, order
        is_repeated = order.call_id in self.may_have_run
        assert not is_repeated or order.call_id not in self.writes, "a write was repeated"
        self.may_have_run.add(order.call_id)


def run_schedules():
    """Run the schedules; raises AssertionError with the smallest that fails.

    :returns: how often each result of a second attempt was counted
    """
    totals.clear()
    run_state_machine_as_test(
        HedgingSchedule,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    return totals
