"""One process is killed after a day of batch jobs; its open batch job is not taken up."""

import asyncio
import bisect
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

KIND = "pistachiofall-jobs"
# The sheet of the small deployment: 0.514 batch jobs a second, of about 10 items of 203 events of 65 bytes.
JOBS_A_SECOND = 0.514
DAY_S = 24 * 3600
ITEMS = 10
EVENTS = 203
EVENT_BYTES = 65
OPEN = "7c41e09b52d6a3f8"
FINISHED = "1f0e9d8c7b6a5948"
FINISH_S = 18
# The traffic goes on for this long after the kill. Items that failed at a server in the last 20 s do not count.
TRAFFIC_S = 4
IDLE_S = 20
KEY = {"Host": "desk.example", "Authorization": "Bearer key-1"}


class FullStore(w.Store):
    """A store that also lists the finished batch jobs of the day before, each a copy of one that the system has
    finished, under another name and with an earlier time of submission."""

    def __init__(self, host, record):
        super().__init__(host, record)
        self.count = 0
        self.template = b""
        self.original = b""
        self.sorted_names = []
        self.listings = 0
        self.pages = 0

    def keep_copies_of(self, name, count):
        self.template = json.dumps(self.objects[KIND, name]).encode()
        self.original = name.encode()
        self.count = count
        self.sorted_names = sorted(f"{index * 0x9e3779b97f4a7c15 % 2**64:016x}" for index in range(1, count + 1))

    async def handle(self, request):
        if not self.count or request.method != "GET" or not request.path.endswith("/" + KIND):
            await super().handle(request)
            return
        after = request.query.get("after", "")
        if not after:
            self.listings += 1
            self.record.note(f"listing {self.listings} of the batch jobs begins")
        names = self.sorted_names
        at = bisect.bisect_right(names, after)
        own = sorted(name for kind, name in self.objects if kind == KIND and name > after)
        page, size = [], 0
        while at < len(names) or own:
            if at == len(names) or (own and own[0] < names[at]):
                item = json.dumps(self.objects[KIND, own[0]]).encode()
            else:
                item = self.template.replace(self.original, names[at].encode())
            if page and size + len(item) > 1_000_000:
                break
            if at == len(names) or (own and own[0] < names[at]):
                own.pop(0)
            else:
                at += 1
            page.append(item)
            size += len(item)
        self.pages += 1
        more = at < len(names) or bool(own)
        if not more:
            self.record.note(f"the last page of listing {self.listings} is read")
        body = (b'{"items":[' + b",".join(page) + b'],"has_more":' + (b"true" if more else b"false")
                + b',"current_rev":' + str(self.revision).encode() + b"}")
        await request.connection.write(w.format_answer(200, {"Content-Type": "application/json"}, body))


async def listed(world, job):
    """The number of items that the first gateway that answers lists."""
    for gateway in world.gateways():
        answer = await w.call(gateway.front, "GET", f"/api/lots/{job}?after=0", KEY, timeout=5)
        if answer.status == 200:
            return len(answer.json()["results"])
    return 0


async def submit(world, job, gateway):
    answer = await w.call(gateway.front, "POST", "/batch/lot", w.client_headers(job), w.job_body(job, ITEMS))
    world.record.note(f"{gateway.name} answers {answer.status} to the batch job {job} of {ITEMS} items")
    if answer.status != 202:
        raise w.Unable("the batch job was not accepted")


class Engine(w.Engine):
    """As the other one, with events of 65 bytes of data."""

    async def run(self, request, run):
        head = self.head(200, request, ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
        if not await request.connection.write(head):
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap)
            data = f"{run}-{number}".ljust(EVENT_BYTES, ".")
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if not await request.connection.write(f"{len(event):x}\r\n".encode() + event + b"\r\n"):
                return
        await request.connection.write(b"0\r\n\r\n")


async def case(world, is_trouble):
    world.store = FullStore("127.0.0.1", world.record)
    await world.start()
    await world.write_config([w.BATCH_ROUTE], [{"name": "acme", "api_keys": ["key-1"], "priority": 1, "rate_per_s": 45,
                                                "burst": 45}])
    for index in range(3):
        await world.add_engine(Engine(f"127.0.0.{31 + index}", f"i-{index}", world.record, zone=f"z-{'abc'[index]}",
                                      events=EVENTS, gap=0.02))
    for instance in world.instances:
        instance.start()
    await world.wait_ready()
    await asyncio.sleep(1)
    owner = world.gateways()[1]
    await submit(world, FINISHED, owner)
    end = time.monotonic() + 25
    while await listed(world, FINISHED) < ITEMS:
        if time.monotonic() > end:
            raise w.Unable("the first batch job is not done")
        await asyncio.sleep(0.5)
    size = len(json.dumps(world.store.objects[KIND, FINISHED]))
    count = int(JOBS_A_SECOND * DAY_S)
    world.store.keep_copies_of(FINISHED, count)
    world.record.note(f"{FINISHED} is done, its object has {size} bytes; the store holds {count} more such objects, "
                      "those of a day")
    await submit(world, OPEN, owner)
    await asyncio.sleep(1)
    if is_trouble:
        owner.kill()
        await owner.wait_ended()
        world.record.note(f"{owner.name} is killed")
        await asyncio.sleep(0.5)
        owner.start()
    begin = time.monotonic()
    busy = begin
    count = 0
    while time.monotonic() < begin + TRAFFIC_S + FINISH_S and count < ITEMS:
        if any(engine.running for engine in world.engines):
            busy = time.monotonic()
        count = await listed(world, OPEN)
        await asyncio.sleep(0.25)
    idle = time.monotonic() - busy
    world.record.note(f"{count} of {ITEMS} items are listed {time.monotonic() - begin:.1f} s later; no server has had an "
                      f"item for {idle:.1f} s")
    held = count == ITEMS or idle < IDLE_S
    while count < ITEMS and world.record.now() < 60:
        count = await listed(world, OPEN)
        await asyncio.sleep(0.5)
    taken = time.monotonic() - begin
    world.record.note(f"{count} of {ITEMS} items are listed {taken:.1f} s later; the store has handed out "
                      f"{world.store.pages} pages of finished batch jobs, {world.store.pages / taken:.0f} a second")
    return held


if __name__ == "__main__":
    w.main(FOLDER, case)
