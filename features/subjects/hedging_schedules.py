"""Subject: random schedules of calls with two attempts, chosen by hypothesis."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, RelayBegan, SecondResult
from dotterelgate_core.slots import (
    RequestSlot,
    SlotDenied,
    SlotGrant,
    SlotGranted,
    SlotQueued,
)
from subjects.hedging import OWNER, SERVERS, SHARE, HedgingDaemon
from subjects.store_daemon import RETRY_BURST, RETRY_SHARE

ATTEMPTS = 3
EXAMPLES = 150
STEPS = 60
ANSWERS = (messages.Relay, messages.RefuseCall)


class HedgingSchedule(RuleBasedStateMachine):
    """One daemon, its owner, and backend servers that answer in any order."""

    def __init__(self):
        super().__init__()
        subject = HedgingDaemon(owner=OWNER, attempts=ATTEMPTS)
        subject._become_asker()
        self.daemon = subject.daemon
        self.state = subject.daemon.state
        self.running = {}
        self.arrived = set()
        self.may_have_run = set()
        self.ended = {}
        self.relayed = set()
        self.asked = {}
        self.writes = set()
        self.started = self.further = 0
        self.requests = 0

    @rule(kind=st.sampled_from(("read", "read", "write")))
    def arrive(self, kind):
        """Let a request arrive."""
        call_id = self.daemon.next_id + 1
        if kind == "write":
            self.writes.add(call_id)
        self.arrived.add(call_id)
        self.requests += 1
        self.carry_out(self.daemon.arrive(f"/{kind}/x")[1])

    @rule(milliseconds=st.sampled_from((0, 5, 60, 110, 600)))
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
        call_id = data.draw(st.sampled_from(sorted(self.asked)))
        now = self.daemon.now
        refusal = Refusal(codes.OVERLOADED, "no slot is free")
        grant = SlotGrant(server=server)
        answer = data.draw(
            st.sampled_from(
                (
                    SlotGranted(now=now, owner=OWNER, call_id=call_id, grant=grant),
                    SlotGranted(now=now, owner=OWNER, call_id=call_id, grant=grant),
                    SlotDenied(now=now, call_id=call_id, refusal=refusal),
                    SlotQueued(now=now, call_id=call_id),
                )
            )
        )
        self.carry_out(self.daemon.run(answer))

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
        assert self.started <= SHARE * (self.requests + 10 / SHARE), "share exceeded"
        allowed = RETRY_BURST + RETRY_SHARE * self.requests
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
                self.asked[order.request.call_id] = order.request
            elif isinstance(order, CountSecondAttempt):
                self.started += order.result is SecondResult.STARTED
            elif isinstance(order, (*ANSWERS, messages.ReleaseCall)):
                count = self.ended.get(order.call_id, 0)
                self.ended[order.call_id] = count + isinstance(order, ANSWERS)
                left = [each for each in self.running if each[0] == order.call_id]
                assert not left, f"{left} run after the answer"

    def _dispatch(self, order):
        key = (order.call_id, order.server.name)
        assert key not in self.running, "two attempts at one server"
        assert order.call_id not in self.ended, "sent after the answer"
        self.running[key] = True
        self.further += order.attempt > 1
        assert order.attempt <= ATTEMPTS, order
        is_repeated = order.call_id in self.may_have_run
        assert not is_repeated or order.call_id not in self.writes, "a write was repeated"
        self.may_have_run.add(order.call_id)


def run_schedules():
    """Run the schedules; raises AssertionError with the smallest that fails."""
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
