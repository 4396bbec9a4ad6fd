"""One run of the soak: programs, callers and a random schedule of faults."""

from __future__ import annotations

import json
import random
import shutil
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httpx
from stand_ins.fleet import REGISTRY_TOPIC, PlatformPath

from soaking.callers import Callers
from soaking.configuration import HOST, build_configuration
from soaking.guarantees import Evidence, Span, check_guarantees
from soaking.proxy import FaultProxy, LinkFault

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SoakRun"]

SERVERS = 4
CALLERS = 8
# Time without faults in which all must recover: the platform's stable window, and a second in
# which each daemon is asked for its configuration.
RECOVERY_SECONDS = 4.0
# Share of the store's outages in which it answers no call instead of refusing each.
SILENT_SHARE = 0.5
# Share of the losses of the store's history in which it comes back from a copy instead.
RESTORE_SHARE = 0.7
# Share of the steps in which a backend server states something of itself as well, or another
# writer leaves an odd entry.
STATEMENT_SHARE = 0.15
LIMIT = "5"
PAUSE = "0.5"
ODD_ENTRIES = (
    b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"service": "stock", "address": "127.0.0.1:99999", "zone": "north", "slots": 3, '
    b'"state": "ready"}',
    b"\xff\x00",
)
POLL_SECONDS = 0.05
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


