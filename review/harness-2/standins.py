"""Stand-ins for the platform's store, for model servers and for clients, and a starter for a small
deployment on loopback addresses. Everything runs in one asyncio loop; the instances of
pistachiofall are separate processes."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()
ANSWER_MS = 4  # of the store, as the site files have it
HISTORY_S = 20
VALUE_BYTES = 1048576
TAKEN_PORTS = set()


def now():
    return time.monotonic() - START


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} s  {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free now, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


# HTTP/1.1, as far as the stand-ins need it.


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_headers(reader):
    """The first line and the header fields, with names in lower case; None at the end."""
    line = await reader.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not field:
            return line.decode("latin-1").rstrip("\r\n"), headers
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, until_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader):
    line, headers = await read_headers(reader)
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


def answer_bytes(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + b"\r\n" + body


class NoAnswer(Exception):
    """The call ended without a complete answer."""


async def http_call(address, method, target, headers=(), body=b"", timeout=5.0):
    """One call on a connection of its own: status, headers and body."""

    async def run():
        host, port = address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {target} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers)
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            line, fields = await read_headers(reader)
            if not line:
                raise NoAnswer("closed")
            return int(line.split(" ")[1]), fields, await read_body(reader, fields, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise NoAnswer(type(error).__name__) from error


# The platform's store.


class Store:
    """Objects by kind and name with one revision, conditional writes and watches. Each instance
    reaches it at an address of its own, so that a fault may concern one instance only: `faults`
    holds a function per instance that is asked before each call is done, and may return 'silent'
    (not done, not answered), 'busy' (503), 'lost' (done, not answered), or 'late' (not answered, and
    done late_s later)."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.faults = {}
        self.calls = 0
        self.on_write = None
        self.late_s = 2.0

    async def serve(self, instance):
        async def connected(reader, writer):
            await self._serve(instance, reader, writer)

        server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=1 << 24)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, instance, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                await asyncio.sleep(ANSWER_MS / 1000)
                fault = self.faults.get(instance)
                how = fault(request) if fault else None
                if how == "silent":
                    await asyncio.sleep(3600)
                if how == "busy":
                    writer.write(answer_bytes(503))
                    await writer.drain()
                    continue
                if how == "late":
                    await asyncio.shield(asyncio.ensure_future(self._handle_late(request)))
                    await asyncio.sleep(3600)
                status, body = await self._handle(request)
                if how == "lost":
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                writer.write(answer_bytes(status, data, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle_late(self, request):
        await asyncio.sleep(self.late_s)
        status, _ = await self._handle(request)
        self.record(f"store: {request.method} {request.path} is done late: {status}")

    async def _handle(self, request):
        parts = [urllib.parse.unquote(part) for part in request.path.split("/")[3:]]
        kind = parts[0]
        if request.method == "GET" and len(parts) == 1:
            if "watch" in request.query:
                return await self._watch(kind, request.query)
            return 200, self._list(kind, request.query.get("after", ""))
        if request.method == "GET":
            found = self.objects.get((kind, parts[1]))
            return (200, found) if found else (404, {})
        if len(request.body) > VALUE_BYTES:
            return 413, {}
        if request.method == "POST":
            sent = json.loads(request.body)
            return await self.create(kind, sent)
        if request.method == "PUT":
            field = "status" if len(parts) > 2 else "spec"
            return await self.replace(kind, parts[1], field, json.loads(request.body))
        await self.remove(kind, parts[1])
        return 200, {}

    def _list(self, kind, after):
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        page, size = [], 0
        for name in names:
            found = self.objects[(kind, name)]
            size += len(json.dumps(found))
            if page and (len(page) >= 500 or size > 1 << 20):
                break
            page.append(found)
        return {"items": page, "has_more": len(page) < len(names), "current_rev": self.revision}

    async def _watch(self, kind, query):
        since, end = int(query["watch"]), now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if since < self.revision and self.history and self.history[0][0] > since + 1:
                if now() - self.history[0][3] > HISTORY_S:
                    return 410, {}
            events = [each[2] for each in self.history if each[0] > since and each[1] == kind]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _note(self, kind, found, tombstone=False):
        self.revision += 1
        found["metadata"]["rev"] = self.revision
        copy = json.loads(json.dumps(found))
        self.objects[(kind, found["metadata"]["name"])] = copy
        if tombstone:
            del self.objects[(kind, found["metadata"]["name"])]
        self.history.append((self.revision, kind, {"tombstone": tombstone, "object": copy}, now()))
        if self.on_write:
            self.on_write(kind, copy, tombstone)
        async with self.changed:
            self.changed.notify_all()
        return copy

    async def create(self, kind, sent):
        name = sent["metadata"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[(kind, name)]
        found = {
            "metadata": {"name": name, "create_rev": self.revision + 1, "finalizers": [],
                         "deleting": False},
            "spec": sent.get("spec"),
            "status": sent.get("status"),
        }
        return 201, await self._note(kind, found)

    async def replace(self, kind, name, field, sent):
        found = self.objects.get((kind, name))
        if not found:
            return 404, {}
        expected = sent.get("metadata", {}).get("rev")
        if expected is not None and expected != found["metadata"]["rev"]:
            return 409, found
        if found[field] == sent.get(field):
            return 200, found
        return 200, await self._note(kind, {**found, "metadata": dict(found["metadata"]),
                                            field: sent.get(field)})

    async def remove(self, kind, name):
        found = self.objects.get((kind, name))
        if found:
            await self._note(kind, {**found, "metadata": dict(found["metadata"])}, True)

    async def put(self, kind, name, spec):
        """A write of the operator or of a server."""
        if (kind, name) in self.objects:
            return await self.replace(kind, name, "spec", {"spec": spec})
        return await self.create(kind, {"metadata": {"name": name}, "spec": spec})


# Model servers.


class ModelServer:
    """Runs requests for tokens: `slots` at once, `queue` more waiting. The first event comes after
    first_ms, further ones each gap_ms; an item has `events` of them. It stops work when the
    connection closes, and echoes and seals as the pages say."""

    def __init__(self, store, record, name, service, zone, slots=4, queue=24, events=10,
                 first_ms=100, gap_ms=100, pad=0, is_plain=False):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.slots, self.queue = service, zone, slots, queue
        self.events, self.first_ms, self.gap_ms = events, first_ms, gap_ms
        self.pad = "x" * pad
        self.is_plain = is_plain  # answers with a body of one piece instead of a stream
        self.running = self.waiting = 0
        self.failure = None  # may give the status with which an item fails
        self.places = asyncio.Semaphore(slots)
        self.arrivals = []  # (time, id, first event asked for)
        self.completed = {}
        self.tasks = set()
        self.port = 0
        self.born = 0
        self.draining = False

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "cold_left_ms": 0, "stage": "both",
                "state": "draining" if self.draining else "ready",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 1,
                "born": self.born}

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.store.put("servers", self.name, self.entry())

    async def crash(self):
        """The process ends: its port is closed and its connections are reset."""
        self.record(f"server {self.name} crashes, {self.running} running")
        self.server.close()
        for task, writer in list(self.tasks):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            task.cancel()

    async def _connected(self, reader, writer):
        entry = (asyncio.current_task(), writer)
        self.tasks.add(entry)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self._answer(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(entry)
            writer.close()

    async def _answer(self, request, reader, writer):
        if request.path in ("/health", "/api/report"):
            writer.write(answer_bytes(200, b"{}", [("Instance", self.name)]))
            return
        expected = request.headers.get("expect-instance")
        if expected and expected != self.name:
            writer.write(answer_bytes(421, b"", [("Instance", self.name)]))
            return
        item = request.headers.get("request-id", "")
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(answer_bytes(503, b"", [("Not-Run", "1"), ("Request-Id", item)]))
            return
        after = int(request.headers.get("last-event-id", "0"))
        self.arrivals.append((now(), item, after))
        self.record(f"server {self.name} gets {item} after event {after}")
        run = asyncio.ensure_future(self._run(item, after, writer))
        gone = asyncio.ensure_future(self._closed(reader))
        try:
            await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                self.record(f"server {self.name} stops {item}: the connection closed")
                raise ConnectionResetError
            run.result()
        finally:
            run.cancel()
            gone.cancel()
            await asyncio.gather(run, gone, return_exceptions=True)

    @staticmethod
    async def _closed(reader):
        """Ends when the other side closes the connection."""
        try:
            await reader.read(1)
        except ConnectionError:
            pass

    async def _run(self, item, after, writer):
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.first_ms / 1000)
            status = self.failure(item) if self.failure else None
            if status:
                self.record(f"server {self.name} answers {status} to {item}")
                writer.write(answer_bytes(status, b"", [("Request-Id", item),
                                                        ("Reply-Seal", "s." + item)]))
                await writer.drain()
                return
            if self.is_plain:
                writer.write(answer_bytes(200, item.encode(), [("Request-Id", item),
                                                               ("Reply-Seal", "s." + item)]))
                await writer.drain()
                return
            head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {item}\r\nReply-Seal: s.{item}\r\n"
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(head.encode())
            for event in range(after + 1, self.events + 1):
                data = f"id: {event}\ndata: {item}-{event}{self.pad}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.gap_ms / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.completed.setdefault(item, now())
            self.record(f"server {self.name} has done {item}")
        finally:
            self.running -= 1
            self.places.release()

    def output(self, item):
        return "\n".join(f"{item}-{event}{self.pad}" for event in range(1, self.events + 1))


# The instances.

SETTINGS = """[instance]
name = "{name}"
failure_domain = "{zone}"
memory_mb = {memory}
[listen]
{listen}peers = "127.0.0.1:{peers}"
metrics = "127.0.0.1:{metrics}"
[store]
address = "127.0.0.1:{store}"
call_timeout_ms = 1500
max_object_bytes = 1048576
[fleet]
seeds = [{seeds}]
quota_window_ms = 5000
quota_slack = 20
stop_grace_ms = 8000
change_bound_ms = 2000
"""


class Instance:
    def __init__(self, fleet, name, zone, is_front):
        self.fleet, self.name, self.zone, self.is_front = fleet, name, zone, is_front
        self.front, self.ready, self.peers, self.metrics = free_ports(4)
        self.store_port = 0
        self.process = None

    @property
    def address(self):
        return ("127.0.0.1", self.front)

    def write_settings(self):
        listen = ""
        if self.is_front:
            listen = (f'callers = "127.0.0.1:{self.front}"\n'
                      f'ready = "127.0.0.1:{self.ready}"\n')
        seeds = [each for each in self.fleet.instances if each.is_front][:3]
        text = SETTINGS.format(
            name=self.name, zone=self.zone, memory=260 if self.is_front else 280, listen=listen,
            peers=self.peers, metrics=self.metrics, store=self.store_port,
            seeds=",".join(f'"127.0.0.1:{each.peers}"' for each in seeds))
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "pistachiofall"), "fleet", "serve", "--settings", path,
            cwd=ROOT, stdout=log, stderr=log, env={**os.environ, "PISTACHIOFALL_CONFIG": path})
        log.close()
        self.fleet.record(f"{self.name} starts")

    def signal(self, number):
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await http_call(("127.0.0.1", self.ready), "GET", "/api/ready",
                                           [("Host", "ready")], timeout=1.0)
            return status == 200
        except NoAnswer:
            return False


