"""A batch job is accepted, and the instance that the store names as its owner does not know of it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

from standins import ModelServer, config, now, run_case  # noqa: E402

JOB = "6a00c1d2e3f40506"
OTHER_JOB = "6b00c1d2e3f40506"
BUSY_S = 2.0
FINISH_S = 18.0


class Trouble:
    """Of the writes of one machine, the one that creates the batch job is done and not answered;
    after the store's next answer to such a write it turns the machine away for BUSY_S."""

    def __init__(self, record):
        self.record = record
        self.creates = 0
        self.busy_from = None

    def __call__(self, request):
        if self.busy_from is not None:
            return "busy" if now() < self.busy_from + BUSY_S else None
        if request.method != "POST" or not request.path.endswith("/pistachiofall-jobs"):
            return None
        self.creates += 1
        if self.creates == 1:
            self.record("store: the batch job is created, the answer is lost")
            return "lost"
        self.busy_from = now()
        self.record(f"store: answers the repeat, then turns this machine away for {BUSY_S:.0f} s")
        return None


async def case(fleet, client, has_trouble, record):
    fleet.servers = [ModelServer(fleet.store, record, f"i-{zone}", "lm", zone, slots=4, events=10)
                     for zone in fleet.ZONES]
    await fleet.start(config(1, "lm", retention_s=600.0))
    other, first, another = fleet.fronts()
    if has_trouble:
        fleet.store.faults[first.name] = Trouble(record)
    # A client sends the batch job again, at another node, until it is accepted.
    for instance in (first, other, another):
        status, _ = await client.submit(instance, JOB, 5)
        if status == 202:
            break
    else:
        raise RuntimeError("the batch job is not accepted")
    accepted = now()
    await asyncio.sleep(8)
    # Another batch job shows that the machines, the store and the servers work.
    status, _ = await client.submit(first, OTHER_JOB, 5)
    if status != 202:
        raise RuntimeError("the other batch job is not accepted")
    await asyncio.sleep(10)
    traffic_end = now()
    listed = 0
    while now() < traffic_end + FINISH_S:
        await asyncio.sleep(3)
        _, read = await client.results(other, JOB)
        listed = len(read["results"]) if read else -1
        if not has_trouble and listed == 5:
            break
    _, others = await client.results(other, OTHER_JOB)
    if not others or len(others["results"]) != 5:
        raise RuntimeError("the other batch job is not done either")
    arrived = sum(item.startswith(JOB) for server in fleet.servers
                  for _, item, _ in server.arrivals)
    print(f"{now() - accepted:.0f} s after the 202 {listed} of 5 items are listed, "
          f"{arrived} have reached a server; the servers run "
          f"{sum(server.running for server in fleet.servers)} requests")
    return 1 if listed == 0 and arrived == 0 else 0


sys.exit(run_case(HERE, case))
