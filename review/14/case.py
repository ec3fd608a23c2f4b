"""An item whose answer is lost by a reset is sent once more to a server that has been draining for longer than drain_ms."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

DRAIN_MS = 2000
# The run of the item whose answer is lost: it waits for a place in the server's batch, and runs.
RUN_S = 2.6
# How long the draining server goes on after drain_ms.
LINGER_S = 2.0


async def submit(world, job, count):
    gateway = world.gateways()[0]
    answer = await w.call(gateway.front, "POST", "/batch/lot", w.client_headers(job), w.job_body(job, count))
    world.record.note(f"{gateway.name} answers {answer.status} to the batch job {job}")
    if answer.status != 202:
        raise w.Unable("the batch job was not accepted")


async def wait_listed(world, job, count, timeout):
    """Waits until all items are listed. Returns the states."""
    gateway = world.gateways()[0]
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        answer = await w.call(gateway.front, "GET", f"/api/lots/{job}?after=0",
                              {"Host": "desk.example", "Authorization": "Bearer key-1"})
        results = answer.json()["results"] if answer.status == 200 else []
        if len(results) == count:
            world.record.note(f"{gateway.name} lists {[each['id'] + '=' + each['state'] for each in results]}")
            return [each["state"] for each in results]
        await asyncio.sleep(0.2)
    raise w.Unable(f"the batch job {job} is not done")


async def case(world, is_trouble):
    await world.start()
    await world.write_config([w.BATCH_ROUTE], [{"name": "acme", "api_keys": ["key-1"], "priority": 1, "rate_per_s": 45,
                                                "burst": 45}])
    old = w.Engine("127.0.0.31", "i-old", world.record, events=20)
    await world.add_engine(old)
    for instance in world.instances:
        instance.start()
    await world.wait_ready()
    await asyncio.sleep(1)
    # Leaves an open connection to the server behind, as any batch job does.
    await submit(world, "warm", 1)
    await wait_listed(world, "warm", 1, 10)

    started = asyncio.Event()
    runs = []

    async def on_run(engine, request, run):
        if not run.startswith("lot"):
            return False
        runs.append(time.monotonic())
        if len(runs) > 1:
            return False
        started.set()
        await asyncio.sleep(RUN_S)
        if not is_trouble:
            return False
        world.record.note(f"{engine.name} has run {run}; the answer is lost, the connection reset")
        request.connection.reset()
        return True

    old.on_run = on_run
    await submit(world, "lot", 1)
    await asyncio.wait_for(started.wait(), 10)
    # A release: the new server starts first, the old one drains.
    await world.add_engine(w.Engine("127.0.0.32", "i-new", world.record, events=20))
    drained = await world.drain(old)
    await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
    late = [begin - drained for begin in runs if begin > drained + DRAIN_MS / 1000]
    for age in late:
        world.record.note(f"i-old was reached {age:.3f} s after the store had accepted that it is draining")
    await old.stop()
    await world.store.run(w.Request("DELETE", f"/api/objects/servers/{old.name}", {}, b"", None))
    world.record.note("i-old has left")
    await wait_listed(world, "lot", 1, 20)
    return not late


if __name__ == "__main__":
    w.main(FOLDER, case)
