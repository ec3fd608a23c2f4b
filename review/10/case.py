"""A process is killed and starts again; its successor grants a tenant's limit once more."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

from standins import ModelServer, NoAnswer, config, http_call, now, run_case  # noqa: E402

RATE, BURST, WINDOW_S, OVER, SLACK = 40, 40, 5.0, 0.1, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
DOWN_S = 0.5
CLIENTS = 40
HEADERS = [("Host", "batch.example"), ("Authorization", "Bearer key-1-abcdefgh"),
           ("Deadline-Ms", "1000")]


async def case(fleet, _, has_trouble, record):
    fleet.servers = [ModelServer(fleet.store, record, f"i-{zone}-{index}", "desk", zone, slots=8,
                                 first_ms=10, is_plain=True)
                     for zone in fleet.ZONES for index in (1, 2)]
    route = {"name": "r-desk", "host": "batch.example", "path_prefix": "/desk/", "kind": "safe",
             "timeout_ms": 1000, "slo_ms": 150, "priority": 0, "service": "desk", "attempts": 2,
             "public": False}
    await fleet.start(config(1, "desk", routes=[route], rate=RATE, burst=BURST))
    # The other machines have seen a whole window of requests.
    await asyncio.sleep(5)
    front = fleet.fronts()[0]
    statuses = {}
    end = now() + 5.0

    async def send(client):
        number = 0
        while now() < end:
            number += 1
            try:
                status, _, _ = await http_call(
                    front.address, "POST", f"/desk/{client}",
                    [*HEADERS, ("Request-Id", f"{client:04x}{number:012x}")], b"x", 1.0)
            except NoAnswer:
                status = 0
                await asyncio.sleep(0.1)
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.1)

    async def trouble():
        await asyncio.sleep(1.8)
        front.signal(signal.SIGKILL)
        await front.process.wait()
        await asyncio.sleep(DOWN_S)
        await front.start()

    await asyncio.gather(*[send(client) for client in range(CLIENTS)],
                         *([trouble()] if has_trouble else []))
    await asyncio.sleep(0.5)
    times = sorted(at for server in fleet.servers for at, _, _ in server.arrivals)
    most = max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)
    record(f"the clients got {statuses}; within {WINDOW_S:.0f} s {most} requests of the tenant "
           f"reached servers, {ALLOWED:.0f} are allowed")
    print(f"{most} requests of the tenant ran within {WINDOW_S:.0f} s; {ALLOWED:.0f} are allowed")
    return 1 if most > ALLOWED else 0


sys.exit(run_case(HERE, case))
