"""A request that crashes backends is known for it only until all daemons have been killed."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_3.backend import Backend
from rig_3.store import CONFIGURATION, Store
from rig_3.system import Outcome, System, configure, send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).resolve().parent / "record.txt"
STABLE_WINDOW = 3.0
ROUNDS = 6
DEADLY = "/archive/deadly"
ZONES = {"centro-a": ["front-a1", "front-a2"], "centro-b": ["front-b1"], "centro-c": ["front-c1"]}


async def play(lines: list[str]) -> int:
    store = Store()
    server = await asyncio.start_server(store.serve, "127.0.0.2", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    zones = list(ZONES)
    backends = [
        Backend(
            f"i-{number}", "archivo", zones[number % 3], store, f"127.0.0.{40 + number}", work=0.1
        )
        for number in range(12)
    ]
    for each in backends:
        each.deadly = DEADLY
    route = {"name": "archive-pull", "path-prefix": "/archive/", "route-type": "safe"}
    route |= {"timeout": 3.0, "target-latency": 0.8, "service": "archivo"}
    store.write(CONFIGURATION, "config", configure(1, [route], ["archivo"]))
    for each in backends:
        each.start()
    system = System(zones=ZONES, store=address)
    counter = itertools.count()
    sent: dict[str, float] = {}
    started: list[float] = []
    try:
        await system.start()
        started.append(time.monotonic())
        began = time.monotonic()
        for number in range(ROUNDS):
            if number:
                if TROUBLE:
                    for each in system.daemons.values():
                        each.end()
                    lines.append(f"all daemons were killed at {time.monotonic() - began:.3f} s")
                    await asyncio.sleep(0.5)
                    await system.start()
                    started.append(time.monotonic())
                else:
                    await asyncio.sleep(2.0)
            await asyncio.sleep(STABLE_WINDOW + 0.5)
            for name in system.daemons:
                outcome = await send(system.daemons[name], f"calm-{next(counter)}", path="/archive/1")
                lines.append(f"{outcome}")
            for outcome in await send_deadly(system, counter):
                sent[outcome.request_id] = outcome.sent_at
                lines.append(f"at {outcome.sent_at - began:.3f} s {outcome}")
            await asyncio.sleep(0.5)
        return judge(lines, backends, began, sent)
    finally:
        system.end()


async def send_deadly(system: System, counter: itertools.count) -> list[Outcome]:
    """Send the request, and once more at another daemon where the client would."""
    names = list(system.daemons)
    first = await send(system.daemons[names[0]], f"deadly-{next(counter)}", path=DEADLY)
    if first.answer is not None and "retry-after" in first.answer.headers:
        # Clients wait up to a third of their time; here that is 1 s.
        if float(first.answer.headers["retry-after"]) > 1.0:
            return [first]
    second = await send(system.daemons[names[1]], f"deadly-{next(counter)}", path=DEADLY)
    return [first, second]


def judge(lines: list[str], backends: list[Backend], began: float, sent: dict) -> int:
    crashes = sorted((at, id_, each.name) for each in backends for id_, at in each.crashes)
    lines += [f"{id_} crashed {name} at {at - began:.3f} s" for at, id_, name in crashes]
    if len(crashes) < 2:
        lines.append("the request crashed too few backends; the case couldn't run")
        return 2
    if len(crashes) < 3:
        return 0
    after = crashes[2][0] + STABLE_WINDOW
    late = [(id_, name) for at, id_, name in crashes if at > after]
    retries = {id_ for id_, _ in late}
    lines.append(f"later than stable-window after the third crash: {len(late)} more: {late}")
    lines.append(f"they are the client's attempts {sorted(retries)}, {len(retries)} in all")
    return 1 if min(len(late), len(retries)) > 3 else 0


def main() -> int:
    lines: list[str] = []
    try:
        result = asyncio.run(asyncio.wait_for(play(lines), 110))
    except Exception as error:
        lines.append(f"the case couldn't run: {error!r}")
        result = 2
    lines.append({0: "the rule held", 1: "the rule was broken", 2: "not run"}[result])
    RECORD.write_text("\n".join(lines) + "\n")
    return result


if __name__ == "__main__":
    sys.exit(main())
