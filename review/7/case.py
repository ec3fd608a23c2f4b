"""Three servers crash, one after the other, while they have the same item; it is never run again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

from standins import ModelServer, config, now, run_case  # noqa: E402

JOB = "7a00c1d2e3f40507"
OTHER_JOB = "7b00c1d2e3f40507"
CRASHES = 3
DOWN_S = 4.5
TRAFFIC_S = 75.0  # from the submission on
FINISH_S = 18.0


async def case(fleet, client, has_trouble, record):
    fleet.servers = [ModelServer(fleet.store, record, f"i-{zone}-{index}", "lm", zone, slots=8,
                                 events=20, first_ms=500, gap_ms=20)
                     for zone in fleet.ZONES for index in (1, 2, 3)]
    await fleet.start(config(1, "lm", retention_s=600.0))
    other, owner = fleet.fronts()[:2]
    status, _ = await client.submit(owner, JOB, 1, prefix="5c1e07a2:100,")
    if status != 202:
        raise RuntimeError("the batch job is not accepted")
    submitted = now()
    crashed = set()

    async def restart(server):
        await asyncio.sleep(DOWN_S)
        server.name += "-again"
        await server.start()

    async def trouble():
        while len(crashed) < CRASHES:
            for server in fleet.servers:
                if server.name not in crashed and server.running > 0:
                    await asyncio.sleep(0.2)
                    crashed.add(server.name)
                    await server.crash()
                    await fleet.store.remove("servers", server.name)
                    asyncio.ensure_future(restart(server))
            await asyncio.sleep(0.05)

    if has_trouble:
        await asyncio.wait_for(trouble(), 20)
    last_crash = now()
    # Another batch job, whose items have another prompt, shows that the servers work.
    await asyncio.sleep(8)
    await client.submit(other, OTHER_JOB, 5, prefix="91bd3f06:100,")
    while now() < submitted + TRAFFIC_S + FINISH_S:
        await asyncio.sleep(5)
        _, read = await client.results(other, JOB)
        listed = len(read["results"]) if read else -1
        record(f"{now() - last_crash:.1f} s after the last crash {listed} of 1 is listed, "
               f"{sum(server.running for server in fleet.servers)} requests run at servers")
        if not has_trouble and listed == 1:
            break
    _, others = await client.results(other, OTHER_JOB)
    if not others or len(others["results"]) != 5:
        raise RuntimeError("the other batch job is not done either")
    failed = max((at for server in fleet.servers for at, item, _ in server.arrivals
                  if item.startswith(JOB)), default=0.0)
    is_lost = listed == 0 and now() - failed > 20
    print(f"{listed} of 1 item is listed {now() - last_crash:.0f} s after the last crash; "
          f"the item was last at a server {now() - failed:.0f} s ago")
    return 1 if is_lost else 0


sys.exit(run_case(HERE, case))