class Fleet:
    """A store, model servers and instances: by default one front machine and one store machine in
    each of three zones."""

    ZONES = ("zone-a", "zone-b", "zone-c")

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="pf-review-")
        self.store = Store(record)
        self.instances = [Instance(self, f"front-{zone}-1", zone, True) for zone in self.ZONES]
        self.instances += [Instance(self, f"store-{zone}-1", zone, False) for zone in self.ZONES]
        self.servers = []

    def fronts(self):
        return [each for each in self.instances if each.is_front]

    async def start(self, config):
        await self.store.put("config", "main", config)
        for server in self.servers:
            await server.start()
        for each in self.instances:
            each.store_port = await self.store.serve(each.name)
        for each in self.instances:
            await each.start()
        for _ in range(300):
            await asyncio.sleep(0.1)
            states = [await each.is_ready() for each in self.fronts()]
            if all(states):
                break
        else:
            raise RuntimeError("the instances do not become ready")
        # The instances get to know each other.
        await asyncio.sleep(2.0)

    async def stop(self):
        for each in self.instances:
            if each.process and each.process.returncode is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                await each.process.wait()


def config(version, service, due_ms=18000, retention_s=60.0, routes=(), rate=0, burst=0):
    batch = {"name": "r-batch", "host": "batch.example", "path_prefix": "/lots/", "kind": "batch",
             "timeout_ms": 15000, "slo_ms": 400, "priority": 2, "service": service, "attempts": 3,
             "public": False, "affinity": True, "resumable": True, "gap_aim_ms": 400,
             "due_ms": due_ms, "retention_s": retention_s}
    return {
        "version": version,
        "routes": [batch, *routes],
        "services": [{"name": service, "health_path": "/health", "max_conns": 360,
                      "protocol": "h1", "tls": False, "cold_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1-abcdefgh"], "priority": 1,
                     "rate_per_s": rate, "burst": burst}],
    }


