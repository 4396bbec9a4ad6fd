"""Subject: random schedules for daemons of a zone that grant each other slots."""

from __future__ import annotations

import heapq
import itertools
import random

from dotterelgate_border.datagrams import LoadUpdate
from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.owners import select_listeners
from dotterelgate_core.slots import DenySlot, GrantSlot, QueueSlot, RequestSlot, WithdrawSlot
from dotterelgate_daemon.mesh import build_load_entry, read_load_update
from subjects.front import RETRY_BURST, RETRY_SHARE, Front
from subjects.zone import IDS_APART, address_order

STEPS = 300
FRONTS = 3
SERVERS = 4
LIMIT_SECONDS = 0.5
# Time after the last step within which every call must end.
ENDING_SECONDS = 3.0
TICK_SECONDS = 0.02
BEAT_SECONDS = 0.24
LOST_SHARE = 0.1
REPEATED_SHARE = 0.05
SLOT_ORDERS = (RequestSlot, DenySlot, GrantSlot, QueueSlot, WithdrawSlot)
NOT_FULL = LoadReport(running=1, waiting=0, slots=3)


class ZoneSchedule:
    """One random schedule; ``faults`` lists the violations that were found."""

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._later = []
        self._paused = {}
        self._fronts = {}
        self._open = {}
        self._writes = set()
        self._may_have_run = set()
        self._seen = set()
        self._left = {}
        self._requests = 0
        self._again = 0
        self._offset = 0
        self._incarnations = itertools.count(1)
        self._budget = 0.0
        self.now = 100.0
        self._beat_at = self.now
        self.faults = []
        for number in range(FRONTS):
            self._start(f"front-{number}")

    def run(self):
        """Run the schedule; returns the faults."""
        actions = (
            *(self._arrive,) * 4,
            *(self._answer,) * 4,
            self._reject,
            self._break,
            self._leave_caller,
            self._change_entry,
            self._pause,
            self._kill,
        )
        for _ in range(STEPS):
            self._pass(self._random.choice((0.0, 0.002, 0.02, 0.1)))
            self._random.choice(actions)()
        self._end()
        allowed = self._budget + RETRY_SHARE * self._requests
        if self._again > allowed:
            self.faults.append(f"{self._again} further attempts of {allowed} allowed")
        return self.faults

    def _start(self, name):
        """Start a daemon, or restart it with empty state."""
        incarnation = next(self._incarnations)
        front = Front(seed=incarnation, policy="granted_queue", name=name)
        front.now = self.now
        front.next_id = IDS_APART * incarnation
        front.configure()
        self._fronts[name] = front
        self._left[name] = set()
        self._budget += RETRY_BURST
        for number in range(SERVERS):
            self._offset += 1
            front.register(f"i-{number}", offset=self._offset)

    def _pass(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + TICK_SECONDS)
            self._step()

    def _step(self):
        for name in [name for name, until in self._paused.items() if until <= self.now]:
            del self._paused[name]
        while self._later and self._later[0][0] <= self.now:
            heapq.heappop(self._later)[2]()
        if self.now - self._beat_at >= BEAT_SECONDS:
            self._beat_at = self.now
            self._beat()
        for name, front in list(self._fronts.items()):
            if name not in self._paused:
                front.now = self.now
                self._take(name, front.tick())
                self._tell_changes(name, front)

    def _beat(self):
        for name, front in self._fronts.items():
            if name in self._paused:
                continue
            states = front.state.servers.states.items()
            counts = {server: each.in_flight for server, each in states if each.in_flight}
            for other in self._fronts:
                if other != name:
                    self._send(
                        other,
                        lambda to, name=name, counts=counts: to.hear_peer(name, in_flight=counts),
                    )

    def _send(self, name, deliver):
        """Send a datagram; it may be lost, late or repeated."""
        copies = 1
        if self._random.random() < LOST_SHARE:
            copies = 0
        elif self._random.random() < REPEATED_SHARE:
            copies = 2
        for _ in range(copies):
            delay = self._random.choice((0.0, 0.001, 0.03))
            entry = (self.now + delay, next(self._order), lambda: self._deliver(name, deliver))
            heapq.heappush(self._later, entry)

    def _deliver(self, name, deliver):
        if name in self._paused:
            entry = (self._paused[name], next(self._order), lambda: self._deliver(name, deliver))
            heapq.heappush(self._later, entry)
            return
        front = self._fronts[name]
        front.now = self.now
        self._take(name, deliver(front) or [])

    def _tell_changes(self, name, front):
        table = front.state.servers
        names = [each for each in table.changed if each in table.states]
        table.changed.clear()
        table.sampled.clear()
        if not names:
            return
        loads = [build_load_entry(table.states[each], self.now) for each in names]
        update = LoadUpdate(sender=name, incarnation="a", loads=loads)
        for listener in select_listeners(front.state, "s", self.now):
            self._send(listener, lambda to: to.tell(read_load_update(update, self.now)))

    def _pick_front(self):
        names = sorted(set(self._fronts) - set(self._paused))
        return self._random.choice(names) if names else None

    def _arrive(self):
        name = self._pick_front()
        if name is None:
            return
        front = self._fronts[name]
        front.now = self.now
        method = self._random.choice(("read", "write"))
        call_id = front.next_id + 1
        if method == "write":
            self._writes.add(call_id)
        self._requests += 1
        limit = self._random.choice((0.1, LIMIT_SECONDS))
        _, orders = front.arrive(f"/{method}/x", timeout=limit)
        self._take(name, orders)

    def _pick_call(self):
        calls = [
            (call_id, *at)
            for call_id, at in sorted(self._open.items())
            if at[0] not in self._paused
        ]
        return self._random.choice(calls) if calls else None

    def _answer(self):
        picked = self._pick_call()
        if picked is not None:
            call_id, name, server = picked
            del self._open[call_id]
            front = self._fronts[name]
            status = self._random.choice((200, 200, 500))
            self._take(name, front.answer(call_id, server, status=status, load=NOT_FULL))

    def _reject(self):
        picked = self._pick_call()
        if picked is not None:
            call_id, name, server = picked
            del self._open[call_id]
            self._may_have_run.discard(call_id)
            front = self._fronts[name]
            orders = front.answer(call_id, server, status=503, ran=False, load=NOT_FULL)
            self._take(name, orders)

    def _break(self):
        picked = self._pick_call()
        if picked is None:
            return
        call_id, name, server = picked
        del self._open[call_id]
        sent = self._random.random() < 0.5
        if not sent:
            self._may_have_run.discard(call_id)
            self._seen.discard(call_id)
        failed = messages.DispatchFailed(
            now=self.now,
            call_id=call_id,
            server=server,
            sent=sent,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        self._take(name, self._fronts[name].run(failed))

    def _leave_caller(self):
        name = self._pick_front()
        if name is None:
            return
        front = self._fronts[name]
        own = [each for each, call in front.state.calls.states.items() if call.requester is None]
        if own:
            left = messages.CallerDisconnected(
                now=self.now, call_id=self._random.choice(sorted(own))
            )
            self._take(name, front.run(left))

    def _change_entry(self):
        """Let each daemon read at a time of its own that a backend server is leaving or back."""
        server = f"i-{self._random.randrange(SERVERS)}"
        draining = self._random.random() < 0.5
        self._offset += 1
        for name in self._fronts:
            at = self.now + self._random.uniform(0.0, 0.3)
            learn = self._make_learning(name, server, self._offset, draining)
            heapq.heappush(self._later, (at, next(self._order), learn))

    def _make_learning(self, name, server, offset, draining):
        def learn():
            front = self._fronts[name]
            if offset <= front.registry.offsets.get(server, -1):
                return
            left = self._left[name]
            (left.add if draining else left.discard)(server)
            self._take(name, front.register(server, offset=offset, draining=draining))

        return learn

    def _pause(self):
        name = self._pick_front()
        if name is not None and not self._paused:
            self._paused[name] = self.now + self._random.uniform(0.05, 2.0)

    def _kill(self):
        name = self._pick_front()
        if name is None or self._random.random() < 0.7:
            return
        self._open = {each: at for each, at in self._open.items() if at[0] != name}
        self._start(name)

    def _end(self):
        """Let all time limits pass; then no call may remain open."""
        self._paused.clear()
        until = self.now + ENDING_SECONDS
        while self.now < until:
            self._pass(TICK_SECONDS)
            self._answer()
        for name, front in self._fronts.items():
            held = set(front.state.calls.states) - set(self._open)
            if held:
                self.faults.append(f"{name} still holds the calls {sorted(held)}")

    def _take(self, name, orders):
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self._take(name, self._fronts[name].run(order))
            elif isinstance(order, messages.Dispatch):
                self._take_dispatch(name, order)
            elif isinstance(order, messages.Cancel):
                self._open.pop(order.call_id, None)
            elif isinstance(order, messages.RefuseCall):
                self._check_refusal(order)
            elif isinstance(order, SLOT_ORDERS):
                receiver, message = address_order(name, order, self.now)
                self._send(receiver, lambda to, message=message: to.run(message))

    def _take_dispatch(self, name, order):
        call_id = order.call_id
        if call_id in self._open:
            self.faults.append(f"{call_id} was sent while it was at a backend server")
        if call_id in self._writes and call_id in self._may_have_run:
            self.faults.append(f"write {call_id} was sent again though it may have run")
        if order.server.name in self._left[name]:
            self.faults.append(f"{call_id} was sent to {order.server.name}, which left")
        self._again += call_id in self._seen
        self._seen.add(call_id)
        self._may_have_run.add(call_id)
        self._open[call_id] = (name, order.server.name)

    def _check_refusal(self, order):
        says_not_run = order.refusal.outcome is codes.Outcome.NOT_RUN
        if says_not_run and order.call_id in self._may_have_run and order.call_id in self._writes:
            self.faults.append(f"write {order.call_id} was told not run though it may have run")
