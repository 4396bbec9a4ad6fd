"""Subject: callers that send requests without pause."""

from __future__ import annotations

import json
import random
import threading
import time
import uuid
from dataclasses import dataclass, field

SEED = 5
PAUSE_SECONDS = 0.005


@dataclass
class Load:
    """Callers on threads of their own; each keeps one request in progress.

    A caller moves on to the next daemon where a listener is closed, as the
    platform's balancer would.
    """

    system: object
    names: list[str]
    writes: bool = True
    answers: list = field(default_factory=list)
    keys: list[str] = field(default_factory=list)
    wrong: list = field(default_factory=list)
    is_running: bool = True

    def start(self, callers: int = 6) -> None:
        """Start the callers."""
        self.threads = [
            threading.Thread(target=self._call, args=(number,)) for number in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self.is_running = False
        for thread in self.threads:
            thread.join(timeout=30)

    def _call(self, number: int) -> None:
        rng = random.Random(SEED + number)
        turn = number
        while self.is_running:
            turn += 1
            name = self.names[turn % len(self.names)]
            if self.writes and rng.random() < 0.3:
                self._write(name)
            else:
                self._read(name, f"{number}-{turn}", rng.randint(1, 40))
            time.sleep(PAUSE_SECONDS)

    def _read(self, name: str, request_id: str, milliseconds: int) -> None:
        headers = {"Request-Id": request_id}
        answer = self.system.request(name, "GET", f"/stock/1?ms={milliseconds}", headers=headers)
        self._record(name, answer, request_id)

    def _write(self, name: str) -> None:
        key = str(uuid.uuid4())
        answer = self.system.write(name, key)
        if answer.status == 200:
            self.keys.append(key)
        self._record(name, answer, None)

    def _record(self, name: str, answer, request_id: str | None) -> None:
        if "ConnectError" in answer.error:
            return
        self.answers.append((name, answer))
        is_complete = answer.status == 200
        if is_complete and request_id is not None:
            is_complete = json.loads(answer.body)["id"] == request_id
        if not is_complete and answer.outcome not in ("not-run", "attempt-not-run"):
            self.wrong.append((name, answer))
