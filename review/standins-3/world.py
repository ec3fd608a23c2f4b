"""Stand-ins of the third review: the platform's store, servers, clients, and the starter of instances.

All of it runs in one asyncio loop on loopback addresses. The store and the servers follow PROTOCOL.md; a
script sets hooks that let them answer late, wrongly or not at all.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = {name: values[0] for name, values in parse_qs(query).items()}
        self.headers = headers
        self.body = body
        self.connection = connection


class Connection:
    """One accepted connection. served counts the requests that came before the present one."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.served = 0
        self.is_open = True

    def reset(self):
        self.is_open = False
        try:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            return
        self.writer.transport.abort()

    async def write(self, data):
        try:
            self.writer.write(data)
            await self.writer.drain()
        except (ConnectionError, RuntimeError):
            self.is_open = False
        return self.is_open


async def read_headers(reader):
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, ends_by_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await read_headers(reader)
                return body
            body += (await reader.readexactly(size + 2))[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if ends_by_close else b""


def format_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Calls handle(request) for each request of each connection, one after the other."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while connection.is_open:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                method, target, _ = line.split(" ", 2)
                headers = await read_headers(reader)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body, connection))
                connection.served += 1
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.is_open = False
            writer.close()

    async def handle(self, request):
        raise NotImplementedError

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()


