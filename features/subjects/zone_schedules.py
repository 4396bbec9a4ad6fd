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
from subjects.store_daemon import RETRY_BURST, RETRY_SHARE, StoreDaemon
from subjects.zone import CALL_IDS_PER_DAEMON, address_order

STEPS = 300
DAEMONS = 3
SERVERS = 4
LIMIT_SECONDS = 0.5
# Time after the last step within which every call must end.
SETTLING_SECONDS = 3.0
TICK_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.24
LOSS_SHARE = 0.1
REPEATED_SHARE = 0.05
SLOT_ORDERS = (RequestSlot, DenySlot, GrantSlot, QueueSlot, WithdrawSlot)
NOT_FULL = LoadReport(running=1, waiting=0, slots=3)


class ZoneSchedule:
    """One random schedule; ``faults`` lists the violations that were found."""

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._sequence = itertools.count()
        self._events = []
        self._paused = {}
        self._daemons = {}
        self._dispatched = {}
        self._writes = set()
        self._may_have_run = set()
        self._sent = set()
        self._leaving = {}
        self._requests = 0
        self._further_attempts = 0
        self._offset = 0
        self._incarnations = itertools.count(1)
        self._budget = 0.0
        self.now = 100.0
        self._heartbeat_at = self.now
        self.faults = []
        for number in range(DAEMONS):
            self._start(f"front-{number}")

    def run(self):
        """Run the schedule; returns the faults."""
        actions = (
            *(self._arrive,) * 4,
            *(self._answer,) * 4,
            self._reject,
            self._break_connection,
            self._disconnect_caller,
            self._change_entry,
            self._pause,
            self._kill,
        )
        for _ in range(STEPS):
            self._advance(self._random.choice((0.0, 0.002, 0.02, 0.1)))
            self._random.choice(actions)()
        self._settle()
        allowed = self._budget + RETRY_SHARE * self._requests
        if self._further_attempts > allowed:
            self.faults.append(f"{self._further_attempts} further attempts of {allowed} allowed")
        return self.faults

    def _start(self, name):
        """Start a daemon, or restart it with empty state."""
        incarnation = next(self._incarnations)
        daemon = StoreDaemon(seed=incarnation, policy="granted_queue", name=name)
        daemon.now = self.now
        daemon.next_id = CALL_IDS_PER_DAEMON * incarnation
        daemon.configure()
        self._daemons[name] = daemon
        self._leaving[name] = set()
        self._budget += RETRY_BURST
        for number in range(SERVERS):
            self._offset += 1
            daemon.register(f"i-{number}", offset=self._offset)

    def _advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + TICK_SECONDS)
            self._step()

    def _step(self):
        for name in [name for name, until in self._paused.items() if until <= self.now]:
            del self._paused[name]
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
        if self.now - self._heartbeat_at >= HEARTBEAT_SECONDS:
            self._heartbeat_at = self.now
            self._send_heartbeats()
        for name, daemon in list(self._daemons.items()):
            if name not in self._paused:
                daemon.now = self.now
                self._carry_out(name, daemon.tick())
                self._announce_loads(name, daemon)

    def _send_heartbeats(self):
        for name, daemon in self._daemons.items():
            if name in self._paused:
                continue
            states = daemon.state.servers.states.items()
            counts = {server: each.in_flight for server, each in states if each.in_flight}
            for other in self._daemons:
                if other != name:
                    self._send(
                        other,
                        lambda to, name=name, counts=counts: to.receive_heartbeat(
                            name, in_flight=counts
                        ),
                    )

    def _send(self, name, deliver):
        """Send a datagram; it may be lost, late or repeated."""
        copies = 1
        if self._random.random() < LOSS_SHARE:
            copies = 0
        elif self._random.random() < REPEATED_SHARE:
            copies = 2
        for _ in range(copies):
            delay = self._random.choice((0.0, 0.001, 0.03))
            entry = (self.now + delay, next(self._sequence), lambda: self._deliver(name, deliver))
            heapq.heappush(self._events, entry)

    def _deliver(self, name, deliver):
        if name in self._paused:
            entry = (self._paused[name], next(self._sequence), lambda: self._deliver(name, deliver))
            heapq.heappush(self._events, entry)
            return
        daemon = self._daemons[name]
        daemon.now = self.now
        self._carry_out(name, deliver(daemon) or [])

    def _announce_loads(self, name, daemon):
        table = daemon.state.servers
        names = [each for each in table.changed if each in table.states]
        table.changed.clear()
        table.sampled.clear()
        if not names:
            return
        loads = [build_load_entry(table.states[each], self.now) for each in names]
        update = LoadUpdate(sender=name, incarnation="a", loads=loads)
        for listener in select_listeners(daemon.state, "s", self.now):
            self._send(listener, lambda to: to.run_control(read_load_update(update, self.now)))

    def _pick_daemon(self):
        names = sorted(set(self._daemons) - set(self._paused))
        return self._random.choice(names) if names else None

    def _arrive(self):
        name = self._pick_daemon()
        if name is None:
            return
        daemon = self._daemons[name]
        daemon.now = self.now
        method = self._random.choice(("read", "write"))
        call_id = daemon.next_id + 1
        if method == "write":
            self._writes.add(call_id)
        self._requests += 1
        limit = self._random.choice((0.1, LIMIT_SECONDS))
        _, orders = daemon.arrive(f"/{method}/x", timeout=limit)
        self._carry_out(name, orders)

    def _pick_call(self):
        calls = [
            (call_id, *at)
            for call_id, at in sorted(self._dispatched.items())
            if at[0] not in self._paused
        ]
        return self._random.choice(calls) if calls else None

    def _answer(self):
        picked = self._pick_call()
        if picked is not None:
            call_id, name, server = picked
            del self._dispatched[call_id]
            daemon = self._daemons[name]
            status = self._random.choice((200, 200, 500))
            self._carry_out(name, daemon.answer(call_id, server, status=status, load=NOT_FULL))

    def _reject(self):
        picked = self._pick_call()
        if picked is not None:
            call_id, name, server = picked
            del self._dispatched[call_id]
            self._may_have_run.discard(call_id)
            daemon = self._daemons[name]
            orders = daemon.answer(call_id, server, status=503, ran=False, load=NOT_FULL)
            self._carry_out(name, orders)

    def _break_connection(self):
        picked = self._pick_call()
        if picked is None:
            return
        call_id, name, server = picked
        del self._dispatched[call_id]
        sent = self._random.random() < 0.5
        if not sent:
            self._may_have_run.discard(call_id)
            self._sent.discard(call_id)
        failed = messages.DispatchFailed(
            now=self.now,
            call_id=call_id,
            server=server,
            sent=sent,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        self._carry_out(name, self._daemons[name].run(failed))

    def _disconnect_caller(self):
        name = self._pick_daemon()
        if name is None:
            return
        daemon = self._daemons[name]
        own = [each for each, call in daemon.state.calls.states.items() if call.requester is None]
        if own:
            disconnected = messages.CallerDisconnected(
                now=self.now, call_id=self._random.choice(sorted(own))
            )
            self._carry_out(name, daemon.run(disconnected))

    def _change_entry(self):
        """Let each daemon read at a time of its own that a backend server is leaving or back."""
        server = f"i-{self._random.randrange(SERVERS)}"
        draining = self._random.random() < 0.5
        self._offset += 1
        for name in self._daemons:
            at = self.now + self._random.uniform(0.0, 0.3)
            apply_entry = self._build_entry_update(name, server, self._offset, draining)
            heapq.heappush(self._events, (at, next(self._sequence), apply_entry))

    def _build_entry_update(self, name, server, offset, draining):
        def apply_entry():
            daemon = self._daemons[name]
            known = daemon.registry.versions.get(server)
            if known is not None and offset <= known.position.offset:
                return
            leaving = self._leaving[name]
            (leaving.add if draining else leaving.discard)(server)
            self._carry_out(name, daemon.register(server, offset=offset, draining=draining))

        return apply_entry

    def _pause(self):
        name = self._pick_daemon()
        if name is not None and not self._paused:
            self._paused[name] = self.now + self._random.uniform(0.05, 2.0)

    def _kill(self):
        name = self._pick_daemon()
        if name is None or self._random.random() < 0.7:
            return
        self._dispatched = {each: at for each, at in self._dispatched.items() if at[0] != name}
        self._start(name)

    def _settle(self):
        """Let all time limits pass; then no call may remain open."""
        self._paused.clear()
        until = self.now + SETTLING_SECONDS
        while self.now < until:
            self._advance(TICK_SECONDS)
            self._answer()
        for name, daemon in self._daemons.items():
            remaining = set(daemon.state.calls.states) - set(self._dispatched)
            if remaining:
                self.faults.append(f"{name} still holds the calls {sorted(remaining)}")

    def _carry_out(self, name, orders):
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self._carry_out(name, self._daemons[name].run(order))
            elif isinstance(order, messages.Dispatch):
                self._record_dispatch(name, order)
            elif isinstance(order, messages.Cancel):
                self._dispatched.pop(order.call_id, None)
            elif isinstance(order, messages.RefuseCall):
                self._check_refusal(order)
            elif isinstance(order, SLOT_ORDERS):
                receiver, message = address_order(name, order, self.now)
                self._send(receiver, lambda to, message=message: to.run(message))

    def _record_dispatch(self, name, order):
        call_id = order.call_id
        if call_id in self._dispatched:
            self.faults.append(f"{call_id} was sent while it was at a backend server")
        if call_id in self._writes and call_id in self._may_have_run:
            self.faults.append(f"write {call_id} was sent again though it may have run")
        if order.server.name in self._leaving[name]:
            self.faults.append(f"{call_id} was sent to {order.server.name}, which left")
        self._further_attempts += call_id in self._sent
        self._sent.add(call_id)
        self._may_have_run.add(call_id)
        self._dispatched[call_id] = (name, order.server.name)

    def _check_refusal(self, order):
        is_not_run = order.refusal.outcome is codes.Outcome.NOT_RUN
        if is_not_run and order.call_id in self._may_have_run and order.call_id in self._writes:
            self.faults.append(f"write {order.call_id} was refused as not run but may have run")
