"""Subject: random schedules for one daemon that follows a keyed store."""

from __future__ import annotations

import random

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.loads import LoadReport
from subjects.store_daemon import RETRY_BURST, RETRY_SHARE, StoreDaemon

STEPS = 250
SERVERS = 4
NOT_FULL = LoadReport(running=1, waiting=0, slots=3)


class StoreDaemonSchedule:
    """One random schedule; ``faults`` lists the violations that were found."""

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._daemon = StoreDaemon(seed=seed)
        self._daemon.configure(1)
        self._offset = 0
        self._revision = 1
        self._dispatched = {}
        self._may_have_run = set()
        self._writes = set()
        self._leaving = set()
        self._requests = 0
        self._further_attempts = 0
        self._sent = set()
        self.faults = []
        for number in range(SERVERS):
            self._register(f"i-{number}")

    def run(self):
        """Run the schedule; returns the faults."""
        actions = (
            self._arrive,
            self._arrive,
            self._answer,
            self._answer,
            self._reject,
            self._break_connection,
            self._disconnect_caller,
            self._change_entry,
            self._change_configuration,
        )
        for _ in range(STEPS):
            self._daemon.now += self._random.choice((0.0, 0.005, 0.02, 0.1))
            self._carry_out(self._daemon.tick())
            self._random.choice(actions)()
        allowed = RETRY_BURST + RETRY_SHARE * self._requests
        if self._further_attempts > allowed:
            self.faults.append(f"{self._further_attempts} further attempts of {allowed} allowed")
        return self.faults

    def _arrive(self):
        method = self._random.choice(("read", "write"))
        if method == "write":
            self._writes.add(self._daemon.next_id + 1)
        self._requests += 1
        _, orders = self._daemon.arrive(f"/{method}/x", timeout=self._random.choice((0.1, 0.5)))
        self._carry_out(orders)

    def _pick_call(self):
        return (
            self._random.choice(sorted(self._dispatched.items()))
            if self._dispatched
            else (None, None)
        )

    def _answer(self):
        call_id, server = self._pick_call()
        if call_id is not None:
            self._dispatched.pop(call_id)
            status = self._random.choice((200, 200, 500))
            self._carry_out(self._daemon.answer(call_id, server, status=status, load=NOT_FULL))

    def _reject(self):
        call_id, server = self._pick_call()
        if call_id is not None:
            self._dispatched.pop(call_id)
            self._may_have_run.discard(call_id)
            orders = self._daemon.answer(call_id, server, status=503, ran=False, load=NOT_FULL)
            self._carry_out(orders)

    def _break_connection(self):
        call_id, server = self._pick_call()
        if call_id is None:
            return
        self._dispatched.pop(call_id)
        sent = self._random.random() < 0.5
        if not sent:
            self._may_have_run.discard(call_id)
            self._sent.discard(call_id)
        failed = messages.DispatchFailed(
            now=self._daemon.now,
            call_id=call_id,
            server=server,
            sent=sent,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
        self._carry_out(self._daemon.run(failed))

    def _disconnect_caller(self):
        call_id, _ = self._pick_call()
        if call_id is not None:
            disconnected = messages.CallerDisconnected(now=self._daemon.now, call_id=call_id)
            self._carry_out(self._daemon.run(disconnected))

    def _change_entry(self):
        name = f"i-{self._random.randrange(SERVERS)}"
        kind = self._random.choice(("put", "drain", "remove", "old"))
        if kind == "put":
            self._register(name)
        elif kind == "drain":
            self._register(name, draining=True)
        elif kind == "remove":
            self._offset += 1
            self._leaving.add(name)
            self._carry_out(self._daemon.remove(name, offset=self._offset))
        else:
            self._carry_out(self._daemon.register(name, offset=0))

    def _register(self, name, *, draining=False):
        self._offset += 1
        (self._leaving.add if draining else self._leaving.discard)(name)
        orders = self._daemon.register(name, offset=self._offset, draining=draining)
        self._carry_out(orders)

    def _change_configuration(self):
        revision = self._random.randrange(self._revision + 3)
        self._carry_out(self._daemon.configure(revision))
        self._revision = max(self._revision, revision)
        in_force = self._daemon.state.configuration.current.revision
        if in_force != self._revision:
            self.faults.append(f"version {in_force} after {self._revision}")

    def _carry_out(self, orders):
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self._carry_out(self._daemon.run(order))
            elif isinstance(order, messages.Dispatch):
                self._record_dispatch(order)
            elif isinstance(order, messages.Cancel):
                self._dispatched.pop(order.call_id, None)
            elif isinstance(order, messages.RefuseCall):
                self._check_refusal(order)

    def _record_dispatch(self, order):
        call_id = order.call_id
        if call_id in self._writes and call_id in self._may_have_run:
            self.faults.append(f"write {call_id} was sent again though it may have run")
        if order.server.name in self._leaving:
            self.faults.append(f"{call_id} was sent to {order.server.name}, which left")
        self._further_attempts += call_id in self._sent
        self._sent.add(call_id)
        self._may_have_run.add(call_id)
        self._dispatched[call_id] = order.server.name

    def _check_refusal(self, order):
        is_not_run = order.refusal.outcome is codes.Outcome.NOT_RUN
        if is_not_run and order.call_id in self._may_have_run and order.call_id in self._writes:
            self.faults.append(f"write {order.call_id} was refused as not run but may have run")