@dataclass
class SoakRun:
    """Real programs under random faults.

    :param seconds: time with faults
    :param daemons: number of daemons
    :param patient: callers of slow writes that may wait for long, beside the others
    """

    seed: int
    seconds: float
    daemons: int = 3
    patient: int = 0
    evidence: Evidence = field(default_factory=Evidence)
    notes: list[str] = field(default_factory=list)

    def run(self) -> list[str]:
        """Run the schedule; returns the violated guarantees."""
        self._random = random.Random(self.seed)
        # Seeds that failed before keep their schedules.
        self._variants = random.Random(self.seed)
        self._restores = random.Random(self.seed)
        self._is_recovering = False
        self._proxy = FaultProxy()
        self._platform = PlatformPath()
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._version = 0
        self._runs: dict[str, int] = {}
        self._down: set[str] = set()
        try:
            self._start()
            self._inject_faults()
            self._recover()
        finally:
            self._callers.stop()
            if not self._platform.stand_ins.has_ended():
                self._platform.stand_ins.thaw()
            self.evidence.results = self._callers.results
            self.evidence.arrivals = self._platform.read_arrivals()
            self._platform.stop()
            self._proxy.stop()
        violations = check_guarantees(self.evidence)
        if not violations:
            shutil.rmtree(self._platform.folder)
        return violations

    def _start(self) -> None:
        platform = self._platform
        platform.start(servers=SERVERS, proxy=self._proxy.add)
        self._publish()
        names = [f"front-{number}" for number in range(1, self.daemons + 1)]
        for name in names:
            store = self._proxy.add(f"store of {name}", platform.store)
            platform.start_daemon(name, store=store)
            self._runs[name] = 1
        self._callers = Callers(
            addresses={name: platform.settings[name]["callers"] for name in names},
            seed=self.seed,
            count=CALLERS + self.patient,
            patient=self.patient,
        )
        for name in names:
            platform.wait_ready(name)
        self._callers.start()

    def _inject_faults(self) -> None:
        actions = (
            self._kill,
            self._kill_all,
            self._pause,
            self._stop,
            self._fault_link,
            self._fault_link,
            self._fault_store,
            self._pause_stand_ins,
            self._drain_server,
            self._publish,
        )
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self._random.choice(actions)()
            if self._variants.random() < STATEMENT_SHARE:
                self._variants.choice((self._state_limit, self._state_pause, self._leave_entry))()
            # Depending on the pause, faults follow one another or overlap.
            self._advance(self._random.choice((0.05, 0.3, 1.0)))

    def _advance(self, seconds: float) -> None:
        """Let time pass and run the pending calls that are due."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            now = time.monotonic()
            due = [each for each in self._scheduled if each[0] <= now]
            self._scheduled = [each for each in self._scheduled if each[0] > now]
            for _, call in due:
                call()
            self._check_versions()
            time.sleep(POLL_SECONDS)

    def _recover(self) -> None:
        while self._scheduled:
            self._advance(POLL_SECONDS)
        self._publish()
        self._is_recovering = True
        self._advance(RECOVERY_SECONDS)
        for name in self._runs:
            versions = self.evidence.versions.get(self._name_run(name), [])
            if not versions or versions[-1] != self._version:
                self.evidence.late.append(
                    f"{name} does not serve version {self._version} after all faults: {versions}"
                )

    def _name_run(self, name: str) -> str:
        return f"{name} run {self._runs[name]}"

    def _check_versions(self) -> None:
        """Request from each daemon a route that exists in one version only."""
        for name in self._runs:
            if name in self._down:
                continue
            process = self._platform.daemons[name]
            if process.has_ended():
                self.evidence.ended.append(self._name_run(name))
                self._down.add(name)
                continue
            self._request_version(name)

    def _request_version(self, name: str) -> None:
        versions = self.evidence.versions.setdefault(self._name_run(name), [])
        version = self._random.choice((self._version, max(1, self._version - 1)))
        if self._is_recovering and self._version not in versions:
            # By chance all requests of the recovery may be for the version before.
            version = self._version
        url = f"http://{self._platform.settings[name]['callers']}/only-{version}/x"
        headers = {"host": HOST, "request-id": f"v{time.monotonic_ns()}"}
        try:
            status = httpx.get(url, headers=headers, timeout=0.3).status_code
        except httpx.TransportError:
            return
        if status == httpx.codes.OK:
            versions.append(version)

    def _schedule(self, seconds: float, call: Callable[[], None]) -> None:
        self._scheduled.append((time.monotonic() + seconds, call))

    def _record_fault(self, subject: str, seconds: float, what: str) -> None:
        now = time.monotonic()
        self.notes.append(f"{now:.2f} {subject}: {what} for {seconds:.2f} s")
        self.evidence.faults.append(
            Span(subject=subject, begun=now, ended=now + seconds, what=what)
        )

    def _choose_daemon(self) -> str | None:
        up = sorted(set(self._runs) - self._down)
        return self._random.choice(up) if up else None

    def _kill(self) -> None:
        name = self._choose_daemon()
        if name is None:
            return
        seconds = self._random.uniform(0.1, 1.5)
        self._record_fault(name, seconds, "killed")
        self._down.add(name)
        self._platform.daemons[name].kill()
        self._schedule(seconds, lambda: self._restart(name))

    def _kill_all(self) -> None:
        for name in sorted(set(self._runs) - self._down):
            self._record_fault(name, 0.5, "killed with all")
            self._down.add(name)
            self._platform.daemons[name].kill()
            self._schedule(0.5, lambda name=name: self._restart(name))

    def _restart(self, name: str) -> None:
        self._runs[name] += 1
        self._platform.daemons[name].start()
        self._down.discard(name)

    def _pause(self) -> None:
        name = self._choose_daemon()
        if name is None:
            return
        seconds = self._random.uniform(0.2, 2.5)
        self._record_fault(name, seconds, "paused")
        self._down.add(name)
        process = self._platform.daemons[name]
        process.freeze()

        def resume() -> None:
            process.thaw()
            self._down.discard(name)

        self._schedule(seconds, resume)

    def _stop(self) -> None:
        name = self._choose_daemon()
        if name is None:
            return
        process = self._platform.daemons[name]
        now = time.monotonic()
        limit = self._platform.settings[name]["stop_limit"]
        self.notes.append(f"{now:.2f} {name}: told to stop")
        self.evidence.stops.append(
            Span(subject=name, begun=now, ended=now + limit, what="told to stop")
        )
        self._down.add(name)
        process.send(signal.SIGTERM)

        def check_end() -> None:
            if process.has_ended():
                self._restart(name)
            elif time.monotonic() > now + limit + 1.0:
                self.evidence.late.append(f"{name} did not end within {limit} s of its stop")
                process.kill()
                self._restart(name)
            else:
                self._schedule(0.1, check_end)

        self._schedule(0.1, check_end)

    def _fault_link(self) -> None:
        name = self._random.choice(sorted(self._proxy.links))
        fault = self._random.choice(LINK_FAULTS)
        seconds = self._random.uniform(0.2, 2.5)
        self._record_fault(name, seconds, fault.value)
        self._proxy.set_fault(name, fault)
        self._schedule(seconds, lambda: self._proxy.set_fault(name, LinkFault.NONE))

    def _fault_store(self) -> None:
        faults = self._random.choice(
            ({"down": True}, {"slow_seconds": 0.4}, {"lost_share": 0.4}, {"forget": True})
        )
        if "down" in faults and self._variants.random() < SILENT_SHARE:
            faults = {"silent": True}
        seconds = self._random.uniform(0.3, 3.0)
        if "forget" in faults and self._restores.random() < RESTORE_SHARE:
            self._restore_store(seconds)
            return
        self._record_fault("store", seconds, json.dumps(faults))
        if "forget" in faults:
            self._platform.ask_store("/forget", {})
            return
        self._platform.ask_store("/faults", faults)
        self._schedule(seconds, lambda: self._platform.ask_store("/faults", {}))

    def _restore_store(self, seconds: float) -> None:
        """Let the store come back from a copy; all but the daemons write theirs again."""
        age = self._restores.uniform(0.5, 10.0)
        self._record_fault("store", seconds, f"away, back from a copy {age:.2f} s old")
        self._platform.ask_store("/faults", {"down": True})

        def bring_back() -> None:
            self._platform.ask_store("/restore", {"seconds": age})
            self._write_configuration()
            for number in range(1, SERVERS + 1):
                self._platform.register(f"i-{number}")
            self._platform.ask_store("/faults", {})

        self._schedule(seconds, bring_back)

    def _pause_stand_ins(self) -> None:
        seconds = self._random.uniform(0.1, 1.0)
        self._record_fault("all backend servers and the store", seconds, "paused")
        self._platform.stand_ins.freeze()
        # They cannot be controlled in the meantime.
        time.sleep(seconds)
        self._platform.stand_ins.thaw()

    def _state_limit(self) -> None:
        self._state("limit", LIMIT, seconds=self._variants.uniform(1.0, 5.0))

    def _state_pause(self) -> None:
        self._state("pause", PAUSE, seconds=self._variants.uniform(0.2, 1.0))

    def _state(self, statement: str, value: str, *, seconds: float) -> None:
        name = f"i-{self._variants.randint(1, SERVERS)}"
        self.notes.append(f"{time.monotonic():.2f} {name} states {statement} {value}")
        self._platform.state(name, statement, value)
        self._schedule(seconds, lambda: self._platform.state(name, statement, ""))

    def _leave_entry(self) -> None:
        entry = self._variants.randrange(len(ODD_ENTRIES))
        self.notes.append(f"{time.monotonic():.2f} another writer leaves the odd entry {entry}")
        self._platform.write_entry(REGISTRY_TOPIC, f"odd-{entry}", ODD_ENTRIES[entry])

    def _drain_server(self) -> None:
        name = f"i-{self._random.randint(1, SERVERS)}"
        now = time.monotonic()
        if any(each.subject == name and each.ended > now for each in self.evidence.leavings):
            return
        seconds = self._random.uniform(2.5, 5.0)
        self.notes.append(f"{now:.2f} {name}: leaves for {seconds:.2f} s")
        self._platform.drain(name)
        now = time.monotonic()
        self.evidence.leavings.append(
            Span(subject=name, begun=now, ended=now + seconds, what="leaves")
        )
        self._schedule(seconds + 0.1, lambda: self._platform.mark_ready(name))

    def _publish(self) -> None:
        self._version += 1
        self.notes.append(f"{time.monotonic():.2f} version {self._version} is written")
        self._write_configuration()

    def _write_configuration(self) -> None:
        document = build_configuration(self._version)
        self._platform.write(json.dumps(document).encode("utf-8"))