class Store(HttpServer):
    """The platform's metadata store. on_call(request) may return "down": the call is reset and not done,
    "lost": it is done and reset without an answer, "unanswered": it is done, and nothing more comes on the connection,
    or None."""

    def __init__(self, host, record):
        super().__init__(host)
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.on_call = lambda request: None

    async def answer(self, request, status, body):
        data = json.dumps(body).encode()
        await request.connection.write(format_answer(status, {"Content-Type": "application/json"}, data))

    async def handle(self, request):
        fault = self.on_call(request)
        if fault == "down":
            request.connection.reset()
            return
        status, body = await self.run(request)
        if fault == "lost":
            request.connection.reset()
            return
        if fault == "unanswered":
            await asyncio.sleep(60)
            return
        if self.on_call(request) == "down":
            request.connection.reset()
            return
        await self.answer(request, status, body)

    async def run(self, request):
        parts = [unquote(part) for part in request.path.split("/")][3:]
        kind = parts[0]
        if len(parts) == 1 and request.method == "GET":
            if "watch" in request.query:
                return await self.watch(kind, request.query)
            return 200, self.listing(kind, request.query.get("after", ""))
        if len(parts) == 1:
            return await self.create(kind, json.loads(request.body))
        name = parts[1]
        found = self.objects.get((kind, name))
        if request.method == "GET":
            return (200, found) if found else (404, {})
        if request.method == "DELETE":
            if found is None:
                return 404, {}
            del self.objects[kind, name]
            await self.note_change(kind, found, True)
            return 200, found
        return await self.replace(kind, name, parts[2:] == ["status"], json.loads(request.body))

    def listing(self, kind, after):
        items = [item for (each, name), item in sorted(self.objects.items()) if each == kind and name > after]
        page, size = [], 0
        for item in items:
            size += len(json.dumps(item))
            if page and (len(page) == 500 or size > 1_000_000):
                break
            page.append(item)
        return {"items": page, "has_more": len(page) < len(items), "current_rev": self.revision}

    async def create(self, kind, body):
        name = body["metadata"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        made = {"metadata": {"name": name, "rev": 0, "create_rev": self.revision + 1, "finalizers": [],
                             "deleting": False}, "spec": body.get("spec"), "status": None}
        await self.note_change(kind, made, False)
        return 201, made

    async def replace(self, kind, name, is_status, body):
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        expected = body.get("metadata", {}).get("rev")
        if expected and expected != found["metadata"]["rev"]:
            return 409, found
        field = "status" if is_status else "spec"
        if found[field] == body.get(field):
            return 200, found
        changed = dict(found, metadata=dict(found["metadata"]))
        changed[field] = body.get(field)
        await self.note_change(kind, changed, False)
        return 200, changed

    async def note_change(self, kind, item, is_removed):
        self.revision += 1
        item["metadata"]["rev"] = self.revision
        if not is_removed:
            self.objects[kind, item["metadata"]["name"]] = item
        self.history.append((self.revision, kind, {"object": item, "tombstone": is_removed}))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, query):
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "30000")) / 1000
        while True:
            events = [event for revision, each, event in self.history if revision > after and each == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def reset_connections(self):
        for connection in list(self.connections):
            connection.reset()


class Engine(HttpServer):
    """A server that streams events, or answers a plain request with 200. on_run(engine, request, run) may be a
    coroutine that answers in another way and returns True."""

    def __init__(self, host, name, record, service="lm", zone="z-a", slots=8, events=30, gap=0.02):
        super().__init__(host)
        self.name = name
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.events = events
        self.gap = gap
        self.arrivals = []
        self.running = set()
        self.on_run = None
        self.is_quiet = False

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1}

    def head(self, status, request, fields):
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Request-Id: {request.headers['request-id']}",
                 f"Reply-Seal: seal-{request.headers['request-id']}"] + fields
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def handle(self, request):
        run = request.headers.get("request-id", "")
        if request.headers.get("expect-instance") != self.name:
            await request.connection.write(
                self.head(421, request, ["Not-Run: 1", "Content-Length: 0"]))
            return
        if len(self.running) >= self.slots:
            await request.connection.write(
                self.head(503, request, ["Not-Run: 1", "Content-Length: 0"]))
            return
        self.arrivals.append((time.monotonic(), run, request.connection.served))
        if not self.is_quiet:
            after = request.headers.get("last-event-id")
            self.record.note(f"{self.name} runs {run}, request {request.connection.served + 1} of its connection"
                             + (f", after event {after}" if after else ""))
        self.running.add(run)
        try:
            if self.on_run is not None and await self.on_run(self, request, run):
                return
            await self.run(request, run)
        finally:
            self.running.discard(run)

    async def run(self, request, run):
        if not self.events:
            await request.connection.write(self.head(200, request, ["Content-Length: 2"]) + b"ok")
            return
        head = self.head(200, request, ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
        if not await request.connection.write(head):
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap)
            event = f"id: {number}\ndata: {run}-{number}\n\n".encode()
            if not await request.connection.write(f"{len(event):x}\r\n".encode() + event + b"\r\n"):
                return
        await request.connection.write(b"0\r\n\r\n")
        if not self.is_quiet:
            self.record.note(f"{self.name} ends {run}")


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """One client attempt on a new connection. Status 0 without a complete answer."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        status = int((await reader.readuntil(b"\r\n")).split(b" ")[1])
        fields = await read_headers(reader)
        return Answer(status, fields, await read_body(reader, fields, True))

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()


def render(template, fields):
    """Fills the template of the settings in as DEPLOY.md tells it."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = None
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(text, scopes, is_last):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        result, at = "", 0
        for found in section.finditer(text):
            result += plain(text[at:found.start()], scopes, is_last)
            value = look_up(found[2], scopes)
            if found[1] == "^":
                result += fill(found[3], scopes, is_last) if not value and value != 0 else ""
            elif isinstance(value, list):
                for index, each in enumerate(value):
                    result += fill(found[3], scopes + [each], index + 1 == len(value))
            elif value is not None and value is not False:
                result += fill(found[3], scopes + [value], is_last)
            at = found.end()
        return result + plain(text[at:], scopes, is_last)

    def plain(text, scopes, is_last):
        text = text.replace("{{,}}", "" if is_last else ",")
        return re.sub(r"\{\{([^}#^/]+)\}\}", lambda found: text_of(look_up(found[1], scopes)), text)

    return fill(template, [fields], True)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Instance:
    """A process of the deploy file: a gateway on a front machine, or a keeper on a store machine."""

    def __init__(self, world, name, host, zone, is_gateway):
        self.world = world
        self.name = name
        self.process = None
        ports = [free_port(host) for _ in range(5)]
        self.front = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        self.control = f"{host}:{ports[2]}"
        self.fields = {
            "node_name": name, "zone": zone, "ip": host, "port_range": [ports[3], ports[4]],
            "limits": {"memory_mb": 260 if is_gateway else 280}, "seeds": [],
            "listen": {"front": self.front, "ready": self.ready, "control": self.control} if is_gateway else {},
            "bounds": world.bounds,
            "platform": {"address": world.store.address, "value_bytes": 1048576}}
        self.is_gateway = is_gateway

    def start(self):
        self.fields["seeds"] = [each.control for each in self.world.gateways()][:3]
        with open(os.path.join(ROOT, "deploy", "instance.toml.template"), encoding="utf-8") as template:
            text = render(template.read(), self.fields)
        folder = os.path.join(self.world.folder, self.name)
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        command = [os.path.join(ROOT, "target", "pistachiofall"), "fleet", "serve", "--settings", path]
        self.process = self.world.spawn(command, path, os.path.join(folder, "log.txt"))
        self.world.record.note(f"start {self.name}")

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)

    async def wait_ended(self):
        await self.process.wait()


