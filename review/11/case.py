"""An end of a batch job is refused with 503 at every client attempt, and the batch job is ended.

The store's answer to the write of the end is lost, and LEAD_S later the store goes down. With FORM=one it goes down at
once, as it has carried the write out: one disruption, and a moment of milliseconds.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

JOB = "5d0c7e1f9a3b4862"
ITEMS = 6
# How long the store is down; the site's troubles have platform_down with for_s = 4.5.
DOWN_S = 4.5
# Less than the time for which a machine waits for the answer to a write (call_timeout_ms = 1500).
LEAD_S = 0.0 if os.environ.get("FORM") == "one" else 1.0
DEADLINE_S = 4.0
# The sheet's "client's retries" of the class.
RETRIES = 1
FINISH_S = 18
# The traffic goes on for this long after the return of the store. Items that failed at a server in the last 20 s do not
# count, and here the owner's runs are cut when it hears of the end.
TRAFFIC_S = 5
IDLE_S = 20


async def read_all(world, note=True):
    """Reads the batch job from the start at each gateway in turn. Returns the ids that are listed."""
    for gateway in world.gateways():
        listed, position = [], 0
        while True:
            answer = await w.call(gateway.front, "GET", f"/api/lots/{JOB}?after={position}",
                                  {"Host": "desk.example", "Authorization": "Bearer key-1"}, timeout=5)
            if answer.status != 200:
                break
            results = answer.json()["results"]
            listed += [f"{each['id']}={each['state']}" for each in results]
            position += len(results)
            if not results:
                if note:
                    world.record.note(f"{gateway.name} lists {len(listed)} of {answer.json()['total']}: {listed}")
                return listed
        if note:
            world.record.note(f"{gateway.name} answers {answer.status} to a read")
    return []


async def end_job(world):
    """Sends the end, and once more after a refusal. Returns the statuses; 0 stands for no answer."""
    begin = time.monotonic()
    statuses = []
    for gateway in world.gateways()[1:2 + RETRIES]:
        left = DEADLINE_S - (time.monotonic() - begin)
        answer = await w.call(gateway.front, "DELETE", f"/api/lots/{JOB}",
                              {"Host": "desk.example", "Authorization": "Bearer key-1"}, timeout=left)
        statuses.append(answer.status)
        world.record.note(f"{gateway.name} answers {answer.status} to the end: {answer.body.decode()[:200]}")
        if answer.status == 200:
            break
        left = DEADLINE_S - (time.monotonic() - begin)
        await asyncio.sleep(min(float(answer.headers.get("retry-after", "0.3")), left / 3))
    return statuses


async def case(world, is_trouble):
    await world.start()
    await world.write_config([w.BATCH_ROUTE], [{"name": "acme", "api_keys": ["key-1"], "priority": 1, "rate_per_s": 45,
                                                "burst": 45}])
    # 200 events of 20 ms: an item takes 4 s.
    for index in range(2):
        await world.add_engine(w.Engine(f"127.0.0.{31 + index}", f"i-{index}", world.record, slots=2, events=200))
    for instance in world.instances:
        instance.start()
    await world.wait_ready()
    await asyncio.sleep(1)
    answer = await w.call(world.gateways()[0].front, "POST", "/batch/lot", w.client_headers(JOB),
                          w.job_body(JOB, ITEMS))
    world.record.note(f"{world.gateways()[0].name} answers {answer.status} to the batch job of {ITEMS} items")
    if answer.status != 202:
        raise w.Unable("the batch job was not accepted")
    await asyncio.sleep(1)

    down_from, down_until = None, None

    def go_down():
        world.record.note(f"the store goes down for {DOWN_S} s: it resets all connections")
        world.store.reset_connections()

    def on_call(request):
        nonlocal down_from, down_until
        if down_from is not None and down_from <= time.monotonic() < down_until:
            return "down"
        is_end = request.method == "PUT" and b'"ended":true' in request.body
        if is_trouble and down_from is None and is_end:
            down_from = time.monotonic() + LEAD_S
            down_until = down_from + DOWN_S
            world.record.note("the store carries out the write of the end; its answer is lost")
            asyncio.get_running_loop().call_later(LEAD_S, go_down)
            return "unanswered"
        return None

    world.store.on_call = on_call
    statuses = await end_job(world)
    if is_trouble and down_until is None:
        raise w.Unable("the end was not written")
    if is_trouble:
        await asyncio.sleep(max(0, down_until - time.monotonic()))
        world.record.note("the store is back")
    if 200 in statuses:
        world.record.note("the end is acknowledged: nothing more is owed")
        return True
    if any(status not in (429, 503) for status in statuses):
        world.record.note("the end may have been carried out: nothing more is owed")
        return True
    # Each attempt was answered with the promise that it has not run and never will: the batch job is open.
    end = time.monotonic() + TRAFFIC_S + FINISH_S
    last_unlisted_run = time.monotonic()
    while time.monotonic() < end:
        listed = {each.split("=")[0] for each in await read_all(world, note=False)}
        if len(listed) == ITEMS:
            break
        if any(engine.running for engine in world.engines):
            last_unlisted_run = time.monotonic()
        await asyncio.sleep(0.5)
    listed = await read_all(world)
    idle = time.monotonic() - last_unlisted_run
    world.record.note(f"{len(listed)} of {ITEMS} items are listed; no server has run one for {idle:.1f} s")
    stored = world.store.objects["pistachiofall-jobs", JOB]["status"]
    world.record.note(f"the store's object of the batch job: ended = {stored['ended']}")
    return len(listed) == ITEMS or idle < IDLE_S


if __name__ == "__main__":
    w.main(FOLDER, case)
