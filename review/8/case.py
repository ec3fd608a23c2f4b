"""A machine freezes, its batch job is ended meanwhile, and it goes on with the job's items."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

from standins import ModelServer, config, now, run_case  # noqa: E402

JOB = "8a00c1d2e3f40508"
CONTACT_S = 3.0
CANCEL_S = 3.0
FREEZE_S = 2.5
DUE_MS = 90000


async def case(fleet, client, has_trouble, record):
    fleet.servers = [ModelServer(fleet.store, record, f"i-{zone}", "lm", zone, slots=4, events=10)
                     for zone in fleet.ZONES]
    await fleet.start(config(1, "lm", due_ms=DUE_MS, retention_s=120.0))
    owner, other = fleet.fronts()[:2]
    status, _ = await client.submit(owner, JOB, 200)
    if status != 202:
        raise RuntimeError("the batch job is not accepted")
    await asyncio.sleep(1.5)
    calm_from = 0.0
    if has_trouble:
        owner.signal(signal.SIGSTOP)
        frozen = now()
        await asyncio.sleep(2.0)
    status, _ = await client.end(other, JOB)
    ended = now()
    if status != 200:
        raise RuntimeError("the end is not acknowledged")
    if has_trouble:
        await asyncio.sleep(frozen + FREEZE_S - now())
        owner.signal(signal.SIGCONT)
        calm_from = now()
    bound = max(ended + CANCEL_S, calm_from + CONTACT_S)
    record(f"the end was acknowledged at {ended:.3f} s; from {bound:.3f} s on no item may arrive")
    await asyncio.sleep(bound + 15 - now())
    late = [(at, item) for server in fleet.servers for at, item, _ in server.arrivals if at > bound]
    for at, item in sorted(late):
        record(f"UNASKED: {item} of the ended batch job reaches a server, "
               f"{at - ended:.3f} s after the acknowledgement")
    print(f"{len(late)} items reached servers later than allowed"
          + (f", the last one {max(late)[0] - ended:.1f} s after the end" if late else ""))
    return 1 if late else 0


sys.exit(run_case(HERE, case))