HEADERS = [("Host", "batch.example"), ("Authorization", "Bearer key-1-abcdefgh")]


def job_body(job, count, prefix="9c2e41:100,", first=0):
    items = []
    for index in range(first, first + count):
        item = f"{job}{index:04x}"
        items.append({"id": item, "path": f"/lots/3/{index:04x}",
                      "headers": {"Model": "m", "Token-Count": "350,200",
                                  "Prompt-Prefix": f"{prefix}{item}:250"},
                      "body": base64.b64encode(item.encode() * 20).decode(), "tokens": 550})
    return json.dumps({"items": items}).encode()


class Client:
    """The calls of clients about batch jobs; each goes to the record."""

    def __init__(self, record):
        self.record = record

    async def call(self, instance, method, target, headers=(), body=b"", timeout=4.0):
        try:
            status, _, data = await http_call(instance.address, method, target,
                                              [*HEADERS, *headers], body, timeout)
        except NoAnswer as error:
            self.record(f"client: {method} {target} at {instance.name}: no answer ({error})")
            return 0, b""
        self.record(f"client: {method} {target} at {instance.name}: {status}")
        return status, data

    async def submit(self, instance, job, count, **how):
        return await self.call(instance, "POST", "/lots/" + job[:6],
                               [("Request-Id", job), ("Content-Type", "application/json")],
                               job_body(job, count, **how))

    async def end(self, instance, job):
        return await self.call(instance, "DELETE", "/api/lots/" + job)

    async def results(self, instance, job, after=0):
        status, data = await self.call(instance, "GET", f"/api/lots/{job}?after={after}")
        return status, json.loads(data) if status == 200 else None


def run_case(folder, case):
    """Runs a case, which returns 1 if the rule was broken and 0 if it held. 2: it could not run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(fleet, Client(record), has_trouble, record), 115)
        finally:
            await fleet.stop()

    try:
        result = asyncio.run(main())
    except Exception as error:  # pylint: disable=broad-except
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = 2
    record(f"result {result}")
    return result