class World:
    BOUNDS = {"quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20, "grace_s": 8, "config_apply_ms": 2000,
              "cancel_ms": 3000, "finish_s": 18, "evac_ms": 5000}

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = dict(self.BOUNDS)
        self.store = Store("127.0.0.1", self.record)
        self.instances = []
        self.engines = []
        self.processes = []
        self.config_version = 0

    def gateways(self):
        return [each for each in self.instances if each.is_gateway]

    def spawn(self, command, settings, log):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PISTACHIOFALL_CONFIG"] = settings
        transport = Process(command, environment, log)
        self.processes.append(transport)
        return transport

    async def start(self, gateways=3):
        await self.store.start()
        self.instances = [Instance(self, f"front-z-{'abc'[index]}-1", f"127.0.0.{11 + index}", f"z-{'abc'[index]}", True)
                          for index in range(gateways)]
        self.instances.append(Instance(self, "store-z-a-1", "127.0.0.21", "z-a", False))

    async def write_config(self, routes, tenants):
        self.config_version += 3
        spec = {"version": self.config_version, "routes": routes,
                "services": [{"name": "lm", "health_path": "/health", "cold_s": 0, "cold_per_s": 0}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": tenants}
        body = {"metadata": {"name": "main"}, "spec": spec}
        if ("config", "main") in self.store.objects:
            await self.store.replace("config", "main", False, body)
        else:
            await self.store.create("config", body)

    async def add_engine(self, engine):
        await engine.start()
        self.engines.append(engine)
        await self.store.create("servers", {"metadata": {"name": engine.name}, "spec": engine.entry()})
        self.record.note(f"{engine.name} registers as ready")

    async def drain(self, engine):
        body = {"metadata": {"name": engine.name}, "spec": engine.entry("draining")}
        await self.store.replace("servers", engine.name, False, body)
        self.record.note(f"the store accepts that {engine.name} is draining")
        return time.monotonic()

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for gateway in self.gateways():
            while (await call(gateway.ready, "GET", "/api/ready", {"Host": "x"}, timeout=1)).status != 200:
                if time.monotonic() > end:
                    raise Unable(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.note("all gateways are ready")

    async def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            await process.wait()
        for server in [self.store] + self.engines:
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Process:
    def __init__(self, command, environment, log):
        with open(log, "a", encoding="utf-8") as output:
            self.pid = os.posix_spawn(command[0], command, environment, file_actions=[
                (os.POSIX_SPAWN_DUP2, output.fileno(), 1), (os.POSIX_SPAWN_DUP2, output.fileno(), 2)])
        self.status = None

    def poll(self):
        if self.status is None:
            pid, status = os.waitpid(self.pid, os.WNOHANG)
            if pid:
                self.status = status
        return self.status

    def send_signal(self, number):
        if self.poll() is None:
            os.kill(self.pid, number)

    async def wait(self):
        while self.poll() is None:
            await asyncio.sleep(0.01)


class Unable(Exception):
    """The case could not run."""


BATCH_ROUTE = {"name": "batch", "host": "desk.example", "path_prefix": "/batch/", "kind": "batch", "timeout_ms": 15000,
               "slo_ms": 400, "priority": 2, "service": "lm", "attempts": 3, "public": False, "affinity": True,
               "resumable": True, "gap_aim_ms": 400, "due_ms": 18000, "retention_s": 60}


def job_body(job, count):
    items = [{"id": f"{job}-item-{index}", "path": f"/batch/{index}",
              "headers": {"Model": "m", "Token-Count": "350,200", "Prompt-Prefix": f"a1:100,{index + 16:x}:250"},
              "body": base64.b64encode(b"x" * 200).decode(), "tokens": 550} for index in range(count)]
    return json.dumps({"items": items}).encode()


def client_headers(request, key="key-1", deadline=4000):
    return {"Host": "desk.example", "Authorization": f"Bearer {key}", "Request-Id": request,
            "Deadline-Ms": str(deadline)}


def main(folder, case):
    """Runs the case, a coroutine function of (world, is_trouble) that returns whether the rule held."""
    is_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            return 0 if await asyncio.wait_for(case(world, is_trouble), 110) else 1
        except (Unable, OSError, asyncio.TimeoutError) as error:
            world.record.note(f"could not run: {error!r}")
            return 2
        finally:
            await world.stop()

    code = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
