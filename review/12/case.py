"""Five servers crash, one after the other, each with the same sound item; after that the item is not sent for a minute."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

SERVERS = 9
CRASHES = 5
# The site's srv_crash has share = 0.17 for 4.5 s; here one of nine servers is down at a time, for less.
DOWN_S = 2.0
# A crashed server sends nothing: its entry goes after three heartbeat intervals (heartbeat_ms = 1,200) of silence.
ENTRY_S = 3.6
FINISH_S = 18
# Items that failed at a server in the last 20 s do not count.
IDLE_S = 20
TRAFFIC_S = 5
KEY = {"Host": "desk.example", "Authorization": "Bearer key-1"}


async def submit(world, job):
    gateway = world.gateways()[0]
    body = w.job_body(job, 1)
    if job != "lot":
        body = body.replace(b"a1:100", b"b2:100")
    answer = await w.call(gateway.front, "POST", "/batch/lot", w.client_headers(job), body)
    world.record.note(f"{gateway.name} answers {answer.status} to the batch job {job}")
    if answer.status != 202:
        raise w.Unable("the batch job was not accepted")


async def listed(world, job):
    for gateway in world.gateways():
        answer = await w.call(gateway.front, "GET", f"/api/lots/{job}?after=0", KEY)
        if answer.status == 200:
            return [f"{each['id']}={each['state']}" for each in answer.json()["results"]]
    return []


async def case(world, is_trouble):
    await world.start()
    await world.write_config([w.BATCH_ROUTE], [{"name": "acme", "api_keys": ["key-1"], "priority": 1, "rate_per_s": 45,
                                                "burst": 45}])
    crashes = []

    async def come_back(engine):
        await asyncio.sleep(DOWN_S)
        number = len(world.engines)
        await world.add_engine(make(f"i-{number}", engine.host, engine.zone))
        await asyncio.sleep(ENTRY_S - DOWN_S)
        await world.store.run(w.Request("DELETE", f"/api/objects/servers/{engine.name}", {}, b"", None))

    async def on_run(engine, request, run):
        if not is_trouble or not run.startswith("lot-") or len(crashes) == CRASHES:
            return False
        await asyncio.sleep(0.2)
        crashes.append(time.monotonic())
        world.record.note(f"{engine.name} crashes (number {len(crashes)})")
        await engine.stop()
        asyncio.create_task(come_back(engine))
        return True

    def make(name, host, zone):
        engine = w.Engine(host, name, world.record, zone=zone, events=50)
        engine.on_run = on_run
        return engine

    for index in range(SERVERS):
        await world.add_engine(make(f"i-{index}", f"127.0.0.{31 + index}", f"z-{'abc'[index % 3]}"))
    for instance in world.instances:
        instance.start()
    await world.wait_ready()
    await asyncio.sleep(1)
    await submit(world, "lot")
    begin = time.monotonic()
    while is_trouble and len(crashes) < CRASHES and time.monotonic() < begin + 60:
        await asyncio.sleep(0.2)
    if is_trouble and len(crashes) < CRASHES:
        raise w.Unable("the item was not sent to five servers")
    await asyncio.sleep(TRAFFIC_S)
    await submit(world, "other")
    end = time.monotonic() + FINISH_S
    while time.monotonic() < end and len(await listed(world, "lot")) < 1:
        await asyncio.sleep(0.5)
    done = await listed(world, "lot")
    world.record.note(f"lot: {done}, other: {await listed(world, 'other')}")
    last = max(crashes, default=0)
    idle = time.monotonic() - last
    world.record.note(f"no server has had the item for {idle:.1f} s")
    return len(done) == 1 or idle < IDLE_S


if __name__ == "__main__":
    w.main(FOLDER, case)
